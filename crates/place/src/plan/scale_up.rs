//! Growth: another replica where demand overloads those there are, if it is worth the moves.
//!
//! A local search: from the fullest upstreams, each of their larger models is tried at the least
//! full ones, with evictions where memory asks for them. The whole spread of demand is worked out
//! anew for each trial, so that what an eviction costs its own model counts as well.
//!
//! All halls are weighed by each planner, and each acts on the offers that fall to its own
//! upstreams: planners that see much the same need no further agreement. Upstreams are numbered
//! over this hall's first, then those elsewhere.

use super::floor::{self, Surplus};
use super::tick::{Demand, Spec, Tick};
use crate::balance::{self, Flow};
use crate::fleet::{Upstream, is_base};
use unit::engine::{Resident, State};
use unit::{Bytes, Name};

/// Work of an upstream, in shares of its capacity, above which requests miss their targets.
const FULL: f64 = 0.90;

/// Time over which a move must earn what it costs, in seconds.
const HORIZON: f64 = 60.0;

/// Requests that must be saved to be worth one move, at equal weights.
const MOVE_COST: f64 = 5.0;

/// Replicas added in one tick at the most.
const MOST_PER_TICK: usize = 4;

/// Weight of one rank of priority in the worth of a request.
const PER_PRIORITY: f64 = 0.1;

/// Full upstreams looked at, models of each, and upstreams tried for each model.
const HOT: usize = 4;
const MODELS: usize = 3;
const TARGETS: usize = 6;

/// Replica that could be added.
struct Offer<'a> {
    spec: &'a Spec,
    at: usize,
    evicted: Evicted,
    worth: f64,
    relief: f64,
    level: f64,
}

/// Demand and where it can go, by model in the order of the wants.
struct Spread {
    flows: Vec<Flow>,
    work: Vec<f64>,
    over: f64,
}

/// Adds the replicas that are worth most.
pub(super) fn scale_up(tick: &mut Tick) {
    let mut promised: Vec<(usize, usize)> = Vec::new();
    for _ in 0..MOST_PER_TICK {
        if !tick.may_start() {
            return;
        }
        let spread = spread(tick, &promised);
        let Some(offer) = best(tick, &spread) else {
            return;
        };
        let model = tick
            .input
            .specs
            .iter()
            .position(|w| w.model == offer.spec.model);
        promised.push((model.expect("offers are of wanted models"), offer.at));
        take(tick, offer);
    }
}

fn demand(tick: &Tick, model: &Name) -> Demand {
    tick.input.demand.get(model).copied().unwrap_or_default()
}

/// Upstreams that hold or are getting a model, in all halls.
fn places(tick: &Tick, model: &Name) -> Vec<usize> {
    let ready = tick.ready(model).into_iter().map(|(at, _)| at);
    let coming = tick.coming(model).iter().map(|(at, _)| *at);
    let here = tick.input.fleet.upstreams.len();
    let elsewhere = tick.input.other_halls.upstreams.iter().enumerate();
    let elsewhere = elsewhere.filter(|(_, u)| !u.leaving && holds(u, model));
    let mut places: Vec<usize> = ready.chain(coming).collect();
    places.extend(elsewhere.map(|(i, _)| here + i));
    places.sort_unstable();
    places.dedup();
    places
}

/// Whether an upstream holds a model and is not letting it go.
fn holds(upstream: &Upstream, model: &str) -> bool {
    let mut resident = upstream.report.resident.iter();
    resident.any(|r| is_base(&r.weights, model) && r.state != State::Unloading)
}

/// Number of replicas of a model in all halls, ready or on their way; at least one.
pub(super) fn replicas(tick: &Tick, model: &Name) -> usize {
    places(tick, model).len().max(1)
}

/// Demand over what is there, on its way, or promised in this tick.
fn spread(tick: &Tick, promised: &[(usize, usize)]) -> Spread {
    let mut flows: Vec<Flow> = tick
        .input
        .specs
        .iter()
        .map(|spec| {
            let demand = demand(tick, &spec.model);
            Flow {
                work: demand.rate * demand.work,
                at: places(tick, &spec.model),
            }
        })
        .collect();
    for (model, at) in promised {
        if !flows[*model].at.contains(at) {
            flows[*model].at.push(*at);
        }
    }
    let all = tick.input.fleet.upstreams.len() + tick.input.other_halls.upstreams.len();
    let work = balance::spread(&flows, all);
    let over = over(&work);
    Spread { flows, work, over }
}

/// Work beyond what upstreams can do in time.
fn over(work: &[f64]) -> f64 {
    work.iter().map(|w| (w - FULL).max(0.0)).sum()
}

/// The offer that earns most beyond its cost.
fn best<'a>(tick: &Tick<'a>, spread: &Spread) -> Option<Offer<'a>> {
    if spread.over <= 0.0 {
        return None;
    }
    let here = tick.input.fleet.upstreams.len();
    let elsewhere = tick.input.other_halls.upstreams.iter().enumerate();
    let elsewhere = elsewhere.filter(|(_, u)| !u.leaving).map(|(i, _)| here + i);
    let mut cold: Vec<usize> = tick.usable().into_iter().chain(elsewhere).collect();
    cold.sort_by(|a, b| spread.work[*a].total_cmp(&spread.work[*b]));
    let mut best: Option<Offer> = None;
    for m in hot_models(spread) {
        let spec = &tick.input.specs[m];
        let tried = cold.iter().filter(|u| !spread.flows[m].at.contains(u));
        for u in tried.take(TARGETS) {
            let Some(offer) = weigh(tick, spread, m, spec, *u) else {
                continue;
            };
            if best.as_ref().is_none_or(|b| offer.worth > b.worth) {
                best = Some(offer);
            }
        }
    }
    best
}

/// Models with much work at the fullest upstreams.
fn hot_models(spread: &Spread) -> Vec<usize> {
    let mut hot: Vec<usize> = (0..spread.work.len())
        .filter(|u| spread.work[*u] > FULL)
        .collect();
    hot.sort_by(|a, b| spread.work[*b].total_cmp(&spread.work[*a]));
    let mut models = Vec::new();
    for u in hot.into_iter().take(HOT) {
        let per_replica = |m: &usize| {
            let flow = &spread.flows[*m];
            flow.work / flow.at.len() as f64
        };
        let mut here: Vec<usize> = (0..spread.flows.len())
            .filter(|m| spread.flows[*m].work > 0.0 && spread.flows[*m].at.contains(&u))
            .collect();
        here.sort_by(|a, b| per_replica(b).total_cmp(&per_replica(a)));
        models.extend(here.into_iter().take(MODELS));
    }
    models.sort_unstable();
    models.dedup();
    models
}

/// What a replica of a model at an upstream would earn and cost; none when it is not worth it.
fn weigh<'a>(
    tick: &Tick<'a>,
    spread: &Spread,
    m: usize,
    spec: &'a Spec,
    u: usize,
) -> Option<Offer<'a>> {
    let evicted = match tick.input.fleet.upstreams.get(u) {
        Some(_) => evicted_here(tick, spec, u)?,
        None => evicted_elsewhere(tick, spread, spec, u)?,
    };
    let mut flows = spread.flows.clone();
    flows[m].at.push(u);
    for gone in evicted.models(tick) {
        flows[gone].at.retain(|at| *at != u);
    }
    let after = over(&balance::spread(&flows, spread.work.len()));
    let demand = demand(tick, &spec.model);
    let relief = (spread.over - after) / demand.work.max(1e-9);
    let moves = 1 + evicted.count();
    let rank = 1.0 + f64::from(spec.priority) * PER_PRIORITY;
    let earned = tick.input.attainment_weight * rank * relief * HORIZON;
    let cost = tick.input.move_cost * MOVE_COST * moves as f64;
    let at = &spread.flows[m].at;
    let level = at.iter().map(|u| spread.work[*u]).fold(0.0, f64::max);
    (earned > cost).then_some(Offer {
        spec,
        at: u,
        evicted,
        worth: earned - cost,
        relief,
        level,
    })
}

/// What must go for a load.
enum Evicted {
    /// Replicas of this hall.
    Here(Vec<Surplus>),
    /// Models, by number, that another hall's planner is expected to let go.
    Elsewhere(Vec<usize>),
}

impl Evicted {
    fn count(&self) -> usize {
        match self {
            Evicted::Here(surplus) => surplus.len(),
            Evicted::Elsewhere(models) => models.len(),
        }
    }

    fn models(&self, tick: &Tick) -> Vec<usize> {
        match self {
            Evicted::Here(surplus) => {
                let number = |s: &Surplus| {
                    tick.input
                        .specs
                        .iter()
                        .position(|w| w.model == s.weights.model)
                };
                surplus.iter().filter_map(number).collect()
            }
            Evicted::Elsewhere(models) => models.clone(),
        }
    }
}

fn evicted_here(tick: &Tick, spec: &Spec, u: usize) -> Option<Evicted> {
    let going = floor::going(tick, u);
    if tick.free(u) + going >= spec.total_memory() {
        return Some(Evicted::Here(Vec::new()));
    }
    // Where something goes already, its room is awaited before more must go.
    if going > Bytes(0) {
        return None;
    }
    floor::enough(tick, u, spec.total_memory()).map(Evicted::Here)
}

/// What another hall's planner would let go: the replicas with least work of models that have more.
fn evicted_elsewhere(tick: &Tick, spread: &Spread, spec: &Spec, u: usize) -> Option<Evicted> {
    let upstream = &tick.input.other_halls.upstreams[u - tick.input.fleet.upstreams.len()];
    let staying = |r: &&Resident| r.state != State::Unloading;
    let resident = &upstream.report.resident;
    let taken: Bytes = resident.iter().filter(staying).map(|r| r.bytes).sum();
    let mut free = upstream.report.memory.saturating_sub(taken);
    let per_replica = |m: usize| spread.flows[m].work / spread.flows[m].at.len().max(1) as f64;
    let mut surplus: Vec<(usize, Bytes)> = resident
        .iter()
        .filter(|r| r.state == State::Ready && r.weights.adapter.is_none())
        .filter_map(|r| {
            let m = tick
                .input
                .specs
                .iter()
                .position(|w| w.model == r.weights.model)?;
            (spread.flows[m].at.len() > 1).then_some((m, r.bytes))
        })
        .collect();
    surplus.sort_by(|a, b| per_replica(a.0).total_cmp(&per_replica(b.0)));
    let mut gone = Vec::new();
    for (m, bytes) in surplus {
        if free >= spec.total_memory() {
            break;
        }
        free += bytes;
        gone.push(m);
    }
    (free >= spec.total_memory()).then_some(Evicted::Elsewhere(gone))
}

/// Acts on an offer that falls to this hall.
fn take(tick: &mut Tick, offer: Offer) {
    let spec = offer.spec;
    let Evicted::Here(evicted) = offer.evicted else {
        return;
    };
    if tick.free(offer.at) < spec.total_memory() {
        // The load follows in a later tick, when a report shows the room.
        floor::evict(tick, spec, offer.at, evicted);
        return;
    }
    let reason = format!(
        "Upstreams of {} are filled to {:.0} in 100; another replica relieves {:.1} requests a second.",
        spec.model,
        offer.level * 100.0,
        offer.relief
    );
    tick.load(offer.at, spec.weights(), spec.memory, reason);
}
