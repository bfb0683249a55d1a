//! Randomly stepped simulation of engines, planners, a network and a ledger store.

use place::homes::{Hall, Homes};
use place::ledger::Ledger;
use place::plan::{Demand, Input, LoadLimiter, Spec, plan};
use place::{Fleet, Upstream};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use unit::engine::{Action, Fence, Load, Order, OrderStatus, Report, Resident, Role, State};
use unit::{Bytes, Name, Time};

const ENGINE_COUNT: usize = 4;
const PLANNER_COUNT: usize = 2;
const MODEL_COUNT: usize = 5;
const MEMORY_GB: u64 = 20;

/// Safety mechanisms, each of which a run can disable.
#[derive(Debug, Clone, Copy)]
pub struct Guards {
    /// Orders are reserved in the ledger before they are sent.
    pub reservation: bool,
    /// Unanswered orders stay in the ledger.
    pub in_doubt: bool,
    /// Orders reach only the incarnation they were sent to.
    pub incarnation_binding: bool,
    /// Reports older than one that resolved an order are ignored.
    pub report_order: bool,
    /// The ledger is written by compare-and-swap.
    pub compare_and_swap: bool,
    /// Engines reject orders by fence and incarnation.
    pub fencing: bool,
    /// Orders are not sent after a ledger write without an answer.
    pub lost_write_recovery: bool,
}

impl Guards {
    pub const ALL: Guards = Guards {
        reservation: true,
        in_doubt: true,
        incarnation_binding: true,
        report_order: true,
        compare_and_swap: true,
        fencing: true,
        lost_write_recovery: true,
    };
}

/// Engine that carries out every order it does not reject, even without memory for it.
struct Engine {
    name: Name,
    fencing: bool,
    incarnation: u64,
    fence: Fence,
    resident: Vec<Resident>,
    reports: Vec<Report>,
}

impl Engine {
    fn report(&self) -> Report {
        Report {
            incarnation: self.incarnation,
            number: self.reports.len() as u64,
            fence: self.fence,
            memory: Bytes::from_gb(MEMORY_GB),
            resident: self.resident.clone(),
            load: Load::default(),
            batch: 8,
            role: Role::Both,
            leaving: false,
        }
    }

    fn publish_report(&mut self) {
        let report = self.report();
        self.reports.push(report);
    }

    fn handle(&mut self, order: &Order, guards: Guards) -> OrderStatus {
        if self.fencing && guards.fencing {
            if order.incarnation != self.incarnation {
                return OrderStatus::WrongIncarnation;
            }
            if order.fence <= self.fence {
                return OrderStatus::Stale;
            }
        }
        if self.fencing {
            self.fence = self.fence.max(order.fence);
        }
        let status = match &order.action {
            Action::Load { weights, bytes } => {
                if !self.resident.iter().any(|r| r.weights == *weights) {
                    self.resident.push(Resident {
                        weights: weights.clone(),
                        bytes: *bytes,
                        state: State::Loading,
                    });
                }
                OrderStatus::Accepted
            }
            Action::Unload { weights } => {
                let found = self.resident.iter_mut().find(|r| r.weights == *weights);
                match found {
                    Some(resident) => {
                        resident.state = State::Unloading;
                        OrderStatus::Accepted
                    }
                    None => OrderStatus::Infeasible,
                }
            }
            Action::SetRole { .. } => OrderStatus::Accepted,
        };
        self.publish_report();
        status
    }
}

/// Connection of a planner to one incarnation of an engine, with the last report read over it.
#[derive(Clone)]
struct Connection {
    incarnation: u64,
    report: Report,
}

struct Planner {
    ledger: Ledger,
    /// Last known revision of the ledger; none if it must be read first.
    revision: Option<u64>,
    /// Whether the ledger has unwritten changes.
    changed: bool,
    connections: Vec<Option<Connection>>,
    outbox: Vec<(usize, u64, Order)>,
    writes: u64,
    limiter: LoadLimiter,
}

/// Order in transit.
struct InFlight {
    engine: usize,
    incarnation: u64,
    order: Order,
    planner: usize,
}

pub struct World {
    rng: ChaCha8Rng,
    guards: Guards,
    now: u64,
    engines: Vec<Engine>,
    planners: Vec<Planner>,
    in_flight: Vec<InFlight>,
    ledger: Ledger,
    revision: u64,
    /// Ledger writes without an answer that may still take effect.
    late_writes: Vec<(u64, Ledger)>,
    homes: Homes,
    specs: Vec<Spec>,
    demand: BTreeMap<Name, Demand>,
    lost_model: Option<String>,
    /// Time at which each order was planned, by fence.
    decided_at: BTreeMap<Fence, u64>,
    /// Time of the last restart that removed a replica of each model.
    restarted_at: BTreeMap<Name, u64>,
    /// Time at which the last accepted unload of each model was planned.
    unload_decided_at: BTreeMap<Name, u64>,
    pub orders_sent: u64,
    pub loads_completed: u64,
    /// Events of the run, printed with a violation.
    pub trace: Vec<String>,
}

impl World {
    pub fn new(seed: u64, guards: Guards) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let fencing = rng.random_range(0..3);
        let engines = (0..ENGINE_COUNT).map(|i| {
            let mut engine = Engine {
                name: format!("e{i}").into(),
                // All, none, or every other engine is fencing.
                fencing: fencing == 0 || (fencing == 2 && i % 2 == 0),
                incarnation: 1,
                fence: Fence::default(),
                resident: Vec::new(),
                reports: Vec::new(),
            };
            engine.publish_report();
            engine
        });
        let planners = (0..PLANNER_COUNT).map(|_| Planner {
            ledger: Ledger::default(),
            revision: None,
            changed: false,
            connections: vec![None; ENGINE_COUNT],
            outbox: Vec::new(),
            writes: 0,
            limiter: LoadLimiter::new(1e6, 1_000, 1),
        });
        let mut world = World {
            engines: engines.collect(),
            planners: planners.collect(),
            guards,
            now: 1,
            in_flight: Vec::new(),
            ledger: Ledger::default(),
            revision: 0,
            late_writes: Vec::new(),
            homes: Homes::default(),
            specs: Vec::new(),
            demand: BTreeMap::new(),
            lost_model: None,
            decided_at: BTreeMap::new(),
            restarted_at: BTreeMap::new(),
            unload_decided_at: BTreeMap::new(),
            orders_sent: 0,
            loads_completed: 0,
            trace: Vec::new(),
            rng,
        };
        world.specs = (0..MODEL_COUNT).map(|i| world.spec(i)).collect();
        world
    }

    fn spec(&mut self, i: usize) -> Spec {
        Spec {
            model: format!("m{i}").into(),
            version: format!("{}", self.rng.random_range(1..3)).into(),
            memory: Bytes::from_gb(self.rng.random_range(4..9)),
            min_replicas: self.rng.random_range(1..3),
            priority: 5,
            adapters: Vec::new(),
        }
    }

    fn pick(&mut self, n: usize) -> usize {
        self.rng.random_range(0..n)
    }

    /// Performs one random step. Each kind of step returns whether it restarted an engine.
    pub fn step(&mut self) {
        self.now += 100_000;
        let ready = self.ready();
        let restarted = match self.pick(20) {
            0..=5 => self.tick(),
            6..=8 => self.send(),
            9..=11 => self.deliver_any(),
            12..=14 => self.progress(),
            15 => self.take_over(),
            16 => self.land_late_write(),
            17 => self.change_bundle_or_demand(),
            18 => self.drop_or_duplicate(),
            _ => self.restart(),
        };
        if !restarted {
            let after = self.ready();
            let mut gone = ready.into_iter().filter(|m| !after.contains(m));
            let gone = gone.find(|m| !self.is_excused(m));
            self.lost_model =
                gone.map(|m| format!("{m} lost its last ready replica without a restart"));
        }
    }

    /// Whether a restart removed another replica of the model after its last accepted unload was planned.
    fn is_excused(&self, model: &Name) -> bool {
        let decided_at = self.unload_decided_at.get(model);
        let restarted_at = self.restarted_at.get(model);
        restarted_at.is_some_and(|restarted| decided_at.is_some_and(|decided| restarted >= decided))
    }

    /// Models that are ready on some engine.
    fn ready(&self) -> BTreeSet<Name> {
        let resident = self.engines.iter().flat_map(|e| &e.resident);
        let ready = resident.filter(|r| r.state == State::Ready);
        ready.map(|r| r.weights.model.clone()).collect()
    }

    /// Describes a violated invariant, if there is one.
    pub fn violation(&self) -> Option<String> {
        for engine in &self.engines {
            let used: Bytes = engine.resident.iter().map(|r| r.bytes).sum();
            if used > Bytes::from_gb(MEMORY_GB) {
                return Some(format!("{} holds {used} of {MEMORY_GB} GB", engine.name));
            }
        }
        self.lost_model.clone()
    }

    /// A planner that believes the lease is free takes the ledger over.
    fn take_over(&mut self) -> bool {
        let p = self.pick(PLANNER_COUNT);
        let mut ledger = self.ledger.clone();
        let revision = self.revision;
        ledger.take_over();
        self.planners[p].ledger = ledger;
        self.planners[p].revision = Some(revision);
        self.planners[p].changed = true;
        self.write(p);
        false
    }

    /// Writes a planner's ledger; returns whether the planner considers it written.
    fn write(&mut self, p: usize) -> bool {
        self.planners[p].writes += 1;
        let writer: Name = format!("p{p}:{}", self.planners[p].writes).into();
        self.planners[p].ledger.writer = writer;
        let Some(expected) = self.planners[p].revision else {
            return false;
        };
        let ledger = self.planners[p].ledger.clone();
        let draw = self.pick(10);
        if draw == 0 {
            // The answer is lost; the write takes effect later or never.
            self.late_writes.push((expected, ledger));
            self.planners[p].revision = None;
            return !self.guards.lost_write_recovery;
        }
        if self.guards.compare_and_swap && expected != self.revision {
            self.planners[p].revision = None;
            return false;
        }
        self.ledger = ledger;
        self.revision += 1;
        self.planners[p].revision = Some(self.revision);
        self.planners[p].changed = false;
        let ledger = &self.ledger;
        self.trace.push(format!(
            "p{p} writes term {} open {:?} seen {:?}",
            ledger.term, ledger.open, ledger.seen
        ));
        true
    }

    fn land_late_write(&mut self) -> bool {
        if self.late_writes.is_empty() {
            return false;
        }
        let i = self.pick(self.late_writes.len());
        let (expected, ledger) = self.late_writes.swap_remove(i);
        if expected == self.revision {
            self.trace.push(format!(
                "late write lands: term {} open {:?}",
                ledger.term, ledger.open
            ));
            self.ledger = ledger;
            self.revision += 1;
        }
        false
    }

    /// A planner that believes it holds the lease runs one tick.
    fn tick(&mut self) -> bool {
        let p = self.pick(PLANNER_COUNT);
        if self.planners[p].revision.is_none() {
            return self.take_over();
        }
        self.read_reports(p);
        let fleet = self.fleet(p);
        let hall: Name = "hall".into();
        let halls = [Hall {
            name: hall.clone(),
            memory: Bytes::from_gb(MEMORY_GB * ENGINE_COUNT as u64),
        }];
        let homes = self.homes.clone();
        let input = Input {
            now: Time(self.now),
            wall_ms: 0,
            hall: &hall,
            halls: &halls,
            specs: &self.specs,
            fleet: &fleet,
            other_halls: &Fleet::default(),
            homes: &homes,
            demand: &self.demand,
            attainment_weight: 1.0,
            move_cost: 0.1,
        };
        let planner = &mut self.planners[p];
        let before = planner.ledger.open.clone();
        if !self.guards.reservation {
            planner.ledger.open.clear();
        }
        if !self.guards.report_order {
            planner.ledger.seen.clear();
        }
        let planned = plan(&input, &mut planner.ledger, &mut planner.limiter);
        for (_, order) in &planned.orders {
            self.decided_at.insert(order.fence, self.now);
        }
        planner.changed |= planner.ledger.open != before;
        if planner.changed && !self.write(p) {
            return false;
        }
        for model in &planned.joins {
            self.homes.join(model, &hall);
        }
        self.enqueue(
            p,
            planned.orders.into_iter().chain(planned.resends).collect(),
        );
        false
    }

    /// Puts orders into a planner's outbox.
    fn enqueue(&mut self, p: usize, orders: Vec<(Name, Order)>) {
        for (name, order) in orders {
            let at = self.engines.iter().position(|e| e.name == name);
            let at = at.expect("orders go to known engines");
            if let Some(connection) = &self.planners[p].connections[at] {
                let incarnation = connection.incarnation;
                self.planners[p].outbox.push((at, incarnation, order));
            }
        }
    }

    /// A planner reads delayed reports, never older than those already read over the same connection.
    fn read_reports(&mut self, p: usize) {
        for e in 0..ENGINE_COUNT {
            let current = self.engines[e].incarnation;
            let connection = self.planners[p].connections[e].clone();
            let oldest = match connection {
                Some(connection) if connection.incarnation == current => connection.report.number,
                _ => 0,
            };
            let visible: Vec<&Report> = self.engines[e]
                .reports
                .iter()
                .filter(|r| r.incarnation == current && r.number >= oldest)
                .collect();
            let from = visible.len().saturating_sub(4);
            let i = self.rng.random_range(from..visible.len());
            let report = visible[i].clone();
            self.planners[p].connections[e] = Some(Connection {
                incarnation: current,
                report,
            });
        }
    }

    fn fleet(&self, p: usize) -> Fleet {
        let connections = self.planners[p].connections.iter().zip(&self.engines);
        let upstreams = connections.filter_map(|(connection, engine)| {
            connection.as_ref().map(|connection| Upstream {
                name: engine.name.clone(),
                report: connection.report.clone(),
                leaving: false,
                fencing: engine.fencing,
                unreachable: false,
            })
        });
        Fleet {
            upstreams: upstreams.collect(),
        }
    }

    /// A planner sends the next order in its outbox, possibly long after planning it.
    fn send(&mut self) -> bool {
        let p = self.pick(PLANNER_COUNT);
        if self.planners[p].outbox.is_empty() {
            return false;
        }
        let (engine, incarnation, order) = self.planners[p].outbox.remove(0);
        self.orders_sent += 1;
        self.in_flight.push(InFlight {
            engine,
            incarnation,
            order,
            planner: p,
        });
        let last = self.in_flight.len() - 1;
        match self.pick(3) {
            // Delivered and answered.
            0 => self.deliver(last, true),
            // No answer; the order may still arrive.
            1 => self.time_out(last),
            // Still in transit.
            _ => {}
        }
        false
    }

    fn time_out(&mut self, i: usize) {
        let sent = &self.in_flight[i];
        let (p, fence, e) = (sent.planner, sent.order.fence, sent.engine);
        let name = self.engines[e].name.clone();
        let fleet = self.fleet(p);
        let planner = &mut self.planners[p];
        if !self.guards.in_doubt {
            planner.ledger.open.retain(|o| o.order.fence != fence);
            planner.changed = true;
            return;
        }
        if let Some(upstream) = fleet.find(&name) {
            planner.changed |= planner.ledger.record_no_answer(upstream, fence);
        }
    }

    /// Delivers an order, and its answer to the planner if `answered`.
    fn deliver(&mut self, i: usize, answered: bool) {
        let sent = self.in_flight.swap_remove(i);
        let engine = &mut self.engines[sent.engine];
        if self.guards.incarnation_binding && sent.incarnation != engine.incarnation {
            return;
        }
        let status = engine.handle(&sent.order, self.guards);
        self.trace.push(format!(
            "{} handles {:?}: {status:?}, answered {answered}",
            engine.name, sent.order
        ));
        if let (Action::Unload { weights }, OrderStatus::Accepted) = (&sent.order.action, status) {
            let decided_at = self.decided_at.get(&sent.order.fence).copied();
            self.unload_decided_at
                .insert(weights.model.clone(), decided_at.unwrap_or(0));
        }
        let name = engine.name.clone();
        if answered {
            let planner = &mut self.planners[sent.planner];
            let fence = sent.order.fence;
            planner.changed |= planner.ledger.record_answer(&name, fence, status);
        }
    }

    /// Delivers a random order in transit.
    fn deliver_any(&mut self) -> bool {
        if !self.in_flight.is_empty() {
            let i = self.pick(self.in_flight.len());
            self.deliver(i, false);
        }
        false
    }

    fn drop_or_duplicate(&mut self) -> bool {
        if self.in_flight.is_empty() {
            return false;
        }
        let i = self.pick(self.in_flight.len());
        let sent = &self.in_flight[i];
        let fencing = self.engines[sent.engine].fencing;
        // Orders are sent again only to fencing engines.
        if fencing && self.pick(2) == 0 {
            let sent = &self.in_flight[i];
            let copy = InFlight {
                engine: sent.engine,
                incarnation: sent.incarnation,
                order: sent.order.clone(),
                planner: sent.planner,
            };
            self.in_flight.push(copy);
        } else {
            self.in_flight.swap_remove(i);
        }
        false
    }

    /// An engine completes its loads and unloads.
    fn progress(&mut self) -> bool {
        let e = self.pick(ENGINE_COUNT);
        let engine = &mut self.engines[e];
        let mut completed = 0;
        for resident in &mut engine.resident {
            if resident.state == State::Loading {
                resident.state = State::Ready;
                completed += 1;
            }
        }
        engine.resident.retain(|r| r.state != State::Unloading);
        engine.publish_report();
        self.trace
            .push(format!("{} holds {:?}", engine.name, engine.resident));
        self.loads_completed += completed;
        false
    }

    fn restart(&mut self) -> bool {
        if self.pick(4) != 0 {
            return false;
        }
        let e = self.pick(ENGINE_COUNT);
        let engine = &mut self.engines[e];
        for resident in &engine.resident {
            self.restarted_at
                .insert(resident.weights.model.clone(), self.now);
        }
        self.trace.push(format!("{} restarts", engine.name));
        engine.incarnation += 1;
        engine.fence = Fence::default();
        engine.resident.clear();
        engine.publish_report();
        true
    }

    /// Changes the demand for a model, and possibly its version, size and minimum replicas.
    fn change_bundle_or_demand(&mut self) -> bool {
        let i = self.pick(MODEL_COUNT);
        if self.pick(2) == 0 {
            let mut spec = self.spec(i);
            // A version has one size, so another size needs another version.
            spec.version = format!("{}", self.now).into();
            self.specs[i] = spec;
        }
        let model = self.specs[i].model.clone();
        let rate = f64::from(self.rng.random_range(0..40));
        self.demand.insert(model, Demand { rate, work: 0.05 });
        false
    }
}
