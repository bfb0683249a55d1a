//! Planning of one service: which replicas load and unload which models.

use super::{Demand, Fleet, Planner, demand, early, entries, utilization};
use crate::fleet::{Bucket, Job, Record};
use crate::message::{Load, replica_hash};
use crate::table::Table;
use place::copies::{self, Search, Step};
use platform::config::{self, Engine};
use platform::replica::{Entry, Operation};
use std::collections::{HashMap, HashSet};
use tracing::info;
use unit::{Name, Span, Time};

/// Notice that hosts get before a model is unloaded: two rounds of load reports.
const UNLOAD_NOTICE: Span = Span::from_ms(500);

/// Notice for a model without demand. A request that still arrives is rejected by the replica
/// before it runs, and goes elsewhere.
const UNLOAD_NOTICE_IDLE: Span = Span::from_ms(100);

/// Typical time from the decision to unload a model until its memory is known to be free, with few
/// requests running.
pub(super) const TYPICAL_UNLOAD: Span = Span::from_ms(1_200);

/// Upper bound on the duration of an unload.
const MAX_UNLOAD: Span = Span::from_secs(5);

/// Minimum duration assumed for a load from the weight store, in seconds.
const MIN_LOAD_SECS: f64 = 0.001;

/// Steps per plan, for each replica.
const STEPS_PER_REPLICA: usize = 1;

impl Planner {
    /// Queues the unloads that hosts have had notice of.
    pub(super) fn queue_due_unloads(&self) {
        let now = self.state.now();
        let mut fleet = self.fleet.lock();
        for record in fleet.records.values_mut() {
            if let Some(model) = record.take_due_unload(now) {
                record.queue.push_back(Job {
                    operation: Operation::Unload,
                    model,
                    adapter: None,
                    from_store: false,
                    duration: MAX_UNLOAD,
                });
            }
        }
    }

    /// Plans the next steps of one service: loads are queued, unloads are announced first. Returns
    /// whether there are any steps.
    ///
    /// The fleet is not locked during planning, which takes a sizable part of a second with many
    /// replicas. A step on a replica whose record has changed meanwhile is left to the next plan.
    pub(super) fn plan_service(&self, service: &Name, engine: &Engine) -> bool {
        let now = self.state.now();
        let loads = self.peers.inbox.loads(now);
        let backing_off = self.peers.inbox.backing_off(now);
        let (entries, capacities, features) = {
            let table = self.state.table.lock();
            let entries = entries(&table, service);
            let mut capacities = rate_limited_capacity(&table, service, &entries, now);
            capacities.extend(backing_off_capacity(&entries, &backing_off, &loads));
            (entries, capacities, table.features(service))
        };
        let (replicas, models, available, policy) = {
            let mut fleet = self.fleet.lock();
            let fleet = &mut *fleet;
            let replicas = replicas(&entries, &fleet.records, engine, (&loads, &capacities), now);
            fleet.note_held(service, engine, &replicas, now);
            let mut models = models(service, engine, &fleet.demand, now);
            if features.early_copies {
                fleet.add_found_demand(service, engine, &mut models, now);
                early::shorten_absence(engine, &replicas, &mut models);
            }
            let traffic_since = fleet.traffic_since.get(service).copied();
            let policy = early::policy(features, traffic_since, now);
            let new = || self.new_bucket(engine, features.early_copies, now);
            let bucket = fleet.buckets.entry(service.clone()).or_insert_with(new);
            (replicas, models, bucket.available(now), policy)
        };
        let max_steps = entries.len() * STEPS_PER_REPLICA;
        let limits = (available, max_steps);
        let steps = copies::plan_with(policy, Search::Pruned, &replicas, &models, limits).steps;
        let plan = Plan {
            service,
            engine,
            indices: indices(engine),
            entries: &entries,
            replicas: &replicas,
            models: &models,
        };
        if features.early_copies {
            self.record_copies(&plan, now);
        }
        self.apply_steps(&plan, steps)
    }

    /// Applies the steps of a plan, and returns whether any was applied.
    fn apply_steps(&self, plan: &Plan, steps: Vec<Step>) -> bool {
        let now = self.state.now();
        let mut fleet = self.fleet.lock();
        let fleet = &mut *fleet;
        let Some(bucket) = fleet.buckets.get_mut(plan.service) else {
            return false;
        };
        let mut started = HashSet::new();
        let mut any_applied = false;
        for step in steps {
            let (Step::Load { replica, .. } | Step::Unload { replica, .. }) = &step;
            let replica = *replica;
            let entry = &plan.entries[replica];
            // The replica has left since the plan was made.
            let Some(record) = fleet.records.get_mut(&entry.id) else {
                continue;
            };
            let is_as_planned = started.contains(&replica) || plan.is_current(replica, record, now);
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
            started.insert(replica);
            any_applied = true;
            log_step(&step, entry, plan);
            match step {
                Step::Load {
                    model, from_store, ..
                } => {
                    if from_store {
                        bucket.take();
                    }
                    let job = load_job(entry, &plan.engine.models[model], from_store);
                    record.queue.push_back(job);
                    record.clear_reservation();
                }
                Step::Unload {
                    models: unloaded,
                    replacement,
                    ..
                } => plan.schedule_unloads(replica, record, unloaded, replacement, now),
            }
        }
        any_applied
    }

    /// Rate limiter for a service's loads at the start of a term.
    fn new_bucket(&self, engine: &Engine, early_copies: bool, now: Time) -> Bucket {
        let bounds = &self.state.settings.bounds;
        let window = bounds.load_window.into();
        let rate = engine.loads_per_second;
        let mut bucket = Bucket::new(rate, window, bounds.load_overage, now);
        if early_copies {
            bucket = bucket.count_by_window(window, now);
        }
        if self.term.is_first {
            bucket.fill();
        }
        bucket
    }
}

/// Index of each model in the configuration, by name.
pub(super) type Indices<'a> = HashMap<&'a str, usize>;

pub(super) fn indices(engine: &Engine) -> Indices<'_> {
    let names = engine.models.iter().map(|m| &*m.name);
    names.enumerate().map(|(i, name)| (name, i)).collect()
}

/// Inputs of a plan of one service.
pub(super) struct Plan<'a> {
    pub(super) service: &'a Name,
    pub(super) engine: &'a Engine,
    indices: Indices<'a>,
    pub(super) entries: &'a [Entry],
    pub(super) replicas: &'a [copies::Replica],
    pub(super) models: &'a [copies::Model],
}

impl Plan<'_> {
    /// Whether a replica's record still matches the inputs of the plan, utilization aside.
    fn is_current(&self, replica: usize, record: &Record, now: Time) -> bool {
        let planned = &self.replicas[replica];
        let entry = &self.entries[replica];
        let utilization = planned.utilization;
        let current = self::replica(entry, record, self.engine, &self.indices, utilization, now);
        copies::Replica {
            degraded_capacity: planned.degraded_capacity,
            ..current
        } == *planned
    }

    /// Schedules the unloads that free memory for another model.
    fn schedule_unloads(
        &self,
        replica: usize,
        record: &mut Record,
        unloaded: Vec<usize>,
        replacement: usize,
        now: Time,
    ) {
        let entry = &self.entries[replica];
        let name = |model: usize| self.engine.models[model].name.clone();
        let unload_at = |m: usize| match self.models[m].demand > 0.0 {
            true => now + UNLOAD_NOTICE,
            false => now + UNLOAD_NOTICE_IDLE,
        };
        let from_store = !self.replicas[replica].cached.contains(&replacement);
        let duration = load_job(entry, &self.engine.models[replacement], from_store).duration;
        let arrival = now + TYPICAL_UNLOAD * unloaded.len() as f64 + duration;
        let unloaded = unloaded.into_iter().map(|m| (name(m), unload_at(m)));
        record.schedule_unloads(unloaded, name(replacement), arrival);
    }
}

impl Fleet {
    /// Records which models of a service are loaded on any replica.
    fn note_held(
        &mut self,
        service: &Name,
        engine: &Engine,
        replicas: &[copies::Replica],
        now: Time,
    ) {
        let in_service = replicas.iter().filter(|r| r.in_service);
        let held: HashSet<usize> = in_service.flat_map(|r| &r.held).copied().collect();
        for (m, model) in engine.models.iter().enumerate() {
            let key = (service.clone(), model.name.clone());
            if let Some(demand) = self.demand.get_mut(&key) {
                demand.note_held(held.contains(&m), now);
            }
        }
    }
}

/// Logs a step and the demand behind it.
fn log_step(step: &Step, entry: &Entry, plan: &Plan) {
    let (engine, models) = (plan.engine, plan.models);
    let copies = |model: usize| early::copies_of(model, plan.replicas);
    let name = |model: usize| &*engine.models[model].name;
    match step {
        Step::Load {
            model, from_store, ..
        } => {
            let planned = &models[*model];
            info!(target: "planner", event = "load", replica = &*entry.id, model = name(*model), from_store, demand = planned.demand, recent = planned.recent_demand, unserved = planned.unserved_secs, copies = copies(*model), "loading a copy of a model")
        }
        Step::Unload {
            models: unloaded,
            replacement,
            ..
        } => {
            for model in unloaded {
                let (demand, wanted) = (models[*model].demand, models[*replacement].demand);
                info!(target: "planner", event = "close", replica = &*entry.id, model = name(*model), instead = name(*replacement), demand, wanted, copies = copies(*model), copies_instead = copies(*replacement), "unloading a copy to free memory for another model")
            }
        }
    }
}

/// Order to load a model; its duration depends on where the weights come from.
pub(super) fn load_job(entry: &Entry, model: &config::Model, from_store: bool) -> Job {
    let duration = match () {
        _ if from_store => model.load_time,
        _ if entry.in_memory.contains(&model.name) => model.load_time_from_memory,
        _ => model.load_time_from_disk,
    };
    Job {
        operation: Operation::Load,
        model: model.name.clone(),
        adapter: None,
        from_store,
        duration: duration.into(),
    }
}

/// Models of a service as inputs of the plan, in the order of the configuration.
fn models(
    service: &Name,
    engine: &Engine,
    demand: &HashMap<(Name, Name), Demand>,
    now: Time,
) -> Vec<copies::Model> {
    let of = |model: &config::Model| demand.get(&(service.clone(), model.name.clone()));
    let demands = engine.models.iter().filter_map(of);
    let expected = demand::expected_idle_demand(demands, engine.models.len(), now);
    let to_input = |model: &config::Model| {
        let demand = of(model).copied().unwrap_or_default();
        copies::Model {
            memory_mb: model.memory_mb,
            demand: demand.current,
            recent_demand: demand.recent,
            unserved_secs: demand.unserved_since.map_or(0.0, |at| now.since(at).secs()),
            store_factor: model.load_time_from_disk.as_secs_f64()
                / model.load_time.as_secs_f64().max(MIN_LOAD_SECS),
            expected_demand: expected,
        }
    };
    engine.models.iter().map(to_input).collect()
}

/// Replicas of a service as inputs of the plan, in the order of their entries.
fn replicas(
    entries: &[Entry],
    records: &HashMap<Name, Record>,
    engine: &Engine,
    (loads, capacities): (&HashMap<u32, Load>, &HashMap<Name, f64>),
    now: Time,
) -> Vec<copies::Replica> {
    let unknown = Record::default();
    let indices = indices(engine);
    let to_input = |entry: &Entry| {
        let record = records.get(&entry.id).unwrap_or(&unknown);
        let utilization = utilization(entry, loads);
        let input = replica(entry, record, engine, &indices, utilization, now);
        copies::Replica {
            degraded_capacity: capacities.get(&entry.id).copied(),
            ..input
        }
    };
    entries.iter().map(to_input).collect()
}

/// One replica as an input of the plan.
fn replica(
    entry: &Entry,
    record: &Record,
    engine: &Engine,
    indices: &Indices,
    utilization: f64,
    now: Time,
) -> copies::Replica {
    let index = |name: &Name| indices.get(&**name).copied();
    let unloading = record.unloading();
    let resident = record
        .resident
        .iter()
        .filter(|h| !unloading.contains(&&h.model));
    let held: Vec<usize> = resident.filter_map(|h| index(&h.model)).collect();
    let orders = record.pending.iter().map(|p| &p.job).chain(&record.queue);
    let loads = orders.filter(|j| j.operation == Operation::Load && j.adapter.is_none());
    let incoming = loads.map(|j| &j.model).chain(record.reserved_for());
    let mut incoming: Vec<usize> = incoming.filter_map(index).collect();
    incoming.retain(|m| !held.contains(m));
    let cached = entry.in_memory.iter().chain(&entry.on_disk);
    copies::Replica {
        free_mb: record.free_mb(engine),
        held,
        incoming,
        recently_loaded: record
            .recently_loaded(now)
            .and_then(index)
            .into_iter()
            .collect(),
        cached: cached.filter_map(index).collect(),
        reserved_for: record.reserved_for().and_then(index),
        accepts_orders: record.accepts_orders(),
        unloading: record.is_unloading(),
        in_service: !entry.leaving && !record.is_lost(now),
        utilization,
        degraded_capacity: None,
    }
}

/// Fraction of their slots in use at replicas that most hosts back off from.
fn backing_off_capacity(
    entries: &[Entry],
    backing_off: &HashSet<u32>,
    loads: &HashMap<u32, Load>,
) -> HashMap<Name, f64> {
    let backing_off = entries
        .iter()
        .filter(|e| backing_off.contains(&replica_hash(&e.id)));
    let capacities =
        backing_off.map(|entry| (entry.id.clone(), utilization(entry, loads).min(1.0)));
    capacities.collect()
}

/// Fraction of their slots that replicas with an advertised rate limit can keep busy at that rate.
fn rate_limited_capacity(
    table: &Table,
    service: &Name,
    entries: &[Entry],
    now: Time,
) -> HashMap<Name, f64> {
    let capacity = |entry: &Entry| {
        let rate = table.limit_of(&entry.id, now)?;
        let durations = entry
            .resident
            .iter()
            .map(|resident| table.pace(service, &resident.model).1);
        let longest = durations.max()?;
        let utilization = rate * longest.secs() / f64::from(entry.slots.max(1));
        Some((entry.id.clone(), utilization.min(1.0)))
    };
    entries.iter().filter_map(capacity).collect()
}
