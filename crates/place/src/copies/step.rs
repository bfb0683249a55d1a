//! Selects the next step of a plan.

use super::state::State;
use super::{Search, Step};

/// Part of a copy's value that is lost on a replica whose request slots are all in use.
const UTILIZATION_PENALTY: f64 = 0.3;

/// Factor by which the gain of a copy must exceed the loss of those evicted for it; avoids thrashing.
const HYSTERESIS: f64 = 1.5;

/// Cost of evicting one copy: two orders, and the cached prompts.
const EVICTION_COST: f64 = 0.05;

/// Cost of a load from the weight store for a model without demand. Beyond some twenty copies it gets further ones only
/// where the weights are at hand, however much memory the fleet has to spare.
const IDLE_LOAD_COST: f64 = 0.000_03;

/// Factor on a bound that covers the rounding of the value that it bounds.
const ROUNDING: f64 = 1.0 + 1e-9;

/// Steps that may still be planned.
pub(super) struct Budget {
    /// Loads from the weight store.
    pub(super) store_loads: usize,
    /// Unloads.
    pub(super) unloads: usize,
}

/// Rank of a step, compared field by field; the highest is taken first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Score {
    /// Whether it adds the first copy of a required model without evicting the last copy of another.
    urgent: bool,
    /// Gain less the loss and cost of evictions.
    gain: f64,
}

impl Score {
    fn is_worthwhile(self) -> bool {
        self.urgent || self.gain > 0.0
    }
}

/// Possible step towards a further copy of a model on a replica.
enum Candidate {
    /// A step that can be taken now.
    Ready(Step),
    /// A load that must wait until the weight store allows another.
    StoreLimited,
}

/// Plans the loads for which replicas have already freed memory; these precede all other steps. A replica
/// whose load must wait for the weight store keeps its reservation.
pub(super) fn load_reserved(state: &mut State, budget: &mut Budget) -> Vec<Step> {
    let mut steps = Vec::new();
    for replica in 0..state.replicas.len() {
        let current = &state.replicas[replica];
        let Some(model) = current
            .reserved_for
            .filter(|_| current.accepts_orders && current.in_service)
        else {
            continue;
        };
        let from_store = !current.cached.contains(&model);
        let fits =
            state.models[model].memory_mb <= current.free_mb && !current.held.contains(&model);
        if fits && state.is_required(model) && from_store && budget.store_loads == 0 {
            state.settle_reservation(replica, true);
            continue;
        }
        state.settle_reservation(replica, false);
        if fits && state.is_required(model) {
            budget.store_loads -= usize::from(from_store);
            let step = Step::Load {
                replica,
                model,
                from_store,
            };
            state.apply(&step);
            steps.push(step);
        }
    }
    steps
}

/// Returns the step with the highest score over all available replicas and models.
pub(super) fn best_step(
    state: &State,
    budget: &Budget,
    search: Search,
    evaluations: &mut usize,
) -> Option<Step> {
    let ranked = rank_models(state);
    let mut best: Option<(Step, Score)> = None;
    for (r, replica) in state.replicas.iter().enumerate() {
        if replica.accepts_orders && replica.in_service {
            let lower_bound = best.as_ref().map(|(_, score)| *score);
            let limit = Limit::new(state, r, search);
            best = best_step_on(state, &limit, &ranked, budget, lower_bound, evaluations).or(best);
        }
    }
    best.map(|(step, _)| step)
}

/// Upper bounds on the score of copies on one replica.
struct Limit {
    /// Replica.
    r: usize,
    search: Search,
    /// Part of a copy's value that is left by the capacity and the utilization of the replica.
    factor: f64,
    /// Least loss of the evictions that any copy needs.
    loss: f64,
    /// Least cost of these evictions.
    eviction_cost: f64,
}

impl Limit {
    fn new(state: &State, r: usize, search: Search) -> Limit {
        let loss = state.min_eviction_loss(r);
        Limit {
            r,
            search,
            factor: state.replicas[r].capacity() * utilization_factor(state, r) * ROUNDING,
            loss: loss * HYSTERESIS,
            eviction_cost: if loss > 0.0 { EVICTION_COST } else { 0.0 },
        }
    }

    /// Bound for all models ranked no higher than this score.
    fn of_rank(&self, score: Score) -> Score {
        match self.search {
            Search::Exhaustive => score,
            Search::Pruned => Score {
                gain: score.gain * self.factor - self.loss - self.eviction_cost,
                ..score
            },
        }
    }

    /// Bound for one model of this rank. It rounds like the value that it bounds, so that equal steps are skipped.
    fn of_model(&self, state: &State, m: usize, score: Score) -> Score {
        if self.search == Search::Exhaustive {
            return score;
        }
        Score {
            gain: load_gain(state, self.r, m) - self.loss - self.eviction_cost,
            ..score
        }
    }
}

/// Gain of loading a copy on a replica, before the loss of evictions.
fn load_gain(state: &State, r: usize, m: usize) -> f64 {
    let gain = state.gain(m, r) * utilization_factor(state, r);
    let model = &state.models[m];
    match state.replicas[r].cached.contains(&m) {
        true => gain,
        false if model.demand + model.recent_demand > 0.0 => gain * model.store_factor,
        false => gain * model.store_factor - IDLE_LOAD_COST,
    }
}

/// Part of a copy's value that is left on a replica with its utilization.
fn utilization_factor(state: &State, r: usize) -> f64 {
    1.0 - UTILIZATION_PENALTY * state.replicas[r].utilization.min(1.0)
}

/// Ranks the models by an upper bound on the score of a further copy, the highest first.
fn rank_models(state: &State) -> Vec<(usize, Score)> {
    let score = |m: usize| Score {
        urgent: state.counts[m].total == 0 && state.is_required(m),
        gain: state.max_gain(m),
    };
    let models = 0..state.models.len();
    let mut ranked: Vec<(usize, Score)> = models.map(|m| (m, score(m))).collect();
    let order = |a: &Score, b: &Score| a.urgent.cmp(&b.urgent).then(a.gain.total_cmp(&b.gain));
    ranked.sort_by(|a, b| order(&b.1, &a.1));
    ranked
}

/// Returns the step with the highest score on one replica, if it exceeds `lower_bound`. Returns none when
/// a load with a higher score waits for the weight store: another step would take its memory.
fn best_step_on(
    state: &State,
    limit: &Limit,
    ranked: &[(usize, Score)],
    budget: &Budget,
    lower_bound: Option<Score>,
    evaluations: &mut usize,
) -> Option<(Step, Score)> {
    let mut best_score = lower_bound;
    let mut best = None;
    for (m, score) in ranked {
        // The models after this one cannot score higher.
        if best_score.is_some_and(|best_score| limit.of_rank(*score) <= best_score) {
            break;
        }
        let bound = || limit.of_model(state, *m, *score);
        if best_score.is_some_and(|best_score| bound() <= best_score) {
            continue;
        }
        *evaluations += 1;
        let Some((candidate, gain, evicts_last)) = evaluate(state, limit.r, *m, budget) else {
            continue;
        };
        let urgent = score.urgent && !evicts_last;
        let score = Score { urgent, gain };
        let is_stuck = matches!(candidate, Candidate::StoreLimited) && !state.waits_for_store();
        let waits = is_stuck
            || matches!(candidate, Candidate::Ready(Step::Unload { .. })) && budget.unloads == 0;
        // Neither the limit on unloads nor a better use of memory delays the first copy of a required model.
        let allowed = !waits || score.urgent;
        if allowed
            && score.is_worthwhile()
            && best_score.is_none_or(|best_score| score > best_score)
        {
            best_score = Some(score);
            best = match candidate {
                Candidate::Ready(step) => Some((step, score)),
                Candidate::StoreLimited => None,
            };
        }
    }
    best
}

/// Evaluates a further copy of a model on a replica: the step towards it, its gain, and whether it evicts
/// the last copy of another model.
fn evaluate(state: &State, r: usize, m: usize, budget: &Budget) -> Option<(Candidate, f64, bool)> {
    if state.has_copy(m, r) {
        return None;
    }
    let replica = &state.replicas[r];
    let from_store = !replica.cached.contains(&m);
    let gain = load_gain(state, r, m);
    if state.models[m].memory_mb <= replica.free_mb {
        let load = Step::Load {
            replica: r,
            model: m,
            from_store,
        };
        let candidate = match from_store && budget.store_loads == 0 {
            true => Candidate::StoreLimited,
            false => Candidate::Ready(load),
        };
        return Some((candidate, gain, false));
    }
    if !state.is_required(m) {
        // Nothing is evicted for a model without demand.
        return None;
    }
    let eviction = eviction(state, r, m)?;
    let gain = gain - eviction.loss * HYSTERESIS - EVICTION_COST * eviction.models.len() as f64;
    let unload = Step::Unload {
        replica: r,
        models: eviction.models,
        replacement: m,
    };
    Some((Candidate::Ready(unload), gain, eviction.evicts_last))
}

/// Models to evict from a replica for another one.
struct Eviction {
    /// Models by loss, the lowest first.
    models: Vec<usize>,
    /// Total loss of value.
    loss: f64,
    /// Whether one of them has no other loaded copy.
    evicts_last: bool,
}

/// Chooses the models to evict from a replica for `wanted`; none if those that may be evicted do not free
/// enough memory.
fn eviction(state: &State, r: usize, wanted: usize) -> Option<Eviction> {
    let replica = &state.replicas[r];
    let needed = state.models[wanted].memory_mb - replica.free_mb;
    let memory = |m: usize| state.models[m].memory_mb;
    let is_last = |m: usize| state.counts[m].held < 2;
    let is_absent = state.counts[wanted].total == 0;
    // A further copy does not displace the last copy of a required model, which would be loaded again at
    // once.
    let may_evict = |m: &&usize| match is_last(**m) {
        true => {
            state.may_lose_last(**m)
                && !replica.recently_loaded.contains(m)
                && (is_absent || !state.is_required(**m))
        }
        false => true,
    };
    let evictable = replica.held.iter().filter(may_evict);
    let mut evictable: Vec<(usize, f64)> = evictable.map(|m| (*m, state.loss(*m, r))).collect();
    evictable.sort_by(|a, b| a.1.total_cmp(&b.1));
    let several = (1..=evictable.len()).find(|n| {
        let freed: f64 = evictable[..*n].iter().map(|(m, _)| memory(*m)).sum();
        freed >= needed
    });
    let several = &evictable[..several?];
    let total_loss = |models: &[(usize, f64)]| -> f64 { models.iter().map(|(_, loss)| loss).sum() };
    // Each unload takes more than a second: evicting one large model beats evicting several small ones.
    let single = evictable.iter().find(|(m, _)| memory(*m) >= needed);
    let single = single.filter(|(_, loss)| *loss <= total_loss(several) + EVICTION_COST);
    let chosen = single.map_or(several, std::slice::from_ref);
    Some(Eviction {
        models: chosen.iter().map(|(m, _)| *m).collect(),
        loss: total_loss(chosen),
        evicts_last: chosen.iter().any(|(m, _)| is_last(*m)),
    })
}
