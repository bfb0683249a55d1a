//! Scale-up: adds replicas of models on overloaded upstreams if the benefit exceeds the cost of the moves.
//!
//! This is a local search. The busiest models of the most overloaded upstreams are tried on the least busy
//! upstreams, with evictions where memory is short. Demand is redistributed for each trial, so the effect of
//! an eviction on the evicted model is included.
//!
//! Each planner evaluates the upstreams of all halls and executes only candidates in its own hall. Planners
//! with similar input thus agree without coordination. Upstreams are indexed over this hall first, then the
//! other halls.

use super::floor::{self, Surplus};
use super::tick::{Demand, Spec, Tick};
use crate::balance::{self, Flow};
use crate::fleet::{Upstream, is_base};
use unit::engine::{Resident, State};
use unit::{Bytes, Name};

/// Work of an upstream, as a share of its capacity, above which requests miss their latency targets.
const OVERLOAD_THRESHOLD: f64 = 0.90;

/// Time in seconds within which the benefit of a move must exceed its cost.
const HORIZON_SECS: f64 = 60.0;

/// Cost of one move, in requests that meet their target, at equal weights of attainment and moves.
const MOVE_COST: f64 = 5.0;

const MAX_ADDED_PER_TICK: usize = 4;

/// Increase of a request's value per level of priority.
const PRIORITY_WEIGHT: f64 = 0.1;

// Bounds of the search in one iteration.
const MAX_OVERLOADED_UPSTREAMS: usize = 4;
const MAX_MODELS_PER_UPSTREAM: usize = 3;
const MAX_TARGETS_PER_MODEL: usize = 6;

/// Replica that could be added on an upstream.
struct Candidate<'a> {
    spec: &'a Spec,
    upstream: usize,
    evictions: Evictions,
    /// Benefit less cost, in weighted requests over the horizon.
    net_benefit: f64,
    /// Requests per second that would no longer be overload.
    relief: f64,
    /// Utilization of the busiest upstream that holds the model now.
    utilization: f64,
}

/// Distribution of the demand over the upstreams of all halls; models in the order of the specs.
struct Distribution {
    flows: Vec<Flow>,
    /// Work of each upstream, as a share of its capacity.
    work: Vec<f64>,
    /// Total work above [`OVERLOAD_THRESHOLD`].
    overload: f64,
}

/// Adds the replicas with the highest net benefit, at most [`MAX_ADDED_PER_TICK`].
pub(super) fn scale_up(tick: &mut Tick) {
    let mut added: Vec<(usize, usize)> = Vec::new();
    for _ in 0..MAX_ADDED_PER_TICK {
        if !tick.may_load() {
            return;
        }
        let distribution = distribution(tick, &added);
        let Some(candidate) = best_candidate(tick, &distribution) else {
            return;
        };
        let model = tick
            .input
            .specs
            .iter()
            .position(|w| w.model == candidate.spec.model);
        added.push((
            model.expect("candidates are for specified models"),
            candidate.upstream,
        ));
        execute(tick, candidate);
    }
}

fn demand(tick: &Tick, model: &Name) -> Demand {
    tick.input.demand.get(model).copied().unwrap_or_default()
}

/// Upstreams in all halls that hold or load a model.
fn holders(tick: &Tick, model: &Name) -> Vec<usize> {
    let ready = tick.ready(model).into_iter().map(|(at, _)| at);
    let incoming = tick.incoming(model).iter().map(|(at, _)| *at);
    let here = tick.input.fleet.upstreams.len();
    let remote = tick.input.other_halls.upstreams.iter().enumerate();
    let remote = remote.filter(|(_, u)| !u.leaving && holds(u, model));
    let mut holders: Vec<usize> = ready.chain(incoming).collect();
    holders.extend(remote.map(|(i, _)| here + i));
    holders.sort_unstable();
    holders.dedup();
    holders
}

/// Whether an upstream holds or loads a model.
fn holds(upstream: &Upstream, model: &str) -> bool {
    let mut resident = upstream.report.resident.iter();
    resident.any(|r| is_base(&r.weights, model) && r.state != State::Unloading)
}

/// Number of replicas of a model in all halls, ready or loading; at least one.
pub(super) fn replicas(tick: &Tick, model: &Name) -> usize {
    holders(tick, model).len().max(1)
}

/// Distributes the demand over ready and loading replicas and those added in this tick, given as model and
/// upstream.
fn distribution(tick: &Tick, added: &[(usize, usize)]) -> Distribution {
    let mut flows: Vec<Flow> = tick
        .input
        .specs
        .iter()
        .map(|spec| {
            let demand = demand(tick, &spec.model);
            Flow {
                work: demand.rate * demand.work,
                upstreams: holders(tick, &spec.model),
            }
        })
        .collect();
    for (model, upstream) in added {
        if !flows[*model].upstreams.contains(upstream) {
            flows[*model].upstreams.push(*upstream);
        }
    }
    let all = tick.input.fleet.upstreams.len() + tick.input.other_halls.upstreams.len();
    let work = balance::distribute(&flows, all);
    let overload = overload(&work);
    Distribution {
        flows,
        work,
        overload,
    }
}

/// Total work above [`OVERLOAD_THRESHOLD`].
fn overload(work: &[f64]) -> f64 {
    work.iter().map(|w| (w - OVERLOAD_THRESHOLD).max(0.0)).sum()
}

/// Returns the candidate with the highest net benefit, if any.
fn best_candidate<'a>(tick: &Tick<'a>, distribution: &Distribution) -> Option<Candidate<'a>> {
    if distribution.overload <= 0.0 {
        return None;
    }
    let here = tick.input.fleet.upstreams.len();
    let remote = tick.input.other_halls.upstreams.iter().enumerate();
    let remote = remote.filter(|(_, u)| !u.leaving).map(|(i, _)| here + i);
    let mut least_busy: Vec<usize> = tick.usable().into_iter().chain(remote).collect();
    least_busy.sort_by(|a, b| distribution.work[*a].total_cmp(&distribution.work[*b]));
    let mut best: Option<Candidate> = None;
    for m in overloaded_models(distribution) {
        let spec = &tick.input.specs[m];
        let tried = least_busy
            .iter()
            .filter(|u| !distribution.flows[m].upstreams.contains(u));
        for u in tried.take(MAX_TARGETS_PER_MODEL) {
            let Some(candidate) = evaluate(tick, distribution, m, spec, *u) else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|b| candidate.net_benefit > b.net_benefit)
            {
                best = Some(candidate);
            }
        }
    }
    best
}

/// Models with the most work per replica on the most overloaded upstreams.
fn overloaded_models(distribution: &Distribution) -> Vec<usize> {
    let mut overloaded: Vec<usize> = (0..distribution.work.len())
        .filter(|u| distribution.work[*u] > OVERLOAD_THRESHOLD)
        .collect();
    overloaded.sort_by(|a, b| distribution.work[*b].total_cmp(&distribution.work[*a]));
    let mut models = Vec::new();
    for u in overloaded.into_iter().take(MAX_OVERLOADED_UPSTREAMS) {
        let per_replica = |m: &usize| {
            let flow = &distribution.flows[*m];
            flow.work / flow.upstreams.len() as f64
        };
        let mut here: Vec<usize> = (0..distribution.flows.len())
            .filter(|m| {
                distribution.flows[*m].work > 0.0 && distribution.flows[*m].upstreams.contains(&u)
            })
            .collect();
        here.sort_by(|a, b| per_replica(b).total_cmp(&per_replica(a)));
        models.extend(here.into_iter().take(MAX_MODELS_PER_UPSTREAM));
    }
    models.sort_unstable();
    models.dedup();
    models
}

/// Evaluates a further replica of model `m` on upstream `u`; none if it cannot be placed or costs more than it
/// brings.
fn evaluate<'a>(
    tick: &Tick<'a>,
    distribution: &Distribution,
    m: usize,
    spec: &'a Spec,
    u: usize,
) -> Option<Candidate<'a>> {
    let evictions = match tick.input.fleet.upstreams.get(u) {
        Some(_) => local_evictions(tick, spec, u)?,
        None => remote_evictions(tick, distribution, spec, u)?,
    };
    let mut flows = distribution.flows.clone();
    flows[m].upstreams.push(u);
    for evicted in evictions.models(tick) {
        flows[evicted].upstreams.retain(|holder| *holder != u);
    }
    let after = overload(&balance::distribute(&flows, distribution.work.len()));
    let demand = demand(tick, &spec.model);
    let relief = (distribution.overload - after) / demand.work.max(1e-9);
    let moves = 1 + evictions.count();
    let priority_factor = 1.0 + f64::from(spec.priority) * PRIORITY_WEIGHT;
    let benefit = tick.input.attainment_weight * priority_factor * relief * HORIZON_SECS;
    let cost = tick.input.move_cost * MOVE_COST * moves as f64;
    let holders = &distribution.flows[m].upstreams;
    let utilization = holders
        .iter()
        .map(|u| distribution.work[*u])
        .fold(0.0, f64::max);
    (benefit > cost).then_some(Candidate {
        spec,
        upstream: u,
        evictions,
        net_benefit: benefit - cost,
        relief,
        utilization,
    })
}

/// Replicas to evict for a load.
enum Evictions {
    /// Replicas in this hall.
    Local(Vec<Surplus>),
    /// Indices of the models that the planner of another hall is expected to evict.
    Remote(Vec<usize>),
}

impl Evictions {
    fn count(&self) -> usize {
        match self {
            Evictions::Local(surplus) => surplus.len(),
            Evictions::Remote(models) => models.len(),
        }
    }

    fn models(&self, tick: &Tick) -> Vec<usize> {
        match self {
            Evictions::Local(surplus) => {
                let index = |s: &Surplus| {
                    tick.input
                        .specs
                        .iter()
                        .position(|w| w.model == s.weights.model)
                };
                surplus.iter().filter_map(index).collect()
            }
            Evictions::Remote(models) => models.clone(),
        }
    }
}

fn local_evictions(tick: &Tick, spec: &Spec, u: usize) -> Option<Evictions> {
    let pending = floor::pending_free_memory(tick, u);
    if tick.free(u) + pending >= spec.total_memory() {
        return Some(Evictions::Local(Vec::new()));
    }
    // Pending unloads must end before more is evicted here.
    if pending > Bytes(0) {
        return None;
    }
    floor::choose_surplus(tick, u, spec.total_memory()).map(Evictions::Local)
}

/// Predicts the evictions of another hall's planner: models with other replicas, least work per replica first.
fn remote_evictions(
    tick: &Tick,
    distribution: &Distribution,
    spec: &Spec,
    u: usize,
) -> Option<Evictions> {
    let upstream = &tick.input.other_halls.upstreams[u - tick.input.fleet.upstreams.len()];
    let is_staying = |r: &&Resident| r.state != State::Unloading;
    let resident = &upstream.report.resident;
    let used: Bytes = resident.iter().filter(is_staying).map(|r| r.bytes).sum();
    let mut free = upstream.report.memory.saturating_sub(used);
    let per_replica =
        |m: usize| distribution.flows[m].work / distribution.flows[m].upstreams.len().max(1) as f64;
    let mut surplus: Vec<(usize, Bytes)> = resident
        .iter()
        .filter(|r| r.state == State::Ready && r.weights.adapter.is_none())
        .filter_map(|r| {
            let m = tick
                .input
                .specs
                .iter()
                .position(|w| w.model == r.weights.model)?;
            (distribution.flows[m].upstreams.len() > 1).then_some((m, r.bytes))
        })
        .collect();
    surplus.sort_by(|a, b| per_replica(a.0).total_cmp(&per_replica(b.0)));
    let mut chosen = Vec::new();
    for (m, bytes) in surplus {
        if free >= spec.total_memory() {
            break;
        }
        free += bytes;
        chosen.push(m);
    }
    (free >= spec.total_memory()).then_some(Evictions::Remote(chosen))
}

/// Orders the load or the evictions for a candidate in this hall.
fn execute(tick: &mut Tick, candidate: Candidate) {
    let spec = candidate.spec;
    let Evictions::Local(evictions) = candidate.evictions else {
        return;
    };
    if tick.free(candidate.upstream) < spec.total_memory() {
        // The load is ordered in a later tick, once a report shows the memory as free.
        floor::evict(tick, spec, candidate.upstream, evictions);
        return;
    }
    let reason = format!(
        "Upstreams of {} are filled to {:.0} in 100; another replica relieves {:.1} requests a second.",
        spec.model,
        candidate.utilization * 100.0,
        candidate.relief
    );
    tick.load(candidate.upstream, spec.weights(), spec.memory, reason);
}
