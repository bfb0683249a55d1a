//! Model of an engine.

use std::collections::VecDeque;
use unit::engine::{
    Action, Fence, Load, Order, OrderStatus, Report, Resident, Role, State, Weights,
};
use unit::{Bytes, Name, Span, Time};

/// Requests that an engine runs at once.
pub const BATCH: usize = 16;

/// Time of a token for a lone request, and what each other one in the batch adds.
const TOKEN: Span = Span::from_ms(15);
const TOKEN_PER_OTHER: Span = Span(600);

/// Time of a prompt that is not cached, and of one that is.
const PREFILL: Span = Span::from_ms(300);
const PREFILL_CACHED: Span = Span::from_ms(30);

/// Prefixes that the cache holds.
const CACHED: usize = 24;

/// Request on its way through the model.
#[derive(Debug, Clone)]
pub struct Job {
    pub model: usize,
    pub prefix: u64,
    pub priority: u8,
    pub arrived: Time,
    pub router: usize,
    pub sent: Time,
    pub tokens: f64,
    pub first_at: Option<Time>,
    /// Prefill that is left.
    pub prefill: Span,
    /// Tokens that are left.
    pub left: f64,
}

/// Engine.
pub struct Engine {
    pub name: Name,
    pub hall: usize,
    pub alive: bool,
    pub memory: Bytes,
    incarnation: u64,
    number: u64,
    fence: Fence,
    held: Vec<Held>,
    pub running: Vec<Job>,
    pub waiting: VecDeque<Job>,
    cache: VecDeque<u64>,
    /// Loads that were started.
    pub loads: u64,
    /// Unloads that were started.
    pub unloads: u64,
}

struct Held {
    weights: Weights,
    model: usize,
    bytes: Bytes,
    state: State,
    /// Work of the load that is left, at full speed.
    left: Span,
    used: Time,
}

impl Engine {
    pub fn new(name: Name, hall: usize, memory: Bytes) -> Engine {
        Engine {
            name,
            hall,
            alive: true,
            memory,
            incarnation: 1,
            number: 0,
            fence: Fence::default(),
            held: Vec::new(),
            running: Vec::new(),
            waiting: VecDeque::new(),
            cache: VecDeque::new(),
            loads: 0,
            unloads: 0,
        }
    }

    /// Whether it holds a model ready.
    pub fn ready(&self, model: usize) -> bool {
        self.alive
            && self
                .held
                .iter()
                .any(|h| h.model == model && h.state == State::Ready)
    }

    /// Whether it holds a model, ready or not.
    pub fn has(&self, model: usize) -> bool {
        self.held.iter().any(|h| h.model == model)
    }

    /// Memory that is free.
    pub fn free(&self) -> Bytes {
        let taken: Bytes = self.held.iter().map(|h| h.bytes).sum();
        self.memory.saturating_sub(taken)
    }

    /// Requests running or waiting.
    pub fn occupancy(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Holds a model ready from the start.
    pub fn preload(&mut self, model: usize, weights: Weights, bytes: Bytes) {
        self.held.push(Held {
            weights,
            model,
            bytes,
            state: State::Ready,
            left: Span::ZERO,
            used: Time(0),
        });
        self.number += 1;
    }

    /// Starts a load.
    pub fn load(&mut self, model: usize, weights: Weights, bytes: Bytes, work: Span, now: Time) {
        self.loads += 1;
        self.number += 1;
        self.held.push(Held {
            weights,
            model,
            bytes,
            state: State::Loading,
            left: work,
            used: now,
        });
    }

    /// Unloads a model once its requests have ended.
    pub fn unload(&mut self, model: usize) {
        self.unloads += 1;
        self.number += 1;
        for held in self.held.iter_mut().filter(|h| h.model == model) {
            held.state = State::Unloading;
        }
    }

    /// The ready model that was used least lately and is idle, for least-recently-used eviction.
    pub fn least_recently_used(&self) -> Option<usize> {
        let idle = |h: &&Held| {
            h.state == State::Ready
                && !self
                    .running
                    .iter()
                    .chain(&self.waiting)
                    .any(|j| j.model == h.model)
        };
        self.held
            .iter()
            .filter(idle)
            .min_by_key(|h| h.used)
            .map(|h| h.model)
    }

    /// Takes an order of a planner.
    pub fn obey(&mut self, order: &Order, model: usize, work: Span, now: Time) -> OrderStatus {
        if order.incarnation != self.incarnation || !self.alive {
            return OrderStatus::WrongIncarnation;
        }
        if order.fence <= self.fence {
            return OrderStatus::Stale;
        }
        self.fence = order.fence;
        match &order.action {
            Action::Load { weights, .. } if self.held.iter().any(|h| h.weights == *weights) => {}
            Action::Load { weights, bytes } => {
                assert!(
                    *bytes <= self.free(),
                    "an engine was ordered beyond its memory"
                );
                self.load(model, weights.clone(), *bytes, work, now);
            }
            Action::Unload { .. } => self.unload(model),
            Action::SetRole { .. } => {}
        }
        OrderStatus::Accepted
    }

    /// Takes a request in.
    pub fn take(&mut self, job: Job, now: Time) {
        for held in self.held.iter_mut().filter(|h| h.model == job.model) {
            held.used = now;
        }
        let at = self.waiting.iter().position(|j| j.priority < job.priority);
        self.waiting.insert(at.unwrap_or(self.waiting.len()), job);
    }

    /// Loses everything, as a killed process; gives the requests it had.
    pub fn die(&mut self) -> Vec<Job> {
        self.alive = false;
        self.incarnation += 1;
        self.fence = Fence::default();
        self.held.clear();
        self.cache.clear();
        self.running
            .drain(..)
            .chain(self.waiting.drain(..))
            .collect()
    }

    /// Loads under way.
    pub fn loading(&self) -> usize {
        self.held
            .iter()
            .filter(|h| h.state == State::Loading)
            .count()
    }

    /// Goes on for `step`; loads run at `speed`. Gives the requests that ended.
    pub fn step(&mut self, now: Time, step: Span, speed: f64) -> Vec<Job> {
        self.progress_loads(step * speed);
        while self.running.len() < BATCH {
            let Some(mut job) = self.waiting.pop_front() else {
                break;
            };
            job.prefill = match self.cache_hit(job.prefix) {
                true => PREFILL_CACHED,
                false => PREFILL,
            };
            self.running.push(job);
        }
        let others = self.running.len().saturating_sub(1) as f64;
        let token = TOKEN + TOKEN_PER_OTHER * others;
        let mut ended = Vec::new();
        for mut job in std::mem::take(&mut self.running) {
            if job.prefill > Span::ZERO {
                job.prefill = job.prefill.saturating_sub(step);
            } else {
                job.first_at.get_or_insert(now);
                job.left -= step.secs() / token.secs();
            }
            match job.left <= 0.0 {
                true => ended.push(job),
                false => self.running.push(job),
            }
        }
        self.drop_unloaded();
        ended
    }

    fn progress_loads(&mut self, step: Span) {
        for held in self.held.iter_mut().filter(|h| h.state == State::Loading) {
            held.left = held.left.saturating_sub(step);
            if held.left == Span::ZERO {
                held.state = State::Ready;
                self.number += 1;
            }
        }
    }

    fn drop_unloaded(&mut self) {
        let busy: Vec<usize> = self
            .running
            .iter()
            .chain(&self.waiting)
            .map(|j| j.model)
            .collect();
        let before = self.held.len();
        self.held
            .retain(|h| h.state != State::Unloading || busy.contains(&h.model));
        if self.held.len() < before {
            self.number += 1;
        }
    }

    fn cache_hit(&mut self, prefix: u64) -> bool {
        if let Some(at) = self.cache.iter().position(|p| *p == prefix) {
            self.cache.remove(at);
            self.cache.push_back(prefix);
            return true;
        }
        if self.cache.len() >= CACHED {
            self.cache.pop_front();
        }
        self.cache.push_back(prefix);
        false
    }

    /// Report as it is now.
    pub fn report(&self) -> Report {
        let resident = self.held.iter().map(|h| Resident {
            weights: h.weights.clone(),
            bytes: h.bytes,
            state: h.state,
        });
        Report {
            incarnation: self.incarnation,
            number: self.number,
            fence: self.fence,
            memory: self.memory,
            resident: resident.collect(),
            load: Load {
                running: self.running.len() as u32,
                waiting: self.waiting.len() as u32,
            },
            batch: BATCH as u32,
            role: Role::Both,
            leaving: false,
        }
    }
}
