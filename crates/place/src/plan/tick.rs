//! The state of one tick, and what its steps share.

use super::{floor, reconcile, scale_up};
use crate::fleet::{Fleet, Upstream, is_base};
use crate::homes::{Hall, Homes, Requirement, assign};
use crate::ledger::{Denial, Ledger, NewOrder};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use unit::engine::{Action, Order, State, Weights};
use unit::{Bytes, Name, Span, Time};

/// Model as the bundle wants it.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    /// Its name.
    pub model: Name,
    /// Version of its weights.
    pub version: Name,
    /// Memory of one replica.
    pub memory: Bytes,
    /// Least number of replicas in the fleet.
    pub min_replicas: u32,
    /// Rank of its class.
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

    /// What must be kept of it.
    pub fn requirement(&self) -> Requirement {
        Requirement {
            model: self.model.clone(),
            memory: self.total_memory(),
            min_replicas: self.min_replicas,
        }
    }
}

/// Demand for a model, from all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Demand {
    /// Requests a second, smoothed.
    pub rate: f64,
    /// Share of one upstream's capacity that one request a second takes.
    pub work: f64,
}

/// What a tick is decided on.
#[derive(Debug, Clone)]
pub struct Input<'a> {
    /// Time now.
    pub now: Time,
    /// Wall clock in milliseconds, for the record of moves.
    pub wall_ms: u64,
    /// This hall.
    pub hall: &'a Name,
    /// All halls, from the host list.
    pub halls: &'a [Hall],
    /// Models that must be served.
    pub specs: &'a [Spec],
    /// Upstreams of this hall.
    pub fleet: &'a Fleet,
    /// Upstreams of other halls, as last reported; they are weighed, never ordered.
    pub other_halls: &'a Fleet,
    /// Homes as read for this tick.
    pub homes: &'a Homes,
    /// Demand by model.
    pub demand: &'a BTreeMap<Name, Demand>,
    /// Worth of a request a second that meets its target.
    pub attainment_weight: f64,
    /// Cost of a move.
    pub move_cost: f64,
}

/// Bound on loads, within what the weight store gives this hall.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadLimiter {
    per_second: f64,
    max_concurrent: usize,
    tokens: f64,
    refilled_at: Option<Time>,
}

/// Loads that may be saved up while none is needed.
const BURST: f64 = 3.0;

impl LoadLimiter {
    /// Makes the bound for one of `halls` halls that share a store.
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
        let passed = self.refilled_at.map_or(Span::ZERO, |at| now.since(at));
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + passed.secs() * self.per_second).min(BURST);
    }
}

/// Outcome of a tick.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Orders to send, with their upstreams; the ledger holds them already.
    pub orders: Vec<(Name, Order)>,
    /// Orders of earlier ticks to send again: to fencing upstreams that never saw them.
    #[serde(rename = "again")]
    pub resends: Vec<(Name, Order)>,
    /// Models whose homes this hall joins.
    pub joins: Vec<Name>,
    /// Models whose homes this hall leaves.
    pub leaves: Vec<Name>,
    /// What could not be done, as full sentences by model.
    pub notes: BTreeMap<Name, String>,
}

/// State of a tick under way.
pub(super) struct Tick<'a> {
    pub(super) input: &'a Input<'a>,
    pub(super) ledger: &'a mut Ledger,
    pub(super) limiter: &'a mut LoadLimiter,
    pub(super) loading: usize,
    pub(super) assigned: BTreeMap<Name, Vec<Name>>,
    pub(super) plan: Plan,
    /// Replicas (model, upstream) that this tick has decided to give up.
    pub(super) going: BTreeSet<(Name, Name)>,
    /// Weights at upstreams: ready, staying.
    ready: BTreeMap<Name, Vec<(usize, Name)>>,
    /// Weights on their way: loading or reserved.
    coming: BTreeMap<Name, Vec<(usize, Name)>>,
}

/// Decides a tick; the orders are in the ledger when this returns.
pub fn plan(input: &Input, ledger: &mut Ledger, limiter: &mut LoadLimiter) -> Plan {
    ledger.resolve(input.fleet);
    limiter.refill(input.now);
    let requirements: Vec<Requirement> = input.specs.iter().map(Spec::requirement).collect();
    let assigned = assign(&requirements, input.halls);
    let loading = count_loading(input.fleet, ledger);
    let (ready, coming) = replicas(input.fleet, ledger);
    let mut tick = Tick {
        input,
        ledger,
        limiter,
        loading,
        assigned,
        plan: Plan::default(),
        going: BTreeSet::new(),
        ready,
        coming,
    };
    floor::homes(&mut tick);
    floor::repair(&mut tick);
    reconcile::versions(&mut tick);
    reconcile::adapters(&mut tick);
    reconcile::unnamed(&mut tick);
    scale_up::scale_up(&mut tick);
    tick.plan.resends = tick.resends();
    tick.plan
}

fn count_loading(fleet: &Fleet, ledger: &Ledger) -> usize {
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

type Replicas = BTreeMap<Name, Vec<(usize, Name)>>;

/// Replicas of each model with their versions: those ready to stay, and those on their way.
fn replicas(fleet: &Fleet, ledger: &Ledger) -> (Replicas, Replicas) {
    let mut ready = Replicas::new();
    let mut coming = Replicas::new();
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
            // A silent upstream, or one known only from an old report, may hold it still: no
            // reason to load another, and none to let another go.
            let sure = !upstream.unreachable && ledger.is_current(upstream);
            match resident.state {
                State::Ready if !sure => coming.entry(weights.model.clone()).or_default().push(at),
                State::Ready => ready.entry(weights.model.clone()).or_default().push(at),
                State::Loading => coming.entry(weights.model.clone()).or_default().push(at),
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
                coming.entry(weights.model.clone()).or_default().push(at);
            }
        }
    }
    (ready, coming)
}

impl<'a> Tick<'a> {
    pub(super) fn upstream(&self, at: usize) -> &'a Upstream {
        &self.input.fleet.upstreams[at]
    }

    /// Upstreams that hold a model ready and will go on holding it, with its version.
    pub(super) fn ready(&self, model: &str) -> Vec<(usize, Name)> {
        let found = self.ready.get(model).cloned().unwrap_or_default();
        let stays = |(at, _): &(usize, Name)| {
            !self
                .going
                .iter()
                .any(|(m, u)| **m == *model && *u == self.upstream(*at).name)
        };
        found.into_iter().filter(stays).collect()
    }

    /// Upstreams to which a model is on its way, with its version.
    pub(super) fn coming(&self, model: &str) -> &[(usize, Name)] {
        self.coming.get(model).map_or(&[], Vec::as_slice)
    }

    /// Replicas of a model that this hall must keep.
    pub(super) fn floor(&self, spec: &Spec) -> usize {
        let halls = self
            .assigned
            .get(&spec.model)
            .map_or(&[][..], Vec::as_slice);
        if let Some(i) = halls.iter().position(|hall| hall == self.input.hall) {
            // The first halls take what does not divide evenly.
            return (spec.min_replicas as usize + halls.len() - 1 - i) / halls.len();
        }
        usize::from(self.input.homes.is_home(&spec.model, self.input.hall))
    }

    /// Whether the last replica of a model here may go, as far as other halls are concerned.
    pub(super) fn is_home(&self, model: &str) -> bool {
        self.input.homes.is_home(model, self.input.hall)
            || self.plan.joins.iter().any(|m| &**m == model)
    }

    pub(super) fn note(&mut self, model: &Name, text: String) {
        self.plan.notes.insert(model.clone(), text);
    }

    /// Whether the weight store has room for another load.
    pub(super) fn may_start(&self) -> bool {
        self.limiter.tokens >= 1.0 && self.loading < self.limiter.max_concurrent
    }

    /// Reserves an order; tells whether the ledger allowed it.
    fn order(&mut self, at: usize, action: Action, reason: String) -> Result<(), Denial> {
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

    /// Orders a load, if the store and the ledger allow it.
    pub(super) fn load(
        &mut self,
        at: usize,
        weights: Weights,
        bytes: Bytes,
        reason: String,
    ) -> bool {
        if !self.may_start() {
            return false;
        }
        let model = weights.model.clone();
        let version = weights.version.clone();
        let base = weights.adapter.is_none();
        if self
            .order(at, Action::Load { weights, bytes }, reason)
            .is_err()
        {
            return false;
        }
        self.limiter.tokens -= 1.0;
        self.loading += 1;
        if base {
            self.coming.entry(model).or_default().push((at, version));
        }
        true
    }

    /// Orders an unload, unless it would take a model's last replica that this hall must keep.
    pub(super) fn unload(&mut self, at: usize, weights: Weights, reason: String) -> bool {
        let base = weights.adapter.is_none();
        let model = weights.model.clone();
        let name = self.upstream(at).name.clone();
        if base && self.takes_last(at, &weights) {
            return false;
        }
        if self.order(at, Action::Unload { weights }, reason).is_err() {
            return false;
        }
        if base {
            self.going.insert((model, name));
        }
        true
    }

    /// Whether unloading weights here would leave a model of this home without a ready replica.
    fn takes_last(&self, at: usize, weights: &Weights) -> bool {
        let served = self.input.specs.iter().any(|w| w.model == weights.model);
        if !served || !self.is_home(&weights.model) {
            return false;
        }
        let other = |(i, version): &(usize, Name)| *i != at || *version != weights.version;
        !self.ready(&weights.model).iter().any(other)
    }

    /// Open orders that may be sent again.
    ///
    /// An unload is judged anew: what stood by when it was decided may be gone.
    fn resends(&self) -> Vec<(Name, Order)> {
        let fresh: BTreeSet<_> = self.plan.orders.iter().map(|(_, o)| o.fence).collect();
        let usable = self.usable();
        let mut resends = Vec::new();
        for entry in self
            .ledger
            .open
            .iter()
            .filter(|o| !fresh.contains(&o.order.fence))
        {
            let at = usable
                .iter()
                .find(|at| self.upstream(**at).name == entry.upstream);
            let Some(at) = at.filter(|at| self.upstream(**at).fencing) else {
                continue;
            };
            let harmful = match &entry.order.action {
                Action::Unload { weights } if weights.adapter.is_none() => {
                    self.takes_last(*at, weights)
                }
                _ => false,
            };
            if !harmful {
                resends.push((entry.upstream.clone(), entry.order.clone()));
            }
        }
        resends
    }

    /// Memory that an upstream has free now.
    pub(super) fn free(&self, at: usize) -> Bytes {
        self.ledger.free(self.upstream(at))
    }

    /// Upstreams that may get new weights.
    pub(super) fn usable(&self) -> Vec<usize> {
        let all = 0..self.input.fleet.upstreams.len();
        all.filter(|at| {
            let upstream = self.upstream(*at);
            !upstream.leaving && !upstream.unreachable && self.ledger.is_current(upstream)
        })
        .collect()
    }

    /// Whether an upstream holds, or is getting, any version of a model.
    pub(super) fn has(&self, at: usize, model: &str) -> bool {
        let resident = &self.upstream(at).report.resident;
        resident.iter().any(|r| is_base(&r.weights, model))
            || self.coming(model).iter().any(|(i, _)| *i == at)
    }
}
