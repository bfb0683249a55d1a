//! Requests that wait, in the order in which they get places.
//!
//! Within a priority, those that can still be answered in time come first, the earliest target first; an account that
//! takes more than its share is put back. Those that are late anyway follow, the earliest deadline first.

use super::{Ask, Ticket};
use std::collections::{BTreeMap, HashMap};
use unit::{Span, Time};

/// Place in the order: priority, whether it is late, when it is due, and number of the arrival.
pub(super) type Rank = (u8, bool, Time, u64);

/// Request that waits.
#[derive(Debug, Clone)]
pub(super) struct Waiting {
    pub(super) ask: Ask,
    /// Time by which it is put back because its account takes more than its share.
    lag: Span,
    /// When its host last asked.
    pub(super) heard_at: Time,
}

impl Waiting {
    pub(super) fn new(ask: Ask, lag: Span, now: Time) -> Waiting {
        Waiting {
            ask,
            lag,
            heard_at: now,
        }
    }

    /// Rank among the requests in time, or among the late ones.
    pub(super) fn rank(&self, is_late: bool, number: u64) -> Rank {
        let due = match is_late {
            true => self.ask.deadline,
            false => self.ask.target + self.lag,
        };
        (self.ask.priority, is_late, due, number)
    }

    /// Whether it would be late if it were sent at this time.
    pub(super) fn is_late(&self, margin: Span, start: Time) -> bool {
        start + margin > self.ask.target
    }
}

#[derive(Debug, Default)]
pub(super) struct WaitingList {
    by_rank: BTreeMap<Rank, Waiting>,
    ranks: HashMap<Ticket, Rank>,
    arrivals: u64,
}

impl WaitingList {
    pub(super) fn len(&self) -> usize {
        self.by_rank.len()
    }

    pub(super) fn contains(&self, ticket: &Ticket) -> bool {
        self.ranks.contains_key(ticket)
    }

    /// Records that a host asked again; returns whether its request waits.
    pub(super) fn touch(&mut self, ticket: &Ticket, now: Time) -> bool {
        let waiting = self.ranks.get(ticket);
        let waiting = waiting.and_then(|rank| self.by_rank.get_mut(rank));
        waiting.map(|w| w.heard_at = now).is_some()
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        self.arrivals += 1;
        self.insert(waiting.rank(false, self.arrivals), waiting);
    }

    fn insert(&mut self, rank: Rank, waiting: Waiting) {
        self.ranks.insert(waiting.ask.ticket, rank);
        self.by_rank.insert(rank, waiting);
    }

    pub(super) fn remove(&mut self, ticket: &Ticket) -> Option<Waiting> {
        let rank = self.ranks.remove(ticket)?;
        self.by_rank.remove(&rank)
    }

    pub(super) fn retain(&mut self, keep: impl Fn(&Waiting) -> bool) {
        self.extract(|waiting| !keep(waiting));
    }

    /// Removes and returns requests.
    pub(super) fn extract(&mut self, is_removed: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let removed = self
            .by_rank
            .extract_if(.., |_, waiting| is_removed(waiting));
        let removed: Vec<Waiting> = removed.map(|(_, waiting)| waiting).collect();
        for waiting in &removed {
            self.ranks.remove(&waiting.ask.ticket);
        }
        removed
    }

    /// Puts requests that would now be late behind those in time, as far as that changes who is first.
    pub(super) fn settle(&mut self, margin: Span, now: Time) {
        while let Some((rank, waiting)) = self.by_rank.first_key_value() {
            let (rank, ticket) = (*rank, waiting.ask.ticket);
            if rank.1 || !waiting.is_late(margin, now) {
                return;
            }
            if let Some(waiting) = self.remove(&ticket) {
                self.insert(waiting.rank(true, rank.3), waiting);
            }
        }
    }

    /// Requests in their order.
    pub(super) fn in_order(&self) -> impl Iterator<Item = &Waiting> {
        self.by_rank.values()
    }

    /// Requests with their ranks, in their order.
    pub(super) fn ranked(&self) -> impl Iterator<Item = (&Rank, &Waiting)> {
        self.by_rank.iter()
    }

    /// Numbers of requests in time and of late ones that are ahead of a rank.
    pub(super) fn ahead(&self, rank: Rank) -> (usize, usize) {
        let late = self
            .by_rank
            .range(..rank)
            .filter(|(rank, _)| rank.1)
            .count();
        let all = self.by_rank.range(..rank).count();
        (all - late, late)
    }
}
