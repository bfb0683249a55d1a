//! Which software version began each stream that may be resumed.
//!
//! What two versions of a service's software write does not fit together, and replicas do not check that, so a stream
//! goes on only at the version that gave its first event. The host that passed this event on records the run and sends it to
//! other hosts, chosen by the hash of the client attempt; a client may take the stream up at any host, also after the first
//! has died. A stream whose version no host knows is refused: it could only be guessed.
//!
//! `route::streams` keeps the runs, `peers::streams` exchanges them, `serve::resumption` binds a client's request to one.

use crate::attempt::{Call, Reservation};
use crate::message::replica_hash;
use crate::settings::Limits;
use crate::state::State;
use parking_lot::Mutex;
use platform::config::Kind;
use route::streams::{Hosts, Registry, Run, content_key, key};
use std::net::SocketAddr;
use tokio::sync::Notify;
use unit::{Name, Span, Time};

/// Divisor of the process's memory that gives the share for runs.
const MEMORY_DIVISOR: usize = 64;

/// Memory of one run, in bytes.
const RUN_SIZE: usize = 160;

/// Most runs that wait to be sent.
const MAX_UNSENT: usize = 4_096;

/// Runs that this host keeps, and those that it has to pass on.
pub struct Streams {
    registry: Mutex<Registry>,
    hosts: Mutex<Hosts>,
    unsent: Mutex<Vec<(u64, Run)>>,
    /// Notified when a run has to be passed on.
    pub begun: Notify,
}

pub fn open(limits: &Limits) -> Streams {
    let capacity = limits.memory_mb * 1_024 * 1_024 / MEMORY_DIVISOR / RUN_SIZE;
    Streams {
        registry: Mutex::new(Registry::open(capacity)),
        hosts: Mutex::default(),
        unsent: Mutex::default(),
        begun: Notify::new(),
    }
}

impl Streams {
    /// Replaces the hosts that keep runs, as the leader lists them.
    pub fn assign(&self, listed: Vec<SocketAddr>, own: SocketAddr, now: Time) {
        let others = listed.into_iter().filter(|host| *host != own);
        self.hosts.lock().assign(others.collect(), now);
    }

    /// Hosts that keep the run of a client attempt.
    pub fn keepers(&self, key: u64) -> Vec<SocketAddr> {
        self.hosts.lock().keepers(key)
    }

    /// Hosts that may know the run of a client attempt, the likeliest first.
    pub fn ranked_hosts(&self, key: u64, now: Time) -> Vec<SocketAddr> {
        self.hosts.lock().ranked(key, now)
    }

    /// Keeps a run.
    pub fn record(&self, key: u64, run: Run, now: Time) {
        self.registry.lock().record(key, run, now);
    }

    /// Run of a client attempt, if this host knows it.
    pub fn find(&self, key: u64, now: Time) -> Option<Run> {
        self.registry.lock().find(key, now).cloned()
    }

    /// Whether a run that began at a time was of the software that it names, as far as restarts are known here.
    pub fn is_certain(&self, run: &Run, began_at: Time) -> bool {
        self.registry.lock().is_certain(run, began_at)
    }

    /// Number of runs kept.
    pub fn kept(&self) -> usize {
        self.registry.lock().len()
    }

    /// Takes the runs that have to be passed on.
    pub fn take_unsent(&self) -> Vec<(u64, Run)> {
        std::mem::take(&mut *self.unsent.lock())
    }

    /// Lets the runs that this host keeps be passed on, as many as may wait: it is about to end.
    pub fn hand_over(&self, now: Time) {
        let registry = self.registry.lock();
        let kept = registry.known(now).take(MAX_UNSENT);
        *self.unsent.lock() = kept.map(|(key, run)| (key, run.clone())).collect();
    }

    /// Keeps a run that began here, and passes it on.
    fn begin(&self, key: u64, run: Run, now: Time) {
        self.record(key, run.clone(), now);
        let mut unsent = self.unsent.lock();
        if unsent.len() < MAX_UNSENT {
            unsent.push((key, run));
        }
        self.begun.notify_one();
    }
}

/// Whether the answer to a call is a stream that may be resumed.
pub fn is_resumable(call: &Call) -> bool {
    matches!(call.route.kind, Kind::Stream { resumable: true })
}

/// Whether a call takes up a stream of which its client has events.
pub fn is_resumption(call: &Call) -> bool {
    let has_events = call.metadata.last_event.is_some_and(|event| event > 0);
    is_resumable(call) && has_events
}

/// Records the run that gives the first event of a stream, before the event is passed on. A run of unknown software is
/// recorded for the call alone, so that the stream is not resumed.
pub fn record_first_event(state: &State, call: &Call, run: Option<Run>) {
    if !is_resumable(call) {
        return;
    }
    if let Some(run) = &run {
        let now = state.now();
        state.streams.begin(key(&call.id), run.clone(), now);
        // Clients of before do not name the attempt that began their stream.
        let content = content_key(call.fingerprint());
        state.streams.begin(content, run.clone(), now);
    }
    // A resumption keeps the run that began its stream.
    let _ = call.run.set(run);
}

/// Run of a request at a replica; none if it is not certain which software ran it.
pub fn run_at(state: &State, reservation: &Reservation) -> Option<Run> {
    let now = state.now();
    let table = state.table.lock();
    let contact = &table.view.contact;
    let run = Run {
        service: reservation.service.clone(),
        software: reservation.software.clone()?,
        replica: replica_hash(&reservation.replica),
        incarnation: reservation.incarnation,
        is_stale: contact.is_unreachable(),
    };
    let listed = table.view.get(&reservation.replica);
    let has_changed = listed.is_some_and(|replica| {
        replica.entry.incarnation != run.incarnation && replica.entry.software != run.software
    });
    let known_until = now - contact.silence(now).unwrap_or(Span::ZERO);
    // A connection that is older than the loss of the store leads to the incarnation of the entry.
    let is_new_connection = reservation.connected_at.is_none_or(|at| at > known_until);
    let is_doubtful =
        run.is_stale && is_new_connection && table.runs_several_versions(&run.service);
    drop(table);
    let is_certain = state.streams.is_certain(&run, now);
    (!has_changed && !is_doubtful && is_certain).then_some(run)
}

/// Records that a replica runs a new incarnation.
pub fn record_incarnation(state: &State, replica: &Name) {
    let entry = state
        .table
        .lock()
        .view
        .get(replica)
        .map(|r| r.entry.clone());
    if let Some(entry) = entry {
        let mut registry = state.streams.registry.lock();
        registry.record_incarnation(
            replica_hash(replica),
            entry.incarnation,
            entry.software,
            state.now(),
        );
    }
}
