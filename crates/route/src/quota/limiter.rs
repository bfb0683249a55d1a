//! Token buckets of the leader, from which all hosts acquire units.

use super::contact::{Contact, overlap};
use super::{
    FALLBACK_DURATION, FALLBACK_FRACTION, Limit, REFUND_WINDOW, Refusal, SlidingSum, Tolerance,
    Usage,
};
use std::collections::HashMap;
use std::hash::Hash;
use unit::{Name, Span, Time};

/// Fraction of the rate that a new limiter reserves for [`FALLBACK_DURATION`] for hosts that it does not know yet and
/// that may be using their shares.
const UNKNOWN_HOSTS_RESERVE: f64 = 0.15;

/// Window in which refused requests count as queued when a retry delay is computed.
const REFUSAL_WINDOW: Span = Span::from_ms(1_000);

/// Maximum retry delay.
const MAX_RETRY_AFTER: Span = Span::from_secs(10);

/// Idle time after which a bucket is evicted; it is full long before.
const BUCKET_RETENTION: Span = Span::from_secs(60);

/// Interval of the eviction of idle buckets.
const EVICTION_INTERVAL: Span = Span::from_secs(5);

/// Token buckets by subject: client accounts by name, or incarnations of replicas.
#[derive(Debug)]
pub struct Limiter<K> {
    tolerance: Tolerance,
    /// Start of the limiter.
    since: Time,
    buckets: HashMap<K, Bucket>,
    /// Time of the last eviction.
    last_eviction: Time,
    contact: Contact,
}

/// Token bucket of one subject and its recent use.
#[derive(Debug)]
struct Bucket {
    /// Available units; negative if overdrawn.
    level: f64,
    /// Time of the last refill.
    at: Time,
    /// Units granted to each host.
    hosts: HashMap<Name, SlidingSum>,
    /// Start of the contact with each host at its last report of local use.
    reported: HashMap<Name, Time>,
    /// Units granted to all hosts.
    granted: SlidingSum,
    /// Units refused recently.
    refused: SlidingSum,
}

/// Units that a host acquires, refunds or reports as used.
#[derive(Debug)]
pub struct Units<'a, K> {
    /// Account or replica that the limit belongs to.
    pub subject: &'a K,
    /// Most recently known limit.
    pub limit: Limit,
    pub host: &'a Name,
    /// Number of units.
    pub count: f64,
    /// Units that must remain available for more urgent requests.
    pub reserved: f64,
    /// Whether the host will ask again after a refusal because it has no alternative.
    pub will_retry: bool,
}

impl<K> Clone for Units<'_, K> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<K> Copy for Units<'_, K> {}

impl<K: Eq + Hash + Clone> Limiter<K> {
    /// Starts with fully overdrawn buckets, since the recent grants of a previous limiter are unknown.
    pub fn new(tolerance: Tolerance, now: Time) -> Limiter<K> {
        Limiter {
            tolerance,
            since: now,
            buckets: HashMap::new(),
            last_eviction: now,
            contact: Contact::default(),
        }
    }

    pub fn record_heartbeat(&mut self, host: &Name, now: Time) {
        self.contact.record_heartbeat(host, now);
    }

    /// Grants units, or refuses with the time after which enough are expected.
    pub fn acquire(&mut self, units: Units<K>, now: Time) -> Result<Usage, Refusal> {
        self.record_heartbeat(units.host, now);
        let window = self.tolerance.window;
        let overdraft = self.tolerance.overdraft();
        let limit = self.tolerance.effective_limit(units.limit);
        let bucket = self.bucket(units.subject, limit, now);
        // A request that exceeds the limit of a whole window would leave the bucket overdrawn for longer than that.
        if units.count > limit.rate * window.secs() + limit.burst {
            return Err(Refusal {
                retry_after: MAX_RETRY_AFTER,
                available: bucket.level,
            });
        }
        // A request larger than the bucket is granted by a full bucket.
        let needed = (units.count + units.reserved).min(limit.burst + overdraft);
        let missing = needed - overdraft - bucket.level;
        if missing > 0.0 {
            let queued = bucket.refused.sum(now);
            if units.will_retry {
                bucket.refused.add(units.count, now);
            }
            let wait = Span::from_secs_f64((missing + queued) / limit.rate);
            return Err(Refusal {
                retry_after: wait.min(MAX_RETRY_AFTER),
                available: bucket.level,
            });
        }
        bucket.level -= units.count;
        bucket.granted.add(units.count, now);
        let host_sum = bucket.hosts.entry(units.host.clone());
        let host_sum = host_sum.or_insert_with(|| SlidingSum::new(window));
        host_sum.add(units.count, now);
        Ok(Usage {
            granted: bucket.granted.sum(now),
            available: bucket.level,
        })
    }

    /// Refunds unused units that were granted at `granted_at`, unless that is longer than [`REFUND_WINDOW`] ago.
    pub fn refund(&mut self, units: Units<K>, granted_at: Time, now: Time) {
        if now.since(granted_at) > REFUND_WINDOW {
            return;
        }
        let limit = self.tolerance.effective_limit(units.limit);
        let bucket = self.bucket(units.subject, limit, now);
        bucket.level = (bucket.level + units.count).min(limit.burst);
        bucket.granted.remove(units.count, granted_at);
        if let Some(host_sum) = bucket.hosts.get_mut(units.host) {
            host_sum.remove(units.count, granted_at);
        }
    }

    /// Deducts what a host used from its share since its last answer.
    ///
    /// Not deducted for a host that was silent, since its share was reserved then, nor for use before this limiter
    /// started, since nothing was granted then.
    pub fn record_local_use(&mut self, units: Units<K>, now: Time) {
        self.record_heartbeat(units.host, now);
        let contact = self.contact.since(units.host);
        let limit = self.tolerance.effective_limit(units.limit);
        let bucket = self.bucket(units.subject, limit, now);
        let before = bucket.reported.insert(units.host.clone(), contact);
        if before == Some(contact) {
            bucket.level -= units.count;
        }
    }

    /// Units granted for a subject in the last window.
    pub fn granted(&self, subject: &K, now: Time) -> f64 {
        let bucket = self.buckets.get(subject);
        bucket.map_or(0.0, |b| b.granted.sum(now))
    }

    /// Refills and returns the bucket of a subject.
    fn bucket(&mut self, subject: &K, limit: Limit, now: Time) -> &mut Bucket {
        let window = self.tolerance.window;
        self.contact.update_silent(window, BUCKET_RETENTION, now);
        self.evict(now);
        if !self.buckets.contains_key(subject) {
            let new = Bucket::new(&self.tolerance, self.since);
            self.buckets.insert(subject.clone(), new);
        }
        let bucket = self
            .buckets
            .get_mut(subject)
            .expect("the bucket was just inserted");
        let elapsed = (bucket.at, now);
        let shares = bucket.silent_shares(&self.contact, elapsed) * FALLBACK_FRACTION;
        let unknown_hosts = (self.since, self.since + FALLBACK_DURATION);
        let unknown = overlap(unknown_hosts, elapsed).secs() * UNKNOWN_HOSTS_RESERVE;
        let accrued = (now.since(bucket.at).secs() - shares.max(unknown)) * limit.rate;
        bucket.level = (bucket.level + accrued).min(limit.burst);
        bucket.at = now;
        bucket
    }

    /// Evicts idle buckets, and from the others the hosts without grants that are recent enough for a share.
    fn evict(&mut self, now: Time) {
        if now.since(self.last_eviction) < EVICTION_INTERVAL {
            return;
        }
        self.last_eviction = now;
        let retention = self.tolerance.window + self.tolerance.window + FALLBACK_DURATION;
        let is_retained = |bucket: &Bucket| now.since(bucket.at) < BUCKET_RETENTION;
        self.buckets.retain(|_, bucket| is_retained(bucket));
        for bucket in self.buckets.values_mut() {
            bucket
                .hosts
                .retain(|_, granted| !granted.is_idle(retention, now));
            let hosts = &bucket.hosts;
            bucket.reported.retain(|host, _| hosts.contains_key(host));
        }
    }

    /// Number of hosts tracked for a subject.
    pub fn host_count(&self, subject: &K) -> usize {
        let bucket = self.buckets.get(subject);
        bucket.map_or(0, |b| b.hosts.len().max(b.reported.len()))
    }
}

impl Bucket {
    /// Creates a fully overdrawn bucket that is refilled from `since`.
    fn new(tolerance: &Tolerance, since: Time) -> Bucket {
        let window = tolerance.window;
        Bucket {
            level: -tolerance.overdraft(),
            at: since,
            hosts: HashMap::new(),
            reported: HashMap::new(),
            granted: SlidingSum::new(window),
            refused: SlidingSum::new(REFUSAL_WINDOW),
        }
    }

    /// Time in seconds, within the given period, in which silent hosts may have used their shares, each multiplied by
    /// its share as of its last heartbeat; at most the length of the period.
    fn silent_shares(&self, contact: &Contact, period: (Time, Time)) -> f64 {
        let share = |(host, last, duration): (&Name, Time, Span)| {
            let granted = self.hosts.get(host)?.sum(last);
            let share = (granted > 0.0).then(|| granted / self.granted.sum(last).max(granted));
            share.map(|share| share * duration.secs())
        };
        let sum: f64 = contact
            .fallbacks(period.0, period.1)
            .filter_map(share)
            .sum();
        sum.min(period.1.since(period.0).secs())
    }
}
