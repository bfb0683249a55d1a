//! Planning of one service: which replicas load and unload which models.

use super::{Demand, Planner, entries, taken};
use crate::message::Load;
use crate::orders::{Bucket, Job, Known};
use place::copies::{self, Step};
use platform::config::{self, Engine};
use platform::replica::{Entry, Operation};
use std::collections::HashMap;
use tracing::info;
use unit::{Name, Span, Time};

/// Time between telling hosts that a model goes and ordering it: two rounds of sums.
const CLOSING: Span = Span::from_ms(500);

/// Time that an unload of a model is expected to take at the most.
const UNLOAD: Span = Span::from_secs(5);

/// Steps planned at once, for each replica.
const STEPS_PER_REPLICA: usize = 1;

impl Planner {
    /// Queues the unloads of which hosts have known for long enough.
    pub(super) fn order_closed(&self) {
        let now = self.state.now();
        let mut book = self.book.lock();
        for known in book.known.values_mut() {
            let due = |closing: &mut (Name, Time)| now.since(closing.1) >= CLOSING;
            if let Some((model, _)) = known.closing.take_if(due) {
                known.queue.push_back(Job {
                    operation: Operation::Unload,
                    model,
                    adapter: None,
                    from_store: false,
                    takes: UNLOAD,
                });
            }
        }
    }

    /// Plans the next steps of one service: loads are queued, unloads are announced first.
    pub(super) fn plan_service(&self, service: &Name, engine: &Engine) {
        let now = self.state.now();
        let loads = self.peers.inbox.loads(now);
        let entries = entries(&self.state.table.lock(), service);
        let mut book = self.book.lock();
        let book = &mut *book;
        let new = || self.bucket(engine, now);
        let bucket = book.buckets.entry(service.clone()).or_insert_with(new);
        let models = models(service, engine, &book.demand);
        let replicas = replicas(&entries, &book.known, engine, &loads, now);
        let most = entries.len() * STEPS_PER_REPLICA;
        for step in copies::plan(&replicas, &models, bucket.available(now), most) {
            let (Step::Load { replica, .. } | Step::Unload { replica, .. }) = step;
            let entry = &entries[replica];
            let known = book.known.entry(entry.id.clone()).or_default();
            tell(step, entry, engine, &models);
            match step {
                Step::Load {
                    model, from_store, ..
                } => {
                    if from_store {
                        bucket.take();
                    }
                    let job = load_job(entry, &engine.models[model], from_store);
                    known.queue.push_back(job);
                }
                Step::Unload { model, instead, .. } => {
                    let name = |model: usize| engine.models[model].name.clone();
                    known.close(name(model), name(instead), now);
                }
            }
        }
    }

    /// Bucket of a service's loads at the beginning of a term.
    fn bucket(&self, engine: &Engine, now: Time) -> Bucket {
        let bounds = &self.state.settings.bounds;
        let window = bounds.load_window.into();
        let rate = engine.loads_per_second;
        let mut bucket = Bucket::new(rate, window, bounds.load_overage, now);
        if self.term.is_first {
            bucket.fill();
        }
        bucket
    }
}

/// Tells of a step, with the demand that it follows from.
fn tell(step: Step, entry: &Entry, engine: &Engine, models: &[copies::Model]) {
    let name = |model: usize| &*engine.models[model].name;
    match step {
        Step::Load {
            model, from_store, ..
        } => {
            info!(target: "planner", event = "load", replica = &*entry.id, model = name(model), from_store, demand = models[model].demand, recent = models[model].recent, "a copy is added")
        }
        Step::Unload { model, instead, .. } => {
            info!(target: "planner", event = "close", replica = &*entry.id, model = name(model), instead = name(instead), demand = models[model].demand, wanted = models[instead].demand, "a copy makes room")
        }
    }
}

/// Order to load a model on a replica; the time it takes depends on where the weights come from.
fn load_job(entry: &Entry, model: &config::Model, from_store: bool) -> Job {
    let takes = match () {
        _ if from_store => model.load,
        _ if entry.in_memory.contains(&model.name) => model.load_warm,
        _ => model.load_disk,
    };
    Job {
        operation: Operation::Load,
        model: model.name.clone(),
        adapter: None,
        from_store,
        takes: takes.into(),
    }
}

/// Models of a service as the plan sees them, in the order of the configuration.
fn models(
    service: &Name,
    engine: &Engine,
    demand: &HashMap<(Name, Name), Demand>,
) -> Vec<copies::Model> {
    let seen_by_plan = |model: &config::Model| {
        let key = (service.clone(), model.name.clone());
        let demand = demand.get(&key).copied().unwrap_or_default();
        copies::Model {
            memory_mb: model.memory_mb,
            demand: demand.now,
            recent: demand.recent,
        }
    };
    engine.models.iter().map(seen_by_plan).collect()
}

/// Replicas of a service as the plan sees them, in the order of their entries.
fn replicas(
    entries: &[Entry],
    known: &HashMap<Name, Known>,
    engine: &Engine,
    loads: &HashMap<u32, Load>,
    now: Time,
) -> Vec<copies::Replica> {
    let nothing = Known::default();
    let seen_by_plan = |entry: &Entry| {
        let known = known.get(&entry.id).unwrap_or(&nothing);
        let load = taken(entry, loads);
        copies::Replica {
            stays: !entry.leaving && !known.is_lost(now),
            ..replica(entry, known, engine, load)
        }
    };
    entries.iter().map(seen_by_plan).collect()
}

/// One replica as the plan sees it.
fn replica(entry: &Entry, known: &Known, engine: &Engine, load: f64) -> copies::Replica {
    let index = |name: &Name| engine.models.iter().position(|m| m.name == *name);
    let goes = known.going();
    let held = known.held.iter().filter(|h| !goes.contains(&&h.model));
    let held: Vec<usize> = held.filter_map(|h| index(&h.model)).collect();
    let orders = known.pending.iter().map(|p| &p.job).chain(&known.queue);
    let loads = orders.filter(|j| j.operation == Operation::Load && j.adapter.is_none());
    let coming = loads.map(|j| &j.model).chain(known.room_for());
    let mut coming: Vec<usize> = coming.filter_map(index).collect();
    coming.retain(|m| !held.contains(m));
    let copies = entry.in_memory.iter().chain(&entry.on_disk);
    copies::Replica {
        free_mb: known.free_mb(engine),
        held,
        coming,
        copied: copies.filter_map(index).collect(),
        idle: known.is_idle() && known.closing.is_none(),
        unloading: known.makes_room(),
        stays: !entry.leaving,
        load,
    }
}
