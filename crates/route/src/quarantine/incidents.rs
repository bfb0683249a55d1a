//! Which requests broke together at a replica, and whether it had fallen.
//!
//! A broken answer alone says little: a connection may have been reset, and a replica may fail some of its
//! requests. It was a fall if the replica then refuses connections, or starts again. All that break at one
//! incarnation belong to one fall.

use super::Crash;
use std::collections::HashMap;
use unit::{Fingerprint, Name, Span, Time, rendezvous};

/// Time for which a break is remembered, until it is known whether the replica fell: it is back within seconds.
const DOUBTED: Span = Span::from_secs(10);

/// Time for which a fall is told to each next leader.
const TOLD: Span = Span::from_secs(60);

/// Times that a fall is told to the same leader: a datagram may be lost.
const TELLINGS: u32 = 3;

/// Replicas whose breaks are remembered at once.
const MOST_GROUPS: usize = 256;

/// Requests remembered of one replica, which runs some tens at once.
const MOST_ABOARD: usize = 128;

/// Incarnation of a replica: its identity, and its start where that is told.
pub type Instance = (Name, Option<u64>);

/// Requests that broke at one incarnation of a replica.
#[derive(Debug, Clone)]
pub struct Incident {
    /// The fall, if it was one.
    pub crash: Crash,
    /// The requests.
    pub in_flight: Vec<Fingerprint>,
    /// When the first one broke.
    pub at: Time,
    /// Whether the replica had fallen.
    is_fall: bool,
    /// Leader that was told last, by its term, and how often.
    told: (u64, u32),
}

/// Breaks at replicas, by incarnation.
#[derive(Debug, Default)]
pub struct Incidents {
    groups: HashMap<Instance, Incident>,
}

impl Incidents {
    /// Notes that a request broke at a replica; tells whether it is the first, so that the replica is to be looked at.
    pub fn record_failure(&mut self, start: &Instance, print: Fingerprint, now: Time) -> bool {
        self.forget(now);
        if self.groups.len() >= MOST_GROUPS && !self.groups.contains_key(start) {
            return false;
        }
        let is_first = !self.groups.contains_key(start);
        let group = self.groups.entry(start.clone()).or_insert(Incident {
            crash: identity(start),
            in_flight: Vec::new(),
            at: now,
            is_fall: false,
            told: (0, 0),
        });
        if group.in_flight.len() < MOST_ABOARD && !group.in_flight.contains(&print) {
            group.in_flight.push(print);
            // What was told lacks this one.
            group.told = (0, 0);
        }
        is_first
    }

    /// Notes that a replica was down after the breaks, or has started again; gives the fall, unless it was known.
    pub fn confirm_crash(&mut self, start: &Instance) -> Option<Incident> {
        let group = self.groups.get_mut(start).filter(|group| !group.is_fall)?;
        group.is_fall = true;
        Some(group.clone())
    }

    /// Notes which incarnation of a replica there is now, or that there is none; gives the falls that this proves.
    pub fn confirm_replaced(&mut self, replica: &str, present: Option<&Instance>) -> Vec<Incident> {
        let starts = self.groups.keys();
        let former = starts.filter(|start| *start.0 == *replica && Some(*start) != present);
        let former: Vec<Instance> = former.cloned().collect();
        former
            .iter()
            .filter_map(|start| self.confirm_crash(start))
            .collect()
    }

    /// Falls to tell the leader of a term, which has not heard them often enough.
    pub fn due_reports(&mut self, term: u64, now: Time) -> Vec<Incident> {
        self.forget(now);
        let mut due = Vec::new();
        for group in self.groups.values_mut().filter(|group| group.is_fall) {
            if group.told.0 != term {
                group.told = (term, 0);
            }
            if group.told.1 < TELLINGS {
                group.told.1 += 1;
                due.push(group.clone());
            }
        }
        due
    }

    /// Whether a replica has fallen a moment ago, or may have.
    pub fn has_recent(&self) -> bool {
        !self.groups.is_empty()
    }

    fn forget(&mut self, now: Time) {
        self.groups.retain(|_, group| {
            let kept = if group.is_fall { TOLD } else { DOUBTED };
            now.since(group.at) < kept
        });
    }
}

/// Identity of the fall of an incarnation, which all hosts name alike.
fn identity((replica, start): &Instance) -> Crash {
    Crash(rendezvous::weight(start.unwrap_or(0), replica))
}
