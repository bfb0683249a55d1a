//! Floors: every served model keeps its replicas.

use super::scale_up;
use super::tick::{Spec, Tick};
use crate::fleet::is_base;
use unit::Bytes;
use unit::engine::Weights;

/// Joins the homes of models that this hall holds and should; leaves those that others keep.
pub(super) fn homes(tick: &mut Tick) {
    for spec in tick.input.specs {
        let model = &spec.model;
        let is_home = tick.input.homes.is_home(model, tick.input.hall);
        let assigned = tick
            .assigned
            .get(model)
            .is_some_and(|h| h.contains(tick.input.hall));
        let should = assigned || !tick.input.homes.has_home(model);
        let holds = !tick.ready(model).is_empty();
        if should && holds && !is_home {
            tick.plan.joins.push(model.clone());
        }
        // What the assignment's first hall keeps, this hall need not.
        let others = tick.assigned.get(model).cloned().unwrap_or_default();
        let kept = others.iter().any(|h| tick.input.homes.is_home(model, h));
        if is_home && !assigned && kept {
            tick.plan.leaves.push(model.clone());
        }
    }
}

/// Loads what is missing from the floors, the most important models first.
pub(super) fn repair(tick: &mut Tick) {
    let mut missing: Vec<(&Spec, usize)> = tick
        .input
        .specs
        .iter()
        .filter_map(|spec| {
            let have = tick.ready(&spec.model).len() + tick.coming(&spec.model).len();
            let floor = tick.floor(spec);
            (have < floor).then(|| (spec, floor - have))
        })
        .collect();
    missing.sort_by_key(|(spec, _)| {
        let none = tick.ready(&spec.model).is_empty();
        (
            !none,
            std::cmp::Reverse(spec.priority),
            std::cmp::Reverse(spec.memory),
        )
    });
    for (spec, count) in missing {
        if tick.ready(&spec.model).is_empty() && renew(tick, spec) {
            continue;
        }
        for _ in 0..count {
            let reason = format!(
                "{} has {} ready replicas in this hall and must have {}.",
                spec.model,
                tick.ready(&spec.model).len(),
                tick.floor(spec)
            );
            place(tick, spec, reason);
        }
    }
}

/// Overtakes an unload that has not taken effect yet, when nothing else is left of a model.
///
/// At a fencing upstream a later order makes the earlier one void, and loading what is there
/// already moves nothing.
fn renew(tick: &mut Tick, spec: &Spec) -> bool {
    for at in tick.usable() {
        let upstream = tick.upstream(at);
        let kept = upstream.report.resident.iter().find(|r| {
            is_base(&r.weights, &spec.model)
                && r.state == unit::engine::State::Ready
                && tick.ledger.has_pending_unload(&upstream.name, &r.weights)
        });
        if let Some(kept) = kept.filter(|_| upstream.fencing) {
            let reason = format!(
                "Nothing else is left of {}: its unload is overtaken.",
                spec.model
            );
            return tick.load(at, kept.weights.clone(), kept.bytes, reason);
        }
    }
    false
}

/// Loads a replica where it fits best, or makes room for it.
pub(super) fn place(tick: &mut Tick, spec: &Spec, reason: String) -> bool {
    let fitting = fitting(tick, spec);
    for at in fitting {
        if tick.load(at, spec.weights(), spec.memory, reason.clone()) {
            return true;
        }
    }
    if !tick.may_start() {
        let text = format!(
            "A replica of {} waits for the weight store: {reason}",
            spec.model
        );
        tick.note(&spec.model, text);
        return false;
    }
    if !make_room(tick, spec) {
        let text = format!(
            "A replica of {} ({}) finds no room: no upstream of this hall has that much free, and nothing there can go.",
            spec.model,
            spec.total_memory()
        );
        tick.note(&spec.model, text);
    }
    false
}

/// Upstreams with room for a replica with its adapters, the one with least work and most room first.
fn fitting(tick: &Tick, spec: &Spec) -> Vec<usize> {
    let mut fitting: Vec<(u32, Bytes, usize)> = tick
        .usable()
        .into_iter()
        .filter(|at| !tick.has(*at, &spec.model))
        .map(|at| (tick.free(at), at))
        .filter(|(free, _)| *free >= spec.total_memory())
        .map(|(free, at)| {
            let load = tick.upstream(at).report.load;
            (load.running + load.waiting, free, at)
        })
        .collect();
    // Between equally idle ones the fullest that fits, so that large gaps stay for large models.
    fitting.sort_by_key(|(busy, free, _)| (*busy, *free));
    fitting.into_iter().map(|(_, _, at)| at).collect()
}

/// Unloads surplus replicas at the upstream where the fewest must go; tells whether room is coming.
pub(super) fn make_room(tick: &mut Tick, spec: &Spec) -> bool {
    let mut best: Option<(usize, Vec<Surplus>)> = None;
    for at in tick.usable() {
        if tick.has(at, &spec.model) {
            continue;
        }
        if room_is_coming(tick, at, spec.total_memory()) {
            return true;
        }
        let Some(chosen) = enough(tick, at, spec.total_memory()) else {
            continue;
        };
        if best.as_ref().is_none_or(|(_, b)| chosen.len() < b.len()) {
            best = Some((at, chosen));
        }
    }
    let Some((at, chosen)) = best else {
        return false;
    };
    evict(tick, spec, at, chosen);
    true
}

/// Unloads replicas to make room for another model.
pub(super) fn evict(tick: &mut Tick, spec: &Spec, at: usize, chosen: Vec<Surplus>) {
    for surplus in chosen {
        let reason = format!(
            "{} has replicas to spare here, and {} needs the room.",
            surplus.weights.model, spec.model
        );
        for weights in surplus.all {
            tick.unload(at, weights, reason.clone());
        }
    }
}

/// Memory that unloads under way at an upstream will free.
pub(super) fn going(tick: &Tick, at: usize) -> Bytes {
    let upstream = tick.upstream(at);
    let going = upstream.report.resident.iter().filter(|r| {
        r.state == unit::engine::State::Unloading
            || tick.ledger.has_pending_unload(&upstream.name, &r.weights)
    });
    going.map(|r| r.bytes).sum()
}

/// Whether unloads under way at an upstream will free enough.
fn room_is_coming(tick: &Tick, at: usize, needed: Bytes) -> bool {
    let going = going(tick, at);
    going > Bytes(0) && tick.free(at) + going >= needed
}

/// Replica that may go.
#[derive(Debug, Clone)]
pub(super) struct Surplus {
    pub(super) weights: Weights,
    all: Vec<Weights>,
    bytes: Bytes,
    /// Work that falls to it, in shares of an upstream.
    work: f64,
}

/// Fewest surplus replicas at an upstream whose memory, with what is free, is enough.
pub(super) fn enough(tick: &Tick, at: usize, needed: Bytes) -> Option<Vec<Surplus>> {
    let mut surplus = surplus(tick, at);
    surplus.sort_by(|a, b| a.work.total_cmp(&b.work));
    let mut free = tick.free(at);
    let mut chosen = Vec::new();
    for candidate in surplus {
        if free >= needed {
            break;
        }
        free += candidate.bytes;
        chosen.push(candidate);
    }
    (free >= needed && !chosen.is_empty()).then_some(chosen)
}

/// Ready replicas at an upstream that the floors do not need.
fn surplus(tick: &Tick, at: usize) -> Vec<Surplus> {
    let upstream = tick.upstream(at);
    let mut found = Vec::new();
    for resident in &upstream.report.resident {
        let weights = &resident.weights;
        let is_ready = resident.state == unit::engine::State::Ready;
        if weights.adapter.is_some()
            || !is_ready
            || tick.ledger.has_pending_unload(&upstream.name, weights)
        {
            continue;
        }
        let ready = tick.ready(&weights.model).len();
        let spec = tick.input.specs.iter().find(|w| w.model == weights.model);
        let floor = spec.map_or(0, |w| tick.floor(w));
        let here = tick.ready(&weights.model).iter().any(|(i, _)| *i == at);
        if !here || ready <= floor {
            continue;
        }
        let whole: Vec<_> = upstream
            .report
            .resident
            .iter()
            .filter(|r| r.weights.model == weights.model && r.weights.version == weights.version)
            .collect();
        let demand = tick
            .input
            .demand
            .get(&weights.model)
            .copied()
            .unwrap_or_default();
        found.push(Surplus {
            weights: weights.clone(),
            bytes: whole.iter().map(|r| r.bytes).sum(),
            all: whole.iter().map(|r| r.weights.clone()).collect(),
            work: demand.rate * demand.work / scale_up::replicas(tick, &weights.model) as f64,
        });
    }
    found
}
