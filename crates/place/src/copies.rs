//! Plans which models each replica of a service holds, one load or unload at a time.
//!
//! Every model in demand gets a copy on a replica in service. Where there are fewer slots than models,
//! idle models are evicted and models in demand share the slots in turn. Spare memory is filled with
//! further copies, models whose demand exceeds their copies first. Loads from a cached copy are preferred
//! to loads from the weight store, whose rate is limited.
//!
//! `state` holds the state of a plan under construction; `step` selects the next step; `worth` has the ways in which
//! a further copy is valued.

mod state;
mod step;
mod worth;

use state::State;
pub use worth::{Policy, Worth, unmet_demand};

/// Demand, in replicas kept busy, above which a model counts as in demand. The recent demand that a
/// single request causes decays to this within half a minute.
pub const ACTIVE_DEMAND: f64 = 0.005;

/// State of a model that a plan is based on.
#[derive(Debug, Clone, Copy)]
pub struct Model {
    /// Size of the weights in MB.
    pub memory_mb: f64,
    /// Current demand, in replicas kept busy.
    pub demand: f64,
    /// Demand smoothed over a longer time.
    pub recent_demand: f64,
    /// Time in seconds for which it has been in demand without a copy on any replica.
    pub unserved_secs: f64,
    /// Factor on the value of a copy that is loaded from the weight store: the load time from local disk
    /// divided by that from the store.
    pub store_factor: f64,
    /// Demand that may arise before an evicted last copy could be loaded again.
    pub expected_demand: f64,
}

/// State of a replica that a plan is based on. Models are given by index.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Replica {
    /// Free memory in MB, less what is set aside for adapters.
    pub free_mb: f64,
    /// Loaded models that are not being unloaded.
    pub held: Vec<usize>,
    /// Models that it is loading or freeing memory for.
    pub incoming: Vec<usize>,
    /// Model for which it has freed memory and whose load has not started.
    pub reserved_for: Option<usize>,
    /// Models loaded so recently that the last copy of one is not evicted yet.
    pub recently_loaded: Vec<usize>,
    /// Models whose weights it has in host memory or on disk.
    pub cached: Vec<usize>,
    /// Whether it can take an order now.
    pub accepts_orders: bool,
    /// Whether it is unloading a model.
    pub unloading: bool,
    /// Whether it is reachable and not leaving. Copies on other replicas are not counted.
    pub in_service: bool,
    /// Share of its request slots in use.
    pub utilization: f64,
    /// Share of its normal capacity that it serves now; `None` when it serves all of it.
    pub degraded_capacity: Option<f64>,
}

impl Replica {
    /// Share of its normal capacity that it serves now.
    fn capacity(&self) -> f64 {
        self.degraded_capacity.unwrap_or(1.0)
    }
}

/// Order to one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Load a model.
    Load {
        /// Index of the replica.
        replica: usize,
        /// Index of the model.
        model: usize,
        /// Whether the weights come from the weight store rather than from a local copy.
        from_store: bool,
    },
    /// Unload models to free memory for another.
    Unload {
        /// Index of the replica.
        replica: usize,
        /// Indices of the models.
        models: Vec<usize>,
        /// Index of the model that is to be loaded afterwards.
        replacement: usize,
    },
}

/// How the next step is searched for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Search {
    /// Skips the models that cannot exceed the best step found, by bounds on each replica.
    Pruned,
    /// Skips only the models that could not exceed it on an empty replica; a reference for the other.
    Exhaustive,
}

/// Steps of a plan, and the work that they took.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    pub steps: Vec<Step>,
    /// Pairs of replica and model that were evaluated.
    pub evaluations: usize,
}

/// Plans at most `max_steps` steps, of which at most `store_loads` load from the weight store.
pub fn plan(
    replicas: &[Replica],
    models: &[Model],
    store_loads: usize,
    max_steps: usize,
) -> Vec<Step> {
    plan_by(Search::Pruned, replicas, models, store_loads, max_steps).steps
}

/// Plans like [`plan`], with a given search.
pub fn plan_by(
    search: Search,
    replicas: &[Replica],
    models: &[Model],
    store_loads: usize,
    max_steps: usize,
) -> Plan {
    let policy = Policy::default();
    plan_with(policy, search, replicas, models, (store_loads, max_steps))
}

/// Plans by a policy. At most `max_steps` steps, of which at most `store_loads` load from the weight store.
pub fn plan_with(
    policy: Policy,
    search: Search,
    replicas: &[Replica],
    models: &[Model],
    (store_loads, max_steps): (usize, usize),
) -> Plan {
    let mut state = State::new(policy, replicas, models);
    let mut budget = step::Budget {
        store_loads,
        unloads: available_unloads(replicas, policy.unloading_share),
    };
    let mut evaluations = 0;
    let mut steps = step::load_reserved(&mut state, &mut budget);
    while steps.len() < max_steps {
        let Some(step) = step::best_step(&state, &budget, search, &mut evaluations) else {
            break;
        };
        match step {
            Step::Load { from_store, .. } => budget.store_loads -= usize::from(from_store),
            Step::Unload { .. } => budget.unloads = budget.unloads.saturating_sub(1),
        }
        state.apply(&step);
        steps.push(step);
    }
    Plan { steps, evaluations }
}

/// Unloads that may start now within a share of the replicas.
fn available_unloads(replicas: &[Replica], share: f64) -> usize {
    let limit = (replicas.len() as f64 * share).ceil() as usize;
    let begun = replicas.iter().filter(|r| r.unloading).count();
    limit.saturating_sub(begun)
}
