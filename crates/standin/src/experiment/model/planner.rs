//! Planners: coveford's own, one for each hall, and the baselines.

use super::engine::{BATCH, Engine};
use super::workload::Figures;
use place::demand::Estimator;
use place::homes::{Hall, Homes};
use place::plan::{Demand, Input, LoadLimiter, Spec, plan};
use place::{Fleet, Ledger, Upstream};
use std::collections::BTreeMap;
use unit::engine::{Action, Weights};
use unit::{Bytes, Name, Span, Time};

/// How models are placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Placement {
    /// Coveford's plan, with its weights of attainment and moves.
    Coveford {
        /// Worth of attainment.
        attainment: f64,
        /// Cost of a move.
        moves: f64,
    },
    /// As the mean demand asks for, never changed.
    Static,
    /// A model is loaded where it is missed, and the least recently used goes.
    OnDemand,
    /// Every model is everywhere, whatever memory there is.
    Oracle,
}

/// Time of one load at full speed.
pub const LOAD: Span = Span::from_secs(6);

/// Time of a request assumed until one was seen.
const UNKNOWN: Span = Span::from_ms(1_500);

/// Planner of one hall.
struct HallPlanner {
    ledger: Ledger,
    demand: Estimator,
    starts: LoadLimiter,
}

/// Planners of all halls.
pub struct Planners {
    halls: Vec<HallPlanner>,
    homes: Homes,
    wants: Vec<Spec>,
    names: Vec<Name>,
}

/// Name of a hall.
fn hall(i: usize) -> Name {
    format!("hall-{i}").into()
}

/// Models of a size, as a bundle would want them.
pub fn wants(figures: &Figures) -> Vec<Spec> {
    let want = |i: usize| Spec {
        model: format!("m{i:02}").into(),
        version: "1".into(),
        memory: Bytes::from_gb(24 + (i % 4) as u64 * 4),
        min_replicas: 1,
        priority: [9, 6, 1][i % 3],
        adapters: Vec::new(),
    };
    (0..figures.models).map(want).collect()
}

impl Planners {
    pub fn new(figures: &Figures) -> Planners {
        let halls = (0..figures.halls).map(|_| HallPlanner {
            ledger: Ledger::default(),
            demand: Estimator::default(),
            starts: LoadLimiter::new(figures.loads.0, figures.loads.1, figures.halls),
        });
        Planners {
            halls: halls.collect(),
            homes: Homes::default(),
            wants: wants(figures),
            names: (0..figures.halls).map(hall).collect(),
        }
    }

    /// One tick of every hall's planner.
    pub fn tick(
        &mut self,
        now: Time,
        engines: &mut [Engine],
        arriving: &[f64],
        service: &dyn Fn(usize) -> Span,
        weights: (f64, f64),
    ) {
        for h in 0..self.halls.len() {
            let fleet = fleet_of(engines, |hall| hall == h);
            let elsewhere = fleet_of(engines, |hall| hall != h);
            let needs = self.needs(h, now, engines, arriving, service);
            let halls = self.memory(engines);
            let planner = &mut self.halls[h];
            if planner.ledger.term == 0 {
                planner.ledger.take_over();
            }
            let input = Input {
                now,
                wall_ms: 0,
                hall: &self.names[h],
                halls: &halls,
                specs: &self.wants,
                fleet: &fleet,
                other_halls: &elsewhere,
                homes: &self.homes,
                demand: &needs,
                attainment_weight: weights.0,
                move_cost: weights.1,
            };
            let plan = plan(&input, &mut planner.ledger, &mut planner.starts);
            for model in &plan.joins {
                self.homes.join(model, &self.names[h]);
            }
            for model in &plan.leaves {
                self.homes.leave(model, &self.names[h]);
            }
            for (name, order) in plan.orders.iter().chain(&plan.resends) {
                let model = self.model(&order.action);
                let engine = engines.iter_mut().find(|e| e.name == *name);
                let engine = engine.expect("orders go to known engines");
                let obeyed = engine.obey(order, model, LOAD, now);
                self.halls[h]
                    .ledger
                    .record_answer(name, order.fence, obeyed);
            }
        }
    }

    fn model(&self, action: &Action) -> usize {
        let (Action::Load { weights, .. } | Action::Unload { weights }) = action else {
            return 0;
        };
        let found = self.wants.iter().position(|w| w.model == weights.model);
        found.expect("orders are about known models")
    }

    fn memory(&self, engines: &[Engine]) -> Vec<Hall> {
        let memory = |h: usize| {
            engines
                .iter()
                .filter(|e| e.hall == h && e.alive)
                .map(|e| e.memory)
                .sum()
        };
        let halls = (0..self.halls.len()).map(|h| Hall {
            name: self.names[h].clone(),
            memory: memory(h),
        });
        halls.filter(|hall| hall.memory > Bytes(0)).collect()
    }

    /// Demand as a hall's planner knows it.
    fn needs(
        &mut self,
        h: usize,
        now: Time,
        engines: &[Engine],
        arriving: &[f64],
        service: &dyn Fn(usize) -> Span,
    ) -> BTreeMap<Name, Demand> {
        let mut all = BTreeMap::new();
        let mut work = BTreeMap::new();
        for (m, want) in self.wants.iter().enumerate() {
            let holders: Vec<usize> = (0..engines.len()).filter(|e| engines[*e].has(m)).collect();
            all.insert(want.model.clone(), arriving[m]);
            let known: Vec<f64> = holders
                .iter()
                .map(|e| service(*e).secs())
                .filter(|s| *s > 0.0)
                .collect();
            let mean = match known.is_empty() {
                true => UNKNOWN.secs(),
                false => known.iter().sum::<f64>() / known.len() as f64,
            };
            work.insert(want.model.clone(), mean / BATCH as f64);
        }
        let demand = &mut self.halls[h].demand;
        demand.update(now, &all);
        let need = |want: &Spec| Demand {
            rate: demand.rate(&want.model),
            work: work[&want.model],
        };
        self.wants
            .iter()
            .map(|w| (w.model.clone(), need(w)))
            .collect()
    }
}

fn fleet_of(engines: &[Engine], hall: impl Fn(usize) -> bool) -> Fleet {
    let here = engines.iter().filter(|e| hall(e.hall) && e.alive);
    let upstreams = here.map(|e| Upstream {
        name: e.name.clone(),
        report: e.report(),
        leaving: false,
        fencing: true,
        unreachable: false,
    });
    Fleet {
        upstreams: upstreams.collect(),
    }
}

fn base(want: &Spec) -> Weights {
    want.weights()
}

/// Fills engines for the mean demand: each model once, then more of those with most demand for
/// each replica they have.
pub fn fill(engines: &mut [Engine], wants: &[Spec], mean: &dyn Fn(usize) -> f64) {
    let mut replicas = vec![0; wants.len()];
    loop {
        let need = |m: usize| match replicas[m] {
            0 => f64::INFINITY,
            n => mean(m) / n as f64,
        };
        let mut order: Vec<usize> = (0..wants.len()).collect();
        order.sort_by(|a, b| need(*b).total_cmp(&need(*a)));
        let placed = order.into_iter().find_map(|m| {
            let room = engines
                .iter_mut()
                .filter(|e| !e.has(m) && e.free() >= wants[m].memory)
                .max_by_key(|e| e.free())?;
            room.preload(m, base(&wants[m]), wants[m].memory);
            Some(m)
        });
        match placed {
            Some(m) => replicas[m] += 1,
            None => return,
        }
    }
}

/// Puts every model everywhere.
pub fn fill_all(engines: &mut [Engine], wants: &[Spec]) {
    for engine in engines {
        for (m, want) in wants.iter().enumerate() {
            engine.preload(m, base(want), Bytes(0));
        }
    }
}

/// Loads a model that is missed where it disturbs least, evicting the least recently used; also a
/// second replica when the first is full, as far as the store's concurrency allows.
pub fn on_demand(engines: &mut [Engine], model: usize, want: &Spec, now: Time) {
    if engines.iter().any(|e| e.has(model) && !e.ready(model)) {
        return;
    }
    let mut order: Vec<usize> = (0..engines.len())
        .filter(|e| engines[*e].alive && !engines[*e].has(model))
        .collect();
    order.sort_by_key(|e| (engines[*e].free() < want.memory, engines[*e].occupancy()));
    for e in order {
        let engine = &mut engines[e];
        while engine.free() < want.memory {
            let Some(evicted) = engine.least_recently_used() else {
                break;
            };
            engine.unload(evicted);
            engine.step(now, Span::ZERO, 0.0);
        }
        if engine.free() >= want.memory {
            engine.load(model, base(want), want.memory, LOAD, now);
            return;
        }
    }
}
