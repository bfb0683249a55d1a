//! What all parts of a daemon share.

use crate::claim;
use crate::clock::Clock;
use crate::fleet::{self, Fleet};
use crate::force::{self, Force, InForce};
use crate::metrics::{self, Metrics};
use crate::planner::Planned;
use crate::settings::Settings;
use crate::spread::Confirmed;
use crate::teller::Teller;
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

/// Unit in which the memory for bodies is counted; a semaphore counts small numbers only.
pub const BODY_UNIT: u64 = 1_024;

/// Shared state of one daemon.
pub struct Core {
    /// Its settings.
    pub settings: Settings,
    /// Its clock.
    pub clock: Clock,
    /// The bundle in force.
    pub force: Force,
    /// Upstreams and queues.
    pub fleet: Arc<Fleet>,
    /// Key-value service.
    pub kv: Kv,
    /// Host list.
    pub hosts: Hosts,
    /// Connections to upstreams and other daemons.
    pub pool: Pool,
    /// Metrics.
    pub metrics: Metrics,
    /// Reasons.
    pub teller: Teller,
    /// Other daemons in the host list, this one included.
    pub peers: RwLock<Vec<Host>>,
    /// Memory for bodies, in units of [`BODY_UNIT`].
    pub bodies: Arc<Semaphore>,
    /// How the spread of bundles stands.
    pub confirmed: Confirmed,
    /// What the planner did last, when this host holds its hall's lease.
    pub planned: Planned,
    /// Notified when another process asks this daemon to drain and end.
    pub stop: Notify,
    /// Lease that claims share.
    pub claims: claim::Lease,
    demand: Mutex<HashMap<Name, Demand>>,
    budgets: Mutex<HashMap<Name, Budget>>,
    draining: AtomicBool,
    in_flight: AtomicUsize,
    next_request: AtomicU64,
    start: u64,
}

/// Makes the shared state.
pub fn open(settings: Settings) -> Arc<Core> {
    let clock = Clock::start();
    let call_limit = settings.call_limit.std();
    let start = crate::clock::wall_ms();
    let seed = rendezvous::hash(format!("{} {start}", settings.name).as_bytes());
    let distance = settings.distance.clone();
    let units = settings.limits.bodies.0 / BODY_UNIT;
    Arc::new(Core {
        clock,
        force: force::open(settings.trust.clone()),
        fleet: fleet::open(clock, seed, settings.hall.clone(), distance),
        kv: backing::kv::open(&settings.kv, call_limit),
        hosts: backing::hosts::open(settings.hosts, call_limit),
        pool: Pool::default(),
        metrics: metrics::open(),
        teller: Teller::default(),
        peers: RwLock::default(),
        bodies: Arc::new(Semaphore::new(units as usize)),
        confirmed: Confirmed::default(),
        planned: Planned::default(),
        stop: Notify::new(),
        claims: claim::Lease::default(),
        demand: Mutex::default(),
        budgets: Mutex::default(),
        draining: AtomicBool::new(false),
        in_flight: AtomicUsize::new(0),
        next_request: AtomicU64::new(1),
        start,
        settings,
    })
}

impl Core {
    /// Identity for a new request: the host, its start, a number.
    pub fn new_request(&self) -> Name {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        let name = &self.settings.name;
        format!("{name}-{:x}-{number:x}", self.start & 0xffff_ffff).into()
    }

    /// Time now.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The bundle in force.
    pub fn in_force(&self) -> Option<Arc<InForce>> {
        self.force.current()
    }

    /// Whether this daemon has been told to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Starts the drain.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Counts a request in until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight { core: self.clone() }
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Notes an arrival for a model.
    pub fn arrived(&self, model: &Name) {
        let now = self.now();
        let mut demand = self.demand.lock();
        demand
            .entry(model.clone())
            .or_insert_with(|| Demand::new(now))
            .record_arrival(now);
    }

    /// Notes whether a request for a model met its targets.
    pub fn ended(&self, model: &Name, met: bool) {
        if let Some(demand) = self.demand.lock().get_mut(model) {
            demand.record_completion(met);
        }
    }

    /// Demand seen here, by model.
    pub fn demands(&self) -> Vec<wire::Demand> {
        let waiting: HashMap<Name, usize> = self
            .fleet
            .waiting()
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

    /// Notes a success of a caller, which earns it a share of a retry.
    pub fn earn(&self, caller: &Name, percent: u32) {
        let mut budgets = self.budgets.lock();
        budgets.entry(caller.clone()).or_default().earn(percent);
    }

    /// Spends a retry of a caller if it has one.
    pub fn spend(&self, caller: &Name) -> bool {
        let mut budgets = self.budgets.lock();
        budgets.entry(caller.clone()).or_default().spend()
    }

    /// Other daemons, with the address of their inner protocol.
    pub fn others(&self) -> Vec<Host> {
        let peers = self.peers.read();
        let others = peers.iter().filter(|p| p.name != self.settings.name);
        others.cloned().collect()
    }

    /// Address of another daemon's inner protocol.
    pub fn peer(&self, name: &str) -> Option<SocketAddr> {
        let peers = self.peers.read();
        peers.iter().find(|p| &*p.name == name).map(|p| p.addr)
    }
}

/// Request in flight; dropping it counts it out.
pub struct InFlight {
    core: Arc<Core>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.core.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Whether a host is one of coveford's own.
pub fn is_daemon(host: &Host) -> bool {
    matches!(host.kind, Kind::Daemon { .. })
}
