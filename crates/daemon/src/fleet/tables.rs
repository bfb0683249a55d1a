//! The tables behind the fleet's mutex.

use super::entry::{Entry, Flight, Target};
use super::placed::Placed;
use super::{Fleet, Grant, Want};
use backing::hosts::{Host, Kind};
use rand_chacha::ChaCha8Rng;
use route::choose::{self, Candidate, Selection};
use route::queue::Queue;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::oneshot;
use unit::{Name, Span, Time};
use upstream::engine::{Cached, Load, Report};

/// Delay assumed to a hall that the settings do not name.
const FAR: Span = Span::from_ms(5);

/// Request that waits, with the way to its owner.
pub(super) struct Waiter {
    pub(super) want: Want,
    pub(super) sender: oneshot::Sender<Grant>,
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

    pub(super) fn reported(&mut self, now: Time, upstream: &str, report: Report) {
        self.upstreams.reported(now, upstream, report);
    }

    pub(super) fn loaded(&mut self, now: Time, slot: usize, load: Load) {
        let entry = self.entry_mut(slot);
        entry.load = load;
        entry.loaded_at = now;
    }

    pub(super) fn cached(&mut self, upstream: &str, events: &[Cached]) {
        if let Some(entry) = self.find_mut(upstream) {
            for event in events {
                entry.cached(event.number, event.prefix, event.held);
            }
        }
    }

    pub(super) fn is_reachable(&self, target: &Target) -> bool {
        !self.upstreams.serving(target).is_empty()
    }

    /// Places a request now, unless others wait before it or there is no room.
    pub(super) fn place_now(
        &mut self,
        fleet: &Arc<Fleet>,
        now: Time,
        want: &Want,
    ) -> Option<Placed> {
        let waiting = self.queues.get(&want.target).is_some_and(|q| !q.is_empty());
        if waiting {
            return None;
        }
        self.place(fleet, now, want)
    }

    fn place(&mut self, fleet: &Arc<Fleet>, now: Time, want: &Want) -> Option<Placed> {
        let slots = self.upstreams.serving(&want.target);
        let candidates = self.upstreams.candidates(now, &slots, want.ask.prefix);
        let verdict = choose::choose(&want.ask, &candidates, &mut self.rng);
        let Selection::Take(taken) = verdict else {
            return None;
        };
        let weighed = choose::evaluate(&want.ask, &candidates, taken);
        let slot = slots[taken];
        let flight = self.take_off(now, slot);
        let host = &self.upstreams.entries[slot].host;
        Some(Placed::new(fleet.clone(), slot, flight, host, weighed, now))
    }

    fn take_off(&mut self, now: Time, slot: usize) -> u64 {
        self.next_flight += 1;
        let id = self.next_flight;
        let entry = self.entry_mut(slot);
        entry.health.record_sent(now);
        entry.flights.push(Flight { id, sent: now });
        id
    }

    /// Takes a request out of those in flight.
    pub(super) fn land(&mut self, slot: usize, flight: u64) {
        let entry = self.entry_mut(slot);
        entry.flights.retain(|f| f.id != flight);
        entry.health.record_inconclusive();
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
    pub(super) fn pump(&mut self, fleet: &Arc<Fleet>, now: Time, slot: usize) {
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
    pub(super) fn pump_all(&mut self, fleet: &Arc<Fleet>, now: Time) {
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
        let want = first.payload.want.clone();
        let Some(placed) = self.place(fleet, now, &want) else {
            return false;
        };
        let ticket = self.queues.get_mut(target).and_then(|q| q.pop(now));
        let sent = ticket.map(|t| t.payload.sender.send(Ok(placed)));
        if let Some(Err(Ok(unused))) = sent {
            // Its owner has just gone; dropping the place here would take the lock we hold.
            let (slot, flight) = unused.forget();
            self.land(slot, flight);
        }
        true
    }

    pub(super) fn stale(&self, now: Time, age: Span) -> Vec<(Name, SocketAddr)> {
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

    pub(super) fn waiting(&self) -> Vec<(Target, usize)> {
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

    fn reported(&mut self, now: Time, upstream: &str, report: Report) {
        let Some(slot) = self.slots.get(upstream).copied() else {
            return;
        };
        self.entries[slot].take(now, report);
        self.reindex(slot);
    }

    /// Brings the index of targets up to what an upstream answers now.
    fn reindex(&mut self, slot: usize) {
        let now = self.entries[slot].answers();
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
                false => *self.distance.get(&entry.host.hall).unwrap_or(&FAR),
            };
            entry.candidate(now, distance, prefix)
        };
        slots.iter().map(candidate).collect()
    }
}
