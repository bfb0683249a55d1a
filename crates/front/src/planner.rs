//! The leader's planner: turns the load reports of all hosts into orders to replicas.
//!
//! `demand` measures demand, `service` plans the copies of models, `adapters` places adapters on
//! request, `prefetch` loads others ahead of requests, `early` has the policy of copies ahead of demand, `dispatch` sends orders, `digest` broadcasts
//! load and plans, and `quarantine` broadcasts and stores the list of suspected and quarantined
//! requests.
//!
//! Lock order: the table before `Fleet`.

mod adapters;
mod demand;
mod digest;
mod dispatch;
mod early;
mod prefetch;
mod quarantine;
mod service;

use crate::fleet::{Bucket, Record};
use crate::leader::Term;
use crate::log::Topic;
use crate::message::{Load, Message, ModelPlacement, ModelRequest, replica_hash};
use crate::paths;
use crate::peers::Peers;
use crate::shares;
use crate::state::State;
use crate::table::Table;
use demand::Demand;
use parking_lot::Mutex;
use platform::replica::Entry;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::task::JoinHandle;
use tracing::{info, warn};
use unit::{Name, Span, Time};

/// Interval between plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which orders that have become due are sent between plans, where a service calls for early copies.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(60);

/// Number of replicas above which a plan runs on a blocking thread: it takes about 30 ms on half a
/// core by then. Below, waking a thread costs more than it saves.
const BLOCKING_PLAN_REPLICAS: usize = 500;

/// Minimum pause after a plan, as a multiple of its duration: with thousands of replicas a plan
/// takes a sizable part of a second, in which this host answers and renews nothing.
const PAUSE_FACTOR: u32 = 4;

/// Interval between broadcasts of changed load, where hosts do not report to each other directly: a
/// fraction of the prefill time of a prompt.
const CHANGES_INTERVAL: Duration = Duration::from_millis(15);

/// Time without paths to the replicas after which a leader resigns.
const RESIGN_AFTER: Span = Span::from_ms(1_000);

/// The planner of one term.
pub struct Planner {
    state: Arc<State>,
    peers: Arc<Peers>,
    term: Term,
    fleet: Mutex<Fleet>,
    /// Load that hosts were last sent.
    last_sent: Mutex<digest::SentRows>,
    /// Since when this host has reached no replica.
    isolated_since: Mutex<Option<Time>>,
    /// Whether a write of the quarantine list is in progress.
    storing: AtomicBool,
    /// Whether orders that have become due are sent between plans, by the last plan.
    advances: AtomicBool,
}

/// The leader's view of all replicas and of the demand.
struct Fleet {
    /// Replicas that run models, by identity.
    records: HashMap<Name, Record>,
    /// Rate limiters for loads from the weight store, by service.
    buckets: HashMap<Name, Bucket>,
    /// Demand by service and model.
    demand: HashMap<(Name, Name), Demand>,
    /// Last time that an adapter was loaded on an additional replica, by model and adapter.
    last_spread: HashMap<(Name, Name), Time>,
    /// Models that are short of copies.
    shortages: early::Shortages,
    /// Copies of each model that replicas held when they were found.
    found_copies: early::FoundCopies,
    /// Since when this leader has known of requests, by service.
    traffic_since: HashMap<Name, Time>,
    /// Recent uses of adapters.
    adapter_uses: prefetch::Uses,
    /// Last measurement of the demand.
    measured: Time,
    /// Last update of the records.
    synced: Time,
}

/// Plans until another host leads. Orders are sent only while the term is valid. Load is broadcast
/// even when the store is unreachable and the term cannot be renewed: without it all hosts would
/// choose the same replicas.
pub async fn run(state: Arc<State>, peers: Arc<Peers>, term: Term) {
    peers.start_limiter(term.clone(), shares::tolerance(&state.settings.bounds));
    state.quarantine.take_over(state.now());
    let planner = Arc::new(open(state, peers, term));
    let orders_from = planner.orders_from();
    let mut next_plan = tokio::time::Instant::now();
    let mut next_digest = next_plan;
    let mut planning: Option<JoinHandle<bool>> = None;
    let mut plan_started = next_plan;
    let mut changes = tokio::time::interval(CHANGES_INTERVAL);
    changes.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut advances = tokio::time::interval(ADVANCE_INTERVAL);
    advances.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut round = 0;
    while planner.may_broadcast() {
        // A model whose replicas are not all known looks as if it had too few copies.
        let knows_all = planner.state.knows_all_replicas.load(Ordering::Relaxed);
        let may_order = planner.term.is_valid() && knows_all && planner.state.now() >= orders_from;
        tokio::select! {
            _ = tokio::time::sleep_until(next_plan), if planning.is_none() => {
                plan_started = tokio::time::Instant::now();
                planner.sync();
                if may_order {
                    planning = Some(planner.spawn_plan());
                }
                next_plan = plan_started + PLAN_INTERVAL;
            }
            changed = finish(&mut planning) => {
                planning = None;
                let now = tokio::time::Instant::now();
                if changed {
                    next_digest = now;
                }
                next_plan = now + PLAN_INTERVAL.max(plan_started.elapsed() * PAUSE_FACTOR);
            }
            _ = planner.peers.inbox.request_received.notified() => {
                if may_order {
                    planner.sync_if_due();
                    planner.place_adapters();
                    if planner.note_missing() && planning.is_none() {
                        plan_started = tokio::time::Instant::now();
                        planning = Some(planner.spawn_plan());
                    }
                }
            }
            _ = advances.tick(), if may_order && planning.is_none() => {
                if planner.advances.load(Ordering::Relaxed) {
                    planner.advance();
                }
            }
            _ = changes.tick(), if !planner.peers.is_direct() => {
                planner.send_changes().await;
            }
            _ = tokio::time::sleep_until(next_digest) => {
                next_digest = tokio::time::Instant::now() + planner.peers.report_interval();
                round += 1;
                planner.resign_if_isolated();
                planner.send_digest(round).await;
                let is_full_round = round.is_multiple_of(digest::FULL_DIGEST_ROUNDS);
                planner.peers.broadcast_conditions(planner.term.token, is_full_round || round == 1).await;
                planner.broadcast_listing(is_full_round).await;
                if is_full_round {
                    planner.peers.broadcast_limits().await;
                    planner.peers.broadcast_departures().await;
                }
            }
            _ = planner.state.quarantine.changed.notified() => planner.broadcast_listing(false).await,
        }
    }
}

/// Waits for a plan in progress, and returns whether it changed anything.
async fn finish(planning: &mut Option<JoinHandle<bool>>) -> bool {
    match planning {
        // A plan that panicked or was cancelled has no change to announce.
        Some(plan) => plan.await.unwrap_or(false),
        None => std::future::pending().await,
    }
}

/// Makes the planner of a term, with no replicas record.
fn open(state: Arc<State>, peers: Arc<Peers>, term: Term) -> Planner {
    Planner {
        fleet: Mutex::new(Fleet {
            records: HashMap::new(),
            buckets: HashMap::new(),
            demand: HashMap::new(),
            last_spread: HashMap::new(),
            shortages: HashMap::new(),
            found_copies: HashMap::new(),
            traffic_since: HashMap::new(),
            adapter_uses: prefetch::Uses::default(),
            measured: state.now(),
            synced: Time(0),
        }),
        last_sent: Mutex::default(),
        isolated_since: Mutex::default(),
        storing: AtomicBool::new(false),
        advances: AtomicBool::new(false),
        state,
        peers,
        term,
    }
}

impl Planner {
    /// Earliest time for an order.
    fn orders_from(&self) -> Time {
        // The previous leader may have sent an order just now; leaders must not alternate within
        // the bound.
        let wait = match self.term.is_first {
            true => Duration::ZERO,
            false => self.state.settings.bounds.lease,
        };
        self.term.started + Span::from(wait)
    }

    /// Ends the term if this host has reached no replica for a time while another host does: it can send no orders.
    fn resign_if_isolated(&self) {
        let now = self.state.now();
        let mut isolated_since = self.isolated_since.lock();
        if !paths::is_isolated(&self.state) {
            *isolated_since = None;
            return;
        }
        let since = *isolated_since.get_or_insert(now);
        let own = &self.state.settings.name;
        let inbox = &self.peers.inbox;
        if now.since(since) > RESIGN_AFTER
            && self.term.is_valid()
            && inbox.is_any_connected(own, now)
        {
            warn!(target: "leader", event = "resigned", term = self.term.token, "this host reaches no replica while others do; another one is to lead");
            self.term.end();
        }
    }

    /// Whether this host may broadcast load: its term is valid, or no other leader is record.
    fn may_broadcast(&self) -> bool {
        self.term.is_valid() || !self.state.is_led_by_another()
    }

    /// Updates the records from store entries and from the hosts' reports of adapter uses.
    fn sync(&self) {
        let now = self.state.now();
        let unreachable: HashSet<u32> = self.unreachable(now).into_iter().collect();
        let table = self.state.table.lock();
        let mut fleet = self.fleet.lock();
        fleet.synced = now;
        fleet.records.retain(|id, _| table.view.get(id).is_some());
        let routes = table.routes.as_ref();
        let runs_models = |service: &Name| {
            let service = routes.and_then(|r| r.service(service));
            service.is_some_and(|s| s.engine.is_some())
        };
        for replica in table.view.all().filter(|s| runs_models(&s.entry.service)) {
            if !fleet.records.contains_key(&replica.entry.id) {
                fleet.note_found(&replica.entry);
            }
            let record = fleet.records.entry(replica.entry.id.clone());
            let record = record.or_insert_with(|| {
                self.state
                    .log
                    .rate_limited_by(Topic::Planner, || log_found(&replica.entry));
                Record::default()
            });
            let is_unreachable =
                !unreachable.is_empty() && unreachable.contains(&replica_hash(&replica.entry.id));
            record.note_unreachable(is_unreachable, now);
            record.sync(&replica.entry, now);
        }
        for adapter_use in self.peers.inbox.take_adapter_uses() {
            let (model, adapter) = (&adapter_use.model, &adapter_use.adapter);
            fleet.adapter_uses.record(model, adapter, now);
            let id = table.view.id_of_hash(adapter_use.replica);
            if let Some(record) = id.and_then(|id| fleet.records.get_mut(id)) {
                record.touch_adapter(&adapter_use.model, &adapter_use.adapter, now);
            }
        }
    }

    /// Updates the records unless they were updated within a plan's interval: requests for adapters come far more
    /// often than entries change.
    fn sync_if_due(&self) {
        let synced = self.fleet.lock().synced;
        if self.state.now().since(synced) >= Span::from(PLAN_INTERVAL) {
            self.sync();
        }
    }

    /// Starts a plan concurrently: on a blocking thread with many replicas, where it takes a
    /// sizable part of a second.
    fn spawn_plan(self: &Arc<Self>) -> JoinHandle<bool> {
        let planner = self.clone();
        let replicas = self.state.table.lock().view.all().count();
        match replicas > BLOCKING_PLAN_REPLICAS {
            true => tokio::task::spawn_blocking(move || planner.plan()),
            false => tokio::spawn(async move { planner.plan() }),
        }
    }

    /// Plans each service whose replicas run models, and sends the orders that are ready. Returns
    /// whether the plan has changed.
    fn plan(self: &Arc<Self>) -> bool {
        let routes = self.state.table.lock().routes.clone();
        let Some(routes) = routes else { return false };
        self.measure(&routes);
        self.queue_due_unloads();
        let mut changed = false;
        self.advances
            .store(self.may_advance(&routes), Ordering::Relaxed);
        for (service, engine) in routes.engines() {
            changed |= self.plan_service(service, engine);
            self.prefetch_adapters(service, engine);
        }
        for id in self.replicas_to_call() {
            self.dispatch(id);
        }
        changed
    }

    /// Records models that hosts have requests for and no replica holds. Returns whether any of
    /// them is new. Hosts are answered at once where a copy is or is coming: the next digest may come too late for
    /// their requests.
    fn note_missing(self: &Arc<Self>) -> bool {
        let missing = self.peers.inbox.take_model_requests();
        let now = self.state.now();
        let mut fleet = self.fleet.lock();
        let mut any_new = false;
        for (ModelRequest { service, model }, from) in missing {
            let placement = fleet.placement(&model, now);
            let is_coming = placement.as_ref().is_some_and(|p| p.replica.is_none());
            if let Some(placement) = placement {
                self.answer(Message::ModelPlacement(placement), from);
            }
            if !is_coming {
                let demand = fleet.demand.entry((service, model)).or_default();
                any_new |= demand.note_missing();
            }
        }
        any_new
    }

    /// Sends a message to a host in the background.
    fn answer(self: &Arc<Self>, message: Message, to: SocketAddr) {
        let planner = self.clone();
        tokio::spawn(async move { planner.peers.answer(message, to).await });
    }

    /// Replicas that need a report, or that have orders queued.
    fn replicas_to_call(&self) -> Vec<Name> {
        let fleet = self.fleet.lock();
        let now = self.state.now();
        let has_orders = |r: &Record| r.report_due.is_none() && !r.queue.is_empty();
        let needs_call = |r: &&Record| !r.in_call && (r.is_report_due(now) || has_orders(r));
        let records = fleet.records.iter().filter(|(_, r)| needs_call(r));
        records.map(|(id, _)| id.clone()).collect()
    }
}

impl Fleet {
    /// Where a model is, or when a copy is expected.
    fn placement(&self, model: &Name, now: Time) -> Option<ModelPlacement> {
        let holds =
            |r: &Record| !r.will_unload(model) && r.resident.iter().any(|h| h.model == *model);
        let holder = self.records.iter().find(|(_, r)| holds(r));
        let coming = || {
            let incoming = self.records.values().filter_map(Record::incoming);
            incoming
                .filter(|(m, _)| *m == model)
                .map(|(_, due)| due)
                .min()
        };
        let eta = match holder {
            Some(_) => Span::ZERO,
            None => coming()?.since(now),
        };
        Some(ModelPlacement {
            model: model.clone(),
            replica: holder.map(|(id, _)| id.clone()),
            eta_ms: eta.ms() as u32,
        })
    }
}

/// Logs what a newly discovered replica holds.
fn log_found(entry: &Entry) {
    let held: Vec<&str> = entry.resident.iter().map(|h| &*h.model).collect();
    let (held, in_memory, on_disk) = (
        held.join(","),
        entry.in_memory.join(","),
        entry.on_disk.join(","),
    );
    info!(target: "planner", event = "found", replica = &*entry.id, hall = &*entry.hall, held, in_memory, on_disk, "planning for a newly discovered replica")
}

fn entries(table: &Table, service: &Name) -> Vec<Entry> {
    let replicas = table.view.all().filter(|s| s.entry.service == *service);
    replicas.map(|s| s.entry.clone()).collect()
}

/// Fraction of a replica's slots in use, summed over all hosts.
fn utilization(entry: &Entry, loads: &HashMap<u32, Load>) -> f64 {
    let load = loads.get(&replica_hash(&entry.id));
    load.map_or(0.0, |l| f64::from(l.requests)) / f64::from(entry.slots)
}
