//! Which models each replica of a service should hold, and the next orders towards that.
//!
//! Pure: counts and demand in, steps out. Every model that is asked for gets a copy on a replica that
//! stays; where there are fewer places than models, idle ones give way, and those that are asked for
//! take turns. Memory left over is filled, since copies that are there before the demand comes cost
//! least; demand that no copy covers goes first. Loads from copies at hand go before loads from the
//! weight store, which allows only so many a second.
//!
//! `state` is what a plan knows while it is made, `step` finds the next step.

mod state;
mod step;

use state::State;

/// Part of the replicas that may be making room at once. An unload waits for the runs of its model,
/// some seconds, in which its replica takes no other order; the rest can follow a shift of demand.
const MAKING_ROOM: f64 = 1.0 / 6.0;

/// Demand, in replicas kept busy, from which a model counts as asked for: the recent demand of a single
/// request fades to this in half a minute.
pub const ACTIVE_DEMAND: f64 = 0.005;

/// Model as the plan sees it.
#[derive(Debug, Clone, Copy)]
pub struct Model {
    /// Memory of its weights, in MB.
    pub memory_mb: f64,
    /// Demand in replicas that it would keep busy.
    pub demand: f64,
    /// Demand of the last while, more slowly smoothed.
    pub recent_demand: f64,
    /// Time for which it has been asked for and on no replica, in seconds.
    pub unserved_secs: f64,
    /// Part of a copy's value that it keeps when it comes from the weight store: the time of a load from
    /// a disk over that from there, since a copy is worth the more the sooner it is there.
    pub store_factor: f64,
    /// Demand that may come without notice, before a copy could be back.
    pub expected_demand: f64,
}

/// Replica as the plan sees it; models by index.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Replica {
    /// Memory that nothing takes, in MB, with room kept for its adapters.
    pub free_mb: f64,
    /// Models that it holds, and does not give up.
    pub held: Vec<usize>,
    /// Models that it is loading, or for which it is making room.
    pub incoming: Vec<usize>,
    /// Model for which it has made room, and which it does not load yet.
    pub reserved_for: Option<usize>,
    /// Models that it holds since a moment ago: they do not give way yet, unless there are other copies.
    pub recently_loaded: Vec<usize>,
    /// Models of which it keeps a copy outside the accelerator.
    pub cached: Vec<usize>,
    /// Whether it takes an order now.
    pub accepts_orders: bool,
    /// Whether it is giving up a model.
    pub unloading: bool,
    /// Whether it stays.
    pub in_service: bool,
    /// Share of its places that are taken.
    pub utilization: f64,
    /// Part of what it could serve that it takes now, where it is in need.
    pub degraded_capacity: Option<f64>,
}

impl Replica {
    /// What it serves now, as a part of a sound replica.
    fn serves(&self) -> f64 {
        self.degraded_capacity.unwrap_or(1.0)
    }
}

/// Order that the plan wants given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Load a model on a replica.
    Load {
        /// Index of the replica.
        replica: usize,
        /// Index of the model.
        model: usize,
        /// Whether it comes from the weight store.
        from_store: bool,
    },
    /// Unload models, to make room for another.
    Unload {
        /// Index of the replica.
        replica: usize,
        /// Indices of the models.
        models: Vec<usize>,
        /// Index of the model that is to come.
        replacement: usize,
    },
}

/// Plans at most `most` steps, of which at most `store_loads` load from the weight store.
pub fn plan(replicas: &[Replica], models: &[Model], store_loads: usize, most: usize) -> Vec<Step> {
    let mut state = State::new(replicas, models);
    let mut bounds = step::Bounds {
        store_loads,
        unloads: unloads(replicas),
    };
    let mut steps = step::promised(&mut state, &mut bounds);
    while steps.len() < most {
        let Some(step) = step::best(&state, &bounds) else {
            break;
        };
        match step {
            Step::Load { from_store, .. } => bounds.store_loads -= usize::from(from_store),
            Step::Unload { .. } => bounds.unloads = bounds.unloads.saturating_sub(1),
        }
        state.take(&step);
        steps.push(step);
    }
    steps
}

/// Unloads that may begin now.
fn unloads(replicas: &[Replica]) -> usize {
    let most = (replicas.len() as f64 * MAKING_ROOM).ceil() as usize;
    let begun = replicas.iter().filter(|r| r.unloading).count();
    most.saturating_sub(begun)
}
