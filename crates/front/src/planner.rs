//! The leader's work: sums of demand in, orders to replicas out.
//!
//! This module holds what the leader believes and calls the parts in turn: `demand` measures,
//! `service` plans copies of models, `adapters` finds places for adapters that are wanted, `prefetch`
//! fetches others before, `dispatch` gives the orders, `digest` tells hosts, and `quarantine` tells and stores which
//! requests are kept out. The table is locked
//! before the `Book`, never after.

mod adapters;
mod demand;
mod digest;
mod dispatch;
mod prefetch;
mod quarantine;
mod service;

use crate::fleet::{Bucket, Record};
use crate::leader::Term;
use crate::message::{AdapterUse, Load, ModelRequest, PackedLoad, replica_hash};
use crate::peers::Peers;
use crate::shares;
use crate::state::State;
use crate::table::Table;
use conn::Pool;
use demand::Demand;
use parking_lot::Mutex;
use platform::replica::Entry;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio::task::JoinHandle;
use tracing::info;
use unit::{Name, Span, Time};

/// Pause between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Replicas beyond which a plan is made on a thread of its own: it takes some 30 ms there on half a core,
/// and a thread's wake-ups cost more than they save below.
const BLOCKING_PLAN_REPLICAS: usize = 500;

/// Pause after a plan, as a multiple of the time that it took: at some thousands of replicas a plan takes
/// parts of a second, in which nothing is told, answered or renewed here.
const PAUSE_FACTOR: u32 = 4;

/// Pause between two tellings of what has changed in flight, where hosts do not tell each other: a
/// part of the time to read one prompt.
const CHANGES_INTERVAL: Duration = Duration::from_millis(15);

/// The leader's work in one term.
pub struct Planner {
    state: Arc<State>,
    peers: Arc<Peers>,
    term: Term,
    pool: Pool,
    fleet: Mutex<Fleet>,
    /// What hosts were told last to be in flight at each replica, by its short name.
    last_sent: Mutex<HashMap<u32, PackedLoad>>,
    /// Whether the list of requests that are kept out is being stored.
    storing: AtomicBool,
}

/// What the leader believes and has in hand.
struct Fleet {
    /// Replicas that run models, by identity.
    records: HashMap<Name, Record>,
    /// Loads from the weight store that may begin, by service.
    buckets: HashMap<Name, Bucket>,
    /// Demand by service and model.
    demand: HashMap<(Name, Name), Demand>,
    /// When one more copy of an adapter was last added beside others, by model and adapter.
    last_spread: HashMap<(Name, Name), Time>,
    /// When the demand was measured last.
    measured: Time,
}

/// Works until another host leads. Orders are given while the term holds; sums are told also while the
/// store is away and the term cannot be renewed, since hosts that hear none all choose alike.
pub async fn run(state: Arc<State>, peers: Arc<Peers>, term: Term) {
    peers.start_limiter(term.clone(), shares::tolerance(&state.settings.bounds));
    state.quarantine.take_over(state.now());
    let planner = Arc::new(open(state, peers, term));
    let quiet = planner.quiet_until();
    let mut next_plan = tokio::time::Instant::now();
    let mut next_digest = next_plan;
    let mut planning: Option<JoinHandle<bool>> = None;
    let mut begun = next_plan;
    let mut changes = tokio::time::interval(CHANGES_INTERVAL);
    changes.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut round = 0;
    while planner.may_tell() {
        let acts = planner.term.is_valid() && planner.state.now() >= quiet;
        tokio::select! {
            _ = tokio::time::sleep_until(next_plan), if planning.is_none() => {
                begun = tokio::time::Instant::now();
                planner.sync();
                if acts {
                    planning = Some(planner.begin_plan());
                }
                next_plan = begun + PLAN_INTERVAL;
            }
            changed = ended(&mut planning) => {
                planning = None;
                let now = tokio::time::Instant::now();
                if changed {
                    next_digest = now;
                }
                next_plan = now + PLAN_INTERVAL.max(begun.elapsed() * PAUSE_FACTOR);
            }
            _ = planner.peers.inbox.request_received.notified() => {
                if acts {
                    planner.sync();
                    planner.place_adapters();
                    if planner.note_missing() && planning.is_none() {
                        begun = tokio::time::Instant::now();
                        planning = Some(planner.begin_plan());
                    }
                }
            }
            _ = changes.tick(), if !planner.peers.is_direct() => {
                planner.digest_changes().await;
            }
            _ = tokio::time::sleep_until(next_digest) => {
                next_digest = tokio::time::Instant::now() + planner.peers.report_interval();
                round += 1;
                planner.digest(round).await;
                let again = round.is_multiple_of(digest::WHOLE_ROUNDS);
                planner.tell_listing(again).await;
                if again {
                    planner.peers.broadcast_limits().await;
                    planner.peers.broadcast_departures().await;
                }
            }
            _ = planner.state.quarantine.changed.notified() => planner.tell_listing(false).await,
        }
    }
}

/// Waits for the end of a plan that is being made; tells whether it changed anything.
async fn ended(planning: &mut Option<JoinHandle<bool>>) -> bool {
    match planning {
        // A plan that broke off changed nothing that hosts must be told at once.
        Some(plan) => plan.await.unwrap_or(false),
        None => std::future::pending().await,
    }
}

/// Makes the planner of a term, which knows nothing of any replica yet.
fn open(state: Arc<State>, peers: Arc<Peers>, term: Term) -> Planner {
    Planner {
        fleet: Mutex::new(Fleet {
            records: HashMap::new(),
            buckets: HashMap::new(),
            demand: HashMap::new(),
            last_spread: HashMap::new(),
            measured: state.now(),
        }),
        last_sent: Mutex::default(),
        storing: AtomicBool::new(false),
        pool: Pool::default(),
        state,
        peers,
        term,
    }
}

impl Planner {
    /// When the first order may be given.
    fn quiet_until(&self) -> Time {
        // An earlier holder may have given an order just now: turns within the bound are not allowed.
        let wait = match self.term.is_first {
            true => Duration::ZERO,
            false => self.state.settings.bounds.lease,
        };
        self.term.started + Span::from(wait)
    }

    /// Whether this host may tell sums: its term holds, or no other host is known to lead.
    fn may_tell(&self) -> bool {
        self.term.is_valid() || !self.state.is_led_by_another()
    }

    /// Takes in the replicas' entries, and what hosts told of the use of adapters.
    fn sync(&self) {
        let now = self.state.now();
        let absent = self.peers.inbox.absent(now);
        let table = self.state.table.lock();
        let mut book = self.fleet.lock();
        book.records.retain(|id, _| table.view.get(id).is_some());
        let routes = table.routes.as_ref();
        let runs_models = |service: &Name| {
            let service = routes.and_then(|r| r.service(service));
            service.is_some_and(|s| s.engine.is_some())
        };
        for seen in table.view.all().filter(|s| runs_models(&s.entry.service)) {
            let known = book.records.entry(seen.entry.id.clone());
            let known = known.or_insert_with(|| {
                tell_found(&seen.entry);
                Record::default()
            });
            known.note_unreachable(absent.contains(&replica_hash(&seen.entry.id)), now);
            known.sync(&seen.entry, now);
        }
        book.note_uses(self.peers.inbox.take_adapter_uses(), now);
    }

    /// Makes a plan beside this host's other work: on a thread of its own where there are so many replicas
    /// that it takes parts of a second.
    fn begin_plan(self: &Arc<Self>) -> JoinHandle<bool> {
        let planner = self.clone();
        let replicas = self.state.table.lock().view.all().count();
        match replicas > BLOCKING_PLAN_REPLICAS {
            true => tokio::task::spawn_blocking(move || planner.plan()),
            false => tokio::spawn(async move { planner.plan() }),
        }
    }

    /// Plans for each service whose replicas run models, and gives the orders that can be given. Tells
    /// whether the plan has changed.
    fn plan(self: &Arc<Self>) -> bool {
        let routes = self.state.table.lock().routes.clone();
        let Some(routes) = routes else { return false };
        self.measure(&routes);
        self.order_closed();
        let mut changed = false;
        for (service, engine) in routes.engines() {
            changed |= self.plan_service(service, engine);
            self.fetch_ahead(service, engine);
        }
        for id in self.waiting() {
            self.drive(id);
        }
        changed
    }

    /// Notes the models that hosts have requests for and that are on no replica; tells whether the plan
    /// has not known of one.
    fn note_missing(&self) -> bool {
        let missing = self.peers.inbox.take_model_requests();
        let mut book = self.fleet.lock();
        let mut news = false;
        for ModelRequest { service, model } in missing {
            let awaited = book.records.values().filter_map(Record::incoming);
            if !awaited.map(|(m, _)| m).any(|m| *m == model) {
                let demand = book.demand.entry((service, model)).or_default();
                news |= demand.note_missing();
            }
        }
        news
    }

    /// Replicas that must be asked for a report, or that orders wait for.
    fn waiting(&self) -> Vec<Name> {
        let book = self.fleet.lock();
        let now = self.state.now();
        let waits = |k: &Record| k.report_due.is_none() && !k.queue.is_empty();
        let waiting = |k: &&Record| !k.in_call && (k.is_report_due(now) || waits(k));
        let known = book.records.iter().filter(|(_, k)| waiting(k));
        known.map(|(id, _)| id.clone()).collect()
    }
}

impl Fleet {
    /// Notes which adapters hosts have sent requests to.
    fn note_uses(&mut self, mut uses: Vec<AdapterUse>, now: Time) {
        uses.sort_by_key(|used| used.replica);
        for (id, known) in &mut self.records {
            let name = replica_hash(id);
            let first = uses.partition_point(|used| used.replica < name);
            let here = uses[first..].iter().take_while(|used| used.replica == name);
            for used in here {
                known.touch_adapter(&used.model, &used.adapter, now);
            }
        }
    }
}

/// Tells what a replica holds that the planner had not known.
fn tell_found(entry: &Entry) {
    let held: Vec<&str> = entry.held.iter().map(|h| &*h.model).collect();
    let (held, in_memory, on_disk) = (
        held.join(","),
        entry.in_memory.join(","),
        entry.on_disk.join(","),
    );
    info!(target: "planner", event = "found", replica = &*entry.id, hall = &*entry.hall, held, in_memory, on_disk, "a replica is planned for from now on")
}

/// Entries of a service's replicas.
fn entries(table: &Table, service: &Name) -> Vec<Entry> {
    let seen = table.view.all().filter(|s| s.entry.service == *service);
    seen.map(|s| s.entry.clone()).collect()
}

/// Share of a replica's places that are taken, by the sums of all hosts.
fn taken(entry: &Entry, loads: &HashMap<u32, Load>) -> f64 {
    let load = loads.get(&replica_hash(&entry.id));
    load.map_or(0.0, |l| f64::from(l.requests)) / f64::from(entry.slots)
}
