//! Which models each replica of a service should hold, and the next orders towards that.
//!
//! Pure: counts and demand in, steps out. Every model keeps a copy on a replica that stays. Memory
//! left over is filled, since copies that are there before the demand comes cost least; demand that
//! no copy covers goes first. Loads from copies at hand go before loads from the weight store, which
//! allows only so many a second.

/// Value of the first copy of a model; nothing else comes near it.
const ONLY_COPY: f64 = 1_000.0;

/// Value of the load that one more copy takes off the others, against the value of having it at all.
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
        let Some((step, _)) = best(&replicas, models, &counts, store_loads, unloads) else {
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
    if count == 0 {
        return ONLY_COPY + model.demand;
    }
    let n = count as f64;
    let weight = UNASKED + model.demand + model.recent;
    // Waiting grows with the square of the load of a copy; summed over the copies that is
    // demand² / n, of which one more copy takes off demand² / (n (n + 1)).
    let relieved = RELIEVED * model.demand * model.demand;
    (weight + relieved) / (n * (n + 1.0))
}

/// Demand that falls on each replica when that for a model is shared evenly by its copies.
fn expected(replicas: &[Replica], models: &[Model], counts: &[Count]) -> Vec<f64> {
    let part = |m: &usize| models[*m].demand / counts[*m].all.max(1) as f64;
    let on = |r: &Replica| r.held.iter().chain(&r.coming).map(part).sum();
    replicas.iter().map(on).collect()
}

/// The step with the highest score, of all idle replicas and models.
///
/// Models are tried by their gain; as no step scores more than its model gains, a replica is done at
/// the first model that cannot beat the best step so far.
fn best(
    replicas: &[Replica],
    models: &[Model],
    counts: &[Count],
    store_loads: usize,
    unloads: usize,
) -> Option<(Step, f64)> {
    let mut gains: Vec<(usize, f64)> = (0..models.len())
        .map(|m| (m, value(&models[m], counts[m].all)))
        .collect();
    gains.sort_by(|a, b| b.1.total_cmp(&a.1));
    let expected = expected(replicas, models, counts);
    let mut best: Option<(Step, f64)> = None;
    let idle = |r: &Replica| r.idle && r.stays;
    for (r, replica) in replicas.iter().enumerate().filter(|(_, r)| idle(r)) {
        for (m, gain) in &gains {
            if best.as_ref().is_some_and(|(_, most)| gain <= most) {
                break;
            }
            // A copy relieves the others the less, the more its replica has to do already.
            let gain = *gain / (1.0 + expected[r]);
            let found = step(r, replica, models, counts, store_loads, *m, gain);
            let waits = |step: &Step| matches!(step, Step::Unload { .. }) && unloads == 0;
            if let Some((step, score)) = found
                // A model that is nowhere does not wait for others.
                && (!waits(&step) || counts[*m].all == 0)
                && score > 0.0
                && best.is_none_or(|(_, most)| score > most)
            {
                best = Some((step, score));
            }
        }
    }
    best
}

/// The step towards one more copy of a model on a replica, and its score.
fn step(
    r: usize,
    replica: &Replica,
    models: &[Model],
    counts: &[Count],
    store_loads: usize,
    m: usize,
    gain: f64,
) -> Option<(Step, f64)> {
    if replica.held.contains(&m) || replica.coming.contains(&m) {
        return None;
    }
    let from_store = !replica.copied.contains(&m);
    if from_store && store_loads == 0 {
        return None;
    }
    let part = if from_store { FROM_STORE } else { 1.0 };
    let gain = gain * part * (1.0 - LOADED * replica.load.min(1.0));
    if models[m].memory_mb <= replica.free_mb {
        let load = Step::Load {
            replica: r,
            model: m,
            from_store,
        };
        return Some((load, gain));
    }
    let (out, loss) = swap(replica, models, counts, m)?;
    let unload = Step::Unload {
        replica: r,
        model: out,
        instead: m,
    };
    Some((unload, gain - loss * HYSTERESIS - LEAST_GAIN))
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
