//! The next step of a plan of copies.

use super::Step;
use super::state::State;

/// Part of a copy's value that is lost on a replica whose places are all taken.
const LOADED: f64 = 0.3;

/// Factor by which a copy gained must exceed those given up, so that copies do not move to and fro.
const HYSTERESIS: f64 = 1.5;

/// Least gain of a swap; a move costs two orders, and the evicted prompts.
const LEAST_GAIN: f64 = 0.05;

/// What may begin now.
pub(super) struct Bounds {
    /// Loads from the weight store.
    pub(super) store_loads: usize,
    /// Unloads.
    pub(super) unloads: usize,
}

/// How much a step is wanted; the greater one goes first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Score {
    /// Whether it brings a model that is asked for and nowhere, and takes no last copy of another one: that
    /// goes before all others.
    urgent: bool,
    /// What it gains, less what is given up for it.
    gain: f64,
}

impl Score {
    /// Whether a step with this score is worth an order.
    fn is_worth_it(self) -> bool {
        self.urgent || self.gain > 0.0
    }
}

/// What could be done next towards one more copy of a model on a replica.
enum Next {
    /// That step.
    Now(Step),
    /// There is room, and the weight store allows no load at the moment.
    Wait,
}

/// Loads of models for which replicas have made room: these come before all else, since the room was
/// paid for. A replica whose model must wait for the weight store keeps the room.
pub(super) fn promised(state: &mut State, bounds: &mut Bounds) -> Vec<Step> {
    let mut steps = Vec::new();
    for replica in 0..state.replicas.len() {
        let of = &state.replicas[replica];
        let Some(model) = of
            .reserved_for
            .filter(|_| of.accepts_orders && of.in_service)
        else {
            continue;
        };
        let from_store = !of.cached.contains(&model);
        let fits = state.models[model].memory_mb <= of.free_mb && !of.held.contains(&model);
        if fits && state.is_needed(model) && from_store && bounds.store_loads == 0 {
            state.settle(replica, true);
            continue;
        }
        state.settle(replica, false);
        if fits && state.is_needed(model) {
            bounds.store_loads -= usize::from(from_store);
            let step = Step::Load {
                replica,
                model,
                from_store,
            };
            state.take(&step);
            steps.push(step);
        }
    }
    steps
}

/// The step with the highest score, of all idle replicas and models.
pub(super) fn best(state: &State, bounds: &Bounds) -> Option<Step> {
    let wanted = wanted(state);
    let mut best: Option<(Step, Score)> = None;
    for (r, replica) in state.replicas.iter().enumerate() {
        if replica.accepts_orders && replica.in_service {
            let above = best.as_ref().map(|(_, score)| *score);
            best = best_of(state, r, &wanted, bounds, above).or(best);
        }
    }
    best.map(|(step, _)| step)
}

/// Models by what one more copy gains at the most, the greatest first.
fn wanted(state: &State) -> Vec<(usize, Score)> {
    let score = |m: usize| Score {
        urgent: state.counts[m].all == 0 && state.is_needed(m),
        gain: state.most_gain(m),
    };
    let models = 0..state.models.len();
    let mut wanted: Vec<(usize, Score)> = models.map(|m| (m, score(m))).collect();
    let order = |a: &Score, b: &Score| a.urgent.cmp(&b.urgent).then(a.gain.total_cmp(&b.gain));
    wanted.sort_by(|a, b| order(&b.1, &a.1));
    wanted
}

/// The step with the highest score on one replica, if it is higher than `above` and nothing better
/// waits for the weight store: a copy that few need would take the room and the time of that one.
fn best_of(
    state: &State,
    r: usize,
    wanted: &[(usize, Score)],
    bounds: &Bounds,
    above: Option<Score>,
) -> Option<(Step, Score)> {
    let mut most = above;
    let mut best = None;
    for (m, score) in wanted {
        // No step scores more than its model gains.
        if most.is_some_and(|most| *score <= most) {
            break;
        }
        let Some((next, gain, turns)) = next(state, r, *m, bounds) else {
            continue;
        };
        let urgent = score.urgent && !turns;
        let score = Score { urgent, gain };
        let waits = matches!(next, Next::Now(Step::Unload { .. })) && bounds.unloads == 0;
        // A model that is nowhere does not wait for others.
        let allowed = !waits || score.urgent;
        if allowed && score.is_worth_it() && most.is_none_or(|most| score > most) {
            most = Some(score);
            best = match next {
                Next::Now(step) => Some((step, score)),
                Next::Wait => None,
            };
        }
    }
    best
}

/// The next step towards one more copy of a model on a replica, what it gains, and whether another model
/// is on no replica after it.
fn next(state: &State, r: usize, m: usize, bounds: &Bounds) -> Option<(Next, f64, bool)> {
    if state.is_on(m, r) {
        return None;
    }
    let replica = &state.replicas[r];
    let from_store = !replica.cached.contains(&m);
    let part = match from_store {
        true => state.models[m].store_factor,
        false => 1.0,
    };
    let gain = state.gain(m, r) * part * (1.0 - LOADED * replica.utilization.min(1.0));
    if state.models[m].memory_mb <= replica.free_mb {
        let load = Step::Load {
            replica: r,
            model: m,
            from_store,
        };
        let next = match from_store && bounds.store_loads == 0 {
            true => Next::Wait,
            false => Next::Now(load),
        };
        return Some((next, gain, false));
    }
    if !state.is_needed(m) {
        // It may be asked for, and so may those that would go for it.
        return None;
    }
    let swap = swap(state, r, m)?;
    let gain = gain - swap.lost * HYSTERESIS - LEAST_GAIN * swap.models.len() as f64;
    let unload = Step::Unload {
        replica: r,
        models: swap.models,
        replacement: m,
    };
    Some((Next::Now(unload), gain, swap.turns))
}

/// Models that give way to another one on a replica.
struct Swap {
    /// Those that go, the least valued first.
    models: Vec<usize>,
    /// Value of all that go.
    lost: f64,
    /// Whether one of them is on no other replica.
    turns: bool,
}

/// What must go for a model on a replica; none when what may go does not make room.
fn swap(state: &State, r: usize, wanted: usize) -> Option<Swap> {
    let replica = &state.replicas[r];
    let needed = state.models[wanted].memory_mb - replica.free_mb;
    let memory = |m: usize| state.models[m].memory_mb;
    let is_last = |m: usize| state.counts[m].held < 2;
    let is_nowhere = state.counts[wanted].all == 0;
    // One more copy is worth no last one of a model that is asked for: that would take it back.
    let may_go = |m: &&usize| match is_last(**m) {
        true => {
            state.scarce
                && !replica.recently_loaded.contains(m)
                && (is_nowhere || !state.is_needed(**m))
        }
        false => true,
    };
    let loose = replica.held.iter().filter(may_go);
    let mut loose: Vec<(usize, f64)> = loose.map(|m| (*m, state.loss(*m, r))).collect();
    loose.sort_by(|a, b| a.1.total_cmp(&b.1));
    let several = (1..=loose.len()).find(|n| {
        let freed: f64 = loose[..*n].iter().map(|(m, _)| memory(*m)).sum();
        freed >= needed
    });
    let several = &loose[..several?];
    let lost = |models: &[(usize, f64)]| -> f64 { models.iter().map(|(_, loss)| loss).sum() };
    // Each order takes a second and more: one large model goes rather than two small ones.
    let one = loose.iter().find(|(m, _)| memory(*m) >= needed);
    let one = one.filter(|(_, loss)| *loss <= lost(several) + LEAST_GAIN);
    let gone = one.map_or(several, std::slice::from_ref);
    Some(Swap {
        models: gone.iter().map(|(m, _)| *m).collect(),
        lost: lost(gone),
        turns: gone.iter().any(|(m, _)| is_last(*m)),
    })
}
