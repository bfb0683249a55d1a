//! Replicas, the configuration in force, and what is in flight where: one table under one lock.
//!
//! Its parts: `replica` is what is known of one replica, with its `absence` and the `share` of its
//! answers that failed; `adapters` is where adapters are and which are used, `pace` how fast models
//! run, `demand` what is asked for here, `told` what the leader plans. `choose` places requests by
//! all of them, and `sums` exchanges them with other hosts.

mod adapters;
mod average;
mod backoff;
mod choose;
mod demand;
mod loads;
mod pace;
mod permit;
mod plans;
mod rate_limit;
mod reachability;
mod replica;

pub use backoff::BackoffUpdate;
pub use choose::{Choice, Saturated, Unplaceable};
pub use permit::{Permit, Unavailable};
pub use rate_limit::{Change, LimitTerms};
pub use replica::Footprint;

use crate::message::AdapterUse;
use crate::routes::Routes;
use crate::settings::Bounds;
use crate::view::{Update, View};
use backoff::Rests;
use demand::Demands;
use pace::Paces;
use plans::Told;
use platform::config::Service;
use platform::ingress::Ask;
use platform::replica::Entry;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use replica::State;
use route::windowed_budget::WindowedBudget;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use unit::{Name, Span, Time};

/// Age at which another host's own sums are no longer used.
const DIRECT_AGE: Span = Span::from_ms(1_500);

/// Age at which the sums of other hosts are no longer used.
const SUMS_AGE: Span = Span::from_ms(3_000);

/// Time of one step of a batch without any prompt, with the way of the answer; of the order of
/// what accelerators take for a model of 70 GB.
const STEP: Span = Span::from_ms(12);

/// Table of one daemon.
pub struct Table {
    /// Replicas by the store's news.
    pub view: View,
    /// Configuration in force.
    pub routes: Option<Arc<Routes>>,
    /// Hosts that the leader knows of, this one included; 1 until one has told.
    pub host_count: usize,
    /// Whether a leader has told how many hosts there are.
    pub knows_host_count: bool,
    hall: Name,
    replicas: HashMap<Name, State>,
    rests: Rests,
    paces: Paces,
    /// Retry budgets by service.
    windows: HashMap<Name, WindowedBudget>,
    demand: Demands,
    told: Told,
    /// When what was told before was set aside.
    told_before_at: Time,
    /// Adapters that requests of this host used since they were told last.
    used: HashSet<AdapterUse>,
    /// When another host last told its sums directly.
    direct_at: Time,
    rng: SmallRng,
}

/// Request to be placed.
#[derive(Debug, Clone)]
pub struct Criteria<'a> {
    /// Service it goes to.
    pub service: &'a Name,
    /// What it says of itself.
    pub ask: &'a Ask,
    /// Rank of urgency, 0 first.
    pub priority: u8,
    /// Longest pause between events of a stream, if it has a bound.
    pub max_gap: Option<Span>,
    /// Replicas it must not go to.
    pub excluded: &'a [Name],
    /// Whether it takes up a stream that has broken, which goes before what has not begun.
    pub is_resumption: bool,
}

impl Table {
    /// Makes an empty table of a host in that hall; `seed` breaks ties differently on each host, and replicas
    /// write to the store each `heartbeat`.
    pub fn new(hall: Name, seed: u64, heartbeat: Span) -> Table {
        Table {
            view: View::new(heartbeat),
            routes: None,
            host_count: 1,
            knows_host_count: false,
            hall,
            replicas: HashMap::new(),
            rests: Rests::new(),
            paces: Paces::default(),
            windows: HashMap::new(),
            demand: Demands::default(),
            told: Told::default(),
            told_before_at: Time(0),
            used: HashSet::new(),
            direct_at: Time(0),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes a configuration unless one as new is in force; tells whether it did.
    pub fn set_routes(&mut self, routes: Routes) -> bool {
        let newer = |known: &Arc<Routes>| known.revision < routes.revision;
        if !self.routes.as_ref().is_none_or(newer) {
            return false;
        }
        self.routes = Some(Arc::new(routes));
        true
    }

    /// Forgets the state of replicas that are gone, and what those knew and held that have started again.
    pub fn apply(&mut self, news: &[Update]) {
        for one in news {
            match one {
                // What it asked this host for holds on: its entry may come back.
                Update::Removed(id) => drop(self.replicas.remove(id)),
                Update::Restarted(id) => self.restarted(id),
                _ => {}
            }
        }
    }

    /// Forgets what a replica knew and held before it started again.
    fn restarted(&mut self, id: &Name) {
        if let Some(state) = self.replicas.get_mut(id) {
            state.restart();
        }
        self.told.loaded.forget(id);
        self.told.closing.forget(id);
    }

    /// Configuration of a service.
    fn service(&self, name: &Name) -> Option<Arc<Service>> {
        self.routes.as_ref()?.service(name).cloned()
    }

    /// What is known of a replica, to be changed.
    fn replica(&mut self, id: &Name) -> &mut State {
        self.replicas.entry(id.clone()).or_default()
    }

    /// Whether other hosts tell their sums directly.
    fn is_direct(&self, now: Time) -> bool {
        now.since(self.direct_at) < DIRECT_AGE
    }

    /// Whether a replica holds a model, by its entry or by the leader's word.
    fn holds(&self, entry: &Entry, model: &Name, now: Time) -> bool {
        let in_entry = entry.held.iter().any(|h| h.model == *model);
        in_entry || self.told.loaded.has(&entry.id, model, now)
    }

    /// Pace of a model: prompt tokens read in a millisecond, and the time of a run.
    pub fn pace(&self, service: &Name, model: &Name) -> (f64, Span) {
        let pace = self.paces.of(service, Some(model));
        (pace.speed, pace.run)
    }

    /// Share of the places of a service's replicas for a model that are taken.
    pub fn utilization(&self, want: &Criteria, now: Time) -> f64 {
        let model = want.ask.model.as_ref();
        let direct = self.is_direct(now);
        let (mut taken, mut places) = (0.0, 0.0);
        for seen in self.view.all() {
            let entry = &seen.entry;
            let holds = model.is_none_or(|m| self.holds(entry, m, now));
            if entry.service == *want.service && !entry.leaving && holds {
                let state = self.replicas.get(&entry.id);
                // The places of a replica in need, or at rest, are not there for the asking.
                let in_need = state.is_some_and(|s| s.limit(now).is_some());
                if in_need || self.unavailable(&entry.id, now).is_some() {
                    continue;
                }
                let load = state.map(|s| s.load(now, direct));
                taken += f64::from(load.unwrap_or_default().requests);
                places += f64::from(entry.slots);
            }
        }
        if places == 0.0 { 1.0 } else { taken / places }
    }

    /// Requests in flight at a replica, and the time to read the prompts not read there.
    pub fn load(&self, replica: &str, now: Time) -> (f64, Span) {
        let state = self.replicas.get(replica);
        let load = state
            .map(|s| s.load(now, self.is_direct(now)))
            .unwrap_or_default();
        let unread: f32 = load.prefill_ms.iter().sum();
        (
            f64::from(load.requests),
            Span((f64::from(unread) * 1e3) as u64),
        )
    }

    /// Time until one more copy of a model is expected, if one is on its way.
    pub fn model_eta(&self, model: &Name, now: Time) -> Option<Span> {
        self.told.coming(model, now)
    }

    /// Counts a request in at a replica.
    pub fn begin(&mut self, replica: &Name, want: &Criteria, now: Time) -> Footprint {
        let pace = self.paces.of(want.service, want.ask.model.as_ref());
        self.note_use(replica, want);
        let state = self.replica(replica);
        state.absence.tried(now);
        state.enter(want, &pace)
    }

    /// Notes that the first token of a request has come.
    pub fn record_first_token(&mut self, replica: &str, print: &mut Footprint) {
        if let Some(state) = self.replicas.get_mut(replica) {
            state.started(print);
        }
        print.reading_ms = 0.0;
    }

    /// Counts a request out.
    pub fn finish(&mut self, replica: &str, print: &Footprint) {
        if let Some(state) = self.replicas.get_mut(replica) {
            state.leave(print);
        }
    }

    /// Learns from an answer or a failure of a replica.
    pub fn record_outcome(&mut self, replica: &Name, failed: bool, now: Time) {
        let sample = f64::from(u8::from(failed));
        self.replica(replica).failing.learn(sample, now);
    }

    /// Learns that a replica took no connection.
    pub fn record_unreachable(&mut self, replica: &Name, now: Time) {
        self.replica(replica).absence.strike(now);
    }

    /// Learns that a replica refused a request as meant for another replica, model or adapter;
    /// `whole` if the request named no adapter.
    pub fn record_misdirected(&mut self, replica: &Name, whole: bool, now: Time) {
        self.replica(replica).absence.misdirected(whole, now);
    }

    /// Learns that a replica answered under its identity.
    pub fn record_reached(&mut self, replica: &Name, now: Time) {
        self.replica(replica).absence.reached(now);
    }

    /// Learns that a stream of a replica paused for almost longer than it may.
    pub fn record_slow_event(&mut self, replica: &Name, now: Time) {
        self.replica(replica).lagging.learn(1.0, now);
    }

    /// Learns how fast prompts are read, from one that none stood before: it took that time.
    pub fn record_speed(&mut self, service: &Name, model: &Name, tokens: f64, took: Span) {
        self.paces.learn_speed(service, model, tokens, took);
    }

    /// Learns how long a run takes after its first token.
    pub fn record_run(&mut self, service: &Name, model: &Name, run: Span) {
        self.paces.learn_run(service, model, run);
    }

    /// Prompt tokens to be read for a request at a replica, if none stands before it there.
    pub fn unqueued_tokens(&self, replica: &str, ask: &Ask, now: Time) -> Option<f64> {
        let model = ask.model.as_ref()?;
        let state = self.replicas.get(replica);
        let load = state.map(|s| s.load(now, self.is_direct(now)));
        let unread: f32 = load.unwrap_or_default().prefill_ms.iter().sum();
        let kept = state.map_or(0, |s| s.kept(model, ask));
        (unread <= 0.0).then(|| ask.prompt.saturating_sub(kept) as f64)
    }

    /// Notes the arrival of a request, for the demand and for the retry budget.
    pub fn record_arrival(&mut self, service: &Name, ask: &Ask, bounds: &Bounds, now: Time) {
        let length = bounds.retry_window.into();
        let new = || WindowedBudget::new(bounds.retry_share, bounds.retry_slack, length);
        let window = self.windows.entry(service.clone()).or_insert_with(new);
        window.record_request(now);
        if let Some(model) = &ask.model {
            self.demand.arrived(service, model, ask.prompt, now);
        }
    }

    /// Spends a retry of a service's budget if there is one.
    pub fn spend_retry(&mut self, service: &str, now: Time) -> bool {
        let hosts = self.knows_host_count.then_some(self.host_count);
        let window = self.windows.get_mut(service);
        window.is_some_and(|w| w.spend(now, hosts))
    }
}
