//! Requests that hold places, and those that have ended.

use super::{ReplicaKey, Ticket};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use unit::{Span, Time};

/// Time without a report of a host after which a grant to it ends: a few reports that it would have sent.
const GRANT_SILENCE: Span = Span::from_ms(700);

/// Age from which a grant that its host does not list has ended. A younger one may not have reached the host when it
/// wrote the list.
const MIN_UNLISTED_AGE: Span = Span::from_ms(250);

/// Time for which ended requests are remembered, so that late messages about them are recognized.
const ENDED_MEMORY: Span = Span::from_secs(3);

/// Granted request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Grant {
    pub(super) replica: ReplicaKey,
    pub(super) granted_at: Time,
    /// When its host last spoke of it.
    heard_at: Time,
    /// When its client stops waiting, if known.
    deadline: Option<Time>,
}

#[derive(Debug, Default)]
pub(super) struct Grants {
    by_ticket: HashMap<Ticket, Grant>,
    /// Requests that ended, and when, the oldest first.
    ended: VecDeque<(Ticket, Time)>,
    ended_at: HashMap<Ticket, Time>,
}

impl Grants {
    pub(super) fn len(&self) -> usize {
        self.by_ticket.len()
    }

    /// Requests at a replica.
    pub(super) fn count_at(&self, replica: ReplicaKey) -> u32 {
        let grants = self.by_ticket.values();
        grants.filter(|grant| grant.replica == replica).count() as u32
    }

    pub(super) fn add(
        &mut self,
        ticket: Ticket,
        replica: ReplicaKey,
        deadline: Option<Time>,
        now: Time,
    ) {
        let grant = Grant {
            replica,
            granted_at: now,
            heard_at: now,
            deadline,
        };
        self.by_ticket.insert(ticket, grant);
    }

    /// Records that a host spoke of a request; returns its replica if it holds a place.
    pub(super) fn touch(&mut self, ticket: &Ticket, now: Time) -> Option<ReplicaKey> {
        let grant = self.by_ticket.get_mut(ticket)?;
        grant.heard_at = now;
        Some(grant.replica)
    }

    pub(super) fn has_ended(&self, ticket: &Ticket) -> bool {
        self.ended_at.contains_key(ticket)
    }

    /// Records that a request has ended, whether or not it holds a place.
    pub(super) fn end(&mut self, ticket: Ticket, now: Time) -> Option<Grant> {
        if self.ended_at.insert(ticket, now).is_none() {
            self.ended.push_back((ticket, now));
        }
        self.by_ticket.remove(&ticket)
    }

    /// Ends the requests of a host that it does not list.
    pub(super) fn end_unlisted(
        &mut self,
        host: SocketAddr,
        held: &[(u32, ReplicaKey)],
        now: Time,
    ) -> Vec<Grant> {
        self.end_if(now, |ticket, grant| {
            ticket.host == host
                && now.since(grant.granted_at) >= MIN_UNLISTED_AGE
                && !held.iter().any(|(number, _)| *number == ticket.number)
        })
    }

    /// Ends the requests whose hosts are silent or whose clients have left, and forgets those that ended long ago.
    pub(super) fn expire(&mut self, now: Time) -> Vec<Grant> {
        while let Some((ticket, at)) = self.ended.front().copied() {
            if now.since(at) < ENDED_MEMORY {
                break;
            }
            self.ended.pop_front();
            self.ended_at.remove(&ticket);
        }
        self.end_if(now, |_, grant| {
            now.since(grant.heard_at) >= GRANT_SILENCE
                || grant.deadline.is_some_and(|deadline| now >= deadline)
        })
    }

    fn end_if(&mut self, now: Time, is_over: impl Fn(&Ticket, &Grant) -> bool) -> Vec<Grant> {
        let over = self.by_ticket.iter();
        let over = over.filter(|(ticket, grant)| is_over(ticket, grant));
        let over: Vec<Ticket> = over.map(|(ticket, _)| *ticket).collect();
        let ended = over.into_iter().filter_map(|ticket| self.end(ticket, now));
        ended.collect()
    }
}
