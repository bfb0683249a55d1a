//! The steps of a run.

use super::engine::{BATCH, Engine, Job};
use super::planner::{self, Placement, Planners};
use super::router::{Router, Routing};
use super::workload::{Demand, Figures, Size, Workload};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;
use unit::{Name, Span, Time};

/// Step of virtual time.
const STEP: Span = Span::from_ms(20);

/// Length of a run; the first part is not counted.
const RUN: Time = Time(3_600_000_000);
const WARM_UP: Time = Time(300_000_000);

/// When something fails, and when it is over.
const FAILS: Time = Time(1_200_000_000);
const MENDED: Time = Time(1_800_000_000);

/// Time between reports, and their lag.
const REPORT_EVERY: Span = Span::from_ms(500);
const LAG: Span = Span::from_ms(500);
const LATE: Span = Span::from_secs(5);

/// Time between two ticks of the planners, and over which arrivals are counted.
const TICK: Span = Span::from_secs(1);
const COUNTED_OVER: f64 = 10.0;

/// Tokens of an answer, between these.
const TOKENS: (f64, f64) = (20.0, 100.0);

/// Prefixes of a model.
const PREFIXES: u64 = 12;

/// Target between tokens.
const BETWEEN: Span = Span::from_ms(33);

/// Time between two tries of the requests that wait at a router.
const RETRY_EVERY: Span = Span::from_ms(100);

/// Time after which nobody needs an answer any more.
const DEADLINE: Span = Span::from_secs(20);

/// Routing and placement of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// How requests are routed.
    pub routing: Routing,
    /// How models are placed.
    pub placement: Placement,
}

/// What came of a run.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Requests counted.
    pub requests: u64,
    /// Those that met their targets.
    pub attained: u64,
    /// The same for each third of the models: defect reports, lookups, summaries.
    pub by_class: [(u64, u64); 3],
    /// Loads and unloads an hour.
    pub moves: f64,
    /// Accelerators.
    pub engines: usize,
    /// Steps at which a model had no ready replica, in model-seconds.
    pub unreachable: f64,
}

impl Outcome {
    /// Share of requests that met their targets.
    pub fn attainment(&self) -> f64 {
        self.attained as f64 / self.requests.max(1) as f64
    }
}

struct World {
    figures: Figures,
    policy: Policy,
    workload: Workload,
    demand: Demand,
    engines: Vec<Engine>,
    names: Vec<Name>,
    routers: Vec<Router>,
    planners: Planners,
    wants: Vec<place::plan::Spec>,
    arriving: Vec<f64>,
    history: VecDeque<(Time, Vec<u32>)>,
    rng: ChaCha8Rng,
    outcome: Outcome,
    moves_before: u64,
}

/// Runs one hour of virtual time.
pub fn run(size: Size, workload: Workload, policy: Policy, seed: u64) -> Outcome {
    let mut world = World::new(size, workload, policy, seed);
    let mut now = Time(0);
    while now < RUN {
        now = now + STEP;
        world.step(now);
    }
    let moves = world.moves() - world.moves_before;
    world.outcome.moves = moves as f64 / RUN.since(WARM_UP).secs() * 3_600.0;
    world.outcome
}

impl World {
    fn new(size: Size, workload: Workload, policy: Policy, seed: u64) -> World {
        let figures = size.figures();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let demand = Demand::new(&figures, workload, RUN, &mut rng);
        let wants = planner::wants(&figures);
        let mut engines: Vec<Engine> = (0..figures.engines)
            .map(|i| Engine::new(format!("e{i:02}").into(), i % figures.halls, figures.memory))
            .collect();
        match policy.placement {
            Placement::Oracle => planner::fill_all(&mut engines, &wants),
            // All begin warm, as the mean demand asks for.
            _ => planner::fill(&mut engines, &wants, &|m| demand.mean(m)),
        }
        let routers = (0..figures.routers).map(|r| {
            let rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + r as u64);
            Router::new(r % figures.halls, policy.routing, figures.engines, rng)
        });
        World {
            names: engines.iter().map(|e| e.name.clone()).collect(),
            routers: routers.collect(),
            planners: Planners::new(&figures),
            arriving: vec![0.0; figures.models],
            history: VecDeque::new(),
            outcome: Outcome {
                engines: figures.engines,
                ..Outcome::default()
            },
            moves_before: 0,
            wants,
            engines,
            demand,
            figures,
            policy,
            workload,
            rng,
        }
    }

    fn moves(&self) -> u64 {
        self.engines.iter().map(|e| e.loads + e.unloads).sum()
    }

    fn step(&mut self, now: Time) {
        if now == WARM_UP {
            self.moves_before = self.moves();
        }
        self.fail(now);
        self.arrive(now);
        self.report(now);
        if now.0.is_multiple_of(TICK.0) {
            self.plan(now);
        }
        self.place(now);
        self.work(now);
    }

    /// Applies what fails.
    fn fail(&mut self, now: Time) {
        let hit: Vec<usize> = match self.workload {
            Workload::ReplicaLost => vec![0],
            Workload::HallLost => (0..self.engines.len())
                .filter(|e| self.engines[*e].hall == 0)
                .collect(),
            _ => return,
        };
        for e in hit {
            if now == FAILS {
                for job in self.engines[e].die() {
                    self.routers[job.router].ended(e, &job, now, self.figures.first_token);
                    self.again(job);
                }
            }
            if now == MENDED {
                self.engines[e].alive = true;
                if let Placement::Static | Placement::Oracle = self.policy.placement {
                    self.refill(e);
                }
            }
        }
    }

    /// A static placement is put back by hand when an engine returns.
    fn refill(&mut self, e: usize) {
        let oracle = self.policy.placement == Placement::Oracle;
        for (m, want) in self.wants.iter().enumerate() {
            let bytes = if oracle { unit::Bytes(0) } else { want.memory };
            if self.engines[e].free() >= bytes {
                self.engines[e].preload(m, want.weights(), bytes);
            }
        }
    }

    /// Gives a lost request back to its router, as a repeatable one is.
    fn again(&mut self, job: Job) {
        let job = Job {
            first_at: None,
            left: job.tokens,
            ..job
        };
        self.routers[job.router].queue.push(job);
    }

    fn arrive(&mut self, now: Time) {
        for m in 0..self.figures.models {
            let rate = self.demand.rate(m, now);
            self.arriving[m] *= 1.0 - STEP.secs() / COUNTED_OVER;
            // At these rates and this step more than one arrival is rare enough to leave out.
            if !self.rng.random_bool((rate * STEP.secs()).min(1.0)) {
                continue;
            }
            self.arriving[m] += 1.0 / COUNTED_OVER;
            let tokens = self.rng.random_range(TOKENS.0..TOKENS.1);
            let router = self.rng.random_range(0..self.routers.len());
            let prefix = m as u64 * 1_000 + self.rng.random_range(0..PREFIXES);
            let job = Job {
                model: m,
                prefix: unit::rendezvous::hash(&prefix.to_be_bytes()),
                priority: self.wants[m].priority,
                arrived: now,
                router,
                sent: now,
                tokens,
                first_at: None,
                prefill: Span::ZERO,
                left: tokens,
            };
            self.routers[router].queue.push(job);
        }
    }

    /// Gives routers the reports that are due, as old as they come.
    fn report(&mut self, now: Time) {
        if !now.0.is_multiple_of(REPORT_EVERY.0) {
            return;
        }
        let lag = match self.workload {
            Workload::LateReports => LATE,
            _ => LAG,
        };
        let loads = self.engines.iter().map(Engine::occupancy).collect();
        self.history.push_back((now, loads));
        while self.history.len() > 1 && now.since(self.history[1].0) >= lag {
            self.history.pop_front();
        }
        let (made, loads) = &self.history[0];
        for router in &mut self.routers {
            for (e, load) in loads.iter().enumerate() {
                router.report(e, *load, *made);
            }
        }
    }

    fn plan(&mut self, now: Time) {
        let down = self.workload == Workload::ServiceDown && now >= FAILS && now < MENDED;
        match self.policy.placement {
            Placement::Coveford { attainment, moves } if !down => {
                let routers = &self.routers;
                let service = |e: usize| {
                    let known = routers
                        .iter()
                        .map(|r| r.service(e))
                        .filter(|s| *s > Span::ZERO);
                    let known: Vec<f64> = known.map(Span::secs).collect();
                    match known.is_empty() {
                        true => Span::ZERO,
                        false => {
                            Span((known.iter().sum::<f64>() / known.len() as f64 * 1e6) as u64)
                        }
                    }
                };
                let weights = (attainment, moves);
                self.planners
                    .tick(now, &mut self.engines, &self.arriving, &service, weights);
            }
            Placement::OnDemand => self.on_demand(now),
            _ => {}
        }
    }

    fn on_demand(&mut self, now: Time) {
        for m in 0..self.figures.models {
            let ready: Vec<usize> = (0..self.engines.len())
                .filter(|e| self.engines[*e].ready(m))
                .collect();
            let wanted = self.arriving[m] > 0.0;
            let full = ready
                .iter()
                .all(|e| self.engines[*e].occupancy() > BATCH as u32);
            let loading: usize = self.engines.iter().map(Engine::loading).sum();
            if wanted && full && loading < self.figures.loads.1 as usize {
                planner::on_demand(&mut self.engines, m, &self.wants[m], now);
            }
        }
    }

    fn place(&mut self, now: Time) {
        let retry = now.0.is_multiple_of(RETRY_EVERY.0);
        for r in 0..self.routers.len() {
            let queue = std::mem::take(&mut self.routers[r].queue);
            // Those that waited are tried again now and then, newcomers at once.
            let (mut queue, later): (Vec<Job>, Vec<Job>) = queue
                .into_iter()
                .partition(|job| retry || job.arrived == now);
            self.routers[r].queue = later;
            queue.sort_by_key(|j| (std::cmp::Reverse(j.priority), j.arrived));
            for mut job in queue {
                if now.since(job.arrived) > DEADLINE {
                    self.count(&job, now, false);
                    continue;
                }
                job.sent = now;
                match self.routers[r].place(now, &job, &self.engines, &self.names) {
                    Some(e) => self.engines[e].take(job, now),
                    None => self.routers[r].queue.push(job),
                }
            }
        }
    }

    fn work(&mut self, now: Time) {
        let loading: usize = self.engines.iter().map(Engine::loading).sum();
        let full_speed = f64::from(self.figures.loads.1);
        let mut speed = (full_speed / loading.max(1) as f64).min(1.0);
        if self.workload == Workload::StoreSlow {
            speed /= 5.0;
        }
        for e in 0..self.engines.len() {
            for job in self.engines[e].step(now, STEP, speed) {
                self.routers[job.router].ended(e, &job, now, self.figures.first_token);
                let first = job.first_at.unwrap_or(now);
                let in_time = first.since(job.arrived) <= self.figures.first_token;
                let between = now.since(first).secs() / job.tokens.max(1.0);
                self.count(&job, now, in_time && between <= BETWEEN.secs());
            }
        }
        let lost = (0..self.figures.models).filter(|m| !self.engines.iter().any(|e| e.ready(*m)));
        self.outcome.unreachable += lost.count() as f64 * STEP.secs();
    }

    fn count(&mut self, job: &Job, now: Time, met: bool) {
        if now < WARM_UP {
            return;
        }
        self.outcome.requests += 1;
        self.outcome.attained += u64::from(met);
        let class = &mut self.outcome.by_class[job.model % 3];
        class.0 += 1;
        class.1 += u64::from(met);
    }
}
