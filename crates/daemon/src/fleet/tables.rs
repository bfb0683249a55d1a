//! State behind the fleet's mutex: upstreams and queues.

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

/// One-way delay to a hall that the settings do not list.
const DEFAULT_DISTANCE: Span = Span::from_ms(5);

/// Waiting request, with the channel to its task.
pub(super) struct Waiter {
    pub(super) request: Request,
    pub(super) sender: oneshot::Sender<Acquired>,
}

pub(super) struct Tables {
    rng: ChaCha8Rng,
    upstreams: Upstreams,
    queues: HashMap<Target, Queue<Waiter>>,
    next_attempt: u64,
}

/// Upstreams, with indices by name and by target.
///
/// Entries are never removed, so an index into `entries` stays valid.
struct Upstreams {
    hall: Name,
    distance: BTreeMap<Name, Span>,
    entries: Vec<Entry>,
    by_name: HashMap<Name, usize>,
    by_target: HashMap<Target, Vec<usize>>,
}

impl Tables {
    pub(super) fn new(rng: ChaCha8Rng, hall: Name, distance: BTreeMap<Name, Span>) -> Tables {
        Tables {
            rng,
            upstreams: Upstreams {
                hall,
                distance,
                entries: Vec::new(),
                by_name: HashMap::new(),
                by_target: HashMap::new(),
            },
            queues: HashMap::new(),
            next_attempt: 0,
        }
    }

    pub(super) fn entries(&self) -> Vec<Entry> {
        self.upstreams.entries.clone()
    }

    pub(super) fn entry_mut(&mut self, index: usize) -> &mut Entry {
        &mut self.upstreams.entries[index]
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

    pub(super) fn record_load(&mut self, now: Time, index: usize, load: Load) {
        let entry = self.entry_mut(index);
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
        !self.upstreams.accepting(target).is_empty()
    }

    /// Reserves an upstream for a request, unless others wait for its target or none has capacity.
    pub(super) fn try_reserve(
        &mut self,
        fleet: &Arc<Fleet>,
        now: Time,
        request: &Request,
    ) -> Option<Reservation> {
        let has_queue = self
            .queues
            .get(&request.target)
            .is_some_and(|q| !q.is_empty());
        if has_queue {
            return None;
        }
        self.reserve(fleet, now, request)
    }

    fn reserve(&mut self, fleet: &Arc<Fleet>, now: Time, request: &Request) -> Option<Reservation> {
        let indices = self.upstreams.accepting(&request.target);
        let candidates = self
            .upstreams
            .candidates(now, &indices, request.criteria.prefix);
        let selection = choose::choose(&request.criteria, &candidates, &mut self.rng);
        let Selection::Take(chosen) = selection else {
            return None;
        };
        let evaluations = choose::evaluate(&request.criteria, &candidates, chosen);
        let index = indices[chosen];
        let attempt = self.begin(now, index);
        let host = &self.upstreams.entries[index].host;
        Some(Reservation::new(
            fleet.clone(),
            index,
            attempt,
            host,
            evaluations,
            now,
        ))
    }

    /// Adds an attempt to those in flight; returns its id.
    fn begin(&mut self, now: Time, index: usize) -> u64 {
        self.next_attempt += 1;
        let id = self.next_attempt;
        let entry = self.entry_mut(index);
        entry.breaker.record_sent(now);
        entry.attempts.push(Attempt { id, sent_at: now });
        id
    }

    /// Removes an attempt from those in flight.
    pub(super) fn finish(&mut self, index: usize, attempt: u64) {
        let entry = self.entry_mut(index);
        entry.attempts.retain(|a| a.id != attempt);
        entry.breaker.record_inconclusive();
    }

    pub(super) fn queue(&mut self, target: &Target, capacity: usize) -> &mut Queue<Waiter> {
        let queue = self
            .queues
            .entry(target.clone())
            .or_insert_with(|| Queue::new(capacity));
        queue.set_capacity(capacity);
        queue
    }

    /// Serves the requests that wait for an upstream's targets, highest rank first, while there is
    /// capacity.
    pub(super) fn serve_waiting(&mut self, fleet: &Arc<Fleet>, now: Time, index: usize) {
        let targets = self.upstreams.entries[index].targets.clone();
        loop {
            let ranked = |target: &&Target| {
                let head = self.queues.get(*target).and_then(|q| q.head(now))?;
                Some((std::cmp::Reverse(head.rank), head.deadline))
            };
            let first = targets
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

    /// Serves every queue as far as upstreams have capacity.
    pub(super) fn serve_all(&mut self, fleet: &Arc<Fleet>, now: Time) {
        self.queues.retain(|_, queue| !queue.is_empty());
        let targets: Vec<Target> = self.queues.keys().cloned().collect();
        for target in targets {
            while self.serve_first(fleet, now, &target) {}
        }
    }

    /// Serves the first request of a queue; returns false if there is none or no capacity.
    fn serve_first(&mut self, fleet: &Arc<Fleet>, now: Time, target: &Target) -> bool {
        let Some(queue) = self.queues.get_mut(target) else {
            return false;
        };
        queue.expire(now, |waiter| waiter.sender.is_closed());
        let Some(first) = queue.peek(now) else {
            return false;
        };
        let request = first.payload.request.clone();
        let Some(reservation) = self.reserve(fleet, now, &request) else {
            return false;
        };
        let ticket = self.queues.get_mut(target).and_then(|q| q.pop(now));
        let sent = ticket.map(|t| t.payload.sender.send(Ok(reservation)));
        if let Some(Err(Ok(unused))) = sent {
            // The request's task is gone; dropping the reservation would lock the mutex held here.
            let (index, attempt) = unused.into_parts();
            self.finish(index, attempt);
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
        let index = *self.by_name.get(upstream)?;
        Some(&mut self.entries[index])
    }

    fn set_hosts(&mut self, hosts: &[Host]) {
        let mut listed = vec![false; self.entries.len()];
        for host in hosts {
            if matches!(host.kind, Kind::Daemon { .. }) {
                continue;
            }
            match self.by_name.get(&host.name) {
                Some(index) => {
                    listed[*index] = true;
                    self.replace_host(*index, host);
                }
                None => {
                    self.by_name.insert(host.name.clone(), self.entries.len());
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

    /// Updates the host of an entry; a new address means another process.
    fn replace_host(&mut self, index: usize, host: &Host) {
        let entry = &mut self.entries[index];
        if entry.host.addr != host.addr {
            entry.report = None;
            entry.refused_leaving = false;
        }
        entry.host = host.clone();
        self.reindex(index);
    }

    fn record_report(&mut self, now: Time, upstream: &str, report: Report) {
        let Some(index) = self.by_name.get(upstream).copied() else {
            return;
        };
        self.entries[index].record_report(now, report);
        self.reindex(index);
    }

    /// Updates `by_target` to what an upstream answers now.
    fn reindex(&mut self, index: usize) {
        let now = self.entries[index].ready_targets();
        if now == self.entries[index].targets {
            return;
        }
        let before = std::mem::replace(&mut self.entries[index].targets, now.clone());
        for target in before {
            if let Some(indices) = self.by_target.get_mut(&target) {
                indices.retain(|i| *i != index);
            }
        }
        for target in now {
            self.by_target.entry(target).or_default().push(index);
        }
    }

    /// Upstreams that answer a target and are not leaving.
    fn accepting(&self, target: &Target) -> Vec<usize> {
        let indices = self.by_target.get(target).map_or(&[][..], Vec::as_slice);
        let is_staying = |index: &&usize| !self.entries[**index].is_leaving();
        indices.iter().filter(is_staying).copied().collect()
    }

    fn candidates(&self, now: Time, indices: &[usize], prefix: Option<u64>) -> Vec<Candidate<'_>> {
        let candidate = |index: &usize| {
            let entry = &self.entries[*index];
            let distance = match entry.host.hall == self.hall {
                true => Span::ZERO,
                false => *self
                    .distance
                    .get(&entry.host.hall)
                    .unwrap_or(&DEFAULT_DISTANCE),
            };
            entry.candidate(now, distance, prefix)
        };
        indices.iter().map(candidate).collect()
    }
}
