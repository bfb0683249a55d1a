//! The one place that gives out what accounts may use, and what replicas in need take.

use super::{
    FALLBACK_DURATION, FALLBACK_FRACTION, Limit, REFUND_WINDOW, Refusal, SlidingSum, Tolerance,
    Usage,
};
use std::collections::HashMap;
use std::hash::Hash;
use unit::{Name, Span, Time};

/// Part of the rate that a new limiter leaves for [`ALONE_FOR`] to hosts that it has not heard of and that
/// may go on by their shares.
const LEFT_TO_UNHEARD: f64 = 0.15;

/// Silence after which a host counts as one that goes on by its share: hosts tell what they have in
/// flight at least three times in a second.
const SILENT_AFTER: Span = Span::from_ms(700);

/// Time after which is looked again which hosts are silent.
const LOOK: Span = Span::from_ms(100);

/// Time over which refused requests count as a queue before the next one that is told when to come back.
const QUEUE: Span = Span::from_ms(1_000);

/// Longest time after which what is over a limit is told to come back.
const LONGEST_WAIT: Span = Span::from_secs(10);

/// Time without any question after which a bucket is forgotten; it is full long before.
const FORGOTTEN_AFTER: Span = Span::from_secs(60);

/// Pause between two looks for what is to be forgotten.
const FORGET_EACH: Span = Span::from_secs(5);

/// Token buckets of all subjects: client accounts by name, or incarnations of replicas.
#[derive(Debug)]
pub struct Limiter<K> {
    tolerance: Tolerance,
    /// When it began.
    since: Time,
    buckets: HashMap<K, Bucket>,
    /// When buckets were last looked through for those to be forgotten.
    looked: Time,
    hosts: Hosts,
}

/// Bucket of one subject, and who used it.
#[derive(Debug)]
struct Bucket {
    /// Units that may be given out now; below nothing when it is overdrawn.
    level: f64,
    /// When the level was brought up to date.
    at: Time,
    /// What each host was given.
    hosts: HashMap<Name, SlidingSum>,
    /// Since when each host was in touch when it last told what it used alone.
    reported: HashMap<Name, Time>,
    /// What all were given.
    given: SlidingSum,
    /// What was refused lately.
    refused: SlidingSum,
}

/// Units that a host asks for, gives back or has used.
#[derive(Debug)]
pub struct Units<'a, K> {
    /// Whose limit it is.
    pub subject: &'a K,
    /// The limit, as it was last heard of.
    pub limit: Limit,
    /// The host.
    pub host: &'a Name,
    /// How many.
    pub count: f64,
    /// Units that are to be left for what is more urgent.
    pub reserved: f64,
    /// Whether what is refused comes again for the same units, since nothing else can take it.
    pub will_retry: bool,
}

impl<K> Clone for Units<'_, K> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<K> Copy for Units<'_, K> {}

impl<K: Eq + Hash + Clone> Limiter<K> {
    /// Makes one with overdrawn buckets: what a predecessor gave out last is not known.
    pub fn new(tolerance: Tolerance, now: Time) -> Limiter<K> {
        Limiter {
            tolerance,
            since: now,
            buckets: HashMap::new(),
            looked: now,
            hosts: Hosts::default(),
        }
    }

    /// Notes that a host is in touch.
    pub fn record_heartbeat(&mut self, host: &Name, now: Time) {
        self.hosts.heard(host, now);
    }

    /// Gives out units, or tells the time after which there will be enough.
    pub fn acquire(&mut self, units: Units<K>, now: Time) -> Result<Usage, Refusal> {
        self.record_heartbeat(units.host, now);
        let window = self.tolerance.window;
        let overdraft = self.tolerance.overdraft();
        let limit = self.tolerance.effective_limit(units.limit);
        let bucket = self.bucket(units.subject, limit, now);
        // What never fits into a window would leave a debt for longer than one.
        if units.count > limit.rate * window.secs() + limit.burst {
            return Err(Refusal {
                retry_after: LONGEST_WAIT,
                available: bucket.level,
            });
        }
        // A request that is larger than a full bucket is let in by a full one.
        let needed = (units.count + units.reserved).min(limit.burst + overdraft);
        let missing = needed - overdraft - bucket.level;
        if missing > 0.0 {
            let queue = bucket.refused.sum(now);
            if units.will_retry {
                bucket.refused.add(units.count, now);
            }
            let wait = Span::from_secs_f64((missing + queue) / limit.rate);
            return Err(Refusal {
                retry_after: wait.min(LONGEST_WAIT),
                available: bucket.level,
            });
        }
        bucket.level -= units.count;
        bucket.given.add(units.count, now);
        let ledger = bucket.hosts.entry(units.host.clone());
        let ledger = ledger.or_insert_with(|| SlidingSum::new(window));
        ledger.add(units.count, now);
        Ok(Usage {
            granted: bucket.given.sum(now),
            available: bucket.level,
        })
    }

    /// Takes back units that were given out at `given` and not used, if that was a moment ago.
    pub fn refund(&mut self, units: Units<K>, given: Time, now: Time) {
        if now.since(given) > REFUND_WINDOW {
            return;
        }
        let limit = self.tolerance.effective_limit(units.limit);
        let bucket = self.bucket(units.subject, limit, now);
        bucket.level = (bucket.level + units.count).min(limit.burst);
        bucket.given.remove(units.count, given);
        if let Some(ledger) = bucket.hosts.get_mut(units.host) {
            ledger.remove(units.count, given);
        }
    }

    /// Takes in what a host has used by its share since it was answered last. While the host was silent its
    /// share was set aside, and before this limiter began nothing was given out: that is not counted again.
    pub fn record_local_use(&mut self, units: Units<K>, now: Time) {
        self.record_heartbeat(units.host, now);
        let since = self.hosts.in_touch_since(units.host);
        let limit = self.tolerance.effective_limit(units.limit);
        let bucket = self.bucket(units.subject, limit, now);
        let before = bucket.reported.insert(units.host.clone(), since);
        if before == Some(since) {
            bucket.level -= units.count;
        }
    }

    /// Units given out to a subject in the last window.
    pub fn granted(&self, subject: &K, now: Time) -> f64 {
        let bucket = self.buckets.get(subject);
        bucket.map_or(0.0, |b| b.given.sum(now))
    }

    /// The bucket with its level brought up to date.
    fn bucket(&mut self, subject: &K, limit: Limit, now: Time) -> &mut Bucket {
        let window = self.tolerance.window;
        self.hosts.look(window, now);
        self.forget(now);
        if !self.buckets.contains_key(subject) {
            let new = Bucket::new(&self.tolerance, self.since);
            self.buckets.insert(subject.clone(), new);
        }
        let bucket = self.buckets.get_mut(subject).expect("it was just put in");
        let set_aside = bucket.share_of(&self.hosts.silent) * FALLBACK_FRACTION;
        let set_aside = match now.since(self.since) < FALLBACK_DURATION {
            true => set_aside.max(LEFT_TO_UNHEARD),
            false => set_aside,
        };
        let gained = now.since(bucket.at).secs() * limit.rate * (1.0 - set_aside);
        bucket.level = (bucket.level + gained).min(limit.burst);
        bucket.at = now;
        bucket
    }

    /// Forgets the buckets that nobody has asked about for long, and in the others the hosts that were given nothing
    /// for so long that they have no share any more.
    fn forget(&mut self, now: Time) {
        if now.since(self.looked) < FORGET_EACH {
            return;
        }
        self.looked = now;
        let kept = self.tolerance.window + self.tolerance.window + FALLBACK_DURATION;
        let is_kept = |bucket: &Bucket| now.since(bucket.at) < FORGOTTEN_AFTER;
        self.buckets.retain(|_, bucket| is_kept(bucket));
        for bucket in self.buckets.values_mut() {
            bucket.hosts.retain(|_, given| !given.is_idle(kept, now));
            let hosts = &bucket.hosts;
            bucket.reported.retain(|host, _| hosts.contains_key(host));
        }
    }

    /// Hosts of which something is kept for a subject.
    pub fn host_count(&self, subject: &K) -> usize {
        let bucket = self.buckets.get(subject);
        bucket.map_or(0, |b| b.hosts.len().max(b.reported.len()))
    }
}

impl Bucket {
    /// A bucket of which a predecessor may have given out all it could until `since`.
    fn new(tolerance: &Tolerance, since: Time) -> Bucket {
        let window = tolerance.window;
        Bucket {
            level: -tolerance.overdraft(),
            at: since,
            hosts: HashMap::new(),
            reported: HashMap::new(),
            given: SlidingSum::new(window),
            refused: SlidingSum::new(QUEUE),
        }
    }

    /// Share of hosts that fell silent, in what all were given when each was last heard.
    fn share_of(&self, silent: &HashMap<Name, Time>) -> f64 {
        let share = |(host, at): (&Name, &Time)| {
            let used = self.hosts.get(host)?.sum(*at);
            (used > 0.0).then(|| used / self.given.sum(*at).max(used))
        };
        silent.iter().filter_map(share).sum::<f64>().min(1.0)
    }
}

/// When each host was last heard.
#[derive(Debug, Default)]
struct Hosts {
    heard: HashMap<Name, Heard>,
    /// Hosts that fell silent and may go on by their shares, and when they were last heard.
    silent: HashMap<Name, Time>,
    /// When that was last looked for.
    looked: Time,
}

/// When a host was heard.
#[derive(Debug, Clone, Copy)]
struct Heard {
    last: Time,
    /// When it was heard first, or again after a silence.
    since: Time,
}

impl Hosts {
    fn heard(&mut self, host: &Name, now: Time) {
        self.silent.remove(host);
        let first = Heard {
            last: now,
            since: now,
        };
        match self.heard.get_mut(host) {
            Some(heard) if now.since(heard.last) > SILENT_AFTER => *heard = first,
            Some(heard) => heard.last = now,
            None => {
                self.heard.insert(host.clone(), first);
            }
        }
    }

    /// Since when a host is in touch.
    fn in_touch_since(&self, host: &Name) -> Time {
        self.heard.get(host).map_or(Time(0), |heard| heard.since)
    }

    /// Finds the hosts that are silent, and forgets those that were so for a window after their shares ended.
    fn look(&mut self, window: Span, now: Time) {
        if now.since(self.looked) < LOOK {
            return;
        }
        self.looked = now;
        let kept = SILENT_AFTER + FALLBACK_DURATION + window;
        self.heard.retain(|_, heard| now.since(heard.last) < kept);
        let last = self.heard.iter().map(|(host, heard)| (host, heard.last));
        let is_alone =
            |at: Time| (SILENT_AFTER..FALLBACK_DURATION + SILENT_AFTER).contains(&now.since(at));
        let silent = last.filter(|(_, at)| is_alone(*at));
        self.silent = silent.map(|(host, at)| (host.clone(), at)).collect();
    }
}
