//! Contact with the store: since when it has been up, by what this host and other hosts have heard
//! from it.
//!
//! Entries of running replicas lapse in a store outage and reappear after it, so an entry that
//! vanishes then does not mean a departure. A host that is cut off hears nothing either, but
//! entries that vanish meanwhile are departures. Its own silence cannot tell the two cases apart;
//! another host that has heard from the store all along can.

use serde::{Deserialize, Serialize};
use unit::{Span, Time};

/// Time after a store outage within which lapsed entries reappear.
const REAPPEAR_WITHIN: Span = Span::from_ms(2_000);

/// Minimum silence of the store, in heartbeats, for an entry to lapse: it does after three missed
/// ones, and the last may have come up to one before the silence.
const MIN_LAPSE_HEARTBEATS: f64 = 2.0;

/// Heartbeats after which the entry of a silent replica has gone.
const LAPSE_HEARTBEATS: f64 = 3.0;

/// Propagation bound unless the settings name another.
const DEFAULT_PROPAGATION: Span = Span::from_ms(2_000);

/// Longest assumed transit of another host's ages, by which its uptime appears too young. A link on
/// which packets wait longer counts as impaired.
const MAX_TRANSIT: Span = Span::from_ms(500);

/// Time range in which the store was heard from, without a silence long enough for entries to
/// lapse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Uptime {
    since: Time,
    until: Time,
}

/// Uptime as ages, for another host, whose clock differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages {
    /// Age of the start, in milliseconds.
    since_ms: u32,
    /// Age of the end, in milliseconds.
    until_ms: u32,
}

impl Uptime {
    pub fn ages(&self, now: Time) -> Ages {
        let age = |at| u32::try_from(now.since(at).0 / 1_000).unwrap_or(u32::MAX);
        Ages {
            since_ms: age(self.since),
            until_ms: age(self.until),
        }
    }

    /// Whether the gap to another uptime is at most `max_gap`.
    fn meets(&self, other: &Uptime, max_gap: Span) -> bool {
        let gap = self
            .since
            .max(other.since)
            .since(self.until.min(other.until));
        gap <= max_gap
    }

    /// The union of two uptimes that meet, otherwise the later one.
    pub fn join(self, other: Uptime, max_gap: Span) -> Uptime {
        if !self.meets(&other, max_gap) {
            return std::cmp::max_by_key(self, other, |uptime| uptime.until);
        }
        Uptime {
            since: self.since.min(other.since),
            until: self.until.max(other.until),
        }
    }
}

impl Ages {
    /// Uptime of ages received at `received`.
    pub fn uptime(&self, received: Time) -> Uptime {
        let before = |ms: u32| received - Span::from_ms(u64::from(ms));
        Uptime {
            since: before(self.since_ms),
            until: before(self.until_ms),
        }
    }
}

/// Largest gap between two hosts' uptimes in which no entry can have lapsed, for replicas that
/// write every `heartbeat`.
pub fn max_gap_between_hosts(heartbeat: Span) -> Span {
    (heartbeat * MIN_LAPSE_HEARTBEATS).saturating_sub(MAX_TRANSIT)
}

/// Contact of this host with the store, directly or through other hosts.
#[derive(Debug)]
pub struct Contact {
    /// Interval at which replicas write their entries.
    heartbeat: Span,
    /// Time within which this host hears of a change.
    propagation: Span,
    /// Last uptime as this host heard it, directly or through another host.
    own: Option<Uptime>,
    /// Whether a longer silence preceded it.
    after_outage: bool,
    /// Whether no call is answered, directly or through another host.
    unreachable: bool,
    /// Last uptime of the hosts that reported theirs.
    others: Option<Uptime>,
    /// When this host learnt that the store has come back from a copy.
    copied_at: Option<Time>,
}

impl Contact {
    /// No contact yet with a store to which replicas write every `heartbeat`.
    pub fn new(heartbeat: Span) -> Contact {
        Contact {
            heartbeat,
            propagation: DEFAULT_PROPAGATION,
            own: None,
            after_outage: false,
            unreachable: false,
            others: None,
            copied_at: None,
        }
    }

    /// Sets the time within which this host hears of a change.
    pub fn set_propagation(&mut self, propagation: Span) {
        self.propagation = propagation;
    }

    /// Records that the store answered a call that was made at `asked`. For an answer through
    /// another host, both times are when the store answered that host.
    pub fn answered(&mut self, asked: Time, now: Time) {
        self.unreachable = false;
        match &mut self.own {
            Some(uptime) if asked.since(uptime.until) <= self.heartbeat * MIN_LAPSE_HEARTBEATS => {
                uptime.until = uptime.until.max(now);
            }
            uptime => {
                self.after_outage = uptime.is_some();
                *uptime = Some(Uptime {
                    since: now,
                    until: now,
                });
            }
        }
    }

    /// Records that no call is answered, directly or through another host.
    pub fn failed(&mut self) {
        self.unreachable = true;
    }

    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Time since the store was last known to answer.
    pub fn silence(&self, now: Time) -> Option<Span> {
        self.own.map(|uptime| now.since(uptime.until))
    }

    /// This host's own uptime, for other hosts. What they reported is not included, so that it is
    /// never passed on as new.
    pub fn ages(&self, now: Time) -> Option<Ages> {
        self.own.map(|uptime| uptime.ages(now))
    }

    /// Merges another host's uptime.
    pub fn merge(&mut self, ages: Ages, now: Time) {
        let uptime = ages.uptime(now);
        let max_gap = max_gap_between_hosts(self.heartbeat);
        let merged = self.others.map(|others| others.join(uptime, max_gap));
        self.others = merged.or(Some(uptime));
    }

    /// Time since the store recovered from an outage, as long as lapsed entries may still reappear.
    ///
    /// An uptime of other hosts that overlaps this host's own extends it backwards. Otherwise a
    /// host that alone was cut off would send requests to a departed replica for 2 s after its
    /// return; see the test `partitioned_host`.
    pub fn since_recovery(&self, now: Time) -> Option<Span> {
        let own = self.own.filter(|_| self.after_outage)?;
        let max_gap = max_gap_between_hosts(self.heartbeat);
        let others = self.others.filter(|uptime| uptime.meets(&own, max_gap));
        let since = others.map_or(own.since, |uptime| uptime.since.min(own.since));
        let elapsed = now.since(since);
        (elapsed < REAPPEAR_WITHIN).then_some(elapsed)
    }

    /// Records that the store has come back from a copy, which lacks what was written since.
    pub fn record_copy(&mut self, now: Time) {
        self.copied_at = Some(now);
    }

    /// Whether the store has come back from a copy within the last `time`, as far as this host knows.
    pub fn came_back_within(&self, time: Span, now: Time) -> bool {
        self.copied_at.is_some_and(|at| now.since(at) < time)
    }

    /// Whether an entry that vanishes now may reappear.
    pub fn may_reappear(&self, now: Time) -> bool {
        self.unreachable
            || self.since_recovery(now).is_some()
            || self.came_back_within(REAPPEAR_WITHIN, now)
    }

    /// Time after which an entry that is still listed belongs to a replica that writes: this host would have heard that it
    /// has lapsed.
    pub fn lapse_time(&self) -> Span {
        self.heartbeat * LAPSE_HEARTBEATS + self.propagation
    }
}
