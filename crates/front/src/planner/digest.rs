//! Broadcasts of load and plans to all hosts.

use super::{Fleet, Planner};
use crate::fleet::Record;
use crate::message::{
    Digest, Load, MAX_DATAGRAM, Message, PackedLoad, PlannerStatus, replica_hash,
};
use crate::readers::{self, Candidate, Reader};
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Time for which a completed load is announced, until all hosts have read the entry.
const ANNOUNCED_FOR: Span = Span::from_ms(3_000);

/// Upper bound on the encoded size of a row, in bytes.
const ROW_SIZE: usize = 32;

/// Upper bound on the encoded size of an adapter in a row, in bytes.
const ADAPTER_SIZE: usize = 20;

/// Interval, in rounds, between digests with the load of all replicas rather than only the changed
/// ones: datagrams may be lost.
pub(super) const FULL_DIGEST_ROUNDS: usize = 5;

/// Rounds over which the adapters of all replicas are sent once.
const ADAPTER_ROUNDS: usize = 8;

impl Planner {
    /// Sends the load and the plans to all hosts.
    pub(super) async fn send_digest(&self, round: usize) {
        let now = self.state.now();
        let loads = self.peers.inbox.loads(now);
        let absent = self.peers.inbox.absent(now);
        let hosts = self.peers.inbox.candidates(now);
        let heartbeat = self.state.settings.bounds.heartbeat.into();
        let store = self.peers.inbox.store(heartbeat, now);
        self.peers.assign_fanout_groups(hosts.clone()).await;
        let readers = self.readers(hosts);
        let (status, adapters) = {
            let fleet = self.fleet.lock();
            let status = PlannerStatus {
                unreachable: absent,
                readers,
                direct_hosts: self.peers.direct_hosts(),
                store_uptime: store,
                ..status(&fleet, now)
            };
            (status, adapters(&fleet, round))
        };
        let hosts = self.peers.inbox.hosts().len() as u32;
        let first = Digest {
            term: self.term.token,
            hosts,
            planner: Some(status),
            ..Digest::default()
        };
        let mut parts = Parts::new(first);
        for row in self.rows(&loads, round.is_multiple_of(FULL_DIGEST_ROUNDS)) {
            parts.with_room(ROW_SIZE).loads.push(row);
        }
        for (id, adapters) in adapters {
            let size = ROW_SIZE + adapters.len() * ADAPTER_SIZE;
            parts.with_room(size).adapters.push((id, adapters));
        }
        for digest in parts.all {
            self.peers.broadcast(&Message::Digest(digest)).await;
        }
    }

    /// Chooses the hosts that read the store for the others. A leader whose term has ended keeps
    /// the last choice: the hosts that no longer report to it may be the ones in contact, and
    /// follow another leader. Within its term a leader chooses even when the store fails it, so
    /// that no host depends on a reader that is cut off.
    fn readers(&self, hosts: Vec<Candidate>) -> Vec<Reader> {
        match self.term.is_valid() {
            true => readers::choose(hosts, self.state.settings.peers),
            false => self.state.readers.assigned(),
        }
    }

    /// Sends the load that has changed since the last round to all hosts.
    pub(super) async fn send_changes(&self) {
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

    /// Rows of all replicas, or of those whose load has changed since they were last sent.
    fn rows(&self, loads: &HashMap<u32, Load>, all: bool) -> Vec<PackedLoad> {
        let mut sent = self.last_sent.lock();
        if all {
            sent.clear();
        }
        let rows = self.replicas().into_iter().filter_map(|id| {
            let load = loads.get(&replica_hash(&id)).copied().unwrap_or_default();
            let row = PackedLoad::new(&id, &load);
            let previous = sent.insert(row.replica(), row);
            (all || previous != Some(row)).then_some(row)
        });
        rows.collect()
    }

    /// All replicas, including those of services without models.
    fn replicas(&self) -> Vec<Name> {
        let table = self.state.table.lock();
        table.view.all().map(|s| s.entry.id.clone()).collect()
    }
}

/// Parts of a digest, each of which fits in a datagram.
struct Parts {
    all: Vec<Digest>,
    /// Size of the last part, in bytes.
    size: usize,
}

impl Parts {
    fn new(first: Digest) -> Parts {
        let status_rows = first.planner.as_ref().map_or(0, |p| {
            p.loading.len()
                + p.loaded.len()
                + p.unloading.len()
                + p.unreachable.len()
                + p.readers.len()
                + p.direct_hosts.len()
        });
        Parts {
            all: vec![first],
            size: ROW_SIZE * (status_rows + 1),
        }
    }

    /// Part with room for `size` more bytes.
    fn with_room(&mut self, size: usize) -> &mut Digest {
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

/// What hosts are told of the plans.
fn status(fleet: &Fleet, now: Time) -> PlannerStatus {
    let loading = fleet.records.values().filter_map(|r| loading(r, now));
    let unloading = fleet.records.iter().flat_map(|(id, r)| {
        let models = unloading(r, now).into_iter();
        models.map(|model| (id.clone(), model))
    });
    let loaded = fleet.records.iter().filter_map(|(id, r)| {
        let (model, at) = r.last_loaded.as_ref()?;
        (now.since(*at) < ANNOUNCED_FOR).then(|| (id.clone(), model.clone()))
    });
    PlannerStatus {
        loaded: loaded.collect(),
        loading: loading.collect(),
        unloading: unloading.collect(),
        ..PlannerStatus::default()
    }
}

/// Model that a replica is about to load, and the time left in milliseconds.
fn loading(record: &Record, now: Time) -> Option<(Name, u32)> {
    let (model, due) = record.incoming()?;
    Some((model.clone(), due.since(now).ms() as u32))
}

/// Models that a replica is about to unload, is unloading, or has just unloaded.
fn unloading(record: &Record, now: Time) -> Vec<Name> {
    let unloaded = record.last_unloaded.iter();
    let unloaded = unloaded.filter(|(_, at)| now.since(*at) < ANNOUNCED_FOR);
    let unloaded = unloaded.filter(|(model, _)| !record.held.iter().any(|h| h.model == *model));
    let unloading = record.unloading().into_iter();
    unloading
        .chain(unloaded.map(|(model, _)| model))
        .cloned()
        .collect()
}

/// Adapters of the replicas whose turn it is in a round; changes are announced separately.
fn adapters(fleet: &Fleet, round: usize) -> Vec<(Name, Vec<(Name, Name)>)> {
    let is_due = |id: &Name| replica_hash(id) as usize % ADAPTER_ROUNDS == round % ADAPTER_ROUNDS;
    fleet
        .records
        .iter()
        .filter(|(id, r)| is_due(id) && r.report_due.is_none())
        .map(|(id, r)| (id.clone(), r.adapters()))
        .collect()
}
