//! The next step of a plan of copies.

use super::Step;
use super::fleet::Fleet;

/// Part of a model's value that a load from the weight store keeps: it takes several times as long.
const FROM_STORE: f64 = 0.6;

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
    /// Whether it brings a model that is nowhere: that goes before all others.
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

/// The step with the highest score, of all idle replicas and models.
pub(super) fn best(fleet: &Fleet, bounds: &Bounds) -> Option<Step> {
    let wanted = wanted(fleet);
    let mut best: Option<(Step, Score)> = None;
    for (r, replica) in fleet.replicas.iter().enumerate() {
        if replica.idle && replica.stays {
            let above = best.map(|(_, score)| score);
            best = best_of(fleet, r, &wanted, bounds, above).or(best);
        }
    }
    best.map(|(step, _)| step)
}

/// Models by what one more copy gains at the most, the greatest first.
fn wanted(fleet: &Fleet) -> Vec<(usize, Score)> {
    let score = |m: usize| Score {
        urgent: fleet.counts[m].all == 0,
        gain: fleet.most_gain(m),
    };
    let models = 0..fleet.models.len();
    let mut wanted: Vec<(usize, Score)> = models.map(|m| (m, score(m))).collect();
    let order = |a: &Score, b: &Score| a.urgent.cmp(&b.urgent).then(a.gain.total_cmp(&b.gain));
    wanted.sort_by(|a, b| order(&b.1, &a.1));
    wanted
}

/// The step with the highest score on one replica, if it is higher than `above` and nothing better
/// waits for the weight store: a copy that few need would take the room and the time of that one.
fn best_of(
    fleet: &Fleet,
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
        let Some((next, gain)) = next(fleet, r, *m, bounds) else {
            continue;
        };
        let score = Score { gain, ..*score };
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

/// The next step towards one more copy of a model on a replica, and what it gains.
fn next(fleet: &Fleet, r: usize, m: usize, bounds: &Bounds) -> Option<(Next, f64)> {
    if fleet.is_on(m, r) {
        return None;
    }
    let replica = &fleet.replicas[r];
    let from_store = !replica.copied.contains(&m);
    let part = if from_store { FROM_STORE } else { 1.0 };
    let gain = fleet.gain(m, r) * part * (1.0 - LOADED * replica.load.min(1.0));
    if fleet.models[m].memory_mb <= replica.free_mb {
        let load = Step::Load {
            replica: r,
            model: m,
            from_store,
        };
        let next = match from_store && bounds.store_loads == 0 {
            true => Next::Wait,
            false => Next::Now(load),
        };
        return Some((next, gain));
    }
    let (out, loss) = swap(fleet, r, m)?;
    let unload = Step::Unload {
        replica: r,
        model: out,
        instead: m,
    };
    let gain = gain - loss * HYSTERESIS - LEAST_GAIN;
    Some((Next::Now(unload), gain))
}

/// The first model to give up for another, and the value of all that must go; none when what may
/// go does not make room.
fn swap(fleet: &Fleet, r: usize, wanted: usize) -> Option<(usize, f64)> {
    let replica = &fleet.replicas[r];
    let loose = replica.held.iter().filter(|m| fleet.counts[**m].held >= 2);
    let mut loose: Vec<(usize, f64)> = loose.map(|m| (*m, fleet.loss(*m, r))).collect();
    loose.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut free = replica.free_mb;
    let mut lost = 0.0;
    for (model, loss) in &loose {
        free += fleet.models[*model].memory_mb;
        lost += loss;
        if free >= fleet.models[wanted].memory_mb {
            return Some((loose[0].0, lost));
        }
    }
    None
}
