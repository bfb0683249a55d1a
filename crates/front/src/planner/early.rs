//! Copies ahead of demand: how plans weigh copies where a service calls for it, and what an operator sees of it.

use super::demand::RELOAD_PERIOD;
use super::service::{self, Plan};
use super::{Fleet, PLAN_INTERVAL, Planner};
use crate::features::Features;
use crate::fleet::Bucket;
use crate::routes::Routes;
use place::copies::{self, Policy, Worth};
use platform::config::{self, Engine};
use platform::replica::Entry;
use std::collections::HashMap;
use std::sync::Arc;
use tracing::info;
use unit::{Name, Span, Time};

/// Replicas with the weights of an idle model at hand from which its last copy may give way: the one that lets it go,
/// and another if that one is lost.
const AT_HAND_TO_LEAVE: usize = 2;

/// Share of the replicas that may unload at the same time. Most hold an idle copy, which goes with little notice.
const UNLOADING_SHARE: f64 = 1.0 / 3.0;

/// Replicas up to which orders are sent between plans: with more, a plan takes most of that time.
const MAX_ADVANCED_REPLICAS: usize = 500;

/// Time after the first requests, or after a change of the leader, in which a model without requests may only not have
/// had its first: copies give way to models that have none, and to no others.
const FIRST_COUNT: Span = Span::from_ms(1_000);

/// Time constant with which the copies that a leader found stop counting as a sign of demand, once requests come.
const FOUND_PERIOD: Span = Span::from_secs(3);

/// Recent demand that each further copy found is a sign of.
const FOUND_DEMAND: f64 = 0.5;

/// Policy of a service's plans.
pub(super) fn policy(features: Features, traffic_since: Option<Time>, now: Time) -> Policy {
    if !features.early_copies {
        return Policy::default();
    }
    let is_counted = traffic_since.is_some_and(|at| now.since(at) >= FIRST_COUNT);
    Policy {
        worth: Worth::Queueing,
        at_hand_to_leave: features.evict_idle_models.then_some(AT_HAND_TO_LEAVE),
        unloading_share: if is_counted { UNLOADING_SHARE } else { 0.0 },
        waits_for_store: false,
    }
}

/// Copies of each model that replicas held when they were found, by service and model.
pub(super) type FoundCopies = HashMap<(Name, Name), u32>;

impl Fleet {
    /// Counts the copies on a newly found replica.
    pub(super) fn note_found(&mut self, entry: &Entry) {
        for resident in &entry.resident {
            let key = (entry.service.clone(), resident.model.clone());
            *self.found_copies.entry(key).or_default() += 1;
        }
    }

    /// Raises the recent demand for models that had several copies when this leader found them: whoever placed these
    /// knew the demand before.
    pub(super) fn add_found_demand(
        &self,
        service: &Name,
        engine: &Engine,
        models: &mut [copies::Model],
        now: Time,
    ) {
        let since = self.traffic_since.get(service);
        let age = since.map_or(0.0, |at| now.since(*at).secs());
        let weight = FOUND_DEMAND * (-age / FOUND_PERIOD.secs()).exp();
        for (model, config) in models.iter_mut().zip(&engine.models) {
            let key = (service.clone(), config.name.clone());
            let found = self.found_copies.get(&key).copied().unwrap_or(0);
            let expected = f64::from(found.saturating_sub(1)) * weight;
            model.recent_demand = model.recent_demand.max(expected);
        }
    }
}

/// Scales the demand expected while an evicted last copy is absent, for models at hand on enough replicas: they come
/// back after an unload and a load from there.
pub(super) fn shorten_absence(
    engine: &Engine,
    replicas: &[copies::Replica],
    models: &mut [copies::Model],
) {
    let mut places = vec![0; models.len()];
    let in_service = replicas.iter().filter(|r| r.in_service);
    for model in in_service.flat_map(|r| &r.cached) {
        places[*model] += 1;
    }
    for (m, model) in models.iter_mut().enumerate() {
        if places[m] >= AT_HAND_TO_LEAVE {
            let load = Span::from(engine.models[m].load_time_from_disk);
            let absence = service::TYPICAL_UNLOAD + load;
            model.expected_demand *= (absence.secs() / RELOAD_PERIOD.secs()).min(1.0);
        }
    }
}

/// Models that are short of copies, by service and model: since when, and copies held then.
pub(super) type Shortages = HashMap<(Name, Name), (Time, usize)>;

impl Planner {
    /// Queues the load that a replica has freed memory for as soon as its report shows the room, where a service calls
    /// for early copies; elsewhere, and if the weight store allows no load now, the next plan does.
    pub(super) fn load_reserved(&self, entry: &Entry, engine: &Engine, now: Time) {
        if !self.has_early_copies(&entry.service) {
            return;
        }
        let mut fleet = self.fleet.lock();
        let fleet = &mut *fleet;
        let Some(record) = fleet.records.get_mut(&entry.id) else {
            return;
        };
        let reserved = record.reserved_for().filter(|_| record.is_unoccupied());
        let is_reserved = |m: &&config::Model| reserved == Some(&m.name);
        let Some(model) = engine.models.iter().find(is_reserved) else {
            return;
        };
        let mut cached = entry.in_memory.iter().chain(&entry.on_disk);
        let from_store = !cached.any(|m| *m == model.name);
        let job = service::load_job(entry, model, from_store);
        if !record.fits(&job, engine) {
            return;
        }
        let bucket = fleet.buckets.get_mut(&entry.service);
        if bucket.is_some_and(|b| take_token(b, from_store, now)) {
            info!(target: "planner", event = "load", replica = &*entry.id, model = &*model.name, from_store, "loading a copy of a model into the memory freed for it");
            record.queue.push_back(job);
            record.clear_reservation();
        }
    }

    /// Has a replica that gave no report asked again by the next plan, and not before.
    pub(super) fn postpone_report(&self, entry: &Entry) {
        if !self.has_early_copies(&entry.service) {
            return;
        }
        let next = self.state.now() + Span::from(PLAN_INTERVAL);
        if let Some(record) = self.fleet.lock().records.get_mut(&entry.id) {
            record.report_due = record.report_due.map(|due| due.max(next));
        }
    }

    /// Sends what has become due between two plans: unloads that hosts have had notice of, and reports.
    pub(super) fn advance(self: &Arc<Self>) {
        self.sync();
        self.queue_due_unloads();
        for id in self.replicas_to_call() {
            self.dispatch(id);
        }
    }

    /// Whether a service calls for early copies, and the replicas are few enough to look at between plans.
    pub(super) fn may_advance(&self, routes: &Routes) -> bool {
        let is_small = self.fleet.lock().records.len() <= MAX_ADVANCED_REPLICAS;
        let mut services = routes.engines();
        is_small && services.any(|(service, _)| self.has_early_copies(service))
    }

    pub(super) fn has_early_copies(&self, service: &Name) -> bool {
        self.state.table.lock().features(service).early_copies
    }

    /// Records copies by tier, and the time from demand to each further copy of the models in demand.
    pub(super) fn record_copies(&self, plan: &Plan, now: Time) {
        let sum = |count: fn(&Entry) -> usize| plan.entries.iter().map(count).sum::<usize>() as f64;
        let tiers = [
            ("accelerator", sum(|e| e.resident.len())),
            ("memory", sum(|e| e.in_memory.len())),
            ("disk", sum(|e| e.on_disk.len())),
        ];
        let metrics = &self.state.log.metrics;
        for (tier, copies) in tiers {
            let labels = [("service", &**plan.service), ("tier", tier)];
            metrics.gauge("coveford_weights", &labels).set(copies);
        }
        let held = held(plan.replicas, plan.models.len());
        let mut fleet = self.fleet.lock();
        for (m, model) in plan.models.iter().enumerate() {
            let key = (plan.service.clone(), plan.engine.models[m].name.clone());
            let short = fleet.shortages.get(&key).copied();
            if let Some((since, before)) = short
                && held[m] > before
            {
                let labels = [("copy", ordinal(before + 1))];
                metrics
                    .histogram("coveford_copy_wait_seconds", &labels)
                    .record(now.since(since).secs());
            }
            match held[m] < wanted(model) {
                true if short.is_none_or(|(_, before)| held[m] != before) => {
                    let since = short.map_or(now, |(since, _)| since);
                    fleet.shortages.insert(key, (since, held[m]));
                }
                true => {}
                false => {
                    fleet.shortages.remove(&key);
                }
            }
        }
    }
}

/// Takes a token if a load needs one; returns whether it may start.
fn take_token(bucket: &mut Bucket, from_store: bool, now: Time) -> bool {
    if !from_store {
        return true;
    }
    let is_available = bucket.available(now) > 0;
    if is_available {
        bucket.take();
    }
    is_available
}

/// Loaded copies of each model on replicas in service.
fn held(replicas: &[copies::Replica], models: usize) -> Vec<usize> {
    let mut held = vec![0; models];
    let in_service = replicas.iter().filter(|r| r.in_service);
    for model in in_service.flat_map(|r| &r.held) {
        held[*model] += 1;
    }
    held
}

/// Loaded and incoming copies of a model on replicas in service.
pub(super) fn copies_of(model: usize, replicas: &[copies::Replica]) -> usize {
    let in_service = replicas.iter().filter(|r| r.in_service);
    let on = in_service.flat_map(|r| r.held.iter().chain(&r.incoming));
    on.filter(|m| **m == model).count()
}

/// Copies that the current demand for a model asks for.
fn wanted(model: &copies::Model) -> usize {
    model.demand.ceil() as usize
}

/// Value of the metric label `copy`.
fn ordinal(copy: usize) -> &'static str {
    match copy {
        1 => "first",
        2 => "second",
        3 => "third",
        _ => "further",
    }
}
