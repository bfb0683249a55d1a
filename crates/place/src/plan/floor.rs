//! Minimum replicas (floors) of models, and the evictions that make room for them.

use super::scale_up;
use super::tick::{Spec, Tick};
use crate::fleet::is_base;
use unit::Bytes;
use unit::engine::Weights;

/// Joins the homes of models that are ready here and belong here; leaves those that an assigned hall keeps.
pub(super) fn update_homes(tick: &mut Tick) {
    for spec in tick.input.specs {
        let model = &spec.model;
        let is_home = tick.input.homes.is_home(model, tick.input.hall);
        let is_assigned = tick
            .assignment
            .get(model)
            .is_some_and(|h| h.contains(tick.input.hall));
        let should_hold = is_assigned || !tick.input.homes.has_home(model);
        let holds = !tick.ready(model).is_empty();
        if should_hold && holds && !is_home {
            tick.plan.joins.push(model.clone());
        }
        let assigned_halls = tick.assignment.get(model).cloned().unwrap_or_default();
        let is_kept = assigned_halls
            .iter()
            .any(|h| tick.input.homes.is_home(model, h));
        if is_home && !is_assigned && is_kept {
            tick.plan.leaves.push(model.clone());
        }
    }
}

/// Loads missing replicas: models without a ready replica first, then by priority and size.
pub(super) fn restore(tick: &mut Tick) {
    let mut missing: Vec<(&Spec, usize)> = tick
        .input
        .specs
        .iter()
        .filter_map(|spec| {
            let existing = tick.ready(&spec.model).len() + tick.incoming(&spec.model).len();
            let floor = tick.floor(spec);
            (existing < floor).then(|| (spec, floor - existing))
        })
        .collect();
    missing.sort_by_key(|(spec, _)| {
        let is_absent = tick.ready(&spec.model).is_empty();
        (
            !is_absent,
            std::cmp::Reverse(spec.priority),
            std::cmp::Reverse(spec.memory),
        )
    });
    for (spec, count) in missing {
        if tick.ready(&spec.model).is_empty() && supersede_unload(tick, spec) {
            continue;
        }
        for _ in 0..count {
            let reason = format!(
                "{} has {} ready replicas in this hall and must have {}.",
                spec.model,
                tick.ready(&spec.model).len(),
                tick.floor(spec)
            );
            place_replica(tick, spec, reason);
        }
    }
}

/// Supersedes a pending unload of the only replica left of a model, by a load of the same weights.
///
/// A fencing upstream ignores the earlier order once it has seen the later one, and loading resident weights
/// has no cost.
fn supersede_unload(tick: &mut Tick, spec: &Spec) -> bool {
    for at in tick.usable() {
        let upstream = tick.upstream(at);
        let resident = upstream.report.resident.iter().find(|r| {
            is_base(&r.weights, &spec.model)
                && r.state == unit::engine::State::Ready
                && tick.ledger.has_pending_unload(&upstream.name, &r.weights)
        });
        if let Some(resident) = resident.filter(|_| upstream.fencing) {
            let reason = format!(
                "Nothing else is left of {}: its unload is overtaken.",
                spec.model
            );
            return tick.load(at, resident.weights.clone(), resident.bytes, reason);
        }
    }
    false
}

/// Loads a replica on the best upstream with enough memory, or makes room for it; returns whether it was
/// ordered.
pub(super) fn place_replica(tick: &mut Tick, spec: &Spec, reason: String) -> bool {
    let candidates = upstreams_with_room(tick, spec);
    for at in candidates {
        if tick.load(at, spec.weights(), spec.memory, reason.clone()) {
            return true;
        }
    }
    if !tick.may_load() {
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

/// Upstreams with room for a replica and its adapters: the least busy first, then the tightest fit.
fn upstreams_with_room(tick: &Tick, spec: &Spec) -> Vec<usize> {
    let mut candidates: Vec<(u32, Bytes, usize)> = tick
        .usable()
        .into_iter()
        .filter(|at| !tick.has_replica(*at, &spec.model))
        .map(|at| (tick.free(at), at))
        .filter(|(free, _)| *free >= spec.total_memory())
        .map(|(free, at)| {
            let load = tick.upstream(at).report.load;
            (load.running + load.waiting, free, at)
        })
        .collect();
    // The tightest fit leaves large gaps for large models.
    candidates.sort_by_key(|(busy, free, _)| (*busy, *free));
    candidates.into_iter().map(|(_, _, at)| at).collect()
}

/// Unloads surplus replicas on the upstream where the fewest must go; returns whether memory will become free.
pub(super) fn make_room(tick: &mut Tick, spec: &Spec) -> bool {
    let mut best: Option<(usize, Vec<Surplus>)> = None;
    for at in tick.usable() {
        if tick.has_replica(at, &spec.model) {
            continue;
        }
        if will_have_room(tick, at, spec.total_memory()) {
            return true;
        }
        let Some(chosen) = choose_surplus(tick, at, spec.total_memory()) else {
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

/// Orders the unload of surplus replicas to make room for another model.
pub(super) fn evict(tick: &mut Tick, spec: &Spec, at: usize, chosen: Vec<Surplus>) {
    for surplus in chosen {
        let reason = format!(
            "{} has replicas to spare here, and {} needs the room.",
            surplus.weights.model, spec.model
        );
        for weights in surplus.weights_to_unload {
            tick.unload(at, weights, reason.clone());
        }
    }
}

/// Memory that pending unloads on an upstream will free.
pub(super) fn pending_free_memory(tick: &Tick, at: usize) -> Bytes {
    let upstream = tick.upstream(at);
    let unloading = upstream.report.resident.iter().filter(|r| {
        r.state == unit::engine::State::Unloading
            || tick.ledger.has_pending_unload(&upstream.name, &r.weights)
    });
    unloading.map(|r| r.bytes).sum()
}

/// Whether pending unloads on an upstream will free enough memory.
fn will_have_room(tick: &Tick, at: usize, needed: Bytes) -> bool {
    let pending = pending_free_memory(tick, at);
    pending > Bytes(0) && tick.free(at) + pending >= needed
}

/// Ready replica above the minimum, which may be evicted.
#[derive(Debug, Clone)]
pub(super) struct Surplus {
    pub(super) weights: Weights,
    /// Weights of the replica and its adapters.
    weights_to_unload: Vec<Weights>,
    /// Memory of these.
    bytes: Bytes,
    /// Work that it does, as a share of an upstream's capacity.
    work: f64,
}

/// Chooses surplus replicas on an upstream, those with least work first, until enough memory would be free.
pub(super) fn choose_surplus(tick: &Tick, at: usize, needed: Bytes) -> Option<Vec<Surplus>> {
    let mut surplus = surplus_replicas(tick, at);
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

/// Ready replicas on an upstream beyond the minimum of their models.
fn surplus_replicas(tick: &Tick, at: usize) -> Vec<Surplus> {
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
        let residents: Vec<_> = upstream
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
            bytes: residents.iter().map(|r| r.bytes).sum(),
            weights_to_unload: residents.iter().map(|r| r.weights.clone()).collect(),
            work: demand.rate * demand.work / scale_up::replicas(tick, &weights.model) as f64,
        });
    }
    found
}
