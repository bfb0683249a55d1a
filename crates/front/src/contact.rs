//! Since when the store has been there, by what this host heard of it and by what other hosts tell.
//!
//! Entries of living replicas lapse in an outage of the store and come back after it, so an entry that
//! vanishes then is no departure. A host that is cut off hears nothing either, and entries that vanish meanwhile
//! are departures. Its own silence does not tell the two apart; another host that has heard from the store
//! all the time does.

use serde::{Deserialize, Serialize};
use unit::{Span, Time};

/// Time in which entries that lapsed in an outage of the store come back after it.
const REAPPEAR_WITHIN: Span = Span::from_ms(2_000);

/// Heartbeats for which the store must be silent at the least for an entry to lapse: it does after three that
/// are missed, and the last one may have come up to one before the silence.
const MIN_LAPSE_HEARTBEATS: f64 = 2.0;

/// Time that a word may have been on its way, by which what it tells seems younger than it is: a link on which
/// packets wait for longer counts as harmed.
const MAX_TRANSIT: Span = Span::from_ms(500);

/// Time through which the store was heard from, without a silence in which entries can lapse.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Uptime {
    since: Time,
    until: Time,
}

/// Run as one host tells it to another, whose clock differs: by ages.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ages {
    /// Time since the run began, in milliseconds.
    since_ms: u32,
    /// Time since the store was heard from last, in milliseconds.
    until_ms: u32,
}

impl Uptime {
    /// The run as it is told.
    pub fn ages(&self, now: Time) -> Ages {
        let age = |at| u32::try_from(now.since(at).0 / 1_000).unwrap_or(u32::MAX);
        Ages {
            since_ms: age(self.since),
            until_ms: age(self.until),
        }
    }

    /// Whether no silence longer than `silence` lies between it and another run.
    fn meets(&self, other: &Uptime, silence: Span) -> bool {
        let gap = self
            .since
            .max(other.since)
            .since(self.until.min(other.until));
        gap <= silence
    }

    /// Both runs as one where they meet, else the later one.
    pub fn join(self, other: Uptime, silence: Span) -> Uptime {
        if !self.meets(&other, silence) {
            return std::cmp::max_by_key(self, other, |run| run.until);
        }
        Uptime {
            since: self.since.min(other.since),
            until: self.until.max(other.until),
        }
    }
}

impl Ages {
    /// The run that was told at a time.
    pub fn uptime(&self, told: Time) -> Uptime {
        let before = |ms: u32| told - Span::from_ms(u64::from(ms));
        Uptime {
            since: before(self.since_ms),
            until: before(self.until_ms),
        }
    }
}

/// Silence between the runs of two hosts in which no entry can have lapsed, where replicas write each
/// `heartbeat`.
pub fn max_gap_between_hosts(heartbeat: Span) -> Span {
    (heartbeat * MIN_LAPSE_HEARTBEATS).saturating_sub(MAX_TRANSIT)
}

/// What is known of the store's presence.
#[derive(Debug)]
pub struct Contact {
    /// Time between two writings of a replica's entry.
    heartbeat: Span,
    /// The last run of this host, or of what it heard of the store through others.
    own: Option<Uptime>,
    /// Whether a longer silence went before that.
    after_outage: bool,
    /// Whether no call is answered, here or by way of another host.
    unreachable: bool,
    /// The last run of the hosts that told theirs.
    others: Option<Uptime>,
}

impl Contact {
    /// Knows nothing yet of a store to which replicas write each `heartbeat`.
    pub fn new(heartbeat: Span) -> Contact {
        Contact {
            heartbeat,
            own: None,
            after_outage: false,
            unreachable: false,
            others: None,
        }
    }

    /// Notes that the store answered what it was asked at a time; what another host tells of it was asked and
    /// answered when the store told that.
    pub fn answered(&mut self, asked: Time, now: Time) {
        self.unreachable = false;
        match &mut self.own {
            Some(run) if asked.since(run.until) <= self.heartbeat * MIN_LAPSE_HEARTBEATS => {
                run.until = run.until.max(now);
            }
            run => {
                self.after_outage = run.is_some();
                *run = Some(Uptime {
                    since: now,
                    until: now,
                });
            }
        }
    }

    /// Notes that no call is answered, here or by way of another host.
    pub fn failed(&mut self) {
        self.unreachable = true;
    }

    /// Whether no call is answered, here or by way of another host.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// Time since the store was last known to answer.
    pub fn silence(&self, now: Time) -> Option<Span> {
        self.own.map(|run| now.since(run.until))
    }

    /// This host's run, to be told to others. What these told is not in it, so that no word is told again
    /// as if it were new.
    pub fn ages(&self, now: Time) -> Option<Ages> {
        self.own.map(|run| run.ages(now))
    }

    /// Takes in another host's run.
    pub fn merge(&mut self, word: Ages, now: Time) {
        let run = word.uptime(now);
        let silence = max_gap_between_hosts(self.heartbeat);
        let joined = self.others.map(|known| known.join(run, silence));
        self.others = joined.or(Some(run));
    }

    /// Time since the store came back from an outage, while entries that lapsed in it may come back yet.
    ///
    /// A run of other hosts that reaches into this host's own goes before it. Without it, a host that was cut off
    /// alone sends requests to a replica that has left for 2 s after its return, and every second one where two
    /// replicas can take it, by `partitioned_host` of the tests.
    pub fn since_recovery(&self, now: Time) -> Option<Span> {
        let own = self.own.filter(|_| self.after_outage)?;
        let silence = max_gap_between_hosts(self.heartbeat);
        let others = self.others.filter(|run| run.meets(&own, silence));
        let since = others.map_or(own.since, |run| run.since.min(own.since));
        let back = now.since(since);
        (back < REAPPEAR_WITHIN).then_some(back)
    }

    /// Whether an entry that vanishes now may come back.
    pub fn may_reappear(&self, now: Time) -> bool {
        self.unreachable || self.since_recovery(now).is_some()
    }
}
