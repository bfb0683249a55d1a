//! What a further copy of a model is worth, in two ways, and which idle models may give way to it.
//!
//! The load it answers: many more models than busy ones, of which a few get most of the requests, and whose demand
//! needs more replicas than the idle models leave them. The square root of demand spreads copies so that a shift finds
//! some everywhere, but leaves the busiest overloaded beside models that have time to spare. Queueing gives a copy to
//! the model whose requests it relieves most.

/// Maximum share of the replicas that unload at the same time. An unloading replica takes no other
/// order until the runs of the model have ended; the others stay available when demand shifts.
const MAX_UNLOADING_SHARE: f64 = 1.0 / 6.0;

/// Utilization of a copy at which a demand of one replica is met.
const TARGET_UTILIZATION: f64 = 0.4;

/// Requests that may wait at one copy, by the time that they have and that one takes.
const PATIENCE: f64 = 5.0;

/// Distance from full utilization within which the share of unmet requests is that of full utilization.
const CRITICAL: f64 = 1e-3;

/// Utilization above which all but what the copies can serve is unmet, however much may wait.
const MAX_UTILIZATION: f64 = 30.0;

/// Factor by which demand rises in a burst, within the time that a copy takes.
const BURST: f64 = 2.4;

/// Weight of a burst, relative to usual demand.
const BURST_WEIGHT: f64 = 0.3;

/// Factor on the share of requests that a copy relieves, so that both ways compare with the same costs.
const SCALE: f64 = 10.0;

/// How a further copy of a model in demand is valued.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Worth {
    /// Copies grow with the square root of demand.
    #[default]
    SquareRoot,
    /// By the requests that no longer wait too long.
    Queueing,
}

/// How a plan weighs copies.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    pub worth: Worth,
    /// Number of replicas with the weights of an idle model at hand from which its last copy may give way to a model
    /// in demand; none if it never does while there are slots for all models.
    pub at_hand_to_leave: Option<usize>,
    /// Share of the replicas that may unload at the same time.
    pub unloading_share: f64,
    /// Whether free memory waits for a further copy that is worth most but must come from the weight store, whose
    /// rate allows none now. The first copy of a model is always waited for.
    pub waits_for_store: bool,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            worth: Worth::SquareRoot,
            at_hand_to_leave: None,
            unloading_share: MAX_UNLOADING_SHARE,
            waits_for_store: true,
        }
    }
}

/// Demand, in replicas kept busy, that is refused or late while copies of this total capacity serve it.
pub fn unmet_demand(demand: f64, capacity: f64) -> f64 {
    let utilization = |demand: f64| demand * TARGET_UTILIZATION / capacity.max(f64::MIN_POSITIVE);
    let unmet = |demand: f64| demand * unmet_share(utilization(demand));
    (unmet(demand) + BURST_WEIGHT * unmet(demand * BURST)) / (1.0 + BURST_WEIGHT * BURST)
}

/// Demand that one more copy of full capacity relieves, on the scale of the square root's values.
pub(super) fn relief(demand: f64, capacity: f64) -> f64 {
    SCALE * (unmet_demand(demand, capacity) - unmet_demand(demand, capacity + 1.0))
}

/// Share of requests for which there is no room at a utilization, for random arrivals and [`PATIENCE`] places.
fn unmet_share(utilization: f64) -> f64 {
    let places = PATIENCE;
    if (utilization - 1.0).abs() < CRITICAL {
        return 1.0 / (places + 1.0);
    }
    if utilization > MAX_UTILIZATION {
        return 1.0 - 1.0 / utilization;
    }
    let full = utilization.powf(places);
    (1.0 - utilization) * full / (1.0 - full * utilization)
}
