//! Versions, adapters, and what the bundle no longer names.

use super::floor;
use super::tick::{Tick, Want};
use unit::Name;
use unit::engine::{State, Weights};

/// Rolls models to the bundle's version: the new is loaded before the old goes where memory
/// allows; where it does not, one replica after another makes room, never the last ready one.
pub(super) fn versions(tick: &mut Tick) {
    for want in tick.s.wants {
        let ready = tick.ready(&want.model);
        let (new, old): (Vec<_>, Vec<_>) = ready.into_iter().partition(|(_, v)| *v == want.version);
        if old.is_empty() {
            continue;
        }
        let coming = tick
            .coming(&want.model)
            .iter()
            .filter(|(_, v)| *v == want.version)
            .count();
        let wanted = tick.floor(want).max(old.len());
        if new.len() + coming < wanted && bring_new(tick, want) {
            continue;
        }
        retire_old(tick, want, &new, &old, coming);
    }
}

/// Loads a replica of the new version beside the old ones.
fn bring_new(tick: &mut Tick, want: &Want) -> bool {
    let reason = format!("{} is to have version {}.", want.model, want.version);
    let weights = want.weights();
    let mut fitting: Vec<usize> = tick
        .usable()
        .into_iter()
        .filter(|at| tick.upstream(*at).find(&weights).is_none())
        .filter(|at| !tick.ledger.is_coming(&tick.upstream(*at).name, &weights))
        .filter(|at| tick.free(*at) >= want.whole())
        .collect();
    // Beside no old replica first, so that the old can go on while the new is loaded.
    fitting.sort_by_key(|at| (tick.has(*at, &want.model), tick.free(*at)));
    fitting
        .into_iter()
        .any(|at| tick.load(at, weights.clone(), want.memory, reason.clone()))
}

/// Unloads an old replica once enough new ones are ready, or to make room for a new one.
fn retire_old(
    tick: &mut Tick,
    want: &Want,
    new: &[(usize, Name)],
    old: &[(usize, Name)],
    coming: usize,
) {
    let floor = tick.floor(want).max(1);
    let enough = new.len() >= floor;
    let stuck = coming == 0 && tick.may_start() && new.len() + old.len() > 1;
    if enough {
        for (at, version) in old {
            let reason = format!(
                "{} replicas of version {} of {} are ready.",
                new.len(),
                want.version,
                want.model
            );
            unload_version(tick, want, *at, version, reason);
        }
        return;
    }
    if stuck {
        let (at, version) = &old[0];
        let reason = format!(
            "No upstream has room for version {} of {} beside the old; another replica answers meanwhile.",
            want.version, want.model
        );
        unload_version(tick, want, *at, version, reason);
        return;
    }
    if coming == 0 && tick.may_start() && !floor::make_room(tick, want) {
        let text = format!(
            "Version {} of {} finds no room, and its only replica must go on answering.",
            want.version, want.model
        );
        tick.note(&want.model, text);
    }
}

fn unload_version(tick: &mut Tick, want: &Want, at: usize, version: &Name, reason: String) {
    let resident = &tick.upstream(at).report.resident;
    let of_version = |w: &Weights| w.model == want.model && w.version == *version;
    let all: Vec<Weights> = resident
        .iter()
        .map(|r| &r.weights)
        .filter(|w| of_version(w))
        .cloned()
        .collect();
    let base = Weights {
        model: want.model.clone(),
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
    for want in tick.s.wants {
        for (adapter, bytes) in &want.adapters {
            let weights = want.adapter(adapter);
            let bases = tick.ready(&want.model);
            let current = bases.iter().filter(|(_, v)| *v == want.version);
            for (at, _) in current {
                let upstream = tick.upstream(*at);
                let has = upstream.find(&weights).is_some()
                    || tick.ledger.is_coming(&upstream.name, &weights);
                if has || tick.free(*at) < *bytes {
                    continue;
                }
                let reason = format!(
                    "Adapter {adapter} belongs beside this replica of {}.",
                    want.model
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
            let settled =
                resident.state == State::Ready && !tick.ledger.may_go(&upstream.name, weights);
            if !named && settled {
                let reason = format!("The bundle in force does not name {}.", show(weights));
                tick.unload(at, weights.clone(), reason);
            }
        }
    }
}

fn is_named(tick: &Tick, weights: &Weights) -> bool {
    let Some(want) = tick.s.wants.iter().find(|w| w.model == weights.model) else {
        return false;
    };
    match &weights.adapter {
        // Old versions are the business of `versions`.
        None => true,
        Some(adapter) => {
            let known = want.adapters.iter().any(|(name, _)| name == adapter);
            known && (weights.version == want.version || old_base_stays(tick, weights))
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
