//! Planning of one service: which replicas load and unload which models.

use super::{Demand, Fleet, Planner, demand, entries, utilization};
use crate::fleet::{Bucket, Job, Record};
use crate::message::{Load, replica_hash};
use crate::table::Table;
use place::copies::{self, Step};
use platform::config::{self, Engine};
use platform::replica::{Entry, Operation};
use std::collections::{HashMap, HashSet};
use tracing::info;
use unit::{Name, Span, Time};

/// Time between telling hosts that a model goes and ordering it: two rounds of sums.
const UNLOAD_NOTICE: Span = Span::from_ms(500);

/// The same for a model that nobody asks for: a request that comes all the same is refused unrun by
/// the replica, and goes elsewhere.
const UNLOAD_NOTICE_IDLE: Span = Span::from_ms(100);

/// Time from the plan to give a model up until its memory is known to be free, where few requests run.
const TYPICAL_UNLOAD: Span = Span::from_ms(1_200);

/// Time that an unload of a model is expected to take at the most.
const MAX_UNLOAD: Span = Span::from_secs(5);

/// Least time in seconds that a load from the weight store is taken for.
const MIN_LOAD_SECS: f64 = 0.001;

/// Steps planned at once, for each replica.
const STEPS_PER_REPLICA: usize = 1;

impl Planner {
    /// Queues the unloads of which hosts have known for long enough.
    pub(super) fn queue_due_unloads(&self) {
        let now = self.state.now();
        let mut book = self.fleet.lock();
        for known in book.records.values_mut() {
            if let Some(model) = known.take_due_unload(now) {
                known.queue.push_back(Job {
                    operation: Operation::Unload,
                    model,
                    adapter: None,
                    from_store: false,
                    duration: MAX_UNLOAD,
                });
            }
        }
    }

    /// Plans the next steps of one service: loads are queued, unloads are announced first. Tells whether
    /// there are any.
    ///
    /// The book is not held while the plan is made, which takes parts of a second in a large fleet; a step
    /// on a replica of which something else is believed by then is left to the next plan.
    pub(super) fn plan_service(&self, service: &Name, engine: &Engine) -> bool {
        let now = self.state.now();
        let loads = self.peers.inbox.loads(now);
        let resting = self.peers.inbox.resting(now);
        let (entries, needs) = {
            let table = self.state.table.lock();
            let entries = entries(&table, service);
            let mut needs = rate_limited_capacity(&table, service, &entries, now);
            needs.extend(backing_off_capacity(&entries, &resting, &loads));
            (entries, needs)
        };
        let (replicas, models, available) = {
            let mut book = self.fleet.lock();
            let book = &mut *book;
            let replicas = replicas(&entries, &book.records, engine, (&loads, &needs), now);
            book.note_held(service, engine, &replicas, now);
            let models = models(service, engine, &book.demand, now);
            let new = || self.new_bucket(engine, now);
            let bucket = book.buckets.entry(service.clone()).or_insert_with(new);
            (replicas, models, bucket.available(now))
        };
        let most = entries.len() * STEPS_PER_REPLICA;
        let steps = copies::plan(&replicas, &models, available, most);
        let plan = Plan {
            service,
            engine,
            entries: &entries,
            replicas: &replicas,
            models: &models,
        };
        self.apply_steps(&plan, steps)
    }

    /// Queues the steps of a plan; tells whether there are any.
    fn apply_steps(&self, plan: &Plan, steps: Vec<Step>) -> bool {
        let now = self.state.now();
        let mut book = self.fleet.lock();
        let book = &mut *book;
        let Some(bucket) = book.buckets.get_mut(plan.service) else {
            return false;
        };
        let mut begun = HashSet::new();
        let mut any = false;
        for step in steps {
            let (Step::Load { replica, .. } | Step::Unload { replica, .. }) = &step;
            let replica = *replica;
            let entry = &plan.entries[replica];
            // A replica that is gone meanwhile is not planned for any more.
            let Some(known) = book.records.get_mut(&entry.id) else {
                continue;
            };
            let is_as_planned = begun.contains(&replica) || plan.is_current(replica, known, now);
            let needs_store = matches!(
                step,
                Step::Load {
                    from_store: true,
                    ..
                }
            );
            if !is_as_planned || (needs_store && bucket.available(now) == 0) {
                continue;
            }
            begun.insert(replica);
            any = true;
            tell(&step, entry, plan.engine, plan.models);
            match step {
                Step::Load {
                    model, from_store, ..
                } => {
                    if from_store {
                        bucket.take();
                    }
                    let job = load_job(entry, &plan.engine.models[model], from_store);
                    known.queue.push_back(job);
                    known.clear_reservation();
                }
                Step::Unload {
                    models: gone,
                    replacement,
                    ..
                } => plan.schedule_unloads(replica, known, gone, replacement, now),
            }
        }
        any
    }

    /// Bucket of a service's loads at the beginning of a term.
    fn new_bucket(&self, engine: &Engine, now: Time) -> Bucket {
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

/// What a plan of one service was made from.
struct Plan<'a> {
    service: &'a Name,
    engine: &'a Engine,
    entries: &'a [Entry],
    replicas: &'a [copies::Replica],
    models: &'a [copies::Model],
}

impl Plan<'_> {
    /// Whether what is believed of a replica is still what the plan was made from, but for its load.
    fn is_current(&self, replica: usize, known: &Record, now: Time) -> bool {
        let planned = &self.replicas[replica];
        let entry = &self.entries[replica];
        let seen = self::replica(entry, known, self.engine, planned.utilization, now);
        copies::Replica {
            degraded_capacity: planned.degraded_capacity,
            ..seen
        } == *planned
    }

    /// Announces that a replica gives models up, to make room for another.
    fn schedule_unloads(
        &self,
        replica: usize,
        known: &mut Record,
        gone: Vec<usize>,
        instead: usize,
        now: Time,
    ) {
        let entry = &self.entries[replica];
        let name = |model: usize| self.engine.models[model].name.clone();
        let due = |m: usize| match self.models[m].demand > 0.0 {
            true => now + UNLOAD_NOTICE,
            false => now + UNLOAD_NOTICE_IDLE,
        };
        let from_store = !self.replicas[replica].cached.contains(&instead);
        let takes = load_job(entry, &self.engine.models[instead], from_store).duration;
        let there = now + TYPICAL_UNLOAD * gone.len() as f64 + takes;
        let gone = gone.into_iter().map(|m| (name(m), due(m)));
        known.schedule_unloads(gone, name(instead), there);
    }
}

impl Fleet {
    /// Notes which models of a service are on a replica.
    fn note_held(
        &mut self,
        service: &Name,
        engine: &Engine,
        replicas: &[copies::Replica],
        now: Time,
    ) {
        let staying = replicas.iter().filter(|r| r.in_service);
        let held: HashSet<usize> = staying.flat_map(|r| &r.held).copied().collect();
        for (m, model) in engine.models.iter().enumerate() {
            let key = (service.clone(), model.name.clone());
            if let Some(demand) = self.demand.get_mut(&key) {
                demand.note_held(held.contains(&m), now);
            }
        }
    }
}

/// Tells of a step, with the demand that it follows from.
fn tell(step: &Step, entry: &Entry, engine: &Engine, models: &[copies::Model]) {
    let name = |model: usize| &*engine.models[model].name;
    match step {
        Step::Load {
            model, from_store, ..
        } => {
            let planned = &models[*model];
            info!(target: "planner", event = "load", replica = &*entry.id, model = name(*model), from_store, demand = planned.demand, recent = planned.recent_demand, unserved = planned.unserved_secs, "a copy is added")
        }
        Step::Unload {
            models: gone,
            replacement,
            ..
        } => {
            for model in gone {
                let (demand, wanted) = (models[*model].demand, models[*replacement].demand);
                info!(target: "planner", event = "close", replica = &*entry.id, model = name(*model), instead = name(*replacement), demand, wanted, "a copy makes room")
            }
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
        duration: takes.into(),
    }
}

/// Models of a service as the plan sees them, in the order of the configuration.
fn models(
    service: &Name,
    engine: &Engine,
    demand: &HashMap<(Name, Name), Demand>,
    now: Time,
) -> Vec<copies::Model> {
    let of = |model: &config::Model| demand.get(&(service.clone(), model.name.clone()));
    let known = engine.models.iter().filter_map(of);
    let expected = demand::expected_idle_demand(known, engine.models.len(), now);
    let seen_by_plan = |model: &config::Model| {
        let demand = of(model).copied().unwrap_or_default();
        copies::Model {
            memory_mb: model.memory_mb,
            demand: demand.current,
            recent_demand: demand.recent,
            unserved_secs: demand.unserved_since.map_or(0.0, |at| now.since(at).secs()),
            store_factor: model.load_disk.as_secs_f64()
                / model.load.as_secs_f64().max(MIN_LOAD_SECS),
            expected_demand: expected,
        }
    };
    engine.models.iter().map(seen_by_plan).collect()
}

/// Replicas of a service as the plan sees them, in the order of their entries.
fn replicas(
    entries: &[Entry],
    known: &HashMap<Name, Record>,
    engine: &Engine,
    (loads, needs): (&HashMap<u32, Load>, &HashMap<Name, f64>),
    now: Time,
) -> Vec<copies::Replica> {
    let nothing = Record::default();
    let seen_by_plan = |entry: &Entry| {
        let known = known.get(&entry.id).unwrap_or(&nothing);
        let seen = replica(entry, known, engine, utilization(entry, loads), now);
        copies::Replica {
            degraded_capacity: needs.get(&entry.id).copied(),
            ..seen
        }
    };
    entries.iter().map(seen_by_plan).collect()
}

/// One replica as the plan sees it.
fn replica(
    entry: &Entry,
    known: &Record,
    engine: &Engine,
    load: f64,
    now: Time,
) -> copies::Replica {
    let index = |name: &Name| engine.models.iter().position(|m| m.name == *name);
    let goes = known.unloading();
    let held = known.held.iter().filter(|h| !goes.contains(&&h.model));
    let held: Vec<usize> = held.filter_map(|h| index(&h.model)).collect();
    let orders = known.pending.iter().map(|p| &p.job).chain(&known.queue);
    let loads = orders.filter(|j| j.operation == Operation::Load && j.adapter.is_none());
    let coming = loads.map(|j| &j.model).chain(known.reserved_for());
    let mut coming: Vec<usize> = coming.filter_map(index).collect();
    coming.retain(|m| !held.contains(m));
    let copies = entry.in_memory.iter().chain(&entry.on_disk);
    copies::Replica {
        free_mb: known.free_mb(engine),
        held,
        incoming: coming,
        recently_loaded: known
            .recently_loaded(now)
            .and_then(index)
            .into_iter()
            .collect(),
        cached: copies.filter_map(index).collect(),
        reserved_for: known.reserved_for().and_then(index),
        accepts_orders: known.accepts_orders(),
        unloading: known.is_unloading(),
        in_service: !entry.leaving && !known.is_lost(now),
        utilization: load,
        degraded_capacity: None,
    }
}

/// Part of their places that replicas serve which want nothing from most hosts.
fn backing_off_capacity(
    entries: &[Entry],
    resting: &HashSet<u32>,
    loads: &HashMap<u32, Load>,
) -> HashMap<Name, f64> {
    let resting = entries
        .iter()
        .filter(|e| resting.contains(&replica_hash(&e.id)));
    let busy = resting.map(|entry| (entry.id.clone(), utilization(entry, loads).min(1.0)));
    busy.collect()
}

/// Part of their places that replicas in need can keep busy with the requests a second that they take.
fn rate_limited_capacity(
    table: &Table,
    service: &Name,
    entries: &[Entry],
    now: Time,
) -> HashMap<Name, f64> {
    let part = |entry: &Entry| {
        let rate = table.limit_of(&entry.id, now)?;
        let runs = entry
            .held
            .iter()
            .map(|held| table.pace_of(service, &held.model).1);
        let run = runs.max()?;
        let busy = rate * run.secs() / f64::from(entry.slots.max(1));
        Some((entry.id.clone(), busy.min(1.0)))
    };
    entries.iter().filter_map(part).collect()
}
