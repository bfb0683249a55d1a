//! Which requests broke together at a replica, and whether it had fallen.
//!
//! A broken answer alone says little: a connection may have been reset, and a replica may fail some of its
//! requests. It was a fall if the replica then refuses connections, or starts again. All that break at one
//! incarnation belong to one fall.

use super::Fall;
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
pub type Start = (Name, Option<u64>);

/// Requests that broke at one incarnation of a replica.
#[derive(Debug, Clone)]
pub struct Group {
    /// The fall, if it was one.
    pub fall: Fall,
    /// The requests.
    pub aboard: Vec<Fingerprint>,
    /// When the first one broke.
    pub at: Time,
    /// Whether the replica had fallen.
    is_fall: bool,
    /// Leader that was told last, by its term, and how often.
    told: (u64, u32),
}

/// Breaks at replicas, by incarnation.
#[derive(Debug, Default)]
pub struct Falls {
    groups: HashMap<Start, Group>,
}

impl Falls {
    /// Notes that a request broke at a replica; tells whether it is the first, so that the replica is to be looked at.
    pub fn broke(&mut self, start: &Start, print: Fingerprint, now: Time) -> bool {
        self.forget(now);
        if self.groups.len() >= MOST_GROUPS && !self.groups.contains_key(start) {
            return false;
        }
        let is_first = !self.groups.contains_key(start);
        let group = self.groups.entry(start.clone()).or_insert(Group {
            fall: identity(start),
            aboard: Vec::new(),
            at: now,
            is_fall: false,
            told: (0, 0),
        });
        if group.aboard.len() < MOST_ABOARD && !group.aboard.contains(&print) {
            group.aboard.push(print);
            // What was told lacks this one.
            group.told = (0, 0);
        }
        is_first
    }

    /// Notes that a replica was down after the breaks, or has started again; gives the fall, unless it was known.
    pub fn fell(&mut self, start: &Start) -> Option<Group> {
        let group = self.groups.get_mut(start).filter(|group| !group.is_fall)?;
        group.is_fall = true;
        Some(group.clone())
    }

    /// Notes which incarnation of a replica there is now, or that there is none; gives the falls that this proves.
    pub fn replaced(&mut self, replica: &str, present: Option<&Start>) -> Vec<Group> {
        let starts = self.groups.keys();
        let former = starts.filter(|start| *start.0 == *replica && Some(*start) != present);
        let former: Vec<Start> = former.cloned().collect();
        former.iter().filter_map(|start| self.fell(start)).collect()
    }

    /// Falls to tell the leader of a term, which has not heard them often enough.
    pub fn to_tell(&mut self, term: u64, now: Time) -> Vec<Group> {
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
    pub fn is_recent(&self) -> bool {
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
fn identity((replica, start): &Start) -> Fall {
    Fall(rendezvous::weight(start.unwrap_or(0), replica))
}
