//! Shared state of a daemon.

use crate::active_bundle::{self, ActiveBundle, Bundle};
use crate::claim;
use crate::clock::Clock;
use crate::distribution::{AvoidedRelays, Freshness};
use crate::fleet::{self, Fleet};
use crate::metrics::{self, Metrics};
use crate::planner::StatusCell;
use crate::request_log::RequestLog;
use crate::settings::Settings;
use backing::hosts::{Host, Hosts, Kind};
use backing::kv::Kv;
use conn::Pool;
use parking_lot::{Mutex, RwLock};
use route::budget::Budget;
use route::demand::Demand;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use tokio::sync::{Notify, Semaphore};
use unit::{Name, Time, rendezvous};

/// Bytes per permit of [`Core::body_memory`]; permits are acquired in `u32` numbers.
pub const BODY_UNIT: u64 = 1_024;

/// Shared state of one daemon.
pub struct Core {
    pub settings: Settings,
    pub clock: Clock,
    /// Bundle in force.
    pub active_bundle: ActiveBundle,
    /// Upstreams, and queues of requests for them.
    pub fleet: Arc<Fleet>,
    /// Client of the key-value service.
    pub kv: Kv,
    /// Client of the host list.
    pub hosts: Hosts,
    /// Connections to upstreams and other daemons.
    pub pool: Pool,
    pub metrics: Metrics,
    /// Records of requests, which explain their routing.
    pub request_log: RequestLog,
    /// All daemons in the host list, including this one.
    pub peers: RwLock<Vec<Host>>,
    /// Memory for request bodies, in units of [`BODY_UNIT`].
    pub body_memory: Arc<Semaphore>,
    /// When the bundle in force was last confirmed to be the newest.
    pub freshness: Freshness,
    /// Relays that did not answer.
    pub avoided_relays: AvoidedRelays,
    /// Last result of the planner, if this host holds its hall's lease.
    pub planner_status: StatusCell,
    /// Notified when another process requests that this daemon drains and exits.
    pub shutdown: Notify,
    /// Lease that claims on idempotency keys share.
    pub claim_lease: claim::Lease,
    demand: Mutex<HashMap<Name, Demand>>,
    retry_budgets: Mutex<HashMap<Name, Budget>>,
    draining: AtomicBool,
    in_flight: AtomicUsize,
    next_request: AtomicU64,
    /// Wall clock at start, in milliseconds.
    started_ms: u64,
}

/// Creates the shared state; connects to nothing yet.
pub fn open(settings: Settings) -> Arc<Core> {
    let clock = Clock::start();
    let call_limit = settings.call_limit.std();
    let started_ms = crate::clock::wall_ms();
    let seed = rendezvous::hash(format!("{} {started_ms}", settings.name).as_bytes());
    let distance = settings.distance.clone();
    let units = settings.limits.body_memory.0 / BODY_UNIT;
    Arc::new(Core {
        clock,
        active_bundle: active_bundle::open(settings.trust.clone()),
        fleet: fleet::open(clock, seed, settings.hall.clone(), distance),
        kv: backing::kv::open(&settings.kv, call_limit),
        hosts: backing::hosts::open(settings.hosts, call_limit),
        pool: Pool::default(),
        metrics: metrics::open(),
        request_log: RequestLog::default(),
        peers: RwLock::default(),
        body_memory: Arc::new(Semaphore::new(units as usize)),
        freshness: Freshness::default(),
        avoided_relays: AvoidedRelays::default(),
        planner_status: StatusCell::default(),
        shutdown: Notify::new(),
        claim_lease: claim::Lease::default(),
        demand: Mutex::default(),
        retry_budgets: Mutex::default(),
        draining: AtomicBool::new(false),
        in_flight: AtomicUsize::new(0),
        next_request: AtomicU64::new(1),
        started_ms,
        settings,
    })
}

impl Core {
    /// Returns a unique request id: host name, time of start and a sequence number.
    pub fn new_request_id(&self) -> Name {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let name = &self.settings.name;
        format!("{name}-{:x}-{number:x}", self.started_ms & 0xffff_ffff).into()
    }

    pub fn now(&self) -> Time {
        self.clock.now()
    }

    pub fn in_force(&self) -> Option<Arc<Bundle>> {
        self.active_bundle.current()
    }

    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Makes the daemon report that it is draining.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight { core: self.clone() }
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Records an arrival for a model.
    pub fn record_arrival(&self, model: &Name) {
        let now = self.now();
        let mut demand = self.demand.lock();
        demand
            .entry(model.clone())
            .or_insert_with(|| Demand::new(now))
            .record_arrival(now);
    }

    /// Records whether a request for a model met its targets.
    pub fn record_completion(&self, model: &Name, met_targets: bool) {
        if let Some(demand) = self.demand.lock().get_mut(model) {
            demand.record_completion(met_targets);
        }
    }

    /// Demand for each model at this daemon.
    pub fn demands(&self) -> Vec<wire::Demand> {
        let waiting: HashMap<Name, usize> = self
            .fleet
            .queue_lengths()
            .into_iter()
            .map(|(target, n)| (target.to_string().into(), n))
            .collect();
        let now = self.now();
        let mut demand = self.demand.lock();
        let demands = demand.iter_mut().map(|(model, demand)| wire::Demand {
            model: model.clone(),
            rate: demand.rate(now),
            attainment: demand.attainment(),
            waiting: waiting.get(model).copied().unwrap_or(0) as u32,
        });
        demands.collect()
    }

    /// Adds `percent` of a retry to a caller's retry budget, after a completed request.
    pub fn earn_retry(&self, caller: &Name, percent: u32) {
        let mut retry_budgets = self.retry_budgets.lock();
        retry_budgets
            .entry(caller.clone())
            .or_default()
            .earn(percent);
    }

    /// Takes a retry from a caller's retry budget. Returns false if the budget is exhausted.
    pub fn spend_retry(&self, caller: &Name) -> bool {
        let mut retry_budgets = self.retry_budgets.lock();
        retry_budgets.entry(caller.clone()).or_default().spend()
    }

    /// Other daemons in the host list.
    pub fn other_daemons(&self) -> Vec<Host> {
        let peers = self.peers.read();
        let others = peers.iter().filter(|p| p.name != self.settings.name);
        others.cloned().collect()
    }

    /// Address of a daemon for messages between daemons.
    pub fn peer_addr(&self, name: &str) -> Option<SocketAddr> {
        let peers = self.peers.read();
        peers.iter().find(|p| &*p.name == name).map(|p| p.addr)
    }
}

/// Guard that counts a request as in flight until dropped.
pub struct InFlight {
    core: Arc<Core>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.core.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Whether a host runs the daemon.
pub fn is_daemon(host: &Host) -> bool {
    matches!(host.kind, Kind::Daemon { .. })
}
