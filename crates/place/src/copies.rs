//! Which models each replica of a service should hold, and the next orders towards that.
//!
//! Pure: counts and demand in, steps out. Every model keeps a copy on a replica that stays. Memory
//! left over is filled, since copies that are there before the demand comes cost least; demand that
//! no copy covers goes first. Loads from copies at hand go before loads from the weight store, which
//! allows only so many a second.

/// Part of a copy in place of none, by which the value of a model's first copy is reckoned.
const NO_COPY: f64 = 0.5;

/// Value of the demand that one more copy takes off the others, against the value of having it at
/// all.
const RELIEVED: f64 = 10.0;

/// Least weight of a model that nobody asks for now, so that leftover memory is spread.
const UNASKED: f64 = 0.05;

/// Part of a model's value that a load from the weight store keeps: it takes several times as long.
const FROM_STORE: f64 = 0.6;

/// Part of a copy's value that is lost on a replica whose places are all taken.
const LOADED: f64 = 0.3;

/// Factor by which a copy gained must exceed those given up, so that copies do not move to and fro.
const HYSTERESIS: f64 = 1.5;

/// Least gain of a swap; a move costs two orders, and the evicted prompts.
const LEAST_GAIN: f64 = 0.05;

/// Part of the replicas that may be making room at once. An unload waits for the runs of its model,
/// some seconds, in which its replica takes no other order; the rest can follow a shift of demand.
const MAKING_ROOM: f64 = 1.0 / 6.0;

/// Model as the plan sees it.
#[derive(Debug, Clone, Copy)]
pub struct Model {
    /// Memory of its weights, in MB.
    pub memory_mb: f64,
    /// Demand in replicas that it would keep busy.
    pub demand: f64,
    /// Demand of the last while, more slowly smoothed.
    pub recent: f64,
}

/// Replica as the plan sees it; models by index.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    /// Memory that nothing takes, in MB, with room kept for its adapters.
    pub free_mb: f64,
    /// Models that it holds, and does not give up.
    pub held: Vec<usize>,
    /// Models that it is loading, or for which it is making room.
    pub coming: Vec<usize>,
    /// Models of which it keeps a copy outside the accelerator.
    pub copied: Vec<usize>,
    /// Whether it takes an order now.
    pub idle: bool,
    /// Whether it is giving up a model.
    pub unloading: bool,
    /// Whether it stays.
    pub stays: bool,
    /// Share of its places that are taken.
    pub load: f64,
}

/// Order that the plan wants given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
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
    /// Unload a model, to make room for another.
    Unload {
        /// Index of the replica.
        replica: usize,
        /// Index of the model.
        model: usize,
        /// Index of the model that is to come.
        instead: usize,
    },
}

/// Plans at most `most` steps, of which at most `store_loads` load from the weight store.
pub fn plan(replicas: &[Replica], models: &[Model], store_loads: usize, most: usize) -> Vec<Step> {
    let mut replicas = replicas.to_vec();
    let mut counts = counts(&replicas, models.len());
    let mut store_loads = store_loads;
    let mut unloads = unloads(&replicas);
    let mut steps = Vec::new();
    while steps.len() < most {
        let Some(step) = best(&replicas, models, &counts, store_loads, unloads) else {
            break;
        };
        match step {
            Step::Load {
                replica,
                model,
                from_store,
            } => {
                counts[model].all += 1;
                store_loads -= usize::from(from_store);
                replicas[replica].coming.push(model);
                replicas[replica].idle = false;
            }
            Step::Unload {
                replica,
                model,
                instead,
            } => {
                counts[model].all -= 1;
                counts[model].held -= 1;
                unloads = unloads.saturating_sub(1);
                // The room is meant for that model, so no other replica loads it on top.
                counts[instead].all += 1;
                replicas[replica].coming.push(instead);
                replicas[replica].held.retain(|m| *m != model);
                replicas[replica].idle = false;
            }
        }
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

/// Copies of one model on replicas that stay.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    /// Those that are there.
    held: usize,
    /// Those that are there or will be.
    all: usize,
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

/// Value of one more copy where there are `count`.
fn value(model: &Model, count: usize) -> f64 {
    let n = (count as f64).max(NO_COPY);
    let weight = UNASKED + model.demand + model.recent;
    // Copies so valued go by the square root of demand: demand moves from the busiest model to one
    // that few asked for within less time than weights need to come, so that the next ones must not
    // have their copies taken for the busiest.
    (weight + RELIEVED * model.demand) / (n * (n + 1.0))
}

/// Demand that falls on each replica when that for a model is shared evenly by its copies.
fn expected(replicas: &[Replica], models: &[Model], counts: &[Count]) -> Vec<f64> {
    let part = |m: &usize| models[*m].demand / counts[*m].all.max(1) as f64;
    let on = |r: &Replica| r.held.iter().chain(&r.coming).map(part).sum();
    replicas.iter().map(on).collect()
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
fn best(
    replicas: &[Replica],
    models: &[Model],
    counts: &[Count],
    store_loads: usize,
    unloads: usize,
) -> Option<Step> {
    let wanted = wanted(models, counts);
    let expected = expected(replicas, models, counts);
    let mut best: Option<(Step, Score)> = None;
    let idle = |r: &Replica| r.idle && r.stays;
    for (r, replica) in replicas.iter().enumerate().filter(|(_, r)| idle(r)) {
        let bounds = Bounds {
            above: best.map(|(_, score)| score),
            store_loads,
            unloads,
        };
        let found = best_of(r, replica, models, counts, &wanted, expected[r], &bounds);
        best = found.or(best);
    }
    best.map(|(step, _)| step)
}

/// Models by what one more copy would gain where nothing else is to do, the greatest first.
fn wanted(models: &[Model], counts: &[Count]) -> Vec<(usize, Score)> {
    let score = |m: usize| Score {
        urgent: counts[m].all == 0,
        gain: value(&models[m], counts[m].all),
    };
    let mut wanted: Vec<(usize, Score)> = (0..models.len()).map(|m| (m, score(m))).collect();
    let order = |a: &Score, b: &Score| a.urgent.cmp(&b.urgent).then(a.gain.total_cmp(&b.gain));
    wanted.sort_by(|a, b| order(&b.1, &a.1));
    wanted
}

/// What bounds the choice of a step.
struct Bounds {
    /// Score that a step must exceed.
    above: Option<Score>,
    /// Loads from the weight store that may begin.
    store_loads: usize,
    /// Unloads that may begin.
    unloads: usize,
}

/// The step with the highest score on one replica, if it exceeds the bound and nothing better waits
/// for the weight store: a copy that few need would take the room and the time of that one.
fn best_of(
    r: usize,
    replica: &Replica,
    models: &[Model],
    counts: &[Count],
    wanted: &[(usize, Score)],
    expected: f64,
    bounds: &Bounds,
) -> Option<(Step, Score)> {
    let mut most = bounds.above;
    let mut best = None;
    for (m, score) in wanted {
        // No step scores more than its model gains.
        if most.is_some_and(|most| *score <= most) {
            break;
        }
        // A copy relieves the others the less, the more its replica has to do already.
        let score = Score {
            gain: score.gain / (1.0 + expected),
            ..*score
        };
        let Some((next, score)) = step(r, replica, models, counts, bounds.store_loads, *m, score)
        else {
            continue;
        };
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

/// The next step towards one more copy of a model on a replica, and its score.
fn step(
    r: usize,
    replica: &Replica,
    models: &[Model],
    counts: &[Count],
    store_loads: usize,
    m: usize,
    score: Score,
) -> Option<(Next, Score)> {
    if replica.held.contains(&m) || replica.coming.contains(&m) {
        return None;
    }
    let from_store = !replica.copied.contains(&m);
    let part = if from_store { FROM_STORE } else { 1.0 };
    let gain = score.gain * part * (1.0 - LOADED * replica.load.min(1.0));
    if models[m].memory_mb <= replica.free_mb {
        let load = Step::Load {
            replica: r,
            model: m,
            from_store,
        };
        let next = match from_store && store_loads == 0 {
            true => Next::Wait,
            false => Next::Now(load),
        };
        return Some((next, Score { gain, ..score }));
    }
    let (out, loss) = swap(replica, models, counts, m)?;
    let unload = Step::Unload {
        replica: r,
        model: out,
        instead: m,
    };
    let gain = gain - loss * HYSTERESIS - LEAST_GAIN;
    Some((Next::Now(unload), Score { gain, ..score }))
}

/// The first model to give up for another, and the value of all that must go; none when what may
/// go does not make room.
fn swap(
    replica: &Replica,
    models: &[Model],
    counts: &[Count],
    wanted: usize,
) -> Option<(usize, f64)> {
    let mut loose: Vec<(usize, f64)> = replica
        .held
        .iter()
        .filter(|m| counts[**m].held >= 2)
        .map(|m| (*m, value(&models[*m], counts[*m].all - 1)))
        .collect();
    loose.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut free = replica.free_mb;
    let mut loss = 0.0;
    for (model, worth) in &loose {
        free += models[*model].memory_mb;
        loss += worth;
        if free >= models[wanted].memory_mb {
            return Some((loose[0].0, loss));
        }
    }
    None
}
