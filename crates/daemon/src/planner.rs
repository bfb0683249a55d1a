//! Planner of this host's hall, while this host holds the hall's lease.
//!
//! Each tick: read the reports over the connections that orders will take,
//! decide, write the ledger by compare-and-swap, then send. The lease keeps
//! planners from working against each other; safety rests on the ledger.

mod book;
mod lease;
mod lines;
mod state;

pub use state::{Planned, State};

use crate::core::Core;
use crate::force::InForce;
use crate::spread;
use backing::hosts::Kind;
use book::Book;
use lease::Lease;
use lines::Lines;
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

/// Time for the demand of one peer.
const DEMAND_LIMIT: Duration = Duration::ZERO;

/// Time of one request assumed until one has been measured.
const UNKNOWN_SERVICE: Span = Span::from_secs(1);

/// Batch assumed until one has been reported.
const UNKNOWN_BATCH: u32 = 32;

/// Planner with what it keeps between ticks.
struct Planner {
    core: Arc<Core>,
    lease: Lease,
    book: Book,
    lines: Lines,
    demand: Estimator,
    starts: Option<(usize, LoadLimiter)>,
}

/// Plans for the hall whenever this host holds its lease, until the process ends.
pub async fn run(core: Arc<Core>) {
    let mut planner = Planner {
        lease: Lease::new(&core.settings),
        book: Book::new(&core.settings),
        lines: Lines::default(),
        demand: Estimator::default(),
        starts: None,
        core,
    };
    loop {
        sleep(planner.core.settings.planner.tick.std()).await;
        if planner.core.is_draining() {
            planner.lease.give_up(&planner.core).await;
            return;
        }
        planner.turn().await;
    }
}

impl Planner {
    async fn turn(&mut self) {
        let Some(bundle) = self.core.in_force() else {
            return;
        };
        let held = self.lease.hold(&self.core).await;
        if !held {
            self.book.forget();
            self.core.planned.step_down();
            return;
        }
        if let Err(e) = self.tick(&bundle).await {
            self.book.forget();
            warn!(target: "planner", "no moves this tick: {e}");
        }
    }

    async fn tick(&mut self, bundle: &InForce) -> Result<(), crate::shelf::Error> {
        self.book.open(&self.core).await?;
        let fleet = self.fleet(bundle).await;
        let elsewhere = elsewhere(&self.core, bundle);
        let homes = self.book.homes(&self.core).await?;
        let wants = wants(bundle);
        let halls = halls(&self.core, &fleet);
        let needs = self.needs(&wants).await;
        let weights = bundle.intent.weights;
        let input = Input {
            now: self.core.now(),
            wall_ms: crate::clock::wall_ms(),
            hall: &self.core.settings.hall,
            halls: &halls,
            specs: &wants,
            fleet: &fleet,
            other_halls: &elsewhere,
            homes: &homes,
            demand: &needs,
            attainment_weight: weights.attainment,
            move_cost: weights.moves,
        };
        let started = std::time::Instant::now();
        let ledger = self.book.ledger();
        let starts = starts(&mut self.starts, &self.core, halls.len());
        let plan = plan(&input, ledger, starts);
        let took = Span::from(started.elapsed());
        crate::metrics::record(
            &self.core.metrics.histogram("coveford_plan_seconds", &[]),
            took,
        );
        self.book.write_homes(&self.core, &plan).await?;
        self.book.write(&self.core).await?;
        self.core.planned.planned(self.book.ledger(), &plan);
        self.send(&fleet, plan).await;
        Ok(())
    }

    /// Upstreams of this hall with reports read over their order connections.
    async fn fleet(&mut self, bundle: &InForce) -> Fleet {
        let hall = &self.core.settings.hall;
        let entries = self.core.fleet.entries();
        let here = entries.into_iter().filter(|e| e.host.hall == *hall);
        let engines: Vec<_> = here
            .filter(|e| matches!(e.host.kind, Kind::Engine { .. }))
            .collect();
        let limit = self.core.settings.planner.order_limit.std();
        let reports = self.lines.reports(&engines, limit, self.core.now()).await;
        let mut upstreams = Vec::new();
        for entry in engines {
            let Some(found) = reports.get(&entry.host.name) else {
                continue;
            };
            upstreams.push(place::Upstream {
                name: entry.host.name.clone(),
                leaving: entry.is_leaving() || found.report.leaving,
                fencing: bundle.intent.upstreams.checks_fences(&entry.host.name),
                unreachable: found.silent,
                report: found.report.clone(),
            });
        }
        Fleet { upstreams }
    }

    /// Demand by model, from all daemons.
    async fn needs(&mut self, wants: &[Spec]) -> BTreeMap<Name, Demand> {
        let arriving = arriving(&self.core).await;
        self.demand.update(self.core.now(), &arriving);
        let work = work_per_request(&self.core);
        let need = |want: &Spec| Demand {
            rate: self.demand.rate(&want.model),
            work: work.get(&want.model).copied().unwrap_or_else(default_work),
        };
        wants.iter().map(|w| (w.model.clone(), need(w))).collect()
    }

    /// Sends the orders of a plan, and again those that a fencing upstream never saw.
    async fn send(&mut self, fleet: &Fleet, plan: Plan) {
        if !self.lease.is_safe(self.core.now()) {
            return;
        }
        for (upstream, order) in &plan.orders {
            count(&self.core, &order.action);
            info!(target: "planner", "order {}.{} to {upstream}: {:?}", order.fence.term, order.fence.number, order.action);
        }
        let orders: Vec<_> = plan.orders.into_iter().chain(plan.resends).collect();
        let answers = self.lines.send(orders).await;
        let ledger = self.book.ledger();
        let mut changed = false;
        for (name, fence, obeyed) in answers {
            changed |= match (obeyed, fleet.find(&name)) {
                (Some(obeyed), _) => ledger.record_answer(&name, fence, obeyed),
                (None, Some(upstream)) => ledger.record_no_answer(upstream, fence),
                (None, None) => false,
            };
        }
        if changed {
            self.book.touch();
        }
    }
}

fn starts<'a>(
    starts: &'a mut Option<(usize, LoadLimiter)>,
    core: &Core,
    halls: usize,
) -> &'a mut LoadLimiter {
    if starts.as_ref().is_none_or(|(n, _)| *n != halls) {
        let store = core.settings.planner.store;
        let made = LoadLimiter::new(store.loads_per_second, store.concurrent, halls);
        *starts = Some((halls, made));
    }
    &mut starts.as_mut().expect("it was just made").1
}

fn count(core: &Core, action: &Action) {
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

/// Models of a bundle as the planner wants them.
pub fn wants(bundle: &InForce) -> Vec<Spec> {
    let intent = &bundle.intent;
    let adapters = |model: &Name| {
        let of = intent.adapters.iter().filter(|(_, a)| a.model == *model);
        of.map(|(name, a)| (name.clone(), a.memory)).collect()
    };
    let want = |(name, model): (&Name, &bundle::intent::Model)| Spec {
        model: name.clone(),
        version: model.version.clone(),
        memory: model.memory,
        min_replicas: model.least,
        priority: intent.classes.get(&model.class).map_or(0, |c| c.priority),
        adapters: adapters(name),
    };
    intent.models.iter().map(want).collect()
}

/// Halls with the memory of their upstreams; this hall's upstreams as just reported.
fn halls(core: &Core, fleet: &Fleet) -> Vec<Hall> {
    let mut memory: BTreeMap<Name, Bytes> = BTreeMap::new();
    for entry in core.fleet.entries() {
        let Kind::Engine { memory: size } = entry.host.kind else {
            continue;
        };
        if !entry.host.leaving {
            *memory.entry(entry.host.hall.clone()).or_default() += size;
        }
    }
    if !fleet.upstreams.is_empty() {
        memory.entry(core.settings.hall.clone()).or_default();
    }
    let hall = |(name, memory)| Hall { name, memory };
    memory.into_iter().map(hall).collect()
}

/// Requests a second that arrive at all daemons, by model.
async fn arriving(core: &Arc<Core>) -> BTreeMap<Name, f64> {
    let peers = core.others();
    let asked = peers
        .iter()
        .map(|peer| spread::ask(core, peer.addr, &Frame::GetDemand, DEMAND_LIMIT));
    let answers = futures::future::join_all(asked).await;
    let mut sum: BTreeMap<Name, f64> = BTreeMap::new();
    let others = answers.into_iter().flat_map(|answer| match answer {
        Ok(Frame::Demands { demands }) => demands,
        _ => Vec::new(),
    });
    for demand in others.chain(core.demands()) {
        *sum.entry(demand.model).or_default() += demand.rate;
    }
    sum
}

/// Upstreams of other halls, as last reported to this daemon.
fn elsewhere(core: &Core, bundle: &InForce) -> Fleet {
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

fn default_work() -> f64 {
    UNKNOWN_SERVICE.secs() / f64::from(UNKNOWN_BATCH)
}

/// Share of an upstream's capacity that one request a second takes, by model.
fn work_per_request(core: &Core) -> BTreeMap<Name, f64> {
    let mut sums: BTreeMap<Name, (f64, f64)> = BTreeMap::new();
    for entry in core.fleet.entries() {
        let Some(report) = &entry.report else {
            continue;
        };
        let service = entry.service.estimate();
        if service == Span::ZERO {
            continue;
        }
        let work = service.secs() / f64::from(report.batch.max(1));
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
