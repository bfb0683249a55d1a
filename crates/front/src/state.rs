//! State shared by the modules of a daemon.

use crate::clock::{self, Clock};
use crate::detour::{self, Detours};
use crate::dispatch::{self, Dispatch};
use crate::log::Log;
use crate::memory;
use crate::message::{AdapterRequest, ModelRequest};
use crate::paths::Paths;
use crate::pool::Pool;
use crate::quarantine::{self, Quarantine, Reports};
use crate::readers::Readers;
use crate::settings::Settings;
use crate::shares::{self, Shares};
use crate::startup::{self, Startup};
use crate::streams::{self, Streams};
use crate::table::Table;
use conn::shedding::{self, Shedding};
use parking_lot::Mutex;
use platform::store::Store;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::{Notify, Semaphore, watch};
use unit::{Name, Time};

/// Divisor of the process's memory that gives the share for request bodies.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Divisor of the process's memory that gives the share for answers.
const ANSWER_MEMORY_DIVISOR: usize = 8;

pub struct State {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Replicas, configuration and loads.
    pub table: Mutex<Table>,
    /// Notified when a change of the table may let a waiting request proceed.
    pub changed: Notify,
    /// Notified when a request was added to the load, to be reported to other hosts.
    pub load_added: Notify,
    /// Notified when a replica's entry vanished from the store.
    pub entry_missing: Notify,
    /// Notified when a replica's advertised rate limit changed, to be reported to other hosts.
    pub limits_changed: Notify,
    /// Notified when this host learnt that a replica leaves.
    pub departure_heard: Notify,
    /// Notified when a prompt was prefilled or a request ended.
    pub load_reduced: Notify,
    /// Client of the platform's store.
    pub store: Store,
    /// Readers of the store, and the recent changes that this host serves to others.
    pub readers: Readers,
    /// This host's shares of fleet-wide quotas.
    pub shares: Shares,
    /// Places given out by one host.
    pub dispatch: Arc<Dispatch>,
    /// Requests that are passed on between hosts.
    pub detours: Detours,
    /// Software versions that began streams.
    pub streams: Streams,
    /// Connections to replicas.
    pub pool: Pool,
    /// Whether this host reaches the replicas.
    pub paths: Paths,
    /// Which new connections of callers are closed unread.
    pub shedding: Arc<Shedding>,
    pub log: Log,
    /// Memory for request bodies, in KB.
    pub body_memory: Arc<Semaphore>,
    /// Memory for answers.
    pub answer_memory: Arc<memory::Account>,
    /// What it waits for until it is ready.
    pub startup: Startup,
    /// Whether entries of replicas have been read, perhaps not all.
    pub knows_replicas: AtomicBool,
    /// Whether the whole store, with all entries of replicas, has been read once.
    pub knows_all_replicas: AtomicBool,
    /// Whether a leader has ever been seen.
    pub leader_seen: AtomicBool,
    /// Requests that crash replicas.
    pub quarantine: Quarantine,
    /// Current leader, if known.
    pub leader: Mutex<Option<Leader>>,
    /// Queue of adapters and models to request from the leader.
    pub placement_requests: tokio::sync::mpsc::UnboundedSender<PlacementRequest>,
    /// When it was told to stop.
    stopped_at: watch::Sender<Option<Time>>,
    in_flight: AtomicUsize,
    pub clock: Arc<Clock>,
}

/// Host that holds the leader's lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// Name of the host.
    pub name: Name,
    /// Address of its datagram socket.
    pub peers: SocketAddr,
    /// Revision at which its term began; serves as the fencing token.
    pub term: u64,
}

/// Something to be loaded on a replica for requests of this host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum PlacementRequest {
    /// An adapter.
    Adapter(AdapterRequest),
    /// A model.
    Model(ModelRequest),
}

/// Receiver of [`State::placement_requests`].
pub type PlacementRequests = tokio::sync::mpsc::UnboundedReceiver<PlacementRequest>;

pub fn open(
    settings: Settings,
    log: Log,
    store_timeout: std::time::Duration,
) -> (Arc<State>, PlacementRequests, Reports) {
    let seed = unit::rendezvous::hash(settings.name.as_bytes());
    let memory_kb = settings.limits.memory_mb * 1_024;
    let bodies = memory_kb / BODY_MEMORY_DIVISOR;
    let answers = memory_kb * 1_024 / ANSWER_MEMORY_DIVISOR;
    let (placement_requests, receiver) = tokio::sync::mpsc::unbounded_channel();
    let (quarantine, reports) = quarantine::open();
    let heartbeat = settings.bounds.heartbeat.into();
    let mut table = Table::new(settings.hall.clone(), seed, heartbeat);
    let propagation = settings.bounds.propagation().into();
    table.view.contact.set_propagation(propagation);
    table.scheduling = settings.scheduling;
    let clock = Arc::new(clock::start());
    let state = State {
        table: Mutex::new(table),
        changed: Notify::new(),
        load_added: Notify::new(),
        entry_missing: Notify::new(),
        limits_changed: Notify::new(),
        departure_heard: Notify::new(),
        load_reduced: Notify::new(),
        store: platform::store::open(settings.store, store_timeout),
        readers: Readers::default(),
        shares: shares::open(&settings.bounds),
        dispatch: dispatch::open(clock.clone(), settings.peers),
        detours: detour::open(&settings.limits, seed),
        streams: streams::open(&settings.limits),
        pool: Pool::default(),
        paths: Paths::default(),
        shedding: Arc::new(shedding::open()),
        log,
        body_memory: Arc::new(Semaphore::new(bodies)),
        answer_memory: memory::open(answers),
        startup: startup::open(clock.now()),
        knows_replicas: AtomicBool::new(false),
        knows_all_replicas: AtomicBool::new(false),
        leader_seen: AtomicBool::new(false),
        quarantine,
        leader: Mutex::default(),
        placement_requests,
        stopped_at: watch::Sender::new(None),
        in_flight: AtomicUsize::new(0),
        clock,
        settings,
    };
    (Arc::new(state), receiver, reports)
}

impl State {
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether this daemon has been told to stop.
    pub fn is_draining(&self) -> bool {
        self.stopped_at().is_some()
    }

    /// When this daemon was told to stop.
    pub fn stopped_at(&self) -> Option<Time> {
        *self.stopped_at.borrow()
    }

    pub fn start_drain(&self) {
        self.stopped_at.send_replace(Some(self.now()));
    }

    pub async fn drain_started(&self) {
        let mut stopped_at = self.stopped_at.subscribe();
        // The sender lives as long as this state.
        let _ = stopped_at.wait_for(Option::is_some).await;
    }

    /// Whether requests can be routed.
    pub fn is_ready(&self) -> bool {
        let knows_replicas = self.knows_replicas.load(Ordering::Relaxed);
        !self.is_draining() && knows_replicas && self.table.lock().routes.is_some()
    }

    /// Whether this host is the leader, as far as it knows.
    pub fn leads(&self) -> bool {
        let leader = self.leader.lock();
        leader
            .as_ref()
            .is_some_and(|l| l.peers == self.settings.peers)
    }

    /// Whether another host is the leader, as far as this one knows.
    pub fn is_led_by_another(&self) -> bool {
        let leader = self.leader.lock();
        leader
            .as_ref()
            .is_some_and(|l| l.peers != self.settings.peers)
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight {
            state: self.clone(),
        }
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }
}

/// Guard of a request in flight.
pub struct InFlight {
    state: Arc<State>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
