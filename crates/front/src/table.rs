//! Routing state of one daemon, behind one lock: replicas, the configuration in force and the load
//! in flight.
//!
//! `replica` holds what this host knows of one replica, with its `reachability`, `rate_limit` and
//! moving `average`s of failures and stalls; `backoff` the times for which replicas take no
//! requests from this host; `adapters` where adapters are loaded; `pace` the prefill speed and
//! decode time of models, and `speeds` those of each replica; `pauses` the pauses of streams beside prompts; `demand`
//! the arrival rate by model; `software` the versions that replicas run; `planner_status` what the leader
//! sends about its plans. `choose` picks a replica by all of these, and `loads` exchanges loads
//! with other hosts.

mod adapters;
mod average;
mod backoff;
mod brittle;
mod choose;
mod demand;
mod loads;
mod pace;
mod pauses;
mod permit;
mod places;
mod planner_status;
mod probes;
mod rate_limit;
mod reachability;
mod replica;
mod software;
mod speeds;

pub use backoff::BackoffUpdate;
pub use choose::{Choice, Saturation, Unplaceable, Witnesses};
pub use permit::{Permit, Unavailable};
pub use places::Places;
pub use rate_limit::{LimitChange, LimitTerms};
pub use replica::Footprint;
pub use speeds::Forecast;

use crate::features::{self, Features, Size};
use crate::message::{AdapterUse, replica_hash};
use crate::rounds;
use crate::routes::Routes;
use crate::settings::{Bounds, Scheduling};
use crate::view::{Update, View};
use backoff::Backoffs;
use demand::Demands;
use pace::Paces;
use pauses::Pauses;
use planner_status::PlannerStatus;
use platform::config::Service;
use platform::ingress::Metadata;
use platform::replica::Entry;
use probes::Reported;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use replica::State;
use route::speed::Estimator;
use route::windowed_budget::WindowedBudget;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use unit::{Name, Span, Time};

/// Age beyond which the loads that another host sent directly are ignored.
const MAX_DIRECT_AGE: Span = Span::from_ms(1_500);

/// Duration of one decode step of a batch without prefill, including the way of the answer. Typical of an accelerator
/// with a model of 70 GB.
const DECODE_STEP: Span = Span::from_ms(12);

/// Routing state of one daemon.
pub struct Table {
    /// Replicas, as the store lists them.
    pub view: View,
    /// Configuration in force.
    pub routes: Option<Arc<Routes>>,
    /// Optional parts of scheduling, by the settings.
    pub scheduling: Scheduling,
    /// Hosts known to the leader, including this one; 1 before the first digest.
    pub host_count: usize,
    /// Whether a digest with the number of hosts has arrived.
    pub knows_host_count: bool,
    hall: Name,
    replicas: HashMap<Name, State>,
    backoffs: Backoffs,
    paces: Paces,
    /// Speeds of replicas and models, for services that use them in place of `paces`.
    speeds: Estimator,
    /// Time of the last call that was given one.
    seen_at: Time,
    pauses: Pauses,
    /// Last tolerance that a brittle replica of each service named, and when.
    brittle_services: HashMap<Name, (u32, Time)>,
    /// Retry budgets by service.
    retry_budgets: HashMap<Name, WindowedBudget>,
    demand: Demands,
    planner_status: PlannerStatus,
    versions: software::Versions,
    /// Replicas to probe, now or later.
    to_probe: BTreeSet<Name>,
    reported_unreachable: Reported,
    /// When `replica::State::reported_before` was last replaced.
    rotated_at: Time,
    /// Adapters used by requests of this host since the last report.
    adapter_uses: HashSet<AdapterUse>,
    /// When loads last came directly from another host.
    direct_at: Time,
    /// When the leader's last digest came.
    digest_at: Time,
    rng: SmallRng,
}

/// What a request requires of a replica.
#[derive(Debug, Clone)]
pub struct Criteria<'a> {
    /// Service that the request goes to.
    pub service: &'a Name,
    /// Header fields of the request.
    pub ask: &'a Metadata,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// Longest allowed pause between events of a stream, if bounded.
    pub max_gap: Option<Span>,
    /// Replicas that must not be chosen.
    pub excluded: &'a [Name],
    /// Version of the software that the replica must run, if a stream goes on.
    pub software: Option<&'a Name>,
    /// Whether a broken stream is resumed; such requests leave no units of a rate limit to others.
    pub is_resumption: bool,
}

impl Criteria<'_> {
    /// Whether a replica runs the software that the request needs.
    fn allows_software(&self, entry: &Entry) -> bool {
        self.software
            .is_none_or(|software| *software == entry.software)
    }
}

impl Table {
    /// Creates an empty table. `seed` makes hosts break ties differently; `heartbeat` is the
    /// interval at which replicas write their entries.
    pub fn new(hall: Name, seed: u64, heartbeat: Span) -> Table {
        Table {
            view: View::new(heartbeat),
            routes: None,
            scheduling: Scheduling::default(),
            host_count: 1,
            knows_host_count: false,
            hall,
            replicas: HashMap::new(),
            backoffs: Backoffs::new(),
            paces: Paces::default(),
            speeds: Estimator::default(),
            seen_at: Time(0),
            pauses: Pauses::default(),
            brittle_services: HashMap::new(),
            retry_budgets: HashMap::new(),
            demand: Demands::default(),
            planner_status: PlannerStatus::default(),
            versions: software::Versions::default(),
            to_probe: BTreeSet::new(),
            reported_unreachable: Reported::new(),
            rotated_at: Time(0),
            adapter_uses: HashSet::new(),
            direct_at: Time(0),
            digest_at: Time(0),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Installs a configuration if it is newer than the current one; returns whether it did.
    pub fn set_routes(&mut self, routes: Routes) -> bool {
        let newer = |known: &Arc<Routes>| routes.edition().replaces(&known.edition());
        if !self.routes.as_ref().is_none_or(newer) {
            return false;
        }
        self.routes = Some(Arc::new(routes));
        true
    }

    /// Drops the state of removed replicas and resets that of restarted ones.
    pub fn apply(&mut self, updates: &[Update]) {
        for update in updates {
            match update {
                // A backoff or departure is kept elsewhere: the entry may reappear.
                Update::Removed(id) => {
                    self.replicas.remove(id);
                    self.speeds.forget(replica_hash(id));
                }
                Update::Restarted(id) => self.reset_replica(id),
                _ => {}
            }
        }
    }

    /// Drops what belonged to an earlier incarnation of a replica.
    fn reset_replica(&mut self, id: &Name) {
        if let Some(state) = self.replicas.get_mut(id) {
            state.restart();
        }
        self.speeds.forget(replica_hash(id));
        self.planner_status.loaded.forget(id);
        self.planner_status.unloading.forget(id);
    }

    /// Configuration of a service.
    fn service(&self, name: &Name) -> Option<Arc<Service>> {
        self.routes.as_ref()?.service(name).cloned()
    }

    /// Optional parts of scheduling in use for a service.
    pub fn features(&self, service: &str) -> Features {
        let Some(routes) = &self.routes else {
            return Features::default();
        };
        let Some(service) = routes.service(service) else {
            return Features::default();
        };
        // The size plays no part for services with models, and counting places takes a look at every replica.
        let size = match service.engine {
            Some(_) => Size::default(),
            None => self.size(service),
        };
        let max_pause = routes.max_pause(&service.name);
        features::of(service, max_pause, size, &self.scheduling)
    }

    fn size(&self, service: &Service) -> Size {
        let replicas = self.view.all().filter(|r| r.entry.service == service.name);
        Size {
            places: replicas.map(|r| r.entry.slots).sum(),
            hosts: self.host_count,
        }
    }

    /// State of a replica, created if missing.
    fn replica_mut(&mut self, id: &Name) -> &mut State {
        self.replicas.entry(id.clone()).or_default()
    }

    /// Whether other hosts send their loads directly.
    fn has_direct_loads(&self, now: Time) -> bool {
        now.since(self.direct_at) < MAX_DIRECT_AGE
    }

    /// Age beyond which what the leader's digests say is ignored.
    fn max_digest_age(&self) -> Span {
        rounds::max_age(self.host_count)
    }

    /// Whether a replica holds a model, by its entry or by the leader's digest.
    fn holds_model(&self, entry: &Entry, model: &Name, now: Time) -> bool {
        let in_entry = entry.resident.iter().any(|h| h.model == *model);
        let status = &self.planner_status;
        in_entry
            || status
                .loaded
                .contains(&entry.id, model, self.max_digest_age(), now)
    }

    /// Fraction of slots in use at the replicas of a service that hold the model; 1 when there are
    /// none.
    pub fn utilization(&self, criteria: &Criteria, now: Time) -> f64 {
        let model = criteria.ask.model.as_ref();
        let source = self.load_source(now);
        let (mut in_flight, mut slots) = (0.0, 0.0);
        for replica in self.view.all() {
            let entry = &replica.entry;
            let holds = model.is_none_or(|m| self.holds_model(entry, m, now));
            let fits = criteria.allows_software(entry) && holds;
            if entry.service == *criteria.service && !entry.leaving && fits {
                let state = self.replicas.get(&entry.id);
                // Replicas that limit or refuse requests have no slots to offer.
                let is_limited = state.is_some_and(|s| s.active_limit(now).is_some());
                if is_limited || self.unavailable(&entry.id, now).is_some() {
                    continue;
                }
                let load = state.map(|s| s.total_load(now, source));
                in_flight += f64::from(load.unwrap_or_default().requests);
                slots += f64::from(entry.slots);
            }
        }
        if slots == 0.0 { 1.0 } else { in_flight / slots }
    }

    /// Requests in flight at a replica, and the time to prefill the prompts that wait there.
    pub fn load(&self, replica: &str, now: Time) -> (f64, Span) {
        let state = self.replicas.get(replica);
        let load = state
            .map(|s| s.total_load(now, self.load_source(now)))
            .unwrap_or_default();
        let backlog = state.map_or(Span::ZERO, |s| {
            self.prefill_left(replica, s, load.prefill_ms.iter().sum(), now)
        });
        (f64::from(load.requests), backlog)
    }

    /// Time until another copy of a model is expected, if one is being loaded.
    pub fn model_eta(&self, model: &Name, now: Time) -> Option<Span> {
        self.planner_status.model_eta(model, now)
    }

    /// Time until another copy of a model is expected, by a recent status of the leader: one that is gone loads nothing.
    pub fn announced_model_eta(&self, model: &Name, now: Time) -> Option<Span> {
        let is_recent = self.planner_status_age(now) < self.max_digest_age();
        self.model_eta(model, now).filter(|_| is_recent)
    }

    /// Adds a request to a replica's load.
    pub fn begin(&mut self, replica: &Name, criteria: &Criteria, now: Time) -> Footprint {
        let pace = self.model_pace(criteria.service, criteria.ask.model.as_ref());
        self.seen_at = now;
        self.record_adapter_use(replica, criteria);
        let source = self.load_source(now);
        self.record_prompt(replica, criteria);
        let state = self.replica_mut(replica);
        state.reachability.record_attempt(now);
        let footprint = state.begin(criteria, &pace);
        state.observe(now, source);
        footprint
    }

    /// Records the first token of a request, which ends its prefill.
    pub fn record_first_token(&mut self, replica: &str, footprint: &mut Footprint, now: Time) {
        let source = self.load_source(now);
        if let Some(state) = self.replicas.get_mut(replica) {
            state.finish_prefill(footprint);
            state.observe(now, source);
        }
        footprint.prefill_ms = 0.0;
    }

    /// Removes a request from a replica's load.
    pub fn finish(&mut self, replica: &str, footprint: &Footprint) {
        if let Some(state) = self.replicas.get_mut(replica) {
            state.finish(footprint);
        }
    }

    /// Records whether an answer of a replica failed.
    pub fn record_outcome(&mut self, replica: &Name, failed: bool, now: Time) {
        let sample = f64::from(u8::from(failed));
        self.replica_mut(replica).failure_rate.record(sample, now);
    }

    /// Records that a replica refused a connection.
    pub fn record_unreachable(&mut self, replica: &Name, now: Time) {
        self.replica_mut(replica).reachability.record_refused(now);
        self.to_probe.insert(replica.clone());
    }

    /// Records that a replica refused a request as meant for another replica, model or adapter.
    pub fn record_misdirected(&mut self, replica: &Name, names_no_adapter: bool, now: Time) {
        self.replica_mut(replica)
            .reachability
            .record_misdirected(names_no_adapter, now);
    }

    /// Records that a replica answered under its identity.
    pub fn record_reached(&mut self, replica: &Name, now: Time) {
        self.replica_mut(replica).reachability.record_reached(now);
    }

    /// Records a stall: a pause between two events of a replica's stream that was close to the
    /// allowed maximum.
    pub fn record_stall(&mut self, replica: &Name, now: Time) {
        self.replica_mut(replica).stall_rate.record(1.0, now);
    }

    /// Counts a request in the demand of its model and in the retry budget of its service.
    pub fn record_arrival(
        &mut self,
        service: &Name,
        metadata: &Metadata,
        bounds: &Bounds,
        now: Time,
    ) {
        let window = bounds.retry_window.into();
        let open = || WindowedBudget::new(bounds.retry_share, bounds.retry_slack, window);
        let budget = self
            .retry_budgets
            .entry(service.clone())
            .or_insert_with(open);
        budget.record_request(now);
        if let Some(model) = &metadata.model {
            self.demand
                .record(service, model, metadata.prompt_tokens, now);
        }
    }

    /// Spends one retry of a service's budget; returns whether there was one.
    pub fn spend_retry(&mut self, service: &str, now: Time) -> bool {
        let hosts = self.knows_host_count.then_some(self.host_count);
        let budget = self.retry_budgets.get_mut(service);
        budget.is_some_and(|w| w.spend(now, hosts))
    }
}
