//! What a plan of copies knows while it is made: counts of copies, demand on each replica, and what
//! copies are worth.

use super::{ACTIVE_DEMAND, Model, Replica, Step};

/// Part of a copy in place of none, by which the value of a model's first copy is reckoned.
const NO_COPY: f64 = 0.5;

/// Value of the demand that one more copy takes off the others, against the value of having it at
/// all.
const RELIEVED: f64 = 10.0;

/// Least weight of a model that nobody asks for now, so that leftover memory is spread.
const UNASKED: f64 = 0.05;

/// Time in seconds after which a model that is asked for and on no replica is worth twice as much:
/// about that of a load from a disk, with room made for it. So models that are asked for alike take
/// turns, however few places there are.
const UNSERVED_DOUBLES: f64 = 4.0;

/// Copies of one model on replicas that stay.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Count {
    /// Those that are there.
    pub(super) held: usize,
    /// Those that are there or will be.
    pub(super) all: usize,
    /// What these serve, in copies on sound replicas: one in need serves a part.
    serving: f64,
}

/// Replicas and models while a plan is made; both by index.
pub(super) struct State<'a> {
    pub(super) replicas: Vec<Replica>,
    pub(super) models: &'a [Model],
    pub(super) counts: Vec<Count>,
    /// Whether there are fewer places than models, so that not all of them can be there at once.
    pub(super) scarce: bool,
    /// Demand that falls on each replica when that for a model is shared evenly by its copies.
    demand: Vec<f64>,
}

impl<'a> State<'a> {
    /// Takes in the replicas as they are.
    pub(super) fn new(replicas: &[Replica], models: &'a [Model]) -> State<'a> {
        let mut state = State {
            replicas: replicas.to_vec(),
            models,
            counts: Vec::new(),
            scarce: places(replicas, models) < models.len(),
            demand: Vec::new(),
        };
        state.count();
        state
    }

    /// Takes in a step that is to be done; its replica does no other.
    pub(super) fn take(&mut self, step: &Step) {
        match step {
            Step::Load { replica, model, .. } => {
                let replica = &mut self.replicas[*replica];
                replica.incoming.push(*model);
                replica.free_mb -= self.models[*model].memory_mb;
                replica.accepts_orders = false;
            }
            Step::Unload {
                replica,
                models,
                replacement,
            } => {
                let replica = &mut self.replicas[*replica];
                replica.held.retain(|m| !models.contains(m));
                // The room is meant for that model, so no other replica loads it on top.
                replica.incoming.push(*replacement);
                replica.accepts_orders = false;
            }
        }
        self.count();
    }

    /// Lets a replica that has made room wait, so that the room stays; or forgets what the room was for.
    pub(super) fn settle(&mut self, r: usize, waits: bool) {
        let replica = &mut self.replicas[r];
        replica.accepts_orders &= !waits;
        if !waits && let Some(model) = replica.reserved_for.take() {
            replica.incoming.retain(|m| *m != model);
        }
        self.count();
    }

    /// Brings counts and what follows from them up to date.
    fn count(&mut self) {
        self.counts = counts(&self.replicas, self.models.len());
        self.demand = self.replicas.iter().map(|r| self.demand_on(r)).collect();
    }

    fn demand_on(&self, replica: &Replica) -> f64 {
        on(replica).map(|m| self.part_on(*m, replica)).sum()
    }

    /// Demand for a model that falls on a replica which holds it.
    fn part_on(&self, model: usize, replica: &Replica) -> f64 {
        let serving = self.counts[model].serving.max(1.0);
        self.models[model].demand * replica.serves() / serving
    }

    /// Whether a replica holds a model or will.
    pub(super) fn is_on(&self, model: usize, r: usize) -> bool {
        on(&self.replicas[r]).any(|m| *m == model)
    }

    /// Value of one more copy of a model where others serve so much already, on a replica on which so much demand
    /// for other models falls.
    fn value(&self, model: usize, serving: f64, others: f64) -> f64 {
        let model = &self.models[model];
        let n = serving.max(NO_COPY);
        let demand = match serving <= 0.0 {
            true => model.demand.max(model.expected_demand),
            false => model.demand,
        };
        // A copy relieves the others the less, the more its replica has to do already.
        let asked = (1.0 + RELIEVED) * demand + model.recent_demand;
        let relieved = asked / (1.0 + others);
        // Copies so valued go by the square root of demand: demand moves from the busiest model to one
        // that few asked for within less time than weights need to come, so that the next ones must
        // not have their copies taken for the busiest.
        (UNASKED + relieved) / (n * (n + 1.0))
    }

    /// What one more copy of a model gains on a replica, at the most: nothing is given up for it.
    pub(super) fn gain(&self, model: usize, r: usize) -> f64 {
        let value = self.value(model, self.counts[model].serving, self.demand[r]);
        value * self.replicas[r].serves() * self.patience(model)
    }

    /// What one more copy of a model gains on an empty replica.
    pub(super) fn most_gain(&self, model: usize) -> f64 {
        self.value(model, self.counts[model].serving, 0.0) * self.patience(model)
    }

    /// Factor by which a model is worth more the longer it was on no replica.
    fn patience(&self, model: usize) -> f64 {
        if self.counts[model].all > 0 {
            return 1.0;
        }
        1.0 + self.models[model].unserved_secs / UNSERVED_DOUBLES
    }

    /// Whether a model is to be on some replica: each, while there are places for all; else those that
    /// are asked for.
    pub(super) fn is_needed(&self, model: usize) -> bool {
        let model = &self.models[model];
        !self.scarce || model.demand + model.recent_demand > ACTIVE_DEMAND
    }

    /// What is lost when a replica gives up a copy.
    pub(super) fn loss(&self, model: usize, r: usize) -> f64 {
        let replica = &self.replicas[r];
        let own = self.part_on(model, replica);
        let left = match self.counts[model].all {
            0 | 1 => 0.0,
            _ => self.counts[model].serving - replica.serves(),
        };
        self.value(model, left, (self.demand[r] - own).max(0.0)) * replica.serves()
    }
}

/// Models that the replicas hold or have room for.
fn places(replicas: &[Replica], models: &[Model]) -> usize {
    let memory: f64 = models.iter().map(|m| m.memory_mb).sum();
    let mean = memory / models.len().max(1) as f64;
    let staying = replicas.iter().filter(|r| r.in_service);
    let of_one = |r: &Replica| on(r).count() + (r.free_mb.max(0.0) / mean.max(1.0)) as usize;
    staying.map(of_one).sum()
}

/// Models that a replica holds or will.
fn on(replica: &Replica) -> impl Iterator<Item = &usize> {
    replica.held.iter().chain(&replica.incoming)
}

/// Copies of each model on replicas that stay.
fn counts(replicas: &[Replica], models: usize) -> Vec<Count> {
    let mut counts = vec![Count::default(); models];
    for replica in replicas.iter().filter(|r| r.in_service) {
        for model in &replica.held {
            counts[*model].held += 1;
            counts[*model].all += 1;
            counts[*model].serving += replica.serves();
        }
        for model in &replica.incoming {
            counts[*model].all += 1;
            counts[*model].serving += replica.serves();
        }
    }
    counts
}
