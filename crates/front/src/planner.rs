//! The leader's work: sums of demand in, orders to replicas out.

use crate::leader::Term;
use crate::message::{Digest, Load, MOST_DATAGRAM, Message, Placed, Plans, Row, Want, short};
use crate::orders::{Bucket, Job, Known, Pending};
use crate::peers::Peers;
use crate::state::State;
use conn::Pool;
use parking_lot::Mutex;
use place::adapters;
use place::copies::{self, Step};
use platform::config::Engine;
use platform::replica::{self, Entry, Operation, Order, Ordered};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tracing::{info, warn};
use unit::{Name, Span, Time};

/// Pause between two plans.
const TICK: Duration = Duration::from_millis(200);

/// Time for an order or a report to be answered.
const CALL_LIMIT: Duration = Duration::from_millis(700);

/// Time between telling hosts that a model goes and ordering it: two rounds of sums.
const CLOSING: Span = Span::from_ms(500);

/// Time that an adapter takes to arrive; the platform says "some ms".
const ADAPTER_ARRIVES: Duration = Duration::from_millis(25);

/// Use of a replica beyond which demand counts as needing another one.
const FULL: f64 = 0.4;

/// Time over which recent demand is smoothed.
const RECENT_OVER: Span = Span::from_secs(20);

/// Time ahead for which a rise of demand is followed: about that of a load from a disk.
const AHEAD: Span = Span::from_ms(1_500);

/// Adapters fetched ahead in one plan; the store's links are shared by all fetches.
const FETCHED_AHEAD: usize = 8;

/// Time for which hosts are told of a model that was loaded, until all have read the entry.
const TOLD_LOADED: Span = Span::from_ms(3_000);

/// Sizes of a row of a digest and of an adapter in it, in bytes, counted generously.
const ROW_SIZE: usize = 32;
const ADAPTER_SIZE: usize = 20;

/// Rounds in which the adapters of all replicas are told once.
const ADAPTER_ROUNDS: usize = 8;

/// Steps planned at once, for each replica.
const STEPS_PER_REPLICA: usize = 1;

/// Most of the present demand that a rise may add to it.
const MOST_RISE: f64 = 0.5;

/// Time after its last use before which an adapter is not given up.
const ADAPTER_KEPT: Span = Span::from_ms(1_500);

/// The leader's work in one term.
pub struct Planner {
    state: Arc<State>,
    peers: Arc<Peers>,
    term: Term,
    pool: Pool,
    book: Mutex<Book>,
}

/// What the leader believes and has in hand.
struct Book {
    known: HashMap<Name, Known>,
    buckets: HashMap<Name, Bucket>,
    demand: HashMap<(Name, Name), Demand>,
    planned_at: Time,
}

/// Demand for a model, in replicas that it would keep busy.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    now: f64,
    recent: f64,
}

/// Works until the term ends.
pub async fn run(state: Arc<State>, peers: Arc<Peers>, term: Term) {
    let planner = Arc::new(Planner {
        book: Mutex::new(Book {
            known: HashMap::new(),
            buckets: HashMap::new(),
            demand: HashMap::new(),
            planned_at: state.now(),
        }),
        pool: Pool::default(),
        state,
        peers,
        term,
    });
    // An earlier holder may have given an order just now: turns within the bound are not allowed.
    let wait = match planner.term.is_first {
        true => Duration::ZERO,
        false => planner.state.settings.bounds.lease,
    };
    let quiet = planner.term.since + wait;
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut next_digest = tokio::time::Instant::now();
    let mut round = 0;
    while planner.term.holds() {
        let acts = tokio::time::Instant::now() >= quiet;
        tokio::select! {
            _ = tick.tick() => {
                planner.sync();
                if acts {
                    planner.plan();
                }
            }
            _ = planner.peers.inbox.wanted.notified() => {
                if acts {
                    planner.sync();
                    planner.place_adapters();
                }
            }
            _ = tokio::time::sleep_until(next_digest) => {
                next_digest = tokio::time::Instant::now() + planner.peers.round();
                round += 1;
                planner.digest(round).await;
            }
        }
    }
}

impl Planner {
    /// Takes the replicas' entries in.
    fn sync(&self) {
        let now = self.state.now();
        let table = self.state.table.lock();
        let mut book = self.book.lock();
        book.known.retain(|id, _| table.view.get(id).is_some());
        let routes = table.routes.as_ref();
        let runs_models = |service: &Name| {
            let service = routes.and_then(|r| r.service(service));
            service.is_some_and(|s| s.engine.is_some())
        };
        for seen in table.view.all().filter(|s| runs_models(&s.entry.service)) {
            let known = book.known.entry(seen.entry.id.clone()).or_default();
            known.sync(&seen.entry, now);
        }
    }

    /// Plans for each service whose replicas run models.
    fn plan(self: &Arc<Self>) {
        let routes = self.state.table.lock().routes.clone();
        let Some(routes) = routes else { return };
        self.measure(&routes);
        self.order_closed();
        for (service, engine) in routes.engines() {
            self.plan_service(service, engine);
            self.fetch_ahead(service, engine);
        }
        let ids: Vec<Name> = {
            let book = self.book.lock();
            let now = self.state.now();
            let waits = |k: &Known| k.doubtful.is_none() && !k.queue.is_empty();
            let waiting = |k: &&Known| !k.calling && (k.wants_look(now) || waits(k));
            let known = book.known.iter().filter(|(_, k)| waiting(k));
            known.map(|(id, _)| id.clone()).collect()
        };
        for id in ids {
            self.drive(id);
        }
    }

    /// Brings the demand up to date from all hosts' sums.
    fn measure(&self, routes: &crate::routes::Routes) {
        let now = self.state.now();
        let mut sums: HashMap<(Name, Name), (f64, f64)> = HashMap::new();
        for host in self.peers.inbox.sums(now) {
            for demand in host.demand {
                let sum = sums
                    .entry((demand.service, demand.model))
                    .or_insert((0.0, 0.0));
                sum.0 += f64::from(demand.rate);
                sum.1 += f64::from(demand.tokens);
            }
        }
        let table = self.state.table.lock();
        let mut book = self.book.lock();
        let passed = now.since(book.planned_at);
        book.planned_at = now;
        let weight = (passed.secs() / RECENT_OVER.secs()).min(1.0);
        for (service, engine) in routes.engines() {
            for model in &engine.models {
                let key = (service.clone(), model.name.clone());
                let (rate, tokens) = sums.get(&key).copied().unwrap_or_default();
                let (speed, run) = table.pace_of(service, &model.name);
                let reading = tokens / (speed * 1_000.0);
                let places = rate * run.secs() / f64::from(engine.slots);
                let need = reading.max(places) / FULL;
                let demand = book.demand.entry(key).or_default();
                let rise = (need - demand.now).max(0.0) / passed.secs().max(0.05);
                demand.recent += (need - demand.recent) * weight;
                demand.now = need + (rise * AHEAD.secs()).min(need * MOST_RISE);
            }
        }
    }

    /// Queues the unloads of which hosts have known for long enough.
    fn order_closed(&self) {
        let now = self.state.now();
        let mut book = self.book.lock();
        for known in book.known.values_mut() {
            let due = known
                .closing
                .as_ref()
                .is_some_and(|(_, since)| now.since(*since) >= CLOSING);
            if !due {
                continue;
            }
            if let Some((model, _)) = known.closing.take() {
                known.queue.push_back(Job {
                    operation: Operation::Unload,
                    model,
                    adapter: None,
                    from_store: false,
                    takes: Span::from_secs(5),
                });
            }
        }
    }

    fn plan_service(&self, service: &Name, engine: &Engine) {
        let now = self.state.now();
        let loads = self.peers.loads(now);
        let entries: Vec<Entry> = {
            let table = self.state.table.lock();
            let seen = table.view.all().filter(|s| s.entry.service == *service);
            seen.map(|s| s.entry.clone()).collect()
        };
        let mut book = self.book.lock();
        let book = &mut *book;
        let bounds = &self.state.settings.bounds;
        let bucket = book.buckets.entry(service.clone()).or_insert_with(|| {
            let window = bounds.load_window.into();
            let rate = engine.loads_per_second;
            let mut bucket = Bucket::new(rate, window, bounds.load_overage, now);
            if self.term.is_first {
                bucket.fill();
            }
            bucket
        });
        let models: Vec<copies::Model> = engine
            .models
            .iter()
            .map(|m| {
                let key = (service.clone(), m.name.clone());
                let demand = book.demand.get(&key).copied().unwrap_or_default();
                copies::Model {
                    memory_mb: m.memory_mb,
                    demand: demand.now,
                    recent: demand.recent,
                }
            })
            .collect();
        let index = |name: &Name| engine.models.iter().position(|m| m.name == *name);
        let replicas: Vec<copies::Replica> = entries
            .iter()
            .map(|entry| {
                let nothing = Known::default();
                let known = book.known.get(&entry.id).unwrap_or(&nothing);
                seen_by_plan(entry, known, engine, &loads, &index)
            })
            .collect();
        let most = entries.len() * STEPS_PER_REPLICA;
        let available = bucket.available(now);
        let steps = copies::plan(&replicas, &models, available, most);
        for step in steps {
            match step {
                Step::Load {
                    replica,
                    model,
                    from_store,
                } => {
                    let entry = &entries[replica];
                    let job = load_job(entry, &engine.models[model], from_store);
                    if from_store {
                        bucket.take();
                    }
                    let known = book.known.entry(entry.id.clone()).or_default();
                    info!(target: "planner", event = "load", replica = &*entry.id, model = &*job.model, from_store, demand = models[model].demand, recent = models[model].recent, "a copy is added");
                    known.queue.push_back(job);
                }
                Step::Unload {
                    replica,
                    model,
                    instead,
                } => {
                    let entry = &entries[replica];
                    let name = engine.models[model].name.clone();
                    info!(target: "planner", event = "close", replica = &*entry.id, model = &*name, instead = &*engine.models[instead].name, demand = models[model].demand, wanted = models[instead].demand, "a copy makes room");
                    let known = book.known.entry(entry.id.clone()).or_default();
                    known.closing = Some((name, now));
                }
            }
        }
    }

    /// Fetches adapters that are nowhere into places that are free, before they are asked for.
    fn fetch_ahead(&self, service: &Name, engine: &Engine) {
        let entries: Vec<Entry> = {
            let table = self.state.table.lock();
            let seen = table.view.all().filter(|s| s.entry.service == *service);
            let staying = seen.filter(|s| !s.entry.leaving);
            staying.map(|s| s.entry.clone()).collect()
        };
        let mut book = self.book.lock();
        let index = |name: &Name| engine.models.iter().position(|m| m.name == *name);
        let replicas: Vec<adapters::Replica> = entries
            .iter()
            .map(|entry| {
                let known = book.known.get(&entry.id);
                known.map_or_else(Default::default, |k| places(k, engine, &index))
            })
            .collect();
        let counts: Vec<u32> = engine.models.iter().map(|m| m.adapters).collect();
        let demand = |m: &usize| {
            let key = (service.clone(), engine.models[*m].name.clone());
            book.demand.get(&key).map_or(0.0, |d| d.now + d.recent)
        };
        let mut order: Vec<usize> = (0..counts.len()).filter(|m| counts[*m] > 0).collect();
        order.sort_by(|a, b| demand(b).total_cmp(&demand(a)));
        for (replica, model, number) in adapters::plan(&replicas, &counts, &order, FETCHED_AHEAD) {
            let model = &engine.models[model];
            let Some(known) = book.known.get_mut(&entries[replica].id) else {
                continue;
            };
            known.queue.push_back(Job {
                operation: Operation::Load,
                model: model.name.clone(),
                adapter: Some(model.adapter(number)),
                from_store: false,
                takes: Span::ZERO,
            });
        }
    }

    /// Finds places for the adapters that hosts want.
    fn place_adapters(self: &Arc<Self>) {
        let now = self.state.now();
        let loads = self.peers.loads(now);
        for want in self.peers.inbox.wants() {
            let target = self.place_adapter(&want, &loads, now);
            if let Some(id) = target {
                self.drive(id);
            }
        }
    }

    /// Queues the orders for one adapter; gives the replica that gets them.
    fn place_adapter(
        self: &Arc<Self>,
        want: &Want,
        loads: &HashMap<u32, Load>,
        now: Time,
    ) -> Option<Name> {
        let (routes, entries) = {
            let table = self.state.table.lock();
            let seen = table
                .view
                .all()
                .filter(|s| s.entry.service == want.service && !s.entry.leaving);
            let entries: Vec<Entry> = seen.map(|s| s.entry.clone()).collect();
            (table.routes.clone()?, entries)
        };
        let engine = routes.service(&want.service)?.engine.clone()?;
        let mut book = self.book.lock();
        let key = (want.model.clone(), want.adapter.clone());
        let mut best: Option<(f64, Name)> = None;
        for entry in &entries {
            let Some(known) = book.known.get_mut(&entry.id) else {
                continue;
            };
            if known.adapters().contains(&key) {
                known.use_adapter(&key.0, &key.1, now);
                let placed = Placed {
                    model: key.0,
                    adapter: key.1,
                    replica: Some(entry.id.clone()),
                };
                self.reply(placed, want.reply, Duration::ZERO);
                return None;
            }
            let queued = |j: &Job| j.model == key.0 && j.adapter.as_ref() == Some(&key.1);
            if known.queue.iter().any(queued) {
                return None;
            }
            let holds = known.held.iter().any(|h| h.model == want.model);
            let closes = known
                .closing
                .as_ref()
                .is_some_and(|(m, _)| *m == want.model);
            let unloading = known
                .pending
                .as_ref()
                .is_some_and(|p| p.job.operation == Operation::Unload);
            if !holds || closes || unloading {
                continue;
            }
            let full = known.adapters_due() >= engine.adapters as usize;
            let recently = known
                .oldest_adapter()
                .is_none_or(|(_, at)| now.since(at) < ADAPTER_KEPT);
            if full && recently {
                continue;
            }
            let load = loads
                .get(&short(&entry.id))
                .map_or(0.0, |l| f64::from(l.requests));
            let cost = load / f64::from(entry.slots) + f64::from(u8::from(full)) * 0.5;
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, entry.id.clone()));
            }
        }
        let (_, id) = best?;
        let known = book.known.get_mut(&id)?;
        let job = |operation, model: &Name, adapter: &Name| Job {
            operation,
            model: model.clone(),
            adapter: Some(adapter.clone()),
            from_store: false,
            takes: Span::ZERO,
        };
        if known.adapters_due() >= engine.adapters as usize {
            let ((model, adapter), _) = known.oldest_adapter()?;
            known
                .queue
                .push_back(job(Operation::Unload, &model, &adapter));
        }
        known.queue.push_back(job(Operation::Load, &key.0, &key.1));
        Some(id)
    }

    /// Tells the host that asked, and then the others, where an adapter is.
    fn reply(self: &Arc<Self>, placed: Placed, to: SocketAddr, after: Duration) {
        let planner = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(after).await;
            let _ = to;
            planner.peers.send_all(&Message::Placed(placed)).await;
        });
    }

    /// Gives a replica the orders that wait for it, one after the other.
    fn drive(self: &Arc<Self>, id: Name) {
        {
            let mut book = self.book.lock();
            let Some(known) = book.known.get_mut(&id) else {
                return;
            };
            if known.calling {
                return;
            }
            known.calling = true;
        }
        let planner = self.clone();
        tokio::spawn(async move {
            while planner.next(&id).await {}
            if let Some(known) = planner.book.lock().known.get_mut(&id) {
                known.calling = false;
            }
        });
    }

    /// Gives the next order to a replica; tells whether to go on.
    async fn next(self: &Arc<Self>, id: &Name) -> bool {
        let Some(entry) = self.entry(id) else {
            return false;
        };
        let now = self.state.now();
        let (doubtful, looks) = {
            let book = self.book.lock();
            let known = book.known.get(id);
            let looks = known.is_some_and(|k| k.wants_look(now));
            (known.is_none_or(|k| k.doubtful.is_some()), looks)
        };
        if doubtful && !(looks && self.look(&entry).await) {
            return false;
        }
        let routes = self.state.table.lock().routes.clone();
        let service = routes.as_ref().and_then(|r| r.service(&entry.service));
        let Some(engine) = service.and_then(|s| s.engine.as_ref()) else {
            return false;
        };
        let (job, expected) = {
            let mut book = self.book.lock();
            let Some(known) = book.known.get_mut(id) else {
                return false;
            };
            let waits = |job: &Job| known.pending.is_some() && job.adapter.is_none();
            if known.queue.front().is_none_or(waits) {
                return false;
            }
            let job = known.queue.pop_front();
            let job = job.filter(|job| known.has_room(job, engine));
            known.ordering(now);
            (job, known.orders)
        };
        let Some(job) = job else { return true };
        if !self.term.holds() {
            return false;
        }
        self.give(&entry, job, expected).await
    }

    fn entry(&self, id: &str) -> Option<Entry> {
        let table = self.state.table.lock();
        let seen = table.view.get(id)?;
        (!seen.entry.leaving).then(|| seen.entry.clone())
    }

    /// Asks a replica what it holds; tells whether orders may go on.
    async fn look(&self, entry: &Entry) -> bool {
        let report = replica::report(&self.pool, entry.addr, &entry.id, CALL_LIMIT).await;
        match report {
            Ok(report) => {
                let mut book = self.book.lock();
                let Some(known) = book.known.get_mut(&entry.id) else {
                    return false;
                };
                known.adopt(&report, self.state.now());
                info!(target: "planner", event = "looked", replica = &*entry.id, orders = report.orders, busy = report.busy, "a replica was asked what it holds");
                !report.busy
            }
            Err(why) => {
                self.state.log.notable(|| {
                    warn!(target: "planner", event = "no_report", replica = &*entry.id, why = %why, "a replica gave no report")
                });
                false
            }
        }
    }

    /// Gives one order and notes what came of it; tells whether to go on.
    async fn give(self: &Arc<Self>, entry: &Entry, job: Job, expected: u64) -> bool {
        let order = Order {
            operation: job.operation,
            model: job.model.clone(),
            adapter: job.adapter.clone(),
            expected,
            holder: self.state.settings.name.clone(),
            fence: self.term.token,
        };
        let answer = replica::order(&self.pool, entry.addr, &entry.id, &order, CALL_LIMIT).await;
        let now = self.state.now();
        let outcome = match &answer {
            Ok(ordered) => format!("{ordered:?}"),
            Err(why) => why.to_string(),
        };
        let operation = match job.operation {
            Operation::Load => "load",
            Operation::Unload => "unload",
        };
        let labels = [("operation", operation), ("outcome", word(&answer))];
        self.state
            .log
            .metrics
            .counter("coveford_orders_total", &labels)
            .increment(1);
        {
            info!(target: "planner", event = "ordered", replica = &*entry.id, operation, model = &*job.model, adapter = job.adapter.as_deref(), expected, term = self.term.token, outcome, "an order was given")
        }
        let mut book = self.book.lock();
        let book = &mut *book;
        let Some(known) = book.known.get_mut(&entry.id) else {
            return false;
        };
        match answer {
            Ok(Ordered::Accepted) if job.adapter.is_none() => {
                known.orders = expected + 1;
                if job.operation == Operation::Unload {
                    known.unloaded = Some((job.model.clone(), now));
                }
                known.pending = Some(Pending {
                    due: now + job.takes,
                    job,
                });
                true
            }
            Ok(Ordered::Accepted) if job.operation == Operation::Unload => {
                // It goes when its last request has ended; until then it takes its place.
                known.orders = expected + 1;
                known.doubt(now);
                false
            }
            Ok(Ordered::Accepted | Ordered::InForce) if job.adapter.is_some() => {
                known.orders = expected + 1;
                known.effect(&job, now);
                if let (Operation::Load, Some(adapter)) = (job.operation, job.adapter) {
                    let placed = Placed {
                        model: job.model,
                        adapter,
                        replica: Some(entry.id.clone()),
                    };
                    self.reply(placed, entry.addr, ADAPTER_ARRIVES);
                }
                true
            }
            Ok(Ordered::InForce) => {
                known.effect(&job, now);
                known.doubt(now);
                false
            }
            Ok(Ordered::Fenced) => {
                warn!(target: "planner", event = "fenced", term = self.term.token, "a later holder gives orders; this term ends");
                self.term.end();
                false
            }
            Ok(_) => {
                known.doubt(now);
                false
            }
            Err(why) => {
                known.doubt(now);
                let lands = matches!(why, platform::Error::Unknown { .. });
                if job.from_store && lands {
                    for bucket in book.buckets.values_mut() {
                        bucket.unanswered(now);
                    }
                }
                false
            }
        }
    }

    /// Tells all hosts the sums, and what is planned.
    async fn digest(&self, round: usize) {
        let now = self.state.now();
        let loads = self.peers.loads(now);
        let (plans, adapters) = {
            let book = self.book.lock();
            let plans = plans(&book, self.peers.direct(), now);
            (plans, adapters_of(&book, round))
        };
        let hosts = self.peers.inbox.hosts().len() as u32;
        let first = Digest {
            term: self.term.token,
            hosts,
            plans: Some(plans),
            ..Digest::default()
        };
        let mut parts = Parts::new(first);
        for id in self.replicas() {
            let load = loads.get(&short(&id)).copied().unwrap_or_default();
            parts.room(ROW_SIZE).loads.push(Row::new(&id, &load));
        }
        for (id, adapters) in adapters {
            let size = ROW_SIZE + adapters.len() * ADAPTER_SIZE;
            parts.room(size).adapters.push((id, adapters));
        }
        for digest in parts.all {
            self.peers.send_all(&Message::Digest(digest)).await;
        }
    }

    /// Replicas that run models.
    fn replicas(&self) -> Vec<Name> {
        self.book.lock().known.keys().cloned().collect()
    }
}

/// Parts of a digest that fit a datagram each.
struct Parts {
    all: Vec<Digest>,
    size: usize,
}

impl Parts {
    fn new(first: Digest) -> Parts {
        let plans = first.plans.as_ref().map_or(0, |p| {
            p.coming.len() + p.loaded.len() + p.closing.len() + p.peers.len()
        });
        Parts {
            all: vec![first],
            size: ROW_SIZE * (plans + 1),
        }
    }

    /// The part that has room for so many bytes more.
    fn room(&mut self, size: usize) -> &mut Digest {
        self.size += size;
        if self.size > MOST_DATAGRAM {
            self.size = ROW_SIZE + size;
            let first = &self.all[0];
            let next = Digest {
                term: first.term,
                hosts: first.hosts,
                ..Digest::default()
            };
            self.all.push(next);
        }
        self.all.last_mut().expect("there is always one")
    }
}

fn word(answer: &Result<Ordered, platform::Error>) -> &'static str {
    match answer {
        Ok(Ordered::Accepted | Ordered::InForce) => "taken",
        Ok(Ordered::Conflict) => "conflict",
        Ok(Ordered::Fenced) => "fenced",
        Ok(_) => "refused",
        Err(platform::Error::Unknown { .. }) => "unanswered",
        Err(_) => "not_sent",
    }
}

fn plans(book: &Book, peers: Vec<SocketAddr>, now: Time) -> Plans {
    let coming = book.known.values().filter_map(|k| {
        let pending = k.pending.as_ref()?;
        let loads = pending.job.operation == Operation::Load;
        let ms = pending.due.since(now).ms() as u32;
        loads.then(|| (pending.job.model.clone(), ms))
    });
    let closing = book.known.iter().flat_map(|(id, k)| {
        let closing = k.closing.iter().map(|(model, _)| model.clone());
        let orders = k.queue.iter().chain(k.pending.iter().map(|p| &p.job));
        let unloads = orders.filter(|j| j.operation == Operation::Unload && j.adapter.is_none());
        let done = k.unloaded.iter();
        let done = done.filter(|(_, at)| now.since(*at) < TOLD_LOADED);
        let done = done.filter(|(model, _)| !k.held.iter().any(|h| h.model == *model));
        closing
            .chain(unloads.map(|j| j.model.clone()))
            .chain(done.map(|(model, _)| model.clone()))
            .map(|model| (id.clone(), model))
            .collect::<Vec<_>>()
    });
    let loaded = book.known.iter().filter_map(|(id, k)| {
        let (model, at) = k.loaded.as_ref()?;
        (now.since(*at) < TOLD_LOADED).then(|| (id.clone(), model.clone()))
    });
    Plans {
        loaded: loaded.collect(),
        coming: coming.collect(),
        closing: closing.collect(),
        peers,
    }
}

/// Adapters of the replicas whose turn it is in a round; changes are told when they are made.
fn adapters_of(book: &Book, round: usize) -> Vec<(Name, Vec<(Name, Name)>)> {
    let turn = |id: &Name| short(id) as usize % ADAPTER_ROUNDS == round % ADAPTER_ROUNDS;
    book.known
        .iter()
        .filter(|(id, k)| turn(id) && k.doubtful.is_none())
        .map(|(id, k)| (id.clone(), k.adapters()))
        .collect()
}

/// A replica's places for adapters; none while it is about to change what it holds.
fn places(
    known: &Known,
    engine: &Engine,
    index: &dyn Fn(&Name) -> Option<usize>,
) -> adapters::Replica {
    let held = known.adapters().into_iter().filter_map(|(model, adapter)| {
        let at = index(&model)?;
        Some((at, engine.models[at].adapter_number(&adapter)?))
    });
    adapters::Replica {
        models: known.held.iter().filter_map(|h| index(&h.model)).collect(),
        free: (engine.adapters as usize).saturating_sub(known.adapters_due()),
        adapters: held.collect(),
        idle: known.is_idle() && known.closing.is_none(),
    }
}

fn load_job(entry: &Entry, model: &platform::config::Model, from_store: bool) -> Job {
    let takes = match () {
        _ if from_store => model.load,
        _ if entry.in_memory.contains(&model.name) => model.load_warm,
        _ => model.load_disk,
    };
    Job {
        operation: Operation::Load,
        model: model.name.clone(),
        adapter: None,
        from_store,
        takes: takes.into(),
    }
}

fn seen_by_plan(
    entry: &Entry,
    known: &Known,
    engine: &Engine,
    loads: &HashMap<u32, Load>,
    index: &dyn Fn(&Name) -> Option<usize>,
) -> copies::Replica {
    let load = loads
        .get(&short(&entry.id))
        .map_or(0.0, |l| f64::from(l.requests));
    let mut held: Vec<usize> = known.held.iter().filter_map(|h| index(&h.model)).collect();
    let coming = known.pending.iter().map(|p| &p.job).chain(&known.queue);
    let coming = coming.filter(|j| j.operation == Operation::Load && j.adapter.is_none());
    for model in coming.filter_map(|j| index(&j.model)) {
        if !held.contains(&model) {
            held.push(model);
        }
    }
    if let Some(model) = known.closing.as_ref().and_then(|(m, _)| index(m)) {
        held.retain(|m| *m != model);
    }
    let copies = entry.in_memory.iter().chain(&entry.on_disk);
    copies::Replica {
        free_mb: known.free_mb(engine),
        held,
        copied: copies.filter_map(index).collect(),
        idle: known.is_idle() && known.closing.is_none(),
        stays: !entry.leaving,
        load: load / f64::from(entry.slots),
    }
}
