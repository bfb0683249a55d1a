//! State of one upstream, as this daemon sees it.

use backing::hosts::{Host, Kind};
use route::breaker::Breaker;
use route::choose::{self, Candidate};
use route::concurrency::Limit;
use route::service_time::ServiceTime;
use std::collections::HashMap;
use unit::{Name, Span, Time};
use upstream::engine::{Load, Report, State};

/// Initial limit of requests in flight, per batch slot of the engine.
const INITIAL_PER_BATCH: u32 = 2;

/// Maximum limit of requests in flight, per batch slot of the engine.
const MAX_PER_BATCH: u32 = 4;

/// Batch size of engines before the first report, and of plain services.
const DEFAULT_BATCH: u32 = 32;

/// Cached prefixes remembered per upstream; the oldest is evicted.
const MAX_PREFIXES: usize = 512;

/// What a request is addressed to.
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

/// Attempt of this daemon that is in flight.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) id: u64,
    pub(super) sent_at: Time,
}

/// Upstream, as this daemon sees it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Its host.
    pub host: Host,
    /// Its newest report.
    pub report: Option<Report>,
    /// When the newest report was received; zero to have it polled first.
    pub reported_at: Time,
    /// Its newest load, from a report or an answer.
    pub load: Load,
    /// When the newest load was received.
    pub load_at: Time,
    /// Circuit breaker over this daemon's requests to it.
    pub breaker: Breaker,
    /// Limit of this daemon's requests in flight there.
    pub limit: Limit,
    /// Estimated time of one request there.
    pub service_time: ServiceTime,
    /// Whether its current incarnation refused a request because it is leaving.
    pub refused_leaving: bool,
    /// Targets under which it is indexed.
    pub(super) targets: Vec<Target>,
    pub(super) attempts: Vec<Attempt>,
    /// Cached prefixes, with the number of the event that added each.
    pub(super) prefixes: HashMap<u64, u64>,
}

impl Entry {
    pub(super) fn new(host: Host) -> Entry {
        Entry {
            host,
            report: None,
            reported_at: Time(0),
            load: Load::default(),
            load_at: Time(0),
            breaker: Breaker::default(),
            limit: Limit::new(
                DEFAULT_BATCH * INITIAL_PER_BATCH,
                DEFAULT_BATCH * MAX_PER_BATCH,
            ),
            service_time: ServiceTime::default(),
            refused_leaving: false,
            targets: Vec::new(),
            attempts: Vec::new(),
            prefixes: HashMap::new(),
        }
    }

    /// Whether it is leaving by the host list, its report or its refusal, and so gets no new work.
    pub fn is_leaving(&self) -> bool {
        self.host.leaving || self.refused_leaving || self.report.as_ref().is_some_and(|r| r.leaving)
    }

    /// Requests of this daemon in flight there.
    pub fn in_flight(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Records a report, unless it is older than the newest of the same incarnation.
    pub(super) fn record_report(&mut self, now: Time, report: Report) {
        if let Some(known) = &self.report {
            let same_incarnation = known.incarnation == report.incarnation;
            if same_incarnation && report.number < known.number {
                return;
            }
            if !same_incarnation {
                self.refused_leaving = false;
                self.prefixes.clear();
            }
            if !same_incarnation || known.batch != report.batch {
                self.limit = concurrency_limit(report.batch);
            }
        } else {
            self.limit = concurrency_limit(report.batch);
        }
        self.load = report.load;
        self.load_at = now;
        self.reported_at = now;
        self.report = Some(report);
    }

    /// Targets that it can answer now.
    pub(super) fn ready_targets(&self) -> Vec<Target> {
        if let Kind::Service { service } = &self.host.kind {
            return vec![Target::Service(service.clone())];
        }
        let Some(report) = &self.report else {
            return Vec::new();
        };
        let is_ready = |r: &&upstream::engine::Resident| r.state == State::Ready;
        let mut targets: Vec<Target> = report
            .resident
            .iter()
            .filter(is_ready)
            .map(|r| Target::Model {
                model: r.weights.model.clone(),
                adapter: r.weights.adapter.clone(),
            })
            .collect();
        targets.sort();
        targets.dedup();
        targets
    }

    /// This upstream as a candidate for a request with the given prefix.
    pub(super) fn candidate(
        &self,
        now: Time,
        distance: Span,
        prefix: Option<u64>,
    ) -> Candidate<'_> {
        let age = choose::report_age(now, self.load_at, Span::ZERO);
        let sent_before = self.attempts.partition_point(|a| a.sent_at <= self.load_at);
        Candidate {
            upstream: &self.host.name,
            distance,
            reported: self.load.running + self.load.waiting,
            age,
            sent_since: (self.attempts.len() - sent_before) as u32,
            batch: self.report.as_ref().map_or(DEFAULT_BATCH, |r| r.batch),
            service_time: self.service_time.estimate(),
            in_flight: self.in_flight(),
            limit: self.limit.allowed(),
            breaker: self.breaker.state(now),
            cached: prefix.is_some_and(|p| self.prefixes.contains_key(&p)),
        }
    }

    /// Records that a prefix was cached or dropped, by the event of the given number.
    pub(super) fn record_cache_event(&mut self, number: u64, prefix: u64, held: bool) {
        if !held {
            self.prefixes.remove(&prefix);
            return;
        }
        if self.prefixes.len() >= MAX_PREFIXES
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

fn concurrency_limit(batch: u32) -> Limit {
    Limit::new(batch * INITIAL_PER_BATCH, batch * MAX_PER_BATCH)
}
