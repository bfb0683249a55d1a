//! Routers: one of coveford's entries each, with its own late view of the engines.

use super::engine::{BATCH, Engine, Job};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use route::breaker::State;
use route::choose::{Candidate, Request, Selection, choose};
use route::concurrency::Limit;
use route::service_time::ServiceTime;
use unit::{Name, Span, Time};

/// How requests are routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Routing {
    /// Coveford's choice.
    Coveford,
    /// In turn over the replicas.
    RoundRobin,
    /// The replica with the fewest requests of this router's own.
    LeastOutstanding,
    /// The replica with the fewest requests in truth, seen without delay.
    Oracle,
}

/// Distance to another hall.
const FAR: Span = Span::from_ms(1);

/// Prefill time that a router assumes for a prompt that is not cached.
const PREFILL: Span = Span::from_ms(300);

/// What a router knows of an engine.
struct View {
    reported: u32,
    at: Time,
    sent: Vec<Time>,
    limit: Limit,
    service: ServiceTime,
}

/// Router.
pub struct Router {
    hall: usize,
    routing: Routing,
    views: Vec<View>,
    turn: usize,
    /// Requests that wait for a place.
    pub queue: Vec<Job>,
    rng: ChaCha8Rng,
}

impl Router {
    pub fn new(hall: usize, routing: Routing, engines: usize, rng: ChaCha8Rng) -> Router {
        let views = (0..engines).map(|_| View {
            reported: 0,
            at: Time(0),
            sent: Vec::new(),
            limit: Limit::new(BATCH as u32 * 2, BATCH as u32 * 4),
            service: ServiceTime::default(),
        });
        Router {
            hall,
            routing,
            views: views.collect(),
            turn: 0,
            queue: Vec::new(),
            rng,
        }
    }

    /// Takes in a report that was made at `made`.
    pub fn report(&mut self, engine: usize, reported: u32, made: Time) {
        let view = &mut self.views[engine];
        view.reported = reported;
        view.at = made;
    }

    /// Smoothed time of a request at an engine; zero when not known.
    pub fn service(&self, engine: usize) -> Span {
        self.views[engine].service.estimate()
    }

    /// Chooses an engine for a request; none when it must wait.
    pub fn place(
        &mut self,
        now: Time,
        job: &Job,
        engines: &[Engine],
        names: &[Name],
    ) -> Option<usize> {
        let ready: Vec<usize> = (0..engines.len())
            .filter(|e| engines[*e].ready(job.model))
            .collect();
        if ready.is_empty() {
            return None;
        }
        let chosen = match self.routing {
            Routing::Coveford => self.choose(now, job, &ready, engines, names)?,
            Routing::RoundRobin => {
                self.turn += 1;
                ready[self.turn % ready.len()]
            }
            Routing::LeastOutstanding => {
                let from = self.rng.random_range(0..ready.len());
                let rotated = ready.iter().cycle().skip(from).take(ready.len());
                *rotated.min_by_key(|e| self.views[**e].sent.len())?
            }
            Routing::Oracle => *ready.iter().min_by_key(|e| engines[**e].occupancy())?,
        };
        self.views[chosen].sent.push(now);
        Some(chosen)
    }

    fn choose(
        &mut self,
        now: Time,
        job: &Job,
        ready: &[usize],
        engines: &[Engine],
        names: &[Name],
    ) -> Option<usize> {
        let candidate = |e: &usize| {
            let view = &self.views[*e];
            let before = view.sent.partition_point(|sent| *sent <= view.at);
            Candidate {
                upstream: &names[*e],
                distance: match engines[*e].hall == self.hall {
                    true => Span::ZERO,
                    false => FAR,
                },
                reported: view.reported,
                age: now.since(view.at),
                sent_since: (view.sent.len() - before) as u32,
                batch: BATCH as u32,
                service_time: view.service.estimate(),
                in_flight: view.sent.len() as u32,
                limit: view.limit.allowed(),
                breaker: State::Closed,
                cached: false,
            }
        };
        let candidates: Vec<Candidate> = ready.iter().map(candidate).collect();
        let ask = Request {
            prefix: Some(job.prefix),
            prefill: PREFILL,
            avoid: None,
        };
        match choose(&ask, &candidates, &mut self.rng) {
            Selection::Take(i) => Some(ready[i]),
            Selection::Full | Selection::NoCandidate => None,
        }
    }

    /// Learns from a request that ended, or was lost.
    pub fn ended(&mut self, engine: usize, job: &Job, now: Time, target: Span) {
        let view = &mut self.views[engine];
        if let Some(at) = view.sent.iter().position(|sent| *sent == job.sent) {
            view.sent.remove(at);
        }
        let in_flight = view.sent.len() as u32 + 1;
        if let Some(first) = job.first_at {
            view.limit
                .observe(now, in_flight, first.since(job.sent), target);
            let took = now.since(job.sent);
            view.service.record(first.since(job.sent), took);
        }
    }
}
