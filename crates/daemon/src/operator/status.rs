//! State of a daemon, for `coveford status` and `coveford why`.

use crate::core::Core;
use crate::fleet::{Entry, Target};
use crate::spread::is_relay;
use route::breaker;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use unit::engine::State;
use unit::{Bytes, Name, Span};

/// State of a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Its host.
    pub name: Name,
    /// Its hall.
    pub hall: Name,
    /// Whether it has been told to stop.
    pub draining: bool,
    /// Bundle in force; 0 before the first.
    pub bundle: u64,
    /// Title of that bundle.
    pub title: Name,
    /// Whether the service or a peer confirmed the bundle lately.
    pub confirmed: bool,
    /// Whether the key-value service answered lately.
    pub service_answers: bool,
    /// Whether it relays bundles in its hall.
    pub relay: bool,
    /// Whether it plans for its hall.
    pub planner: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// Upstreams as seen from here.
    pub upstreams: Vec<Upstream>,
    /// Models of the bundle as seen from here.
    pub models: BTreeMap<Name, Model>,
}

/// Upstream as seen from a daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name.
    pub name: Name,
    /// Its hall.
    pub hall: Name,
    /// Whether it gets no new work.
    pub leaving: bool,
    /// Whether it is ejected for failing.
    pub ejected: bool,
    /// Age of its last report.
    pub report_age: Span,
    /// Accelerator memory; 0 for plain services.
    pub memory: Bytes,
    /// Memory taken.
    pub taken: Bytes,
    /// Requests running there.
    pub running: u32,
    /// Requests waiting there.
    pub waiting: u32,
    /// This daemon's requests in flight there.
    pub in_flight: u32,
    /// How many it may have there.
    pub allowed: u32,
}

/// Model as seen from a daemon.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Version the bundle asks for.
    pub version: Name,
    /// Replicas.
    pub replicas: Vec<Replica>,
    /// Requests waiting here.
    pub waiting: u64,
    /// Requests a second that arrive here, smoothed.
    pub rate: f64,
}

/// Replica of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Where.
    pub upstream: Name,
    /// Its version.
    pub version: Name,
    /// Its state.
    pub state: State,
    /// Whether its upstream gets no new work.
    pub leaving: bool,
}

/// State of a daemon now.
pub(super) fn status(core: &Core) -> Status {
    let now = core.now();
    let current = core.in_force();
    let entries = core.fleet.entries();
    Status {
        name: core.settings.name.clone(),
        hall: core.settings.hall.clone(),
        draining: core.is_draining(),
        bundle: core.force.sequence(),
        title: current
            .as_ref()
            .map_or("".into(), |c| c.head.draft.title.clone()),
        confirmed: core.confirmed.is_confirmed(now),
        service_answers: core.confirmed.service_answers(now),
        relay: is_relay(core),
        planner: core.planned.state().holds,
        in_flight: core.in_flight() as u64,
        upstreams: entries.iter().map(|e| upstream(core, e)).collect(),
        models: models(core, &entries),
    }
}

fn upstream(core: &Core, entry: &Entry) -> Upstream {
    let now = core.now();
    let report = entry.report.as_ref();
    Upstream {
        name: entry.host.name.clone(),
        hall: entry.host.hall.clone(),
        leaving: entry.is_leaving(),
        ejected: matches!(entry.health.state(now), breaker::State::Open(_)),
        report_age: now.since(entry.reported_at),
        memory: report.map(|r| r.memory).unwrap_or_default(),
        taken: report
            .map(|r| r.resident.iter().map(|w| w.bytes).sum())
            .unwrap_or_default(),
        running: entry.load.running,
        waiting: entry.load.waiting,
        in_flight: entry.in_flight(),
        allowed: entry.limit.allowed(),
    }
}

fn models(core: &Core, entries: &[Entry]) -> BTreeMap<Name, Model> {
    let Some(current) = core.in_force() else {
        return BTreeMap::new();
    };
    let mut models: BTreeMap<Name, Model> = BTreeMap::new();
    for (name, model) in &current.intent.models {
        let version = model.version.clone();
        models.insert(
            name.clone(),
            Model {
                version,
                ..Model::default()
            },
        );
    }
    for entry in entries {
        let resident = entry.report.iter().flat_map(|r| &r.resident);
        for held in resident.filter(|r| r.weights.adapter.is_none()) {
            if let Some(model) = models.get_mut(&held.weights.model) {
                model.replicas.push(Replica {
                    upstream: entry.host.name.clone(),
                    version: held.weights.version.clone(),
                    state: held.state,
                    leaving: entry.is_leaving(),
                });
            }
        }
    }
    for (target, n) in core.fleet.waiting() {
        if let Target::Model { model, .. } = target
            && let Some(found) = models.get_mut(&model)
        {
            found.waiting += n as u64;
        }
    }
    for demand in core.demands() {
        if let Some(found) = models.get_mut(&demand.model) {
            found.rate = demand.rate;
        }
    }
    models
}
