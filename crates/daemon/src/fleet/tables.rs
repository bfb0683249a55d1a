//! The tables behind the fleet's mutex.

use super::entry::{Attempt, Entry, Target};
use super::reservation::Reservation;
use super::{Acquired, Fleet, Request};
use backing::hosts::{Host, Kind};
use rand_chacha::ChaCha8Rng;
use route::choose::{self, Candidate, Selection};
use route::queue::Queue;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;
use unit::{Name, Span, Time};
use upstream::engine::{CacheEvent, Load, Report};

/// Delay assumed to a hall that the settings do not name.
const DEFAULT_DISTANCE: Span = Span::from_ms(5);

/// Request that waits, with the way to its owner.
pub(super) struct Waiter {
    pub(super) request: Request,
    pub(super) sender: oneshot::Sender<Acquired>,
}

pub(super) struct Tables {
    rng: ChaCha8Rng,
    upstreams: Upstreams,
    queues: HashMap<Target, Queue<Waiter>>,
    next_flight: u64,
}

/// Upstreams by slot, by name, and by what they answer.
struct Upstreams {
    hall: Name,
    distance: BTreeMap<Name, Span>,
    entries: Vec<Entry>,
    slots: HashMap<Name, usize>,
    index: HashMap<Target, Vec<usize>>,
}

impl Tables {
    pub(super) fn new(rng: ChaCha8Rng, hall: Name, distance: BTreeMap<Name, Span>) -> Tables {
        Tables {
            rng,
            upstreams: Upstreams {
                hall,
                distance,
                entries: Vec::new(),
                slots: HashMap::new(),
                index: HashMap::new(),
            },
            queues: HashMap::new(),
            next_flight: 0,
        }
    }

    pub(super) fn entries(&self) -> Vec<Entry> {
        self.upstreams.entries.clone()
    }

    pub(super) fn entry_mut(&mut self, slot: usize) -> &mut Entry {
        &mut self.upstreams.entries[slot]
    }

    pub(super) fn find_mut(&mut self, upstream: &str) -> Option<&mut Entry> {
        self.upstreams.find_mut(upstream)
    }

    pub(super) fn set_hosts(&mut self, hosts: &[Host]) {
        self.upstreams.set_hosts(hosts);
    }

    pub(super) fn record_report(&mut self, now: Time, upstream: &str, report: Report) {
        self.upstreams.record_report(now, upstream, report);
    }

    pub(super) fn record_load(&mut self, now: Time, slot: usize, load: Load) {
        let entry = self.entry_mut(slot);
        entry.load = load;
        entry.load_at = now;
    }

    pub(super) fn record_cache_events(&mut self, upstream: &str, events: &[CacheEvent]) {
        if let Some(entry) = self.find_mut(upstream) {
            for event in events {
                entry.record_cache_event(event.number, event.prefix, event.held);
            }
        }
    }

    pub(super) fn is_available(&self, target: &Target) -> bool {
        !self.upstreams.serving(target).is_empty()
    }

    /// Places a request now, unless others wait before it or there is no room.
    pub(super) fn try_place(
        &mut self,
        fleet: &Arc<Fleet>,
        now: Time,
        request: &Request,
    ) -> Option<Reservation> {
        let waiting = self
            .queues
            .get(&request.target)
            .is_some_and(|q| !q.is_empty());
        if waiting {
            return None;
        }
        self.place(fleet, now, request)
    }

    fn place(&mut self, fleet: &Arc<Fleet>, now: Time, request: &Request) -> Option<Reservation> {
        let slots = self.upstreams.serving(&request.target);
        let candidates = self
            .upstreams
            .candidates(now, &slots, request.criteria.prefix);
        let verdict = choose::choose(&request.criteria, &candidates, &mut self.rng);
        let Selection::Take(taken) = verdict else {
            return None;
        };
        let evaluations = choose::evaluate(&request.criteria, &candidates, taken);
        let slot = slots[taken];
        let attempt = self.begin(now, slot);
        let host = &self.upstreams.entries[slot].host;
        Some(Reservation::new(
            fleet.clone(),
            slot,
            attempt,
            host,
            evaluations,
            now,
        ))
    }

    fn begin(&mut self, now: Time, slot: usize) -> u64 {
        self.next_flight += 1;
        let id = self.next_flight;
        let entry = self.entry_mut(slot);
        entry.breaker.record_sent(now);
        entry.attempts.push(Attempt { id, sent: now });
        id
    }

    /// Takes a request out of those in flight.
    pub(super) fn finish(&mut self, slot: usize, attempt: u64) {
        let entry = self.entry_mut(slot);
        entry.attempts.retain(|f| f.id != attempt);
        entry.breaker.record_inconclusive();
    }

    pub(super) fn queue(&mut self, target: &Target, most: usize) -> &mut Queue<Waiter> {
        let queue = self
            .queues
            .entry(target.clone())
            .or_insert_with(|| Queue::new(most));
        queue.set_capacity(most);
        queue
    }

    /// Serves requests that wait for what a slot answers, the first in rank first.
    pub(super) fn serve_waiting(&mut self, fleet: &Arc<Fleet>, now: Time, slot: usize) {
        let serves = self.upstreams.entries[slot].serves.clone();
        loop {
            let ranked = |target: &&Target| {
                let head = self.queues.get(*target).and_then(|q| q.head(now))?;
                Some((std::cmp::Reverse(head.rank), head.deadline))
            };
            let first = serves
                .iter()
                .filter_map(|t| ranked(&t).map(|rank| (rank, t)))
                .min();
            let Some((_, target)) = first else {
                return;
            };
            if !self.serve_first(fleet, now, target) {
                return;
            }
        }
    }

    /// Serves all queues as far as there is room.
    pub(super) fn serve_all(&mut self, fleet: &Arc<Fleet>, now: Time) {
        self.queues.retain(|_, queue| !queue.is_empty());
        let targets: Vec<Target> = self.queues.keys().cloned().collect();
        for target in targets {
            while self.serve_first(fleet, now, &target) {}
        }
    }

    /// Gives a place to the first request of a queue; tells whether there was room.
    fn serve_first(&mut self, fleet: &Arc<Fleet>, now: Time, target: &Target) -> bool {
        let Some(queue) = self.queues.get_mut(target) else {
            return false;
        };
        queue.expire(now, |waiter| waiter.sender.is_closed());
        let Some(first) = queue.peek(now) else {
            return false;
        };
        let request = first.payload.request.clone();
        let Some(placed) = self.place(fleet, now, &request) else {
            return false;
        };
        let ticket = self.queues.get_mut(target).and_then(|q| q.pop(now));
        let sent = ticket.map(|t| t.payload.sender.send(Ok(placed)));
        if let Some(Err(Ok(unused))) = sent {
            // Its owner has just gone; dropping the place here would take the lock we hold.
            let (slot, attempt) = unused.into_parts();
            self.finish(slot, attempt);
        }
        true
    }

    pub(super) fn stale_reports(&self, now: Time, age: Span) -> Vec<(Name, SocketAddr)> {
        let mut stale: Vec<&Entry> = self
            .upstreams
            .entries
            .iter()
            .filter(|e| matches!(e.host.kind, Kind::Engine { .. }))
            .filter(|e| now.since(e.reported_at) >= age)
            .collect();
        stale.sort_by_key(|e| e.reported_at);
        stale
            .iter()
            .map(|e| (e.host.name.clone(), e.host.addr))
            .collect()
    }

    pub(super) fn queue_lengths(&self) -> Vec<(Target, usize)> {
        let waiting = self.queues.iter().filter(|(_, q)| !q.is_empty());
        waiting.map(|(t, q)| (t.clone(), q.len())).collect()
    }
}

impl Upstreams {
    fn find_mut(&mut self, upstream: &str) -> Option<&mut Entry> {
        let slot = *self.slots.get(upstream)?;
        Some(&mut self.entries[slot])
    }

    fn set_hosts(&mut self, hosts: &[Host]) {
        let mut listed = vec![false; self.entries.len()];
        for host in hosts {
            if matches!(host.kind, Kind::Daemon { .. }) {
                continue;
            }
            match self.slots.get(&host.name) {
                Some(slot) => {
                    listed[*slot] = true;
                    self.replace_host(*slot, host);
                }
                None => {
                    self.slots.insert(host.name.clone(), self.entries.len());
                    self.entries.push(Entry::new(host.clone()));
                    listed.push(true);
                    self.reindex(self.entries.len() - 1);
                }
            }
        }
        for (entry, listed) in self.entries.iter_mut().zip(listed) {
            entry.host.leaving |= !listed;
        }
    }

    /// Takes over a host's entry; at a new address it is another process.
    fn replace_host(&mut self, slot: usize, host: &Host) {
        let entry = &mut self.entries[slot];
        if entry.host.addr != host.addr {
            entry.report = None;
            entry.refused_leaving = false;
        }
        entry.host = host.clone();
        self.reindex(slot);
    }

    fn record_report(&mut self, now: Time, upstream: &str, report: Report) {
        let Some(slot) = self.slots.get(upstream).copied() else {
            return;
        };
        self.entries[slot].record_report(now, report);
        self.reindex(slot);
    }

    /// Brings the index of targets up to what an upstream answers now.
    fn reindex(&mut self, slot: usize) {
        let now = self.entries[slot].targets();
        if now == self.entries[slot].serves {
            return;
        }
        let before = std::mem::replace(&mut self.entries[slot].serves, now.clone());
        for target in before {
            if let Some(slots) = self.index.get_mut(&target) {
                slots.retain(|s| *s != slot);
            }
        }
        for target in now {
            self.index.entry(target).or_default().push(slot);
        }
    }

    /// Slots that may get new work for a target.
    fn serving(&self, target: &Target) -> Vec<usize> {
        let slots = self.index.get(target).map_or(&[][..], Vec::as_slice);
        let staying = |slot: &&usize| !self.entries[**slot].is_leaving();
        slots.iter().filter(staying).copied().collect()
    }

    fn candidates(&self, now: Time, slots: &[usize], prefix: Option<u64>) -> Vec<Candidate<'_>> {
        let candidate = |slot: &usize| {
            let entry = &self.entries[*slot];
            let distance = match entry.host.hall == self.hall {
                true => Span::ZERO,
                false => *self
                    .distance
                    .get(&entry.host.hall)
                    .unwrap_or(&DEFAULT_DISTANCE),
            };
            entry.candidate(now, distance, prefix)
        };
        slots.iter().map(candidate).collect()
    }
}
