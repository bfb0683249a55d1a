//! Replicas, the configuration in force, and what is in flight where: one table under one lock.

use crate::message::{Load, RANKS, Row, short};
use crate::routes::Routes;
use crate::view::{News, View};
use platform::ingress::Ask;
use platform::replica::Entry;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::batch::{self, Candidate};
use route::window::Window;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use unit::{Name, Span, Time};

/// Weight of the newest answer in a replica's smoothed share of failures.
const NEWEST_FAILURE: f64 = 0.1;

/// Time in which a share of failures halves without any answer, so that a replica is tried again.
const FAILURE_HALVES: Span = Span::from_ms(1_500);

/// Weight of the newest sample in a model's pace.
const NEWEST_PACE: f64 = 0.1;

/// Time of one step of a batch without any prompt, with the way of the answer; of the order of
/// what accelerators take for a model of 70 GB.
const STEP: Span = Span::from_ms(12);

/// Age at which another host's own sums are no longer used.
const DIRECT_AGE: Span = Span::from_ms(1_500);

/// Prompt tokens read in a millisecond while nothing is known of a model; of the order of one
/// accelerator with a model of 70 GB.
const FIRST_SPEED: f64 = 15.0;

/// Time of a run while nothing is known of a model.
const FIRST_RUN: Span = Span::from_ms(2_000);

/// Parts of prompts remembered for each replica.
const KEPT_PARTS: usize = 512;

/// Age at which the sums of other hosts are no longer used.
const SUMS_AGE: Span = Span::from_ms(3_000);

/// Window in which demand is counted: long enough that chance moves few copies.
const DEMAND_OVER: Span = Span::from_ms(1_500);

/// Table of one daemon.
pub struct Table {
    /// Replicas by the store's news.
    pub view: View,
    /// Configuration in force.
    pub routes: Option<Arc<Routes>>,
    hall: Name,
    state: HashMap<Name, State>,
    paces: HashMap<(Name, Name), Pace>,
    windows: HashMap<Name, Window>,
    demand: BTreeMap<(Name, Name), Demand>,
    coming: HashMap<Name, Time>,
    loaded: Vec<(Name, Name)>,
    loaded_at: Time,
    closing: Vec<(Name, Name)>,
    closing_at: Time,
    direct_at: Time,
    /// Hosts that the leader knows of, this one included.
    pub hosts: usize,
    rng: SmallRng,
}

/// What this daemon knows of one replica beyond its entry.
#[derive(Default)]
struct State {
    mine: Load,
    told: Load,
    others: Load,
    others_at: Time,
    hosts: BTreeMap<Name, (Load, Time)>,
    failing: f64,
    failed_at: Time,
    lagging: f64,
    lagged_at: Time,
    parts: VecDeque<(Name, u64)>,
    adapters: Vec<(Name, Name)>,
    adapters_at: Time,
}

impl State {
    /// Load of all hosts, as far as it is known.
    ///
    /// What hosts tell each other directly is newer than the leader's sums, and goes first.
    fn load(&self, now: Time, direct: bool) -> Load {
        let mut load = self.mine;
        if direct {
            for (other, at) in self.hosts.values() {
                if now.since(*at) < DIRECT_AGE {
                    load.add(other);
                }
            }
        } else if now.since(self.others_at) < SUMS_AGE {
            load.add(&self.others);
        }
        load
    }

    fn failing(&self, now: Time) -> f64 {
        faded(self.failing, self.failed_at, now)
    }

    fn lagging(&self, now: Time) -> f64 {
        faded(self.lagging, self.lagged_at, now)
    }

    /// Tokens at the beginning of a prompt that the replica likely keeps.
    fn kept(&self, model: &Name, ask: &Ask) -> u64 {
        let mut tokens = 0;
        for part in &ask.parts {
            if !self
                .parts
                .iter()
                .any(|(m, id)| *id == part.id && m == model)
            {
                break;
            }
            tokens += part.tokens;
        }
        tokens
    }

    fn keep(&mut self, model: &Name, ask: &Ask) {
        for part in &ask.parts {
            let found = self
                .parts
                .iter()
                .position(|(m, id)| *id == part.id && m == model);
            match found {
                Some(at) => {
                    let known = self.parts.remove(at).expect("the position was found");
                    self.parts.push_back(known);
                }
                None => self.parts.push_back((model.clone(), part.id)),
            }
        }
        while self.parts.len() > KEPT_PARTS {
            self.parts.pop_front();
        }
    }
}

/// A share that halves in [`FAILURE_HALVES`] without news.
fn faded(share: f64, at: Time, now: Time) -> f64 {
    let halves = now.since(at).secs() / FAILURE_HALVES.secs();
    share * 0.5_f64.powf(halves)
}

/// Smoothed pace of one model.
#[derive(Debug, Clone, Copy)]
struct Pace {
    speed: f64,
    run: Span,
}

impl Pace {
    /// Time to read what is not kept of a prompt.
    fn reading(&self, model: Option<&Name>, ask: &Ask, kept: u64) -> Span {
        if model.is_none() {
            return Span::ZERO;
        }
        let tokens = ask.prompt.saturating_sub(kept) as f64;
        Span((tokens / self.speed * 1e3) as u64)
    }
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            speed: FIRST_SPEED,
            run: FIRST_RUN,
        }
    }
}

/// Smoothed demand for one model.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    rate: f64,
    tokens: f64,
    last: Time,
}

impl Demand {
    fn decay(&mut self, now: Time) {
        let factor = (-now.since(self.last).secs() / DEMAND_OVER.secs()).exp();
        self.rate *= factor;
        self.tokens *= factor;
        self.last = self.last.max(now);
    }
}

/// Request to be placed.
#[derive(Debug, Clone)]
pub struct Want<'a> {
    /// Service it goes to.
    pub service: &'a Name,
    /// What it says of itself.
    pub ask: &'a Ask,
    /// Rank of urgency, 0 first.
    pub priority: u8,
    /// Longest pause between events of a stream, if it has a bound.
    pub gap: Option<Span>,
    /// Replicas it must not go to.
    pub avoid: &'a [Name],
    /// The only replica it may go to, when it has used all attempts elsewhere.
    pub only: Option<&'a Name>,
}

/// Replica chosen for a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Its identity.
    pub replica: Name,
    /// Where it answers.
    pub addr: SocketAddr,
    /// Expected time to its first token.
    pub first_token: Span,
    /// Whether its prompt can be read there now without a long pause for those that run.
    pub paced: bool,
    /// Whether a place was free there.
    pub free: bool,
    /// Replicas that could have taken it.
    pub candidates: usize,
    /// Revision of the replica's entry.
    pub revision: u64,
}

/// Why no replica was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Nowhere {
    /// No replica of the service is there.
    NoReplica,
    /// No replica holds the model; it comes in this time, if that is known.
    NoModel(Option<Span>),
    /// The model is there, its adapter is not.
    NoAdapter,
}

/// Share of a request in the table's sums.
#[derive(Debug, Clone, Copy, Default)]
pub struct Footprint {
    reading_ms: f32,
    reserved: f32,
    rank: usize,
}

impl Table {
    /// Makes an empty table of a host in that hall; `seed` breaks ties differently on each host.
    pub fn new(hall: Name, seed: u64) -> Table {
        Table {
            view: View::default(),
            routes: None,
            hall,
            state: HashMap::new(),
            paces: HashMap::new(),
            windows: HashMap::new(),
            demand: BTreeMap::new(),
            coming: HashMap::new(),
            loaded: Vec::new(),
            loaded_at: Time(0),
            closing: Vec::new(),
            closing_at: Time(0),
            direct_at: Time(0),
            hosts: 1,
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

    /// Forgets the state of replicas that are gone.
    pub fn apply(&mut self, news: &[News]) {
        for one in news {
            if let News::Gone(id) = one {
                self.state.remove(id);
            }
        }
    }

    /// Chooses a replica for a request.
    pub fn choose(&mut self, want: &Want, now: Time) -> Result<Choice, Nowhere> {
        let engine = self
            .routes
            .as_ref()
            .and_then(|r| r.service(want.service).cloned())
            .and_then(|s| s.engine.clone());
        let model = want.ask.model.as_ref().filter(|_| engine.is_some());
        let memory = engine.as_ref().map_or(0.0, |e| e.tokens as f64);
        let mut found = Vec::new();
        let (mut some, mut some_model) = (false, false);
        for seen in self.view.all() {
            let entry = &seen.entry;
            let out = entry.leaving || entry.service != *want.service;
            let only = want.only.is_some_and(|only| *only != entry.id);
            if out || only || want.avoid.contains(&entry.id) {
                continue;
            }
            some = true;
            let state = self.state.get(&entry.id);
            if let Some(model) = model {
                if !self.holds(entry, model, now) || self.is_closing(&entry.id, model, now) {
                    continue;
                }
                some_model = true;
                let adapter = want.ask.adapter.as_ref();
                if !adapter.is_none_or(|a| holds_adapter(entry, state, model, a, now)) {
                    continue;
                }
            }
            found.push(seen);
        }
        if found.is_empty() {
            let coming = model.and_then(|m| self.coming.get(m));
            return Err(match (some, model.is_some(), some_model) {
                (false, _, _) => Nowhere::NoReplica,
                (true, true, false) => Nowhere::NoModel(coming.map(|at| at.since(now))),
                _ => Nowhere::NoAdapter,
            });
        }
        let pace = self.pace(want.service, model);
        let direct = self.is_direct(now);
        let rank = rank(want.priority);
        let candidates: Vec<Candidate> = found
            .iter()
            .map(|seen| {
                let nothing = State::default();
                let state = self.state.get(&seen.entry.id).unwrap_or(&nothing);
                let load = state.load(now, direct);
                let kept = model.map_or(0, |m| state.kept(m, want.ask));
                Candidate {
                    slots: seen.entry.slots,
                    in_flight: f64::from(load.requests),
                    ahead: ms(load.unread[..=rank].iter().sum()),
                    backlog: ms(load.unread.iter().sum()),
                    reading: pace.reading(model, want.ask, kept),
                    reserved: f64::from(load.reserved),
                    memory,
                    run: pace.run,
                    near: seen.entry.hall == self.hall,
                    failing: state.failing(now),
                    lagging: state.lagging(now),
                }
            })
            .collect();
        let stride = engine.as_ref().map_or(1, |e| e.stride);
        let ask = batch::Ask {
            tokens: tokens(want.ask) as f64,
            pace: want.gap.map(|gap| step_pace(gap, stride)),
        };
        let (at, first_token) =
            batch::choose(&ask, &candidates, &mut self.rng).ok_or(Nowhere::NoReplica)?;
        let seen = found[at];
        Ok(Choice {
            replica: seen.entry.id.clone(),
            addr: seen.entry.addr,
            first_token,
            paced: candidates[at].is_paced(&ask),
            free: candidates.iter().any(Candidate::has_place),
            candidates: candidates.len(),
            revision: seen.revision,
        })
    }

    /// Whether other hosts tell their sums directly.
    fn is_direct(&self, now: Time) -> bool {
        now.since(self.direct_at) < DIRECT_AGE
    }

    /// Whether a replica holds a model, by its entry or by the leader's word.
    fn holds(&self, entry: &Entry, model: &Name, now: Time) -> bool {
        let told = || {
            now.since(self.loaded_at) < SUMS_AGE
                && self
                    .loaded
                    .iter()
                    .any(|(r, m)| *r == entry.id && m == model)
        };
        entry.held.iter().any(|h| h.model == *model) || told()
    }

    /// Whether a replica is about to give up a model.
    fn is_closing(&self, replica: &Name, model: &Name, now: Time) -> bool {
        now.since(self.closing_at) < SUMS_AGE
            && self.closing.iter().any(|(r, m)| r == replica && m == model)
    }

    /// Pace of a model: prompt tokens read in a millisecond, and the time of a run.
    pub fn pace_of(&self, service: &Name, model: &Name) -> (f64, Span) {
        let pace = self.pace(service, Some(model));
        (pace.speed, pace.run)
    }

    fn pace(&self, service: &Name, model: Option<&Name>) -> Pace {
        let model = model.cloned().unwrap_or_else(|| "".into());
        let known = self.paces.get(&(service.clone(), model));
        known.copied().unwrap_or_default()
    }

    /// Share of the places of a service's replicas for a model that are taken.
    pub fn taken(&self, want: &Want, now: Time) -> f64 {
        let model = want.ask.model.as_ref();
        let direct = self.is_direct(now);
        let (mut taken, mut places) = (0.0, 0.0);
        for seen in self.view.all() {
            let entry = &seen.entry;
            let holds = model.is_none_or(|m| self.holds(entry, m, now));
            if entry.service == *want.service && !entry.leaving && holds {
                let load = self.state.get(&entry.id).map(|s| s.load(now, direct));
                taken += f64::from(load.unwrap_or_default().requests);
                places += f64::from(entry.slots);
            }
        }
        if places == 0.0 { 1.0 } else { taken / places }
    }

    /// Counts a request in at a replica.
    pub fn enter(&mut self, replica: &Name, want: &Want) -> Footprint {
        let model = want.ask.model.as_ref();
        let pace = self.pace(want.service, model);
        let state = self.state.entry(replica.clone()).or_default();
        let kept = model.map_or(0, |m| state.kept(m, want.ask));
        let print = Footprint {
            reading_ms: pace.reading(model, want.ask, kept).ms() as f32,
            reserved: tokens(want.ask) as f32,
            rank: rank(want.priority),
        };
        if let Some(model) = model {
            state.keep(model, want.ask);
        }
        state.mine.requests += 1.0;
        state.mine.reserved += print.reserved;
        state.mine.unread[print.rank] += print.reading_ms;
        print
    }

    /// Notes that the first token of a request has come.
    pub fn started(&mut self, replica: &str, print: &mut Footprint) {
        if let Some(state) = self.state.get_mut(replica) {
            let unread = &mut state.mine.unread[print.rank];
            *unread = (*unread - print.reading_ms).max(0.0);
        }
        print.reading_ms = 0.0;
    }

    /// Counts a request out.
    pub fn leave(&mut self, replica: &str, print: &Footprint) {
        if let Some(state) = self.state.get_mut(replica) {
            state.mine.requests = (state.mine.requests - 1.0).max(0.0);
            state.mine.reserved = (state.mine.reserved - print.reserved).max(0.0);
            let unread = &mut state.mine.unread[print.rank];
            *unread = (*unread - print.reading_ms).max(0.0);
        }
    }

    /// Learns from an answer or a failure of a replica.
    pub fn judge(&mut self, replica: &Name, failed: bool, now: Time) {
        let state = self.state.entry(replica.clone()).or_default();
        let before = state.failing(now);
        state.failing = before + (f64::from(u8::from(failed)) - before) * NEWEST_FAILURE;
        state.failed_at = now;
    }

    /// Learns that a stream of a replica paused for almost longer than it may.
    pub fn lag(&mut self, replica: &Name, now: Time) {
        let state = self.state.entry(replica.clone()).or_default();
        let before = state.lagging(now);
        state.lagging = before + (1.0 - before) * NEWEST_FAILURE;
        state.lagged_at = now;
    }

    /// Learns how fast prompts are read, from one that none stood before: it took that time.
    pub fn learn_speed(&mut self, service: &Name, model: &Name, tokens: f64, took: Span) {
        let ms = took.saturating_sub(STEP).ms().max(1.0);
        let pace = self
            .paces
            .entry((service.clone(), model.clone()))
            .or_default();
        let sample = (tokens / ms).clamp(0.5, 1_000.0);
        pace.speed += (sample - pace.speed) * NEWEST_PACE;
    }

    /// Learns how long a run takes after its first token.
    pub fn learn_run(&mut self, service: &Name, model: &Name, run: Span) {
        let pace = self
            .paces
            .entry((service.clone(), model.clone()))
            .or_default();
        pace.run = pace.run * (1.0 - NEWEST_PACE) + run * NEWEST_PACE;
    }

    /// Prompt tokens to be read for a request at a replica, if none stands before it there.
    pub fn alone(&self, replica: &str, ask: &Ask, now: Time) -> Option<f64> {
        let model = ask.model.as_ref()?;
        let state = self.state.get(replica);
        let load = state.map(|s| s.load(now, self.is_direct(now)));
        let unread: f32 = load.unwrap_or_default().unread.iter().sum();
        let kept = state.map_or(0, |s| s.kept(model, ask));
        (unread <= 0.0).then(|| ask.prompt.saturating_sub(kept) as f64)
    }

    /// Notes the arrival of a request, for the demand and for the retry budget.
    pub fn arrived(&mut self, service: &Name, ask: &Ask, share: (f64, f64, Span), now: Time) {
        let (ratio, slack, length) = share;
        self.windows
            .entry(service.clone())
            .or_insert_with(|| Window::new(ratio, slack, length))
            .arrived(now);
        let Some(model) = &ask.model else { return };
        let demand = self
            .demand
            .entry((service.clone(), model.clone()))
            .or_default();
        demand.decay(now);
        demand.rate += 1.0 / DEMAND_OVER.secs();
        demand.tokens += ask.prompt as f64 / DEMAND_OVER.secs();
    }

    /// Spends a retry of a service's budget if there is one.
    pub fn spend(&mut self, service: &str, now: Time) -> bool {
        let hosts = self.hosts;
        let window = self.windows.get_mut(service);
        window.is_some_and(|w| w.spend(now, hosts))
    }

    /// Demand seen here.
    pub fn demand(&mut self, now: Time) -> Vec<crate::message::Demand> {
        for demand in self.demand.values_mut() {
            demand.decay(now);
        }
        self.demand.retain(|_, d| d.rate > 0.01);
        self.demand
            .iter()
            .map(|((service, model), d)| crate::message::Demand {
                service: service.clone(),
                model: model.clone(),
                rate: d.rate as f32,
                tokens: d.tokens as f32,
            })
            .collect()
    }

    /// What this host has in flight.
    pub fn in_flight(&self) -> Vec<Row> {
        let busy = self.state.iter().filter(|(_, s)| s.mine.requests > 0.0);
        busy.map(|(id, s)| Row::new(id, &s.mine)).collect()
    }

    /// What this host has in flight, remembered as told.
    pub fn tell(&mut self) -> Vec<Row> {
        for state in self.state.values_mut() {
            state.told = state.mine;
        }
        self.in_flight()
    }

    /// Takes in the sums of all hosts.
    pub fn told(&mut self, rows: &[Row], now: Time) {
        for (id, load) in self.named(rows) {
            let state = self.state.entry(id).or_default();
            state.others = load.without(&state.told);
            state.others_at = now;
        }
    }

    /// Takes in what another host has in flight, as it tells itself.
    pub fn told_by(&mut self, host: &Name, rows: &[Row], now: Time) {
        self.direct_at = now;
        for state in self.state.values_mut() {
            state.hosts.remove(host);
        }
        for (id, load) in self.named(rows) {
            let state = self.state.entry(id).or_default();
            state.hosts.insert(host.clone(), (load, now));
        }
    }

    /// Rows of replicas that are known, with their identities.
    fn named(&self, rows: &[Row]) -> Vec<(Name, Load)> {
        let rows: HashMap<u32, &Row> = rows.iter().map(|r| (r.replica(), r)).collect();
        let ids = self.view.all().map(|s| &s.entry.id);
        ids.filter_map(|id| rows.get(&short(id)).map(|row| (id.clone(), row.load())))
            .collect()
    }

    /// Takes in where adapters are, by the leader.
    pub fn set_adapters(&mut self, replica: &Name, adapters: Vec<(Name, Name)>, now: Time) {
        if self.view.get(replica).is_some() {
            let state = self.state.entry(replica.clone()).or_default();
            state.adapters = adapters;
            state.adapters_at = now;
        }
    }

    /// Notes that a replica holds an adapter.
    pub fn add_adapter(&mut self, replica: &Name, model: &Name, adapter: &Name) {
        if self.view.get(replica).is_some() {
            let state = self.state.entry(replica.clone()).or_default();
            let key = (model.clone(), adapter.clone());
            if !state.adapters.contains(&key) {
                state.adapters.push(key);
            }
        }
    }

    /// Notes that a replica turned a request for an adapter away: it is not there.
    pub fn drop_adapter(&mut self, replica: &str, model: &Name, adapter: &Name) {
        if let Some(state) = self.state.get_mut(replica) {
            state.adapters.retain(|(m, a)| m != model || a != adapter);
        }
    }

    /// Notes which replicas have just loaded which models.
    pub fn set_loaded(&mut self, loaded: Vec<(Name, Name)>, now: Time) {
        self.loaded = loaded;
        self.loaded_at = now;
    }

    /// Notes which replicas are about to give up which models.
    pub fn set_closing(&mut self, closing: Vec<(Name, Name)>, now: Time) {
        self.closing = closing;
        self.closing_at = now;
    }

    /// Notes when models are expected somewhere.
    pub fn set_coming(&mut self, coming: &[(Name, u32)], now: Time) {
        self.coming = coming
            .iter()
            .map(|(model, ms)| (model.clone(), now + Span::from_ms(u64::from(*ms))))
            .collect();
    }
}

/// Whether a replica holds an adapter: by the leader's word while that is fresh, else by its entry.
fn holds_adapter(
    entry: &Entry,
    state: Option<&State>,
    model: &Name,
    adapter: &Name,
    now: Time,
) -> bool {
    let told = |s: &State| s.adapters.iter().any(|(m, a)| m == model && a == adapter);
    if let Some(state) = state.filter(|s| now.since(s.adapters_at) < SUMS_AGE) {
        return told(state);
    }
    let in_entry = entry
        .held
        .iter()
        .any(|h| h.model == *model && h.adapters.contains(adapter));
    in_entry || state.is_some_and(told)
}

/// Tokens that a request needs of a replica's memory.
fn tokens(ask: &Ask) -> u64 {
    let output = ask.hinted_output.unwrap_or(ask.most_output);
    ask.prompt + output.min(ask.most_output.max(output))
}

/// Steps in a row that may be expected to read as much as is allowed.
const FULL_STEPS: f64 = 2.0;

/// Time of reading that may stand before the streams of a replica in one step.
///
/// An event holds `stride` tokens, which take a step each; some of these steps read prompts.
fn step_pace(gap: Span, stride: u32) -> Span {
    let steps = f64::from(stride.max(1));
    gap.saturating_sub(STEP * steps) * (1.0 / steps.min(FULL_STEPS))
}

fn ms(ms: f32) -> Span {
    Span((f64::from(ms) * 1e3) as u64)
}

fn rank(priority: u8) -> usize {
    usize::from(priority).min(RANKS - 1)
}
