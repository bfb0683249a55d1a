//! What is known of one upstream.

use backing::hosts::{Host, Kind};
use route::breaker::Breaker;
use route::choose::{self, Candidate};
use route::concurrency::Limit;
use route::service_time::ServiceTime;
use std::collections::HashMap;
use unit::{Name, Span, Time};
use upstream::engine::{Load, Report, State};

/// Requests in flight that a new limit allows, per batch slot of the engine.
const START_PER_BATCH: u32 = 2;

/// Most requests in flight, per batch slot.
const MOST_PER_BATCH: u32 = 4;

/// Batch assumed before the first report, and for plain services.
const UNKNOWN_BATCH: u32 = 32;

/// Prefixes remembered per upstream from cache events; hints, so few will do.
const MOST_PREFIXES: usize = 512;

/// What must answer a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Target {
    /// A model, with an adapter or without.
    Model {
        /// The model.
        model: Name,
        /// The adapter.
        adapter: Option<Name>,
    },
    /// A plain service.
    Service(Name),
}

impl std::fmt::Display for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Target::Model {
                adapter: Some(adapter),
                ..
            } => f.write_str(adapter),
            Target::Model { model, .. } => f.write_str(model),
            Target::Service(service) => f.write_str(service),
        }
    }
}

/// Request of this daemon in flight.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flight {
    pub(super) id: u64,
    pub(super) sent: Time,
}

/// Upstream, as this daemon sees it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Its host.
    pub host: Host,
    /// Its newest report.
    pub report: Option<Report>,
    /// When that report came.
    pub reported_at: Time,
    /// Its newest load, from a report or an answer.
    pub load: Load,
    /// When that load came.
    pub loaded_at: Time,
    /// Whether it fails.
    pub health: Breaker,
    /// Requests of this daemon that may be in flight there.
    pub limit: Limit,
    /// Time that one request takes there.
    pub service: ServiceTime,
    /// Whether it refused a request since it is leaving, in this incarnation.
    pub refused_leaving: bool,
    /// What it serves now, as last put into the index.
    pub(super) serves: Vec<Target>,
    pub(super) flights: Vec<Flight>,
    pub(super) prefixes: HashMap<u64, u64>,
}

impl Entry {
    pub(super) fn new(host: Host) -> Entry {
        Entry {
            host,
            report: None,
            reported_at: Time(0),
            load: Load::default(),
            loaded_at: Time(0),
            health: Breaker::default(),
            limit: Limit::new(
                UNKNOWN_BATCH * START_PER_BATCH,
                UNKNOWN_BATCH * MOST_PER_BATCH,
            ),
            service: ServiceTime::default(),
            refused_leaving: false,
            serves: Vec::new(),
            flights: Vec::new(),
            prefixes: HashMap::new(),
        }
    }

    /// Whether it gets no new work: by the host list, its report, or its refusal.
    pub fn is_leaving(&self) -> bool {
        self.host.leaving || self.refused_leaving || self.report.as_ref().is_some_and(|r| r.leaving)
    }

    /// Requests of this daemon in flight there.
    pub fn in_flight(&self) -> u32 {
        self.flights.len() as u32
    }

    /// Takes in a report, unless it is older than the newest of the same incarnation.
    pub(super) fn take(&mut self, now: Time, report: Report) {
        if let Some(known) = &self.report {
            let same = known.incarnation == report.incarnation;
            if same && report.number < known.number {
                return;
            }
            if !same {
                self.refused_leaving = false;
                self.prefixes.clear();
            }
            if !same || known.batch != report.batch {
                self.limit = limit(report.batch);
            }
        } else {
            self.limit = limit(report.batch);
        }
        self.load = report.load;
        self.loaded_at = now;
        self.reported_at = now;
        self.report = Some(report);
    }

    /// What it can answer now.
    pub(super) fn answers(&self) -> Vec<Target> {
        if let Kind::Service { service } = &self.host.kind {
            return vec![Target::Service(service.clone())];
        }
        let Some(report) = &self.report else {
            return Vec::new();
        };
        let ready = |r: &&upstream::engine::Resident| r.state == State::Ready;
        let mut answers: Vec<Target> = report
            .resident
            .iter()
            .filter(ready)
            .map(|r| Target::Model {
                model: r.weights.model.clone(),
                adapter: r.weights.adapter.clone(),
            })
            .collect();
        answers.sort();
        answers.dedup();
        answers
    }

    /// This upstream as a candidate for a request.
    pub(super) fn candidate(
        &self,
        now: Time,
        distance: Span,
        prefix: Option<u64>,
    ) -> Candidate<'_> {
        let age = choose::report_age(now, self.loaded_at, Span::ZERO);
        let before = self.flights.partition_point(|f| f.sent <= self.loaded_at);
        Candidate {
            upstream: &self.host.name,
            distance,
            reported: self.load.running + self.load.waiting,
            age,
            sent_since: (self.flights.len() - before) as u32,
            batch: self.report.as_ref().map_or(UNKNOWN_BATCH, |r| r.batch),
            service_time: self.service.estimate(),
            in_flight: self.in_flight(),
            limit: self.limit.allowed(),
            breaker: self.health.state(now),
            cached: prefix.is_some_and(|p| self.prefixes.contains_key(&p)),
        }
    }

    /// Takes in a cache event; a gap in the numbers forgets everything.
    pub(super) fn cached(&mut self, number: u64, prefix: u64, held: bool) {
        if !held {
            self.prefixes.remove(&prefix);
            return;
        }
        if self.prefixes.len() >= MOST_PREFIXES
            && let Some(oldest) = self
                .prefixes
                .iter()
                .min_by_key(|(_, n)| **n)
                .map(|(p, _)| *p)
        {
            self.prefixes.remove(&oldest);
        }
        self.prefixes.insert(prefix, number);
    }
}

fn limit(batch: u32) -> Limit {
    Limit::new(batch * START_PER_BATCH, batch * MOST_PER_BATCH)
}
