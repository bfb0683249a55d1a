//! Versions, adapters, and what the bundle no longer names.

use super::floor;
use super::tick::{Spec, Tick};
use unit::Name;
use unit::engine::{State, Weights};

/// Rolls models to the bundle's version: the new is loaded before the old goes where memory
/// allows; where it does not, one replica after another makes room, never the last ready one.
pub(super) fn versions(tick: &mut Tick) {
    for spec in tick.input.specs {
        let ready = tick.ready(&spec.model);
        let (new, old): (Vec<_>, Vec<_>) = ready.into_iter().partition(|(_, v)| *v == spec.version);
        if old.is_empty() {
            continue;
        }
        let coming = tick
            .coming(&spec.model)
            .iter()
            .filter(|(_, v)| *v == spec.version)
            .count();
        let wanted = tick.floor(spec).max(old.len());
        if new.len() + coming < wanted && bring_new(tick, spec) {
            continue;
        }
        retire_old(tick, spec, &new, &old, coming);
    }
}

/// Loads a replica of the new version beside the old ones.
fn bring_new(tick: &mut Tick, spec: &Spec) -> bool {
    let reason = format!("{} is to have version {}.", spec.model, spec.version);
    let weights = spec.weights();
    let mut fitting: Vec<usize> = tick
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
    // Beside no old replica first, so that the old can go on while the new is loaded.
    fitting.sort_by_key(|at| (tick.has(*at, &spec.model), tick.free(*at)));
    fitting
        .into_iter()
        .any(|at| tick.load(at, weights.clone(), spec.memory, reason.clone()))
}

/// Unloads an old replica once enough new ones are ready, or to make room for a new one.
fn retire_old(
    tick: &mut Tick,
    spec: &Spec,
    new: &[(usize, Name)],
    old: &[(usize, Name)],
    coming: usize,
) {
    let floor = tick.floor(spec).max(1);
    let enough = new.len() >= floor;
    let stuck = coming == 0 && tick.may_start() && new.len() + old.len() > 1;
    if enough {
        for (at, version) in old {
            let reason = format!(
                "{} replicas of version {} of {} are ready.",
                new.len(),
                spec.version,
                spec.model
            );
            unload_version(tick, spec, *at, version, reason);
        }
        return;
    }
    if stuck {
        let (at, version) = &old[0];
        let reason = format!(
            "No upstream has room for version {} of {} beside the old; another replica answers meanwhile.",
            spec.version, spec.model
        );
        unload_version(tick, spec, *at, version, reason);
        return;
    }
    if coming == 0 && tick.may_start() && !floor::make_room(tick, spec) {
        let text = format!(
            "Version {} of {} finds no room, and its only replica must go on answering.",
            spec.version, spec.model
        );
        tick.note(&spec.model, text);
    }
}

fn unload_version(tick: &mut Tick, spec: &Spec, at: usize, version: &Name, reason: String) {
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

/// Loads each adapter beside the model's ready replicas.
pub(super) fn adapters(tick: &mut Tick) {
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

/// Unloads what the bundle no longer names.
pub(super) fn unnamed(tick: &mut Tick) {
    for at in tick.usable() {
        let upstream = tick.upstream(at);
        for resident in &upstream.report.resident {
            let weights = &resident.weights;
            let named = is_named(tick, weights);
            let settled = resident.state == State::Ready
                && !tick.ledger.has_pending_unload(&upstream.name, weights);
            if !named && settled {
                let reason = format!("The bundle in force does not name {}.", show(weights));
                tick.unload(at, weights.clone(), reason);
            }
        }
    }
}

fn is_named(tick: &Tick, weights: &Weights) -> bool {
    let Some(spec) = tick.input.specs.iter().find(|w| w.model == weights.model) else {
        return false;
    };
    match &weights.adapter {
        // Old versions are the business of `versions`.
        None => true,
        Some(adapter) => {
            let known = spec.adapters.iter().any(|(name, _)| name == adapter);
            known && (weights.version == spec.version || old_base_stays(tick, weights))
        }
    }
}

/// Whether the old version that an adapter belongs to is still ready somewhere here.
fn old_base_stays(tick: &Tick, weights: &Weights) -> bool {
    tick.ready(&weights.model)
        .iter()
        .any(|(_, v)| *v == weights.version)
}

/// Weights for people.
pub(super) fn show(weights: &Weights) -> String {
    match &weights.adapter {
        Some(adapter) => format!("adapter {adapter} of {}@{}", weights.model, weights.version),
        None => format!("{}@{}", weights.model, weights.version),
    }
}
