//! Rolls versions, loads adapters, and unloads what the bundle no longer lists.

use super::floor;
use super::tick::{Spec, Tick};
use unit::Name;
use unit::engine::{State, Weights};

/// Rolls models to the version in the bundle. Where memory allows, new replicas are loaded before old ones are
/// unloaded; otherwise old replicas are unloaded one at a time, and never the last ready one.
pub(super) fn update_versions(tick: &mut Tick) {
    for spec in tick.input.specs {
        let ready = tick.ready(&spec.model);
        let (new, old): (Vec<_>, Vec<_>) = ready.into_iter().partition(|(_, v)| *v == spec.version);
        if old.is_empty() {
            continue;
        }
        let incoming = tick
            .incoming(&spec.model)
            .iter()
            .filter(|(_, v)| *v == spec.version)
            .count();
        let target = tick.floor(spec).max(old.len());
        if new.len() + incoming < target && load_new_version(tick, spec) {
            continue;
        }
        unload_old_version(tick, spec, &new, &old, incoming);
    }
}

/// Loads a replica of the new version beside the old ones; returns whether it was ordered.
fn load_new_version(tick: &mut Tick, spec: &Spec) -> bool {
    let reason = format!("{} is to have version {}.", spec.model, spec.version);
    let weights = spec.weights();
    let mut candidates: Vec<usize> = tick
        .usable()
        .into_iter()
        .filter(|at| tick.upstream(*at).find(&weights).is_none())
        .filter(|at| {
            !tick
                .ledger
                .has_pending_load(&tick.upstream(*at).name, &weights)
        })
        .filter(|at| tick.free(*at) >= spec.total_memory())
        .collect();
    // Upstreams without a replica of the model come first.
    candidates.sort_by_key(|at| (tick.has_replica(*at, &spec.model), tick.free(*at)));
    candidates
        .into_iter()
        .any(|at| tick.load(at, weights.clone(), spec.memory, reason.clone()))
}

/// Unloads all old replicas once enough new ones are ready, or one of them to make room for a new one.
fn unload_old_version(
    tick: &mut Tick,
    spec: &Spec,
    new: &[(usize, Name)],
    old: &[(usize, Name)],
    incoming: usize,
) {
    let floor = tick.floor(spec).max(1);
    let has_enough = new.len() >= floor;
    let is_blocked = incoming == 0 && tick.may_load() && new.len() + old.len() > 1;
    if has_enough {
        for (at, version) in old {
            let reason = format!(
                "{} replicas of version {} of {} are ready.",
                new.len(),
                spec.version,
                spec.model
            );
            unload_replica(tick, spec, *at, version, reason);
        }
        return;
    }
    if is_blocked {
        let (at, version) = &old[0];
        let reason = format!(
            "No upstream has room for version {} of {} beside the old; another replica answers meanwhile.",
            spec.version, spec.model
        );
        unload_replica(tick, spec, *at, version, reason);
        return;
    }
    if incoming == 0 && tick.may_load() && !floor::make_room(tick, spec) {
        let text = format!(
            "Version {} of {} finds no room, and its only replica must go on answering.",
            spec.version, spec.model
        );
        tick.note(&spec.model, text);
    }
}

fn unload_replica(tick: &mut Tick, spec: &Spec, at: usize, version: &Name, reason: String) {
    let resident = &tick.upstream(at).report.resident;
    let of_version = |w: &Weights| w.model == spec.model && w.version == *version;
    let all: Vec<Weights> = resident
        .iter()
        .map(|r| &r.weights)
        .filter(|w| of_version(w))
        .cloned()
        .collect();
    let base = Weights {
        model: spec.model.clone(),
        version: version.clone(),
        adapter: None,
    };
    if !tick.unload(at, base, reason.clone()) {
        return;
    }
    for adapter in all.into_iter().filter(|w| w.adapter.is_some()) {
        tick.unload(at, adapter, reason.clone());
    }
}

/// Loads each adapter on the upstreams that have its model ready in the current version.
pub(super) fn load_adapters(tick: &mut Tick) {
    for spec in tick.input.specs {
        for (adapter, bytes) in &spec.adapters {
            let weights = spec.adapter(adapter);
            let bases = tick.ready(&spec.model);
            let current = bases.iter().filter(|(_, v)| *v == spec.version);
            for (at, _) in current {
                let upstream = tick.upstream(*at);
                let has = upstream.find(&weights).is_some()
                    || tick.ledger.has_pending_load(&upstream.name, &weights);
                if has || tick.free(*at) < *bytes {
                    continue;
                }
                let reason = format!(
                    "Adapter {adapter} belongs beside this replica of {}.",
                    spec.model
                );
                tick.load(*at, weights.clone(), *bytes, reason);
            }
        }
    }
}

/// Unloads weights that the bundle no longer lists.
pub(super) fn unload_unlisted(tick: &mut Tick) {
    for at in tick.usable() {
        let upstream = tick.upstream(at);
        for resident in &upstream.report.resident {
            let weights = &resident.weights;
            let is_listed = is_listed(tick, weights);
            let is_settled = resident.state == State::Ready
                && !tick.ledger.has_pending_unload(&upstream.name, weights);
            if !is_listed && is_settled {
                let reason = format!("The bundle in force does not name {}.", describe(weights));
                tick.unload(at, weights.clone(), reason);
            }
        }
    }
}

fn is_listed(tick: &Tick, weights: &Weights) -> bool {
    let Some(spec) = tick.input.specs.iter().find(|w| w.model == weights.model) else {
        return false;
    };
    match &weights.adapter {
        // Old versions are handled by `update_versions`.
        None => true,
        Some(adapter) => {
            let known = spec.adapters.iter().any(|(name, _)| name == adapter);
            known && (weights.version == spec.version || is_old_version_ready(tick, weights))
        }
    }
}

/// Whether the old version that an adapter belongs to is still ready in this hall.
fn is_old_version_ready(tick: &Tick, weights: &Weights) -> bool {
    tick.ready(&weights.model)
        .iter()
        .any(|(_, v)| *v == weights.version)
}

/// Display form of weights.
pub(super) fn describe(weights: &Weights) -> String {
    match &weights.adapter {
        Some(adapter) => format!("adapter {adapter} of {}@{}", weights.model, weights.version),
        None => format!("{}@{}", weights.model, weights.version),
    }
}
