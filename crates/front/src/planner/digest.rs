//! Telling all hosts the sums, and what is planned.

use super::{Fleet, Planner};
use crate::fleet::Record;
use crate::message::{
    Digest, Load, MAX_DATAGRAM, Message, PackedLoad, PlannerStatus, replica_hash,
};
use crate::readers::{self, Candidate, Reader};
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Time for which hosts are told of a model that was loaded, until all have read the entry.
const TOLD_LOADED: Span = Span::from_ms(3_000);

/// Size of a row of a digest, in bytes, counted generously.
const ROW_SIZE: usize = 32;

/// Size of an adapter in a row, in bytes, counted generously.
const ADAPTER_SIZE: usize = 20;

/// Rounds after which the loads of all replicas are told, not just those that changed: a datagram
/// may have been lost.
pub(super) const WHOLE_ROUNDS: usize = 5;

/// Rounds in which the adapters of all replicas are told once.
const ADAPTER_ROUNDS: usize = 8;

impl Planner {
    /// Tells all hosts the sums, and what is planned.
    pub(super) async fn digest(&self, round: usize) {
        let now = self.state.now();
        let loads = self.peers.inbox.loads(now);
        let absent = self.peers.inbox.absent(now);
        let hosts = self.peers.inbox.candidates(now);
        let heartbeat = self.state.settings.bounds.heartbeat.into();
        let store = self.peers.inbox.store(heartbeat, now);
        self.peers.assign_fanout_groups(hosts.clone()).await;
        let readers = self.readers(hosts);
        let (plans, adapters) = {
            let book = self.fleet.lock();
            let plans = PlannerStatus {
                absent,
                readers,
                peers: self.peers.direct_hosts(),
                store,
                ..plans(&book, now)
            };
            (plans, adapters(&book, round))
        };
        let hosts = self.peers.inbox.hosts().len() as u32;
        let first = Digest {
            term: self.term.token,
            hosts,
            planner: Some(plans),
            ..Digest::default()
        };
        let mut parts = Parts::new(first);
        for row in self.rows(&loads, round.is_multiple_of(WHOLE_ROUNDS)) {
            parts.room(ROW_SIZE).loads.push(row);
        }
        for (id, adapters) in adapters {
            let size = ROW_SIZE + adapters.len() * ADAPTER_SIZE;
            parts.room(size).adapters.push((id, adapters));
        }
        for digest in parts.all {
            self.peers.broadcast(&Message::Digest(digest)).await;
        }
    }

    /// Who reads the store for all. After its term a leader names nobody anew: the hosts that tell it nothing any
    /// more may be those that are in touch, and follow another one. In its term it does also when the store fails it,
    /// so that no host hears of the store from one that is cut off.
    fn readers(&self, hosts: Vec<Candidate>) -> Vec<Reader> {
        match self.term.is_valid() {
            true => readers::choose(hosts, self.state.settings.peers),
            false => self.state.readers.named(),
        }
    }

    /// Tells all hosts, between two rounds, what has changed in flight.
    pub(super) async fn digest_changes(&self) {
        let loads = self.peers.inbox.loads(self.state.now());
        let rows = self.rows(&loads, false);
        let hosts = self.peers.inbox.hosts().len() as u32;
        for rows in rows.chunks(MAX_DATAGRAM / ROW_SIZE) {
            let digest = Digest {
                term: self.term.token,
                hosts,
                loads: rows.to_vec(),
                ..Digest::default()
            };
            self.peers.broadcast(&Message::Digest(digest)).await;
        }
    }

    /// Rows of all replicas, or of those whose load has changed since they were told.
    fn rows(&self, loads: &HashMap<u32, Load>, whole: bool) -> Vec<PackedLoad> {
        let mut told = self.last_sent.lock();
        if whole {
            told.clear();
        }
        let rows = self.replicas().into_iter().filter_map(|id| {
            let load = loads.get(&replica_hash(&id)).copied().unwrap_or_default();
            let row = PackedLoad::new(&id, &load);
            let before = told.insert(row.replica(), row);
            (whole || before != Some(row)).then_some(row)
        });
        rows.collect()
    }

    /// All replicas, those of plain services too.
    fn replicas(&self) -> Vec<Name> {
        let table = self.state.table.lock();
        table.view.all().map(|s| s.entry.id.clone()).collect()
    }
}

/// Parts of a digest that fit a datagram each.
struct Parts {
    all: Vec<Digest>,
    /// Size of the last part, in bytes.
    size: usize,
}

impl Parts {
    fn new(first: Digest) -> Parts {
        let plans = first.planner.as_ref().map_or(0, |p| {
            p.loading.len()
                + p.loaded.len()
                + p.unloading.len()
                + p.absent.len()
                + p.readers.len()
                + p.peers.len()
        });
        Parts {
            all: vec![first],
            size: ROW_SIZE * (plans + 1),
        }
    }

    /// The part that has room for so many bytes more.
    fn room(&mut self, size: usize) -> &mut Digest {
        self.size += size;
        if self.size > MAX_DATAGRAM {
            self.size = ROW_SIZE + size;
            let first = &self.all[0];
            let next = Digest {
                term: first.term,
                hosts: first.hosts,
                ..Digest::default()
            };
            self.all.push(next);
        }
        self.all.last_mut().expect("there is always one")
    }
}

/// What hosts are told of the plan.
fn plans(book: &Fleet, now: Time) -> PlannerStatus {
    let coming = book.records.values().filter_map(|k| coming(k, now));
    let closing = book.records.iter().flat_map(|(id, k)| {
        let models = closing(k, now).into_iter();
        models.map(|model| (id.clone(), model))
    });
    let loaded = book.records.iter().filter_map(|(id, k)| {
        let (model, at) = k.last_loaded.as_ref()?;
        (now.since(*at) < TOLD_LOADED).then(|| (id.clone(), model.clone()))
    });
    PlannerStatus {
        loaded: loaded.collect(),
        loading: coming.collect(),
        unloading: closing.collect(),
        ..PlannerStatus::default()
    }
}

/// Model that is on its way to a replica, and the time left, in milliseconds.
fn coming(known: &Record, now: Time) -> Option<(Name, u32)> {
    let (model, due) = known.incoming()?;
    Some((model.clone(), due.since(now).ms() as u32))
}

/// Models that a replica is about to give up, gives up, or gave up a moment ago.
fn closing(known: &Record, now: Time) -> Vec<Name> {
    let done = known.last_unloaded.iter();
    let done = done.filter(|(_, at)| now.since(*at) < TOLD_LOADED);
    let done = done.filter(|(model, _)| !known.held.iter().any(|h| h.model == *model));
    let going = known.unloading().into_iter();
    going.chain(done.map(|(model, _)| model)).cloned().collect()
}

/// Adapters of the replicas whose turn it is in a round; changes are told when they are made.
fn adapters(book: &Fleet, round: usize) -> Vec<(Name, Vec<(Name, Name)>)> {
    let turn = |id: &Name| replica_hash(id) as usize % ADAPTER_ROUNDS == round % ADAPTER_ROUNDS;
    book.records
        .iter()
        .filter(|(id, k)| turn(id) && k.report_due.is_none())
        .map(|(id, k)| (id.clone(), k.adapters()))
        .collect()
}
