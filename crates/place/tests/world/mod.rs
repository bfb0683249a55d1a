//! Engines, planners, a network and a ledger store, stepped at random.

use place::homes::{Hall, Homes};
use place::ledger::Ledger;
use place::plan::{Demand, Input, LoadLimiter, Spec, plan};
use place::{Fleet, Upstream};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use unit::engine::{Action, Fence, Load, Order, OrderStatus, Report, Resident, Role, State};
use unit::{Bytes, Name, Time};

const ENGINES: usize = 4;
const PLANNERS: usize = 2;
const MODELS: usize = 5;
const MEMORY: u64 = 20;

/// Guards that a run works under.
#[derive(Debug, Clone, Copy)]
pub struct Guards {
    pub reserve: bool,
    pub doubt: bool,
    pub bound: bool,
    pub seen: bool,
    pub swap: bool,
    pub fences: bool,
    pub settle: bool,
}

impl Guards {
    pub const ALL: Guards = Guards {
        reserve: true,
        doubt: true,
        bound: true,
        seen: true,
        swap: true,
        fences: true,
        settle: true,
    };
}

/// Engine that obeys every order that reaches it, also one it has no memory for.
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
            memory: Bytes::from_gb(MEMORY),
            resident: self.resident.clone(),
            load: Load::default(),
            batch: 8,
            role: Role::Both,
            leaving: false,
        }
    }

    fn changed(&mut self) {
        let report = self.report();
        self.reports.push(report);
    }

    fn obey(&mut self, order: &Order, guards: Guards) -> OrderStatus {
        if self.fencing && guards.fences {
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
        let obeyed = match &order.action {
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
        self.changed();
        obeyed
    }
}

/// Connection of a planner to one incarnation of an engine, with the report last read over it.
#[derive(Clone)]
struct Line {
    incarnation: u64,
    report: Report,
}

struct Planner {
    ledger: Ledger,
    /// Revision of the ledger as this planner knows it; none when it must read it first.
    revision: Option<u64>,
    /// Whether what it knows is not written yet.
    changed: bool,
    lines: Vec<Option<Line>>,
    outbox: Vec<(usize, u64, Order)>,
    writes: u64,
    limiter: LoadLimiter,
}

/// Order on its way.
struct Flight {
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
    flights: Vec<Flight>,
    ledger: Ledger,
    revision: u64,
    /// Writes whose answers were lost and that may land yet.
    late: Vec<(u64, Ledger)>,
    homes: Homes,
    specs: Vec<Spec>,
    demand: BTreeMap<Name, Demand>,
    lost: Option<String>,
    /// When each order was decided, by its fence.
    decided: BTreeMap<Fence, u64>,
    /// When a replica of each model was last taken by a restart.
    taken: BTreeMap<Name, u64>,
    /// When the unload that last took effect on each model was decided.
    unloaded: BTreeMap<Name, u64>,
    pub orders_sent: u64,
    pub loads_landed: u64,
    /// What happened, for reading a violation.
    pub trace: Vec<String>,
}

impl World {
    pub fn new(seed: u64, guards: Guards) -> World {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let fencing = rng.random_range(0..3);
        let engines = (0..ENGINES).map(|i| {
            let mut engine = Engine {
                name: format!("e{i}").into(),
                // All fence, none fences, or every other one does.
                fencing: fencing == 0 || (fencing == 2 && i % 2 == 0),
                incarnation: 1,
                fence: Fence::default(),
                resident: Vec::new(),
                reports: Vec::new(),
            };
            engine.changed();
            engine
        });
        let planners = (0..PLANNERS).map(|_| Planner {
            ledger: Ledger::default(),
            revision: None,
            changed: false,
            lines: vec![None; ENGINES],
            outbox: Vec::new(),
            writes: 0,
            limiter: LoadLimiter::new(1e6, 1_000, 1),
        });
        let mut world = World {
            engines: engines.collect(),
            planners: planners.collect(),
            guards,
            now: 1,
            flights: Vec::new(),
            ledger: Ledger::default(),
            revision: 0,
            late: Vec::new(),
            homes: Homes::default(),
            specs: Vec::new(),
            demand: BTreeMap::new(),
            lost: None,
            decided: BTreeMap::new(),
            taken: BTreeMap::new(),
            unloaded: BTreeMap::new(),
            orders_sent: 0,
            loads_landed: 0,
            trace: Vec::new(),
            rng,
        };
        world.specs = (0..MODELS).map(|i| world.spec(i)).collect();
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

    /// One step of one of the actors, chosen at random.
    pub fn step(&mut self) {
        self.now += 100_000;
        let ready = self.ready();
        let restarted = match self.pick(20) {
            0..=5 => self.tick(),
            6..=8 => self.send(),
            9..=11 => self.deliver(),
            12..=14 => self.progress(),
            15 => self.take_over(),
            16 => self.land_late(),
            17 => self.roll(),
            18 => self.lose_or_double(),
            _ => self.restart(),
        };
        if !restarted {
            let after = self.ready();
            let mut gone = ready.into_iter().filter(|m| !after.contains(m));
            let gone = gone.find(|m| !self.is_excused(m));
            self.lost = gone.map(|m| format!("{m} lost its last ready replica without a restart"));
        }
    }

    /// Whether another replica was taken by a restart while the unload was on its way.
    fn is_excused(&self, model: &Name) -> bool {
        let decided = self.unloaded.get(model);
        let taken = self.taken.get(model);
        taken.is_some_and(|taken| decided.is_some_and(|decided| taken >= decided))
    }

    /// Models that are ready somewhere, in truth.
    fn ready(&self) -> BTreeSet<Name> {
        let resident = self.engines.iter().flat_map(|e| &e.resident);
        let ready = resident.filter(|r| r.state == State::Ready);
        ready.map(|r| r.weights.model.clone()).collect()
    }

    /// What is broken now, if anything is.
    pub fn broken(&self) -> Option<String> {
        for engine in &self.engines {
            let taken: Bytes = engine.resident.iter().map(|r| r.bytes).sum();
            if taken > Bytes::from_gb(MEMORY) {
                return Some(format!("{} holds {taken} of {MEMORY} GB", engine.name));
            }
        }
        self.lost.clone()
    }

    /// A planner finds the lease free, or believes so, and takes the ledger over.
    fn take_over(&mut self) -> bool {
        let p = self.pick(PLANNERS);
        let mut ledger = self.ledger.clone();
        let revision = self.revision;
        ledger.take_over();
        self.planners[p].ledger = ledger;
        self.planners[p].revision = Some(revision);
        self.planners[p].changed = true;
        self.write(p);
        false
    }

    /// Writes a planner's ledger; tells whether it is known to have taken effect.
    fn write(&mut self, p: usize) -> bool {
        self.planners[p].writes += 1;
        let writer: Name = format!("p{p}:{}", self.planners[p].writes).into();
        self.planners[p].ledger.writer = writer;
        let Some(expected) = self.planners[p].revision else {
            return false;
        };
        let ledger = self.planners[p].ledger.clone();
        let dice = self.pick(10);
        if dice == 0 {
            // Its answer is lost, and it lands later or never.
            self.late.push((expected, ledger));
            self.planners[p].revision = None;
            return !self.guards.settle;
        }
        if self.guards.swap && expected != self.revision {
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

    fn land_late(&mut self) -> bool {
        if self.late.is_empty() {
            return false;
        }
        let i = self.pick(self.late.len());
        let (expected, ledger) = self.late.swap_remove(i);
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

    /// A planner that believes in its lease plans once.
    fn tick(&mut self) -> bool {
        let p = self.pick(PLANNERS);
        if self.planners[p].revision.is_none() {
            return self.take_over();
        }
        self.read_reports(p);
        let fleet = self.fleet(p);
        let hall: Name = "hall".into();
        let halls = [Hall {
            name: hall.clone(),
            memory: Bytes::from_gb(MEMORY * ENGINES as u64),
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
        if !self.guards.reserve {
            planner.ledger.open.clear();
        }
        if !self.guards.seen {
            planner.ledger.seen.clear();
        }
        let planned = plan(&input, &mut planner.ledger, &mut planner.limiter);
        for (_, order) in &planned.orders {
            self.decided.insert(order.fence, self.now);
        }
        planner.changed |= planner.ledger.open != before;
        if planner.changed && !self.write(p) {
            return false;
        }
        for model in &planned.joins {
            self.homes.join(model, &hall);
        }
        self.queue(
            p,
            planned.orders.into_iter().chain(planned.resends).collect(),
        );
        false
    }

    /// Puts orders into a planner's outbox.
    fn queue(&mut self, p: usize, orders: Vec<(Name, Order)>) {
        for (name, order) in orders {
            let at = self.engines.iter().position(|e| e.name == name);
            let at = at.expect("orders go to known engines");
            if let Some(line) = &self.planners[p].lines[at] {
                let incarnation = line.incarnation;
                self.planners[p].outbox.push((at, incarnation, order));
            }
        }
    }

    /// A planner reads reports: lagged, never older than those it read over the same line.
    fn read_reports(&mut self, p: usize) {
        for e in 0..ENGINES {
            let alive = self.engines[e].incarnation;
            let kept = self.planners[p].lines[e].clone();
            let oldest = match kept {
                Some(line) if line.incarnation == alive => line.report.number,
                _ => 0,
            };
            let shown: Vec<&Report> = self.engines[e]
                .reports
                .iter()
                .filter(|r| r.incarnation == alive && r.number >= oldest)
                .collect();
            let from = shown.len().saturating_sub(4);
            let i = self.rng.random_range(from..shown.len());
            let report = shown[i].clone();
            self.planners[p].lines[e] = Some(Line {
                incarnation: alive,
                report,
            });
        }
    }

    fn fleet(&self, p: usize) -> Fleet {
        let lines = self.planners[p].lines.iter().zip(&self.engines);
        let upstreams = lines.filter_map(|(line, engine)| {
            line.as_ref().map(|line| Upstream {
                name: engine.name.clone(),
                report: line.report.clone(),
                leaving: false,
                fencing: engine.fencing,
                unreachable: false,
            })
        });
        Fleet {
            upstreams: upstreams.collect(),
        }
    }

    /// A planner, perhaps long paused, sends the next of its orders.
    fn send(&mut self) -> bool {
        let p = self.pick(PLANNERS);
        if self.planners[p].outbox.is_empty() {
            return false;
        }
        let (engine, incarnation, order) = self.planners[p].outbox.remove(0);
        self.orders_sent += 1;
        self.flights.push(Flight {
            engine,
            incarnation,
            order,
            planner: p,
        });
        let last = self.flights.len() - 1;
        match self.pick(3) {
            // Answered at once.
            0 => self.arrive(last, true),
            // Its answer will never come; the order itself may.
            1 => self.unanswered(last),
            // Still waited for.
            _ => {}
        }
        false
    }

    fn unanswered(&mut self, i: usize) {
        let flight = &self.flights[i];
        let (p, fence, e) = (flight.planner, flight.order.fence, flight.engine);
        let name = self.engines[e].name.clone();
        let fleet = self.fleet(p);
        let planner = &mut self.planners[p];
        if !self.guards.doubt {
            planner.ledger.open.retain(|o| o.order.fence != fence);
            planner.changed = true;
            return;
        }
        if let Some(upstream) = fleet.find(&name) {
            planner.changed |= planner.ledger.record_no_answer(upstream, fence);
        }
    }

    /// An order arrives; tells its planner what came of it when `answered`.
    fn arrive(&mut self, i: usize, answered: bool) {
        let flight = self.flights.swap_remove(i);
        let engine = &mut self.engines[flight.engine];
        if self.guards.bound && flight.incarnation != engine.incarnation {
            return;
        }
        let obeyed = engine.obey(&flight.order, self.guards);
        self.trace.push(format!(
            "{} obeys {:?}: {obeyed:?}, answered {answered}",
            engine.name, flight.order
        ));
        if let (Action::Unload { weights }, OrderStatus::Accepted) = (&flight.order.action, obeyed)
        {
            let decided = self.decided.get(&flight.order.fence).copied();
            self.unloaded
                .insert(weights.model.clone(), decided.unwrap_or(0));
        }
        let name = engine.name.clone();
        if answered {
            let planner = &mut self.planners[flight.planner];
            let fence = flight.order.fence;
            planner.changed |= planner.ledger.record_answer(&name, fence, obeyed);
        }
    }

    /// Some order on its way arrives, in any order.
    fn deliver(&mut self) -> bool {
        if !self.flights.is_empty() {
            let i = self.pick(self.flights.len());
            self.arrive(i, false);
        }
        false
    }

    fn lose_or_double(&mut self) -> bool {
        if self.flights.is_empty() {
            return false;
        }
        let i = self.pick(self.flights.len());
        let flight = &self.flights[i];
        let fencing = self.engines[flight.engine].fencing;
        // A copy can only be made where copies can be told apart.
        if fencing && self.pick(2) == 0 {
            let flight = &self.flights[i];
            let copy = Flight {
                engine: flight.engine,
                incarnation: flight.incarnation,
                order: flight.order.clone(),
                planner: flight.planner,
            };
            self.flights.push(copy);
        } else {
            self.flights.swap_remove(i);
        }
        false
    }

    /// An engine gets on with its loads and unloads.
    fn progress(&mut self) -> bool {
        let e = self.pick(ENGINES);
        let engine = &mut self.engines[e];
        let mut landed = 0;
        for resident in &mut engine.resident {
            if resident.state == State::Loading {
                resident.state = State::Ready;
                landed += 1;
            }
        }
        engine.resident.retain(|r| r.state != State::Unloading);
        engine.changed();
        self.trace
            .push(format!("{} holds {:?}", engine.name, engine.resident));
        self.loads_landed += landed;
        false
    }

    fn restart(&mut self) -> bool {
        if self.pick(4) != 0 {
            return false;
        }
        let e = self.pick(ENGINES);
        let engine = &mut self.engines[e];
        for resident in &engine.resident {
            self.taken.insert(resident.weights.model.clone(), self.now);
        }
        self.trace.push(format!("{} restarts", engine.name));
        engine.incarnation += 1;
        engine.fence = Fence::default();
        engine.resident.clear();
        engine.changed();
        true
    }

    /// A bundle is rolled: a model gets another version or size, or demand moves.
    fn roll(&mut self) -> bool {
        let i = self.pick(MODELS);
        if self.pick(2) == 0 {
            let mut spec = self.spec(i);
            // Another size is another version's: weights of one name have one size.
            spec.version = format!("{}", self.now).into();
            self.specs[i] = spec;
        }
        let model = self.specs[i].model.clone();
        let rate = f64::from(self.rng.random_range(0..40));
        self.demand.insert(model, Demand { rate, work: 0.05 });
        false
    }
}
