//! Planner of this host's hall; active while the host holds the hall's lease.
//!
//! Each tick reads the reports over the connections that also carry the orders,
//! computes a plan, writes the ledger by compare-and-swap, then sends the orders.
//! The lease keeps planners from competing; safety depends on the ledger alone.

mod connections;
mod lease;
mod ledger_store;
mod status;

pub use status::{Status, StatusCell};

use crate::active_bundle::Bundle;
use crate::core::Core;
use crate::distribution;
use backing::hosts::Kind;
use connections::Connections;
use lease::Lease;
use ledger_store::LedgerStore;
use place::demand::Estimator;
use place::homes::Hall;
use place::plan::{Demand, Input, LoadLimiter, Plan, Spec};
use place::{Fleet, plan};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use tracing::{info, warn};
use unit::engine::Action;
use unit::{Bytes, Name, Span};
use wire::Frame;

/// Time a peer may hold back its answer to a demand query.
const DEMAND_WAIT: Duration = Duration::ZERO;

/// Service time of a request before the first measurement.
const DEFAULT_SERVICE_TIME: Span = Span::from_secs(1);

/// Batch size of an upstream before the first report.
const DEFAULT_BATCH: u32 = 32;

/// Planner and the state it keeps between ticks.
struct Planner {
    core: Arc<Core>,
    lease: Lease,
    ledger_store: LedgerStore,
    connections: Connections,
    estimator: Estimator,
    /// Load limiter and the number of halls it was built for.
    load_limiter: Option<(usize, LoadLimiter)>,
}

/// Runs the planner until the daemon drains; plans only while this host holds the hall's lease.
pub async fn run(core: Arc<Core>) {
    let mut planner = Planner {
        lease: Lease::new(&core.settings),
        ledger_store: LedgerStore::new(&core.settings),
        connections: Connections::default(),
        estimator: Estimator::default(),
        load_limiter: None,
        core,
    };
    loop {
        sleep(planner.core.settings.planner.tick.std()).await;
        if planner.core.is_draining() {
            planner.lease.release(&planner.core).await;
            return;
        }
        planner.tick().await;
    }
}

impl Planner {
    async fn tick(&mut self) {
        let Some(bundle) = self.core.in_force() else {
            return;
        };
        let held = self.lease.acquire_or_renew(&self.core).await;
        if !held {
            self.ledger_store.invalidate();
            self.core.planner_status.record_step_down();
            return;
        }
        if let Err(e) = self.plan_and_send(&bundle).await {
            self.ledger_store.invalidate();
            warn!(target: "planner", "planning failed, no orders sent in this tick: {e}");
        }
    }

    async fn plan_and_send(&mut self, bundle: &Bundle) -> Result<(), crate::documents::Error> {
        self.ledger_store.open(&self.core).await?;
        let fleet = self.fleet(bundle).await;
        let other_halls = other_halls(&self.core, bundle);
        let homes = self.ledger_store.read_homes(&self.core).await?;
        let specs = specs(bundle);
        let halls = halls(&self.core, &fleet);
        let demand = self.demand(&specs).await;
        let weights = bundle.intent.weights;
        let input = Input {
            now: self.core.now(),
            wall_ms: crate::clock::wall_ms(),
            hall: &self.core.settings.hall,
            halls: &halls,
            specs: &specs,
            fleet: &fleet,
            other_halls: &other_halls,
            homes: &homes,
            demand: &demand,
            attainment_weight: weights.attainment,
            move_cost: weights.moves,
        };
        let started = std::time::Instant::now();
        let ledger = self.ledger_store.ledger();
        let load_limiter = load_limiter(&mut self.load_limiter, &self.core, halls.len());
        let plan = plan(&input, ledger, load_limiter);
        let elapsed = Span::from(started.elapsed());
        crate::metrics::record(
            &self.core.metrics.histogram("coveford_plan_seconds", &[]),
            elapsed,
        );
        self.ledger_store.write_homes(&self.core, &plan).await?;
        self.ledger_store.write(&self.core).await?;
        self.core
            .planner_status
            .record_plan(self.ledger_store.ledger(), &plan);
        self.send(&fleet, plan).await;
        Ok(())
    }

    /// Upstreams of this hall, with the reports read over their order connections.
    async fn fleet(&mut self, bundle: &Bundle) -> Fleet {
        let hall = &self.core.settings.hall;
        let entries = self.core.fleet.entries();
        let local = entries.into_iter().filter(|e| e.host.hall == *hall);
        let engines: Vec<_> = local
            .filter(|e| matches!(e.host.kind, Kind::Engine { .. }))
            .collect();
        let timeout = self.core.settings.planner.order_limit.std();
        let reports = self
            .connections
            .read_reports(&engines, timeout, self.core.now())
            .await;
        let mut upstreams = Vec::new();
        for entry in engines {
            let Some(last) = reports.get(&entry.host.name) else {
                continue;
            };
            upstreams.push(place::Upstream {
                name: entry.host.name.clone(),
                leaving: entry.is_leaving() || last.report.leaving,
                fencing: bundle.intent.upstreams.checks_fences(&entry.host.name),
                unreachable: last.unreachable,
                report: last.report.clone(),
            });
        }
        Fleet { upstreams }
    }

    /// Demand by model over all daemons.
    async fn demand(&mut self, specs: &[Spec]) -> BTreeMap<Name, Demand> {
        let arrival_rates = arrival_rates(&self.core).await;
        self.estimator.update(self.core.now(), &arrival_rates);
        let work = work_per_request(&self.core);
        let demand = |spec: &Spec| Demand {
            rate: self.estimator.rate(&spec.model),
            work: work.get(&spec.model).copied().unwrap_or_else(default_work),
        };
        specs
            .iter()
            .map(|spec| (spec.model.clone(), demand(spec)))
            .collect()
    }

    /// Sends the orders of a plan and resends those that a fencing upstream never received.
    async fn send(&mut self, fleet: &Fleet, plan: Plan) {
        if !self.lease.is_valid(self.core.now()) {
            return;
        }
        for (upstream, order) in &plan.orders {
            count_move(&self.core, &order.action);
            info!(target: "planner", "sending order {}.{} to {upstream}: {:?}", order.fence.term, order.fence.number, order.action);
        }
        let orders: Vec<_> = plan.orders.into_iter().chain(plan.resends).collect();
        let answers = self.connections.send(orders).await;
        let ledger = self.ledger_store.ledger();
        let mut changed = false;
        for (name, fence, status) in answers {
            changed |= match (status, fleet.find(&name)) {
                (Some(status), _) => ledger.record_answer(&name, fence, status),
                (None, Some(upstream)) => ledger.record_no_answer(upstream, fence),
                (None, None) => false,
            };
        }
        if changed {
            self.ledger_store.mark_dirty();
        }
    }
}

/// Load limiter for the given number of halls; built anew when that number changes.
fn load_limiter<'a>(
    current: &'a mut Option<(usize, LoadLimiter)>,
    core: &Core,
    halls: usize,
) -> &'a mut LoadLimiter {
    if current.as_ref().is_none_or(|(n, _)| *n != halls) {
        let store = core.settings.planner.store;
        let limiter = LoadLimiter::new(store.loads_per_second, store.concurrent, halls);
        *current = Some((halls, limiter));
    }
    &mut current.as_mut().expect("just set").1
}

fn count_move(core: &Core, action: &Action) {
    let kind = match action {
        Action::Load { .. } => "load",
        Action::Unload { .. } => "unload",
        Action::SetRole { .. } => "turn",
    };
    let counter = core
        .metrics
        .counter("coveford_moves_total", &[("kind", kind)]);
    counter.increment(1);
}

/// Planner's specification of each model in a bundle.
pub fn specs(bundle: &Bundle) -> Vec<Spec> {
    let intent = &bundle.intent;
    let adapters = |model: &Name| {
        let adapters = intent.adapters.iter().filter(|(_, a)| a.model == *model);
        adapters.map(|(name, a)| (name.clone(), a.memory)).collect()
    };
    let spec = |(name, model): (&Name, &bundle::intent::Model)| Spec {
        model: name.clone(),
        version: model.version.clone(),
        memory: model.memory,
        min_replicas: model.least,
        priority: intent.classes.get(&model.class).map_or(0, |c| c.priority),
        adapters: adapters(name),
    };
    intent.models.iter().map(spec).collect()
}

/// Halls with the total memory of their upstreams that are not leaving.
///
/// This hall is listed with no memory if all its upstreams are leaving.
fn halls(core: &Core, fleet: &Fleet) -> Vec<Hall> {
    let mut memory: BTreeMap<Name, Bytes> = BTreeMap::new();
    for entry in core.fleet.entries() {
        let Kind::Engine { memory: capacity } = entry.host.kind else {
            continue;
        };
        if !entry.host.leaving {
            *memory.entry(entry.host.hall.clone()).or_default() += capacity;
        }
    }
    if !fleet.upstreams.is_empty() {
        memory.entry(core.settings.hall.clone()).or_default();
    }
    let hall = |(name, memory)| Hall { name, memory };
    memory.into_iter().map(hall).collect()
}

/// Arrival rate over all daemons in requests per second, by model.
async fn arrival_rates(core: &Arc<Core>) -> BTreeMap<Name, f64> {
    let peers = core.other_daemons();
    let queries = peers
        .iter()
        .map(|peer| distribution::call(core, peer.addr, &Frame::GetDemand, DEMAND_WAIT));
    let answers = futures::future::join_all(queries).await;
    let mut rates: BTreeMap<Name, f64> = BTreeMap::new();
    let peer_demands = answers.into_iter().flat_map(|answer| match answer {
        Ok(Frame::Demands { demands }) => demands,
        _ => Vec::new(),
    });
    for demand in peer_demands.chain(core.demands()) {
        *rates.entry(demand.model).or_default() += demand.rate;
    }
    rates
}

/// Upstreams of other halls, as last reported to this daemon.
fn other_halls(core: &Core, bundle: &Bundle) -> Fleet {
    let entries = core.fleet.entries();
    let others = entries.iter().filter(|e| e.host.hall != core.settings.hall);
    let upstreams = others.filter_map(|entry| {
        Some(place::Upstream {
            name: entry.host.name.clone(),
            report: entry.report.clone()?,
            leaving: entry.is_leaving(),
            fencing: bundle.intent.upstreams.checks_fences(&entry.host.name),
            unreachable: false,
        })
    });
    Fleet {
        upstreams: upstreams.collect(),
    }
}

/// Work per request before the first measurement.
fn default_work() -> f64 {
    DEFAULT_SERVICE_TIME.secs() / f64::from(DEFAULT_BATCH)
}

/// Fraction of an upstream's capacity taken by one request per second, by model.
fn work_per_request(core: &Core) -> BTreeMap<Name, f64> {
    let mut sums: BTreeMap<Name, (f64, f64)> = BTreeMap::new();
    for entry in core.fleet.entries() {
        let Some(report) = &entry.report else {
            continue;
        };
        let service_time = entry.service_time.estimate();
        if service_time == Span::ZERO {
            continue;
        }
        let work = service_time.secs() / f64::from(report.batch.max(1));
        for resident in report
            .resident
            .iter()
            .filter(|r| r.weights.adapter.is_none())
        {
            let sum = sums.entry(resident.weights.model.clone()).or_default();
            *sum = (sum.0 + work, sum.1 + 1.0);
        }
    }
    sums.into_iter()
        .map(|(model, (sum, n))| (model, sum / n))
        .collect()
}
