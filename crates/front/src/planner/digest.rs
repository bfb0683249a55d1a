//! Broadcasts of load and plans to all hosts.

use super::{Fleet, Planner};
use crate::dispatch;
use crate::fleet::Record;
use crate::log::Topic;
use crate::message::dispatch::Assignment;
use crate::message::{
    self, Digest, Load, MAX_DATAGRAM, Message, PackedLoad, PlannerStatus, replica_hash, status,
};
use crate::paths;
use crate::peers::is_witness;
use crate::readers::{self, Candidate, Reader};
use crate::rounds;
use route::speed;
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Least time for which a completed load is announced, until all hosts have read the entry.
const MIN_ANNOUNCED_FOR: Span = Span::from_ms(3_000);

/// Rounds in which a completed load is announced at least; one datagram may be lost.
const ANNOUNCED_ROUNDS: f64 = 2.5;

/// Upper bound on the encoded size of a row, in bytes.
const ROW_SIZE: usize = 32;

/// Upper bound on the encoded size of an adapter in a row, in bytes.
const ADAPTER_SIZE: usize = 20;

/// Upper bound on the encoded size of a row of speeds, in bytes.
const SPEED_SIZE: usize = 14;

/// Most rows of speeds in a round that changed, and most of the others.
const MAX_SPEEDS: usize = 90;

/// Interval, in rounds, between digests with the load of all replicas rather than only the changed
/// ones: datagrams may be lost.
pub(super) const FULL_DIGEST_ROUNDS: usize = 5;

/// Rounds that list the adapters of a replica after a change; its entry in the store lists them later.
const ADAPTER_ROUNDS: f64 = 3.0;

impl Planner {
    /// Sends the load and the plans to all hosts.
    pub(super) async fn send_digest(&self, round: usize) {
        let now = self.state.now();
        let hosts = self.peers.inbox.candidates(now);
        self.peers.assign_fanout_groups(hosts.clone()).await;
        let header = Digest {
            term: self.term.token,
            hosts: hosts.len() as u32,
            ..Digest::default()
        };
        let status = PlannerStatus {
            round: round as u32,
            dispatchers: self.dispatchers(&hosts),
            readers: self.readers(hosts),
            ..self.status(now)
        };
        let mut parts = Parts::new(header, status);
        for row in self.digest_rows(round) {
            parts.with_room(ROW_SIZE).loads.push(row);
        }
        for (id, adapters) in self.changed_adapters(now) {
            let size = ROW_SIZE + adapters.len() * ADAPTER_SIZE;
            parts.with_room(size).adapters.push((id, adapters));
        }
        for row in self.speed_rows(now) {
            parts.with_room(SPEED_SIZE).speeds.push(row);
        }
        for digest in parts.all {
            self.peers.broadcast(&Message::Digest(digest)).await;
        }
    }

    /// Speeds that hosts are told in this round; logs the replicas that were found slow or have recovered.
    fn speed_rows(&self, now: Time) -> Vec<speed::Row> {
        let mut table = self.state.table.lock();
        let rows = table.take_speed_rows(MAX_SPEEDS, now);
        let transitions = table.take_speed_transitions(now);
        drop(table);
        for (replica, factor, is_slow) in transitions {
            self.state.log.rate_limited_by(Topic::Planner, || match is_slow {
                true => tracing::warn!(target: "speeds", event = "slow", replica = &*replica, factor, "replica is slower than the others; factor is its speed in terms of theirs"),
                false => tracing::info!(target: "speeds", event = "recovered", replica = &*replica, factor, "replica is no longer slow"),
            });
        }
        rows
    }

    /// Replicas, by hash, that several hosts cannot reach and this one cannot either, as far as it knows.
    pub(super) fn unreachable(&self, now: Time) -> Vec<u32> {
        let known = self.state.table.lock().view.all().count();
        let reported = self.peers.inbox.unreachable(known, now);
        let mut table = self.state.table.lock();
        let unreached = table.unreachable_replicas(now).len();
        let confirmed = table.confirm_unreachable(reported, now);
        drop(table);
        // A leader that does not reach the replicas itself confirms nothing.
        match paths::is_isolated(&self.state) || !is_witness(unreached, known) {
            true => Vec::new(),
            false => confirmed,
        }
    }

    /// Status of the plans and of the replicas and the store, as the hosts report them.
    fn status(&self, now: Time) -> PlannerStatus {
        let inbox = &self.peers.inbox;
        let heartbeat = self.state.settings.bounds.heartbeat.into();
        let announced_for =
            rounds::at_least_rounds(MIN_ANNOUNCED_FOR, ANNOUNCED_ROUNDS, inbox.host_count());
        PlannerStatus {
            unreachable: self.unreachable(now),
            direct_hosts: self.peers.direct_hosts(),
            stream_hosts: self.peers.stream_hosts(now),
            store_uptime: inbox.store_uptime(heartbeat, now),
            ..planner_status(&self.fleet.lock(), announced_for, now)
        }
    }

    /// Adapters of the replicas that loaded or unloaded one recently.
    fn changed_adapters(&self, now: Time) -> Vec<(Name, Vec<(Name, Name)>)> {
        let within = Span::from(self.peers.report_interval()) * ADAPTER_ROUNDS;
        let fleet = self.fleet.lock();
        let is_recent = |r: &Record| now.since(r.adapters_changed) < within;
        let changed = fleet.records.iter();
        changed
            .filter(|(_, r)| is_recent(r) && r.report_due.is_none())
            .map(|(id, r)| (id.clone(), r.adapters()))
            .collect()
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

    /// Names the hosts that give out the places of services.
    fn dispatchers(&self, hosts: &[Candidate]) -> Vec<Assignment> {
        let dispatch = &self.state.dispatch;
        let before = dispatch.assigned();
        if !self.term.is_valid() {
            return before;
        }
        let now = self.state.now();
        let services = self.state.table.lock().dispatched_services(now);
        let stays = |host: &&Candidate| !dispatch.is_withdrawn(host.addr) && !host.is_isolated;
        let staying: Vec<Candidate> = hosts.iter().filter(stays).cloned().collect();
        dispatch::choose(&services, &staying, self.state.settings.peers, &before)
    }

    /// Sends the load that has changed since the last round to all hosts.
    pub(super) async fn send_changes(&self) {
        let rows = self.changed_rows();
        let hosts = self.peers.inbox.host_count() as u32;
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

    /// Rows of a round: those that have changed, and in a full round also all others that hosts may know otherwise.
    /// At the start of a term these are twice the rows of all replicas, since hosts know those of another leader.
    fn digest_rows(&self, round: usize) -> Vec<PackedLoad> {
        let changed = self.changed_rows();
        match round {
            1 | FULL_DIGEST_ROUNDS => self.all_rows(),
            _ if round.is_multiple_of(FULL_DIGEST_ROUNDS) => self.last_sent.lock().full_rows(),
            _ => changed,
        }
    }

    /// Rows of all replicas, including those of services without models.
    fn all_rows(&self) -> Vec<PackedLoad> {
        let loads = self.peers.inbox.loads(self.state.now());
        let row = |id: &Name| {
            let replica = replica_hash(id);
            let load = loads.get(&replica).copied().unwrap_or_default();
            PackedLoad::of_hash(replica, &load)
        };
        let table = self.state.table.lock();
        let rows: Vec<PackedLoad> = table.view.all().map(|r| row(&r.entry.id)).collect();
        drop(table);
        self.last_sent.lock().remember(&rows);
        rows
    }

    /// Rows that have changed since they were last sent.
    fn changed_rows(&self) -> Vec<PackedLoad> {
        let candidates = self.peers.inbox.take_changed_loads(self.state.now());
        self.last_sent.lock().changed_rows(candidates)
    }
}

/// Rows that hosts were last sent.
#[derive(Default)]
pub(super) struct SentRows {
    /// Last row of each replica that had a load since the last full round.
    rows: HashMap<u32, PackedLoad>,
}

impl SentRows {
    /// Records rows as sent.
    fn remember(&mut self, rows: &[PackedLoad]) {
        self.rows
            .extend(rows.iter().map(|row| (row.replica(), *row)));
    }

    /// Rows that differ from those sent last, which they replace.
    fn changed_rows(&mut self, candidates: Vec<PackedLoad>) -> Vec<PackedLoad> {
        let mut changed = candidates;
        changed.retain(|row| {
            let previous = self.rows.insert(row.replica(), *row);
            previous.unwrap_or(PackedLoad::of_hash(row.replica(), &Load::default())) != *row
        });
        changed
    }

    /// All rows with a load, and those whose load ended since the last full round: a datagram that told of it may
    /// be lost.
    fn full_rows(&mut self) -> Vec<PackedLoad> {
        let rows = self.rows.values().copied().collect();
        self.rows.retain(|_, row| row.load() != Load::default());
        rows
    }
}

/// Parts of a digest, each of which fits in a datagram.
struct Parts {
    header: Digest,
    all: Vec<Digest>,
    /// Upper bound on the size of the last part, in bytes.
    size: usize,
}

impl Parts {
    fn new(header: Digest, status: PlannerStatus) -> Parts {
        let with_status = |part| Digest {
            planner: Some(part),
            ..header.clone()
        };
        let all: Vec<Digest> = status.split().into_iter().map(with_status).collect();
        let size = all.last().map_or(0, message::encoded_size);
        Parts { header, all, size }
    }

    /// Part with room for `size` more bytes.
    fn with_room(&mut self, size: usize) -> &mut Digest {
        self.size += size;
        if self.size > MAX_DATAGRAM {
            self.size = status::HEADER_SIZE + size;
            self.all.push(self.header.clone());
        }
        self.all.last_mut().expect("there is always one")
    }
}

/// What hosts are told of the plans.
fn planner_status(fleet: &Fleet, announced_for: Span, now: Time) -> PlannerStatus {
    let loading = fleet.records.values().filter_map(|r| loading(r, now));
    let unloading = fleet.records.iter().flat_map(|(id, r)| {
        let models = unloading(r, announced_for, now).into_iter();
        models.map(|model| (id.clone(), model))
    });
    let loaded = fleet.records.iter().filter_map(|(id, r)| {
        let (model, at) = r.last_loaded.as_ref()?;
        (now.since(*at) < announced_for).then(|| (id.clone(), model.clone()))
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
fn unloading(record: &Record, announced_for: Span, now: Time) -> Vec<Name> {
    let unloaded = record.last_unloaded.iter();
    let unloaded = unloaded.filter(|(_, at)| now.since(*at) < announced_for);
    let unloaded = unloaded.filter(|(model, _)| !record.resident.iter().any(|h| h.model == *model));
    let unloading = record.unloading().into_iter();
    unloading
        .chain(unloaded.map(|(model, _)| model))
        .cloned()
        .collect()
}
