//! Input, output and state of a tick, and the operations that its steps share.

use super::{floor, reconcile, scale_up};
use crate::fleet::{Fleet, Upstream, is_base};
use crate::homes::{Hall, Homes, Requirement, assign};
use crate::ledger::{Denial, Ledger, NewOrder};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use unit::engine::{Action, Order, State, Weights};
use unit::{Bytes, Name, Span, Time};

/// Model as the bundle specifies it.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    /// Name of the model.
    pub model: Name,
    /// Version of its weights.
    pub version: Name,
    /// Memory of one replica.
    pub memory: Bytes,
    /// Minimum number of replicas in the whole fleet.
    pub min_replicas: u32,
    /// Priority of its class; higher goes first.
    pub priority: u8,
    /// Adapters and their memory.
    pub adapters: Vec<(Name, Bytes)>,
}

impl Spec {
    /// Weights of the model itself.
    pub fn weights(&self) -> Weights {
        Weights {
            model: self.model.clone(),
            version: self.version.clone(),
            adapter: None,
        }
    }

    /// Weights of one of its adapters.
    pub fn adapter(&self, adapter: &Name) -> Weights {
        Weights {
            adapter: Some(adapter.clone()),
            ..self.weights()
        }
    }

    /// Memory of one replica with all its adapters.
    pub fn total_memory(&self) -> Bytes {
        self.memory + self.adapters.iter().map(|(_, bytes)| *bytes).sum()
    }

    /// Replicas that it must have, with their memory.
    pub fn requirement(&self) -> Requirement {
        Requirement {
            model: self.model.clone(),
            memory: self.total_memory(),
            min_replicas: self.min_replicas,
        }
    }
}

/// Demand for a model, summed over all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Smoothed requests per second.
    pub rate: f64,
    /// Share of one upstream's capacity that one request per second takes.
    pub work: f64,
}

/// Input of a tick.
#[derive(Debug, Clone)]
pub struct Input<'a> {
    /// Current time.
    pub now: Time,
    /// Wall clock in milliseconds since 1970, recorded with moves.
    pub wall_ms: u64,
    /// This hall.
    pub hall: &'a Name,
    /// All halls, from the host list.
    pub halls: &'a [Hall],
    /// Models that must be served.
    pub specs: &'a [Spec],
    /// Upstreams of this hall.
    pub fleet: &'a Fleet,
    /// Upstreams of other halls, as last reported. They are taken into account but get no orders.
    pub other_halls: &'a Fleet,
    /// Home halls of the models, as read for this tick.
    pub homes: &'a Homes,
    /// Demand by model.
    pub demand: &'a BTreeMap<Name, Demand>,
    /// Value of one request that meets its target.
    pub attainment_weight: f64,
    /// Cost of a move.
    pub move_cost: f64,
}

/// Limiter of loads: a token bucket and a bound on concurrent loads, for this hall's share of the weight store.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadLimiter {
    per_second: f64,
    max_concurrent: usize,
    tokens: f64,
    refilled_at: Option<Time>,
}

/// Maximum number of saved tokens.
const BURST: f64 = 3.0;

impl LoadLimiter {
    /// Creates the limiter of one of `halls` halls that share a store.
    pub fn new(per_second: f64, max_concurrent: u32, halls: usize) -> LoadLimiter {
        let halls = halls.max(1);
        LoadLimiter {
            per_second: per_second / halls as f64,
            max_concurrent: (max_concurrent as usize / halls).max(1),
            tokens: 1.0,
            refilled_at: None,
        }
    }

    fn refill(&mut self, now: Time) {
        let elapsed = self.refilled_at.map_or(Span::ZERO, |at| now.since(at));
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + elapsed.secs() * self.per_second).min(BURST);
    }
}

/// Result of a tick.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Orders to send, by upstream. They are reserved in the ledger already.
    pub orders: Vec<(Name, Order)>,
    /// Unresolved orders of earlier ticks to send again, to fencing upstreams only.
    #[serde(rename = "again")]
    pub resends: Vec<(Name, Order)>,
    /// Models whose homes this hall joins.
    pub joins: Vec<Name>,
    /// Models whose homes this hall leaves.
    pub leaves: Vec<Name>,
    /// Explanations of what could not be done, by model.
    pub notes: BTreeMap<Name, String>,
}

/// State of a tick. Upstreams are given by index into `input.fleet`.
pub(super) struct Tick<'a> {
    pub(super) input: &'a Input<'a>,
    pub(super) ledger: &'a mut Ledger,
    pub(super) limiter: &'a mut LoadLimiter,
    pub(super) loads_in_progress: usize,
    /// Halls that each model is assigned to.
    pub(super) assignment: BTreeMap<Name, Vec<Name>>,
    pub(super) plan: Plan,
    /// Replicas (model, upstream) that this tick unloads.
    pub(super) unloading: BTreeSet<(Name, Name)>,
    /// Ready replicas by model: upstream and version.
    ready: BTreeMap<Name, Vec<(usize, Name)>>,
    /// Replicas by model that are loading or whose load is reserved: upstream and version.
    incoming: BTreeMap<Name, Vec<(usize, Name)>>,
}

/// Plans a tick. The orders it returns are reserved in the ledger.
pub fn plan(input: &Input, ledger: &mut Ledger, limiter: &mut LoadLimiter) -> Plan {
    ledger.resolve(input.fleet);
    limiter.refill(input.now);
    let requirements: Vec<Requirement> = input.specs.iter().map(Spec::requirement).collect();
    let assignment = assign(&requirements, input.halls);
    let loads_in_progress = count_loads(input.fleet, ledger);
    let (ready, incoming) = replicas(input.fleet, ledger);
    let mut tick = Tick {
        input,
        ledger,
        limiter,
        loads_in_progress,
        assignment,
        plan: Plan::default(),
        unloading: BTreeSet::new(),
        ready,
        incoming,
    };
    floor::update_homes(&mut tick);
    floor::restore(&mut tick);
    reconcile::update_versions(&mut tick);
    reconcile::load_adapters(&mut tick);
    reconcile::unload_unlisted(&mut tick);
    scale_up::scale_up(&mut tick);
    tick.plan.resends = tick.resends();
    tick.plan
}

/// Loads that upstreams report or that are reserved and not reported yet.
fn count_loads(fleet: &Fleet, ledger: &Ledger) -> usize {
    let resident = fleet.upstreams.iter().flat_map(|u| &u.report.resident);
    let loading = resident.filter(|r| r.state == State::Loading).count();
    let reserved = ledger
        .open
        .iter()
        .filter(|o| {
            matches!(&o.order.action, Action::Load { weights, .. }
            if fleet.find(&o.upstream).is_none_or(|u| u.find(weights).is_none()))
        })
        .count();
    loading + reserved
}

/// Upstream and version of each replica, by model.
type Replicas = BTreeMap<Name, Vec<(usize, Name)>>;

/// Ready replicas without a pending unload, and incoming ones. Upstreams that leave are left out.
fn replicas(fleet: &Fleet, ledger: &Ledger) -> (Replicas, Replicas) {
    let mut ready = Replicas::new();
    let mut incoming = Replicas::new();
    for (i, upstream) in fleet.upstreams.iter().enumerate() {
        if upstream.leaving {
            continue;
        }
        for resident in &upstream.report.resident {
            let weights = &resident.weights;
            if weights.adapter.is_some() || ledger.has_pending_unload(&upstream.name, weights) {
                continue;
            }
            let at = (i, weights.version.clone());
            // Without a current report the replica may or may not be there. As an incoming one it keeps
            // another from being loaded, and does not count when one is to be unloaded.
            let is_certain = !upstream.unreachable && ledger.is_current(upstream);
            match resident.state {
                State::Ready if !is_certain => {
                    incoming.entry(weights.model.clone()).or_default().push(at)
                }
                State::Ready => ready.entry(weights.model.clone()).or_default().push(at),
                State::Loading => incoming.entry(weights.model.clone()).or_default().push(at),
                State::Unloading => {}
            }
        }
        for entry in ledger.open.iter().filter(|o| o.upstream == upstream.name) {
            if let Action::Load { weights, .. } = &entry.order.action
                && weights.adapter.is_none()
                && upstream.find(weights).is_none()
                && entry.delivery != crate::ledger::Delivery::InDoubt
            {
                let at = (i, weights.version.clone());
                incoming.entry(weights.model.clone()).or_default().push(at);
            }
        }
    }
    (ready, incoming)
}

impl<'a> Tick<'a> {
    pub(super) fn upstream(&self, at: usize) -> &'a Upstream {
        &self.input.fleet.upstreams[at]
    }

    /// Upstreams that have a model ready and that this tick does not unload it from, with its version.
    pub(super) fn ready(&self, model: &str) -> Vec<(usize, Name)> {
        let found = self.ready.get(model).cloned().unwrap_or_default();
        let is_staying = |(at, _): &(usize, Name)| {
            !self
                .unloading
                .iter()
                .any(|(m, u)| **m == *model && *u == self.upstream(*at).name)
        };
        found.into_iter().filter(is_staying).collect()
    }

    /// Upstreams that are to load or are loading a model, with its version.
    pub(super) fn incoming(&self, model: &str) -> &[(usize, Name)] {
        self.incoming.get(model).map_or(&[], Vec::as_slice)
    }

    /// Minimum number of replicas of a model in this hall.
    pub(super) fn floor(&self, spec: &Spec) -> usize {
        let halls = self
            .assignment
            .get(&spec.model)
            .map_or(&[][..], Vec::as_slice);
        if let Some(i) = halls.iter().position(|hall| hall == self.input.hall) {
            // The first halls take the remainder.
            return (spec.min_replicas as usize + halls.len() - 1 - i) / halls.len();
        }
        usize::from(self.input.homes.is_home(&spec.model, self.input.hall))
    }

    /// Whether this hall is a home of a model or joins its homes in this tick.
    pub(super) fn is_home(&self, model: &str) -> bool {
        self.input.homes.is_home(model, self.input.hall)
            || self.plan.joins.iter().any(|m| &**m == model)
    }

    /// Explains what could not be done for a model.
    pub(super) fn note(&mut self, model: &Name, text: String) {
        self.plan.notes.insert(model.clone(), text);
    }

    /// Whether the load limiter allows another load.
    pub(super) fn may_load(&self) -> bool {
        self.limiter.tokens >= 1.0 && self.loads_in_progress < self.limiter.max_concurrent
    }

    /// Reserves an order in the ledger and adds it to the plan.
    fn reserve_order(&mut self, at: usize, action: Action, reason: String) -> Result<(), Denial> {
        let upstream = self.upstream(at);
        let new_order = NewOrder {
            upstream: upstream.name.clone(),
            action,
            reason,
        };
        let order = self
            .ledger
            .reserve(upstream, &new_order, self.input.wall_ms)?;
        self.plan.orders.push((upstream.name.clone(), order));
        Ok(())
    }

    /// Orders a load if the limiter and the ledger allow it; returns whether they did.
    pub(super) fn load(
        &mut self,
        at: usize,
        weights: Weights,
        bytes: Bytes,
        reason: String,
    ) -> bool {
        if !self.may_load() {
            return false;
        }
        let model = weights.model.clone();
        let version = weights.version.clone();
        let is_base = weights.adapter.is_none();
        if self
            .reserve_order(at, Action::Load { weights, bytes }, reason)
            .is_err()
        {
            return false;
        }
        self.limiter.tokens -= 1.0;
        self.loads_in_progress += 1;
        if is_base {
            self.incoming.entry(model).or_default().push((at, version));
        }
        true
    }

    /// Orders an unload, unless it would remove the last ready replica of a model with its home in this hall;
    /// returns whether it was ordered.
    pub(super) fn unload(&mut self, at: usize, weights: Weights, reason: String) -> bool {
        let is_base = weights.adapter.is_none();
        let model = weights.model.clone();
        let name = self.upstream(at).name.clone();
        if is_base && self.removes_last(at, &weights) {
            return false;
        }
        if self
            .reserve_order(at, Action::Unload { weights }, reason)
            .is_err()
        {
            return false;
        }
        if is_base {
            self.unloading.insert((model, name));
        }
        true
    }

    /// Whether unloading the weights would leave a model with its home in this hall without a ready replica.
    fn removes_last(&self, at: usize, weights: &Weights) -> bool {
        let is_served = self.input.specs.iter().any(|w| w.model == weights.model);
        if !is_served || !self.is_home(&weights.model) {
            return false;
        }
        let other = |(i, version): &(usize, Name)| *i != at || *version != weights.version;
        !self.ready(&weights.model).iter().any(other)
    }

    /// Open orders to send again.
    ///
    /// Unloads are checked again, since the other replicas they relied on may be gone.
    fn resends(&self) -> Vec<(Name, Order)> {
        let new_fences: BTreeSet<_> = self.plan.orders.iter().map(|(_, o)| o.fence).collect();
        let usable = self.usable();
        let mut resends = Vec::new();
        for entry in self
            .ledger
            .open
            .iter()
            .filter(|o| !new_fences.contains(&o.order.fence))
        {
            let at = usable
                .iter()
                .find(|at| self.upstream(**at).name == entry.upstream);
            let Some(at) = at.filter(|at| self.upstream(**at).fencing) else {
                continue;
            };
            let is_unsafe = match &entry.order.action {
                Action::Unload { weights } if weights.adapter.is_none() => {
                    self.removes_last(*at, weights)
                }
                _ => false,
            };
            if !is_unsafe {
                resends.push((entry.upstream.clone(), entry.order.clone()));
            }
        }
        resends
    }

    /// Memory that is neither used nor reserved on an upstream.
    pub(super) fn free(&self, at: usize) -> Bytes {
        self.ledger.free(self.upstream(at))
    }

    /// Upstreams that may get orders.
    pub(super) fn usable(&self) -> Vec<usize> {
        let all = 0..self.input.fleet.upstreams.len();
        all.filter(|at| {
            let upstream = self.upstream(*at);
            !upstream.leaving && !upstream.unreachable && self.ledger.is_current(upstream)
        })
        .collect()
    }

    /// Whether an upstream holds or is to load any version of a model.
    pub(super) fn has_replica(&self, at: usize, model: &str) -> bool {
        let resident = &self.upstream(at).report.resident;
        resident.iter().any(|r| is_base(&r.weights, model))
            || self.incoming(model).iter().any(|(i, _)| *i == at)
    }
}
