//! What the parts of a daemon share.

use crate::clock::{self, Clock};
use crate::log::Log;
use crate::message::{AdapterRequest, ModelRequest};
use crate::pool::Pool;
use crate::quarantine::{self, Quarantine, Reports};
use crate::readers::Readers;
use crate::settings::Settings;
use crate::shares::{self, Shares};
use crate::table::Table;
use parking_lot::Mutex;
use platform::store::Store;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::{Notify, Semaphore, watch};
use unit::{Name, Time};

/// Part of the process's memory that request bodies may take.
const BODIES_PART: usize = 4;

/// Shared state of one daemon.
pub struct State {
    /// Its settings.
    pub settings: Settings,
    /// Replicas, configuration, loads.
    pub table: Mutex<Table>,
    /// Notified when the table changed such that a waiting request may go on.
    pub changed: Notify,
    /// Notified when a request was counted in, so that other hosts are told.
    pub load_added: Notify,
    /// Notified when the entry of a replica has vanished, and the replica may be gone.
    pub entry_missing: Notify,
    /// Notified when what is known of a replica's limit has changed, so that other hosts are told.
    pub limits_changed: Notify,
    /// Notified when a replica has said that it leaves.
    pub departure_heard: Notify,
    /// Notified when the prompt of a request was read or the request ended.
    pub load_reduced: Notify,
    /// The platform's store.
    pub store: Store,
    /// Who reads the store, and what this host can pass on of it.
    pub readers: Readers,
    /// Shares of limits over all hosts.
    pub shares: Shares,
    /// Connections to replicas.
    pub pool: Pool,
    /// Logs and metrics.
    pub log: Log,
    /// Memory for bodies, in KB.
    pub body_memory: Arc<Semaphore>,
    /// Whether all that stood in the store was heard once, the replicas' entries among it.
    pub knows_replicas: AtomicBool,
    /// Whether any host has ever led, as far as this one knows.
    pub leader_seen: AtomicBool,
    /// Requests that end replicas.
    pub quarantine: Quarantine,
    /// Who leads, if that is known.
    pub leader: Mutex<Option<Leader>>,
    /// Adapters and models wanted here, to be told to the leader.
    pub placement_requests: tokio::sync::mpsc::UnboundedSender<PlacementRequest>,
    draining: watch::Sender<bool>,
    in_flight: AtomicUsize,
    /// Time of this host.
    pub clock: Arc<Clock>,
}

/// Host that holds the lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leader {
    /// Its name.
    pub name: Name,
    /// Where it takes datagrams.
    pub peers: SocketAddr,
    /// Revision at which its term began, which is its fencing token.
    pub term: u64,
}

/// What requests here lack.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum PlacementRequest {
    /// An adapter.
    Adapter(AdapterRequest),
    /// A model.
    Model(ModelRequest),
}

/// Receiver of what is wanted at this host.
pub type PlacementRequests = tokio::sync::mpsc::UnboundedReceiver<PlacementRequest>;

/// Makes the shared state.
pub fn open(
    settings: Settings,
    log: Log,
    store_limit: std::time::Duration,
) -> (Arc<State>, PlacementRequests, Reports) {
    let seed = unit::rendezvous::hash(settings.name.as_bytes());
    let bodies = settings.limits.memory_mb * 1_024 / BODIES_PART;
    let (wanted, receiver) = tokio::sync::mpsc::unbounded_channel();
    let (quarantine, reports) = quarantine::open();
    let heartbeat = settings.bounds.heartbeat.into();
    let state = State {
        table: Mutex::new(Table::new(settings.hall.clone(), seed, heartbeat)),
        changed: Notify::new(),
        load_added: Notify::new(),
        entry_missing: Notify::new(),
        limits_changed: Notify::new(),
        departure_heard: Notify::new(),
        load_reduced: Notify::new(),
        store: platform::store::open(settings.store, store_limit),
        readers: Readers::default(),
        shares: shares::open(&settings.bounds),
        pool: Pool::default(),
        log,
        body_memory: Arc::new(Semaphore::new(bodies)),
        knows_replicas: AtomicBool::new(false),
        leader_seen: AtomicBool::new(false),
        quarantine,
        leader: Mutex::default(),
        placement_requests: wanted,
        draining: watch::Sender::new(false),
        in_flight: AtomicUsize::new(0),
        clock: Arc::new(clock::start()),
        settings,
    };
    (Arc::new(state), receiver, reports)
}

impl State {
    /// Time now.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Whether this daemon has been told to stop.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Starts the drain.
    pub fn start_drain(&self) {
        self.draining.send_replace(true);
    }

    /// Waits until this daemon is told to stop.
    pub async fn drain_started(&self) {
        let mut draining = self.draining.subscribe();
        // The sender lives as long as this state.
        let _ = draining.wait_for(|stops| *stops).await;
    }

    /// Whether requests can be routed.
    pub fn is_ready(&self) -> bool {
        let knows_replicas = self.knows_replicas.load(Ordering::Relaxed);
        !self.is_draining() && knows_replicas && self.table.lock().routes.is_some()
    }

    /// Whether this host leads, as far as it knows.
    pub fn leads(&self) -> bool {
        let leader = self.leader.lock();
        leader
            .as_ref()
            .is_some_and(|l| l.peers == self.settings.peers)
    }

    /// Whether another host leads, as far as this one knows.
    pub fn is_led_by_another(&self) -> bool {
        let leader = self.leader.lock();
        leader
            .as_ref()
            .is_some_and(|l| l.peers != self.settings.peers)
    }

    /// Counts a request in until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight {
            state: self.clone(),
        }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }
}

/// Request in flight; dropping it counts it out.
pub struct InFlight {
    state: Arc<State>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
