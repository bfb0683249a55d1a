//! Replicas that say that they are brittle: they fall over when they turn away more than a number of requests within a
//! second, their tolerance.

use super::Table;
use super::replica::State;
use crate::message::{Brittle, replica_hash};
use crate::view::Replica;
use platform::replica::Incarnation;
use unit::{Name, Span, Time, rendezvous};

/// Time for which the last word of a replica to this host counts.
const OWN_WORD_FOR: Span = Span::from_ms(3_000);

/// Age of the last word to this host from which what others heard counts as well.
const OWN_WORD_FIRST: Span = Span::from_ms(1_000);

/// What is known of one replica.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Word {
    /// Tolerance by the last answer to this host, if it is brittle, and when that came.
    own: (Option<u32>, Time),
    /// Tolerance by the leader's list, and when that came.
    listed: Option<(u32, Time)>,
    /// Time until which it has no place for requests of this host.
    full_until: Time,
}

impl Word {
    fn tolerance(&self, max_age: Span, now: Time) -> Option<u32> {
        let (own, at) = self.own;
        let listed = self.listed.filter(|(_, at)| now.since(*at) < max_age);
        let listed = listed.map(|(tolerance, _)| tolerance);
        let age = now.since(at);
        match () {
            () if age < OWN_WORD_FIRST => own,
            () if age < OWN_WORD_FOR => listed.or(own),
            () => listed,
        }
    }
}

impl Table {
    /// Records what an answer says; returns whether that begins or ends a time in which the replica is brittle. Ignored
    /// if the answer is from another incarnation than the one in the view.
    pub fn record_brittle(
        &mut self,
        id: &Name,
        incarnation: Incarnation,
        tolerance: Option<u32>,
        now: Time,
    ) -> bool {
        let is_current = |r: &Replica| r.entry.incarnation == incarnation;
        if !self.view.get(id).is_some_and(is_current) {
            return false;
        }
        if tolerance.is_none() && self.replicas.get(id).is_none_or(|s| s.brittle.is_none()) {
            return false;
        }
        let before = self.tolerance(id, now);
        let word = self.replica_mut(id).brittle.get_or_insert_default();
        word.own = (tolerance, now);
        if let Some(tolerance) = tolerance {
            self.note_service(id, tolerance, now);
        }
        before != self.tolerance(id, now)
    }

    /// Records the replicas that the leader lists.
    pub fn merge_brittle(&mut self, rows: &[Brittle], now: Time) {
        for (hash, tolerance) in rows {
            if let Some(id) = self.view.id_of_hash(*hash).cloned() {
                let word = self.replica_mut(&id).brittle.get_or_insert_default();
                word.listed = Some((u32::from(*tolerance), now));
                self.note_service(&id, u32::from(*tolerance), now);
            }
        }
    }

    fn note_service(&mut self, id: &str, tolerance: u32, now: Time) {
        let service = self.view.get(id).map(|r| r.entry.service.clone());
        if let Some(service) = service {
            self.brittle_services.insert(service, (tolerance, now));
        }
    }

    /// Requests that a replica may turn away within a second, if it is brittle. One that nobody has heard is as brittle
    /// as the others of its service.
    pub fn tolerance(&self, id: &str, now: Time) -> Option<u32> {
        let word = self.replicas.get(id).and_then(|state| state.brittle);
        let is_heard = |word: &Word| now.since(word.own.1) < OWN_WORD_FOR;
        if let Some(word) = word.filter(|word| is_heard(word) || word.listed.is_some()) {
            return word.tolerance(self.max_digest_age(), now);
        }
        if self.brittle_services.is_empty() {
            return None;
        }
        let service = &self.view.get(id)?.entry.service;
        let (tolerance, at) = self.brittle_services.get(service)?;
        (now.since(*at) < OWN_WORD_FOR).then_some(*tolerance)
    }

    /// Whether any replica of a service is brittle.
    pub(super) fn is_brittle_service(&self, service: &str, now: Time) -> bool {
        let mut replicas = self.view.all().filter(|r| *r.entry.service == *service);
        replicas.any(|r| self.tolerance(&r.entry.id, now).is_some())
    }

    /// Brittle replicas that said so to this host lately.
    pub fn own_brittle(&self, now: Time) -> Vec<Brittle> {
        let row = |(id, state): (&Name, &State)| {
            let (tolerance, at) = state.brittle?.own;
            let is_recent = now.since(at) < OWN_WORD_FOR;
            let tolerance = tolerance.filter(|_| is_recent)?;
            Some((replica_hash(id), tolerance.min(u32::from(u16::MAX)) as u16))
        };
        self.replicas.iter().filter_map(row).collect()
    }

    /// Records that a brittle replica has no place for a request of this host for a time.
    pub fn record_full(&mut self, id: &Name, until: Time) {
        let word = self.replica_mut(id).brittle.get_or_insert_default();
        word.full_until = until;
    }

    /// Time until a brittle replica may have a place again.
    pub(super) fn full_wait(&self, id: &str, now: Time) -> Option<Span> {
        let word = self.replicas.get(id)?.brittle?;
        (now < word.full_until).then(|| word.full_until.since(now))
    }

    /// Requests that this host may have at a brittle replica by itself: its part of the slots. Where there are fewer
    /// slots than hosts, each has one at some of the replicas.
    pub fn own_part(&self, id: &str, host: &str) -> u32 {
        let slots = self.view.get(id).map_or(0, |r| r.entry.slots);
        let hosts = self.host_count.max(1) as u32;
        match slots / hosts {
            0 => {
                let key = rendezvous::hash(id.as_bytes());
                let draw = rendezvous::weight(key, host) % u64::from(hosts);
                u32::from(draw < u64::from(slots / 2))
            }
            part => part,
        }
    }

    /// Requests of this host at a replica.
    pub fn own_requests(&self, id: &str) -> u32 {
        self.replicas.get(id).map_or(0, |s| s.own.requests as u32)
    }
}
