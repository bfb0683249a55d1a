//! Planner status from the leader: models that are being loaded, were just loaded or are about to
//! be unloaded, and replicas that several hosts could not reach.

use super::Table;
use crate::message::replica_hash;
use crate::rounds;
use std::collections::{HashMap, HashSet};
use unit::{Name, Span, Time};

/// Least age beyond which the leader's list of unreachable replicas is ignored. A few rounds, so that the list ends soon
/// after the leader.
const MIN_UNREACHABLE_AGE: Span = Span::from_ms(600);

/// Rounds after which the list is ignored: a replica that returns must not be avoided for long.
const UNREACHABLE_ROUNDS: f64 = 1.5;

/// The last planner status.
#[derive(Default)]
pub(super) struct PlannerStatus {
    /// When a copy of each model is expected.
    model_etas: HashMap<Name, Time>,
    /// Hashes of replicas that several hosts could not reach, and when the list came.
    unreachable: (HashSet<u32>, Time),
    /// Models just loaded, by replica.
    pub(super) loaded: Assignments,
    /// Models about to be unloaded, by replica.
    pub(super) unloading: Assignments,
}

impl PlannerStatus {
    /// Sets when copies of models are expected, in milliseconds from now.
    pub(super) fn set_model_etas(&mut self, etas: &[(Name, u32)], now: Time) {
        let due = |ms: &u32| now + Span::from_ms(u64::from(*ms));
        let etas = etas.iter().map(|(model, ms)| (model.clone(), due(ms)));
        self.model_etas = etas.collect();
    }

    /// Sets the replicas that several hosts could not reach.
    pub(super) fn set_unreachable(&mut self, unreachable: Vec<u32>, now: Time) {
        self.unreachable = (unreachable.into_iter().collect(), now);
    }

    /// Whether several hosts could not reach a replica, by a list of at most `max_age`.
    fn is_unreachable(&self, replica: &str, max_age: Span, now: Time) -> bool {
        let (unreachable, received_at) = &self.unreachable;
        !unreachable.is_empty()
            && now.since(*received_at) < max_age
            && unreachable.contains(&replica_hash(replica))
    }

    /// Time until a copy of a model is expected.
    pub(super) fn model_eta(&self, model: &Name, now: Time) -> Option<Span> {
        self.model_etas
            .get(model)
            .map(|expected_at| expected_at.since(now))
    }
}

/// Pairs of replica and model, and when they were received.
#[derive(Default)]
pub(super) struct Assignments {
    /// Models by replica.
    models: HashMap<Name, Vec<Name>>,
    received_at: Time,
}

impl Assignments {
    /// Replaces all pairs.
    pub(super) fn set(&mut self, pairs: Vec<(Name, Name)>, now: Time) {
        self.models.clear();
        for (replica, model) in pairs {
            self.models.entry(replica).or_default().push(model);
        }
        self.received_at = now;
    }

    /// Adds a pair.
    fn add(&mut self, replica: Name, model: Name, now: Time) {
        self.models.entry(replica).or_default().push(model);
        self.received_at = now;
    }

    /// Removes the pairs of a replica.
    pub(super) fn forget(&mut self, replica: &Name) {
        self.models.remove(replica);
    }

    /// Whether a digest of at most `max_age` paired a replica with a model.
    pub(super) fn contains(&self, replica: &Name, model: &Name, max_age: Span, now: Time) -> bool {
        let models = self.models.get(replica);
        now.since(self.received_at) < max_age && models.is_some_and(|m| m.contains(model))
    }
}

impl Table {
    /// Whether the leader's last list says that several hosts could not reach a replica.
    pub(super) fn is_reported_unreachable(&self, replica: &str, now: Time) -> bool {
        let max_age =
            rounds::at_least_rounds(MIN_UNREACHABLE_AGE, UNREACHABLE_ROUNDS, self.host_count);
        self.planner_status.is_unreachable(replica, max_age, now)
    }

    /// Whether a replica is about to unload a model.
    pub(super) fn is_unloading(&self, replica: &Name, model: &Name, now: Time) -> bool {
        let unloading = &self.planner_status.unloading;
        unloading.contains(replica, model, self.max_digest_age(), now)
    }

    /// Time since the last planner status.
    pub fn planner_status_age(&self, now: Time) -> Span {
        now.since(self.planner_status.loaded.received_at)
    }

    /// Sets which replicas have just loaded which models.
    pub fn set_loaded(&mut self, loaded: Vec<(Name, Name)>, now: Time) {
        self.planner_status.loaded.set(loaded, now);
    }

    /// Adds a replica that has just loaded a model.
    pub fn add_loaded(&mut self, replica: Name, model: Name, now: Time) {
        self.planner_status.loaded.add(replica, model, now);
    }

    /// Sets when a copy of a model is expected, in milliseconds from now.
    pub fn add_model_eta(&mut self, model: Name, eta_ms: u32, now: Time) {
        let due = now + Span::from_ms(u64::from(eta_ms));
        self.planner_status.model_etas.insert(model, due);
    }

    /// Sets which replicas are about to unload which models.
    pub fn set_unloading(&mut self, unloading: Vec<(Name, Name)>, now: Time) {
        self.planner_status.unloading.set(unloading, now);
    }

    /// Sets the replicas, by hash, that several hosts could not reach.
    pub fn set_unreachable(&mut self, unreachable: Vec<u32>, now: Time) {
        self.planner_status.set_unreachable(unreachable, now);
    }

    /// Sets when copies of models are expected, in milliseconds from now.
    pub fn set_model_etas(&mut self, etas: &[(Name, u32)], now: Time) {
        self.planner_status.set_model_etas(etas, now);
    }
}
