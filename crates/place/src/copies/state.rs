//! State of a plan under construction: copies of each model, demand on each replica, and the value of
//! a further copy.

use super::worth::{self, Policy, Worth};
use super::{ACTIVE_DEMAND, Model, Replica, Step};
use std::collections::BTreeSet;

/// Capacity, in copies, that is assumed for a model without any, so that the value of its first copy is
/// finite.
const MIN_CAPACITY: f64 = 0.5;

/// Weight of current demand, which a further copy takes from the others, relative to recent demand.
const RELIEF_WEIGHT: f64 = 10.0;

/// Weight of current demand beside what a copy relieves by queueing: copies still spread over models in demand.
const QUEUEING_SPREAD: f64 = 2.0;

/// Weight of a model without demand; spreads spare memory over such models.
const BASE_WEIGHT: f64 = 0.05;

/// Time in seconds after which the value of a copy doubles for a model that is in demand and on no
/// replica: about that of an unload and a load from disk. Models of equal demand thus share slots in
/// turn.
const WAIT_DOUBLING_SECS: f64 = 4.0;

/// Copies of one model on replicas in service.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CopyCount {
    /// Loaded copies.
    pub(super) held: usize,
    /// Loaded and incoming copies.
    pub(super) total: usize,
    /// Capacity of all these; a copy on a replica of full capacity counts as 1.
    capacity: f64,
}

/// Replicas and models by index, with the steps of the plan so far applied.
pub(super) struct State<'a> {
    pub(super) replicas: Vec<Replica>,
    pub(super) models: &'a [Model],
    pub(super) counts: Vec<CopyCount>,
    /// Whether there are fewer slots than models.
    pub(super) oversubscribed: bool,
    policy: Policy,
    /// Whether the last copy of each model may give way though there are slots for all: it is idle, and its weights
    /// are at hand on enough replicas.
    may_leave: Vec<bool>,
    /// Demand on each replica when that for a model is divided among its copies by capacity.
    demand: Vec<f64>,
    /// Replicas with a loaded or incoming copy of each model, in ascending order.
    holders: Vec<BTreeSet<usize>>,
    /// Smallest loss of value when a replica evicts one of its copies; infinite if it holds none.
    min_loss: Vec<f64>,
    /// Size of the smallest model in MB.
    min_memory_mb: f64,
}

impl<'a> State<'a> {
    pub(super) fn new(policy: Policy, replicas: &[Replica], models: &'a [Model]) -> State<'a> {
        let mut holders = vec![BTreeSet::new(); models.len()];
        for (r, replica) in replicas.iter().enumerate() {
            for model in models_on(replica) {
                holders[*model].insert(r);
            }
        }
        let sizes = models.iter().map(|m| m.memory_mb);
        let mut state = State {
            replicas: replicas.to_vec(),
            models,
            counts: vec![CopyCount::default(); models.len()],
            oversubscribed: slots(replicas, models) < models.len(),
            policy,
            may_leave: may_leave(policy, replicas, models),
            demand: vec![0.0; replicas.len()],
            holders,
            min_loss: vec![0.0; replicas.len()],
            min_memory_mb: sizes.fold(f64::INFINITY, f64::min),
        };
        for model in 0..models.len() {
            state.counts[model] = state.count_copies(model);
        }
        state.refresh_replicas(0..replicas.len());
        state
    }

    /// Applies a step. Its replica takes no further order in this plan.
    pub(super) fn apply(&mut self, step: &Step) {
        match step {
            Step::Load {
                replica: r, model, ..
            } => {
                let replica = &mut self.replicas[*r];
                replica.incoming.push(*model);
                replica.free_mb -= self.models[*model].memory_mb;
                replica.accepts_orders = false;
                self.refresh(*r, &[*model]);
            }
            Step::Unload {
                replica: r,
                models,
                replacement,
            } => {
                let replica = &mut self.replicas[*r];
                replica.held.retain(|m| !models.contains(m));
                // Counts as a copy, so that no other replica loads the model as well.
                replica.incoming.push(*replacement);
                replica.accepts_orders = false;
                let changed: Vec<usize> = models.iter().copied().chain([*replacement]).collect();
                self.refresh(*r, &changed);
            }
        }
    }

    /// Keeps a replica's reservation, in which case it takes no order in this plan, or drops the
    /// reservation.
    pub(super) fn settle_reservation(&mut self, r: usize, keep: bool) {
        let replica = &mut self.replicas[r];
        replica.accepts_orders &= !keep;
        if !keep && let Some(model) = replica.reserved_for.take() {
            replica.incoming.retain(|m| *m != model);
            self.refresh(r, &[model]);
        }
    }

    /// Updates copy counts, demand and losses after the copies of some models on a replica have changed. Only the
    /// replicas that hold one of these models are affected.
    fn refresh(&mut self, r: usize, changed: &[usize]) {
        let mut affected = BTreeSet::from([r]);
        for model in changed {
            match self.has_copy(*model, r) {
                true => self.holders[*model].insert(r),
                false => self.holders[*model].remove(&r),
            };
            self.counts[*model] = self.count_copies(*model);
            affected.extend(&self.holders[*model]);
        }
        self.refresh_replicas(affected.iter().copied());
    }

    /// Recomputes demand and losses of replicas from the copy counts.
    fn refresh_replicas(&mut self, replicas: impl Iterator<Item = usize> + Clone) {
        for r in replicas.clone() {
            self.demand[r] = self.demand_on(&self.replicas[r]);
        }
        for r in replicas {
            let held = self.replicas[r].held.iter();
            let losses = held.map(|m| self.loss(*m, r));
            self.min_loss[r] = losses.fold(f64::INFINITY, f64::min);
        }
    }

    /// Counts the copies of a model on replicas in service.
    fn count_copies(&self, model: usize) -> CopyCount {
        let mut count = CopyCount::default();
        let replicas = self.holders[model].iter().map(|r| &self.replicas[*r]);
        for replica in replicas.filter(|r| r.in_service) {
            let held = replica.held.iter().filter(|m| **m == model).count();
            let copies = models_on(replica).filter(|m| **m == model).count();
            count.held += held;
            count.total += copies;
            for _ in 0..copies {
                count.capacity += replica.capacity();
            }
        }
        count
    }

    /// Lower bound on the loss of freeing memory for any model on a replica; zero if a model may fit without.
    pub(super) fn min_eviction_loss(&self, r: usize) -> f64 {
        match self.replicas[r].free_mb >= self.min_memory_mb {
            true => 0.0,
            false => self.min_loss[r],
        }
    }

    fn demand_on(&self, replica: &Replica) -> f64 {
        models_on(replica)
            .map(|m| self.demand_share(*m, replica))
            .sum()
    }

    /// Demand for a model that one replica with a copy of it serves.
    fn demand_share(&self, model: usize, replica: &Replica) -> f64 {
        let capacity = self.counts[model].capacity.max(1.0);
        self.models[model].demand * replica.capacity() / capacity
    }

    /// Whether a replica has a loaded or incoming copy of a model.
    pub(super) fn has_copy(&self, model: usize, r: usize) -> bool {
        models_on(&self.replicas[r]).any(|m| *m == model)
    }

    /// Value of a further copy of a model whose copies have the given capacity, on a replica that serves
    /// `other_demand` for other models.
    fn value(&self, model: usize, capacity: f64, other_demand: f64) -> f64 {
        let model = &self.models[model];
        let n = capacity.max(MIN_CAPACITY);
        let demand = match capacity <= 0.0 {
            true => model.demand.max(model.expected_demand),
            false => model.demand,
        };
        // The busier the replica, the less demand the copy takes over.
        let is_queueing = self.policy.worth == Worth::Queueing && capacity > 0.0;
        let weight = if is_queueing {
            QUEUEING_SPREAD
        } else {
            RELIEF_WEIGHT
        };
        let weighted_demand = (1.0 + weight) * demand + model.recent_demand;
        let relief = weighted_demand / (1.0 + other_demand);
        // This value makes the number of copies proportional to the square root of demand. Demand shifts
        // between models faster than weights load, so the busiest model must not displace the copies of
        // the next ones.
        let spread = (BASE_WEIGHT + relief) / (n * (n + 1.0));
        match is_queueing {
            true => spread + worth::relief(demand, capacity) / (1.0 + other_demand),
            false => spread,
        }
    }

    /// Gain of a further copy of a model on a replica when nothing is evicted for it.
    pub(super) fn gain(&self, model: usize, r: usize) -> f64 {
        let value = self.value(model, self.counts[model].capacity, self.demand[r]);
        value * self.replicas[r].capacity() * self.wait_factor(model)
    }

    /// Upper bound on the gain of a further copy of a model: that on an empty replica.
    pub(super) fn max_gain(&self, model: usize) -> f64 {
        self.value(model, self.counts[model].capacity, 0.0) * self.wait_factor(model)
    }

    /// Factor on the value of a model that grows while it is on no replica.
    fn wait_factor(&self, model: usize) -> f64 {
        if self.counts[model].total > 0 {
            return 1.0;
        }
        1.0 + self.models[model].unserved_secs / WAIT_DOUBLING_SECS
    }

    /// Whether a model must have a copy: every model if there are slots for all, except idle ones that may leave,
    /// otherwise those in demand.
    pub(super) fn is_required(&self, model: usize) -> bool {
        !self.may_lose_last(model) || is_active(&self.models[model])
    }

    /// Whether free memory waits for a load from the weight store that is worth more than any that can start now.
    pub(super) fn waits_for_store(&self) -> bool {
        self.policy.waits_for_store
    }

    /// Whether the last copy of a model may give way.
    pub(super) fn may_lose_last(&self, model: usize) -> bool {
        self.oversubscribed || self.may_leave[model]
    }

    /// Loss of value when a replica evicts a copy.
    pub(super) fn loss(&self, model: usize, r: usize) -> f64 {
        let replica = &self.replicas[r];
        let own = self.demand_share(model, replica);
        let remaining = match self.counts[model].total {
            0 | 1 => 0.0,
            _ => self.counts[model].capacity - replica.capacity(),
        };
        self.value(model, remaining, (self.demand[r] - own).max(0.0)) * replica.capacity()
    }
}

fn is_active(model: &Model) -> bool {
    model.demand + model.recent_demand > ACTIVE_DEMAND
}

/// Models whose last copy may give way though there are slots for all.
fn may_leave(policy: Policy, replicas: &[Replica], models: &[Model]) -> Vec<bool> {
    let Some(needed) = policy.at_hand_to_leave else {
        return vec![false; models.len()];
    };
    let mut at_hand = vec![0; models.len()];
    for replica in replicas.iter().filter(|r| r.in_service) {
        let cached: BTreeSet<usize> = replica.cached.iter().copied().collect();
        for model in cached {
            at_hand[model] += 1;
        }
    }
    let may_leave = |m: usize| !is_active(&models[m]) && at_hand[m] >= needed;
    (0..models.len()).map(may_leave).collect()
}

/// Number of copies that the replicas in service hold or have memory for.
fn slots(replicas: &[Replica], models: &[Model]) -> usize {
    let memory: f64 = models.iter().map(|m| m.memory_mb).sum();
    let mean = memory / models.len().max(1) as f64;
    let in_service = replicas.iter().filter(|r| r.in_service);
    let slots_of =
        |r: &Replica| models_on(r).count() + (r.free_mb.max(0.0) / mean.max(1.0)) as usize;
    in_service.map(slots_of).sum()
}

/// Models with a loaded or incoming copy on a replica.
fn models_on(replica: &Replica) -> impl Iterator<Item = &usize> {
    replica.held.iter().chain(&replica.incoming)
}
