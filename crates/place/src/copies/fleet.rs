//! What a plan of copies knows while it is made: counts of copies, demand on each replica, and what
//! copies are worth.

use super::{Model, Replica, Step};

/// Part of a copy in place of none, by which the value of a model's first copy is reckoned.
const NO_COPY: f64 = 0.5;

/// Value of the demand that one more copy takes off the others, against the value of having it at
/// all.
const RELIEVED: f64 = 10.0;

/// Least weight of a model that nobody asks for now, so that leftover memory is spread.
const UNASKED: f64 = 0.05;

/// Copies of one model on replicas that stay.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Count {
    /// Those that are there.
    pub(super) held: usize,
    /// Those that are there or will be.
    pub(super) all: usize,
}

/// Replicas and models while a plan is made; both by index.
pub(super) struct Fleet<'a> {
    pub(super) replicas: Vec<Replica>,
    pub(super) models: &'a [Model],
    pub(super) counts: Vec<Count>,
    /// Demand that falls on each replica when that for a model is shared evenly by its copies.
    demand: Vec<f64>,
}

impl<'a> Fleet<'a> {
    /// Takes in the replicas as they are.
    pub(super) fn new(replicas: &[Replica], models: &'a [Model]) -> Fleet<'a> {
        let mut fleet = Fleet {
            replicas: replicas.to_vec(),
            models,
            counts: Vec::new(),
            demand: Vec::new(),
        };
        fleet.count();
        fleet
    }

    /// Takes in a step that is to be done; its replica does no other.
    pub(super) fn take(&mut self, step: Step) {
        match step {
            Step::Load { replica, model, .. } => {
                let replica = &mut self.replicas[replica];
                replica.coming.push(model);
                replica.free_mb -= self.models[model].memory_mb;
                replica.idle = false;
            }
            Step::Unload {
                replica,
                model,
                instead,
            } => {
                let replica = &mut self.replicas[replica];
                replica.held.retain(|m| *m != model);
                // The room is meant for that model, so no other replica loads it on top.
                replica.coming.push(instead);
                replica.idle = false;
            }
        }
        self.count();
    }

    /// Brings counts and what follows from them up to date.
    fn count(&mut self) {
        self.counts = counts(&self.replicas, self.models.len());
        self.demand = self.replicas.iter().map(|r| self.demand_on(r)).collect();
    }

    fn demand_on(&self, replica: &Replica) -> f64 {
        let part = |m: &usize| self.models[*m].demand / self.counts[*m].all.max(1) as f64;
        on(replica).map(part).sum()
    }

    /// Whether a replica holds a model or will.
    pub(super) fn is_on(&self, model: usize, r: usize) -> bool {
        on(&self.replicas[r]).any(|m| *m == model)
    }

    /// Value of one more copy of a model where there are `count`, on a replica on which so much demand
    /// for other models falls.
    fn value(&self, model: usize, count: usize, others: f64) -> f64 {
        let model = &self.models[model];
        let n = (count as f64).max(NO_COPY);
        // A copy relieves the others the less, the more its replica has to do already.
        let asked = (1.0 + RELIEVED) * model.demand + model.recent;
        let relieved = asked / (1.0 + others);
        // Copies so valued go by the square root of demand: demand moves from the busiest model to one
        // that few asked for within less time than weights need to come, so that the next ones must
        // not have their copies taken for the busiest.
        (UNASKED + relieved) / (n * (n + 1.0))
    }

    /// What one more copy of a model gains on a replica, at the most: nothing is given up for it.
    pub(super) fn gain(&self, model: usize, r: usize) -> f64 {
        self.value(model, self.counts[model].all, self.demand[r])
    }

    /// What one more copy of a model gains on an empty replica.
    pub(super) fn most_gain(&self, model: usize) -> f64 {
        self.value(model, self.counts[model].all, 0.0)
    }

    /// What is lost when a replica gives up a copy.
    pub(super) fn loss(&self, model: usize, r: usize) -> f64 {
        let count = self.counts[model].all.max(1);
        let own = self.models[model].demand / count as f64;
        let left = (count - 1).max(1);
        self.value(model, left, (self.demand[r] - own).max(0.0))
    }
}

/// Models that a replica holds or will.
fn on(replica: &Replica) -> impl Iterator<Item = &usize> {
    replica.held.iter().chain(&replica.coming)
}

/// Copies of each model on replicas that stay.
fn counts(replicas: &[Replica], models: usize) -> Vec<Count> {
    let mut counts = vec![Count::default(); models];
    for replica in replicas.iter().filter(|r| r.stays) {
        for model in &replica.held {
            counts[*model].held += 1;
            counts[*model].all += 1;
        }
        for model in &replica.coming {
            counts[*model].all += 1;
        }
    }
    counts
}
