//! Log of recent requests and the decisions on them, for `coveford why`.

use parking_lot::Mutex;
use route::choose::{Evaluation, Exclusion};
use route::retry::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use unit::{Name, Span};

/// Number of requests kept.
const MAX_RECORDS: usize = 4_096;

/// Number of decisions kept per request.
const MAX_DECISIONS: usize = 8;

/// Choice of the upstream for one attempt, and how the attempt ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Time since the request arrived.
    pub after: Span,
    /// Number of the attempt.
    pub attempt: u32,
    /// Upstream that was chosen.
    pub upstream: Name,
    /// Evaluations of all candidates.
    pub weighed: Vec<Evaluation>,
    /// How the attempt ended, as text; empty while it runs.
    pub ended: String,
}

/// Record of one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Identity of the request.
    pub request: Name,
    /// Client account that sent it.
    pub caller: Name,
    /// Name of its class.
    pub class: Name,
    /// Model, adapter or service it asked for.
    pub target: Name,
    /// Whether it may be run more than once.
    pub repeatable: bool,
    /// Sequence of the bundle it was served under.
    pub bundle: u64,
    /// Total time in the queue.
    pub waited: Span,
    /// Decisions on its attempts, in order.
    pub decisions: Vec<Decision>,
    /// Outcome; `None` while it runs.
    pub outcome: Option<Outcome>,
    /// Reason for the outcome, as text.
    pub reason: String,
}

impl Record {
    /// Explanation of the record, one sentence per line.
    pub fn explain(&self) -> Vec<String> {
        let repeatability = match self.repeatable {
            true => "may be repeated",
            false => "may run at most once",
        };
        let mut lines = vec![format!(
            "Request {} of caller {} asked for {} in class {} under bundle {}; it {repeatability}.",
            self.request, self.caller, self.target, self.class, self.bundle
        )];
        if self.waited > Span::ZERO {
            lines.push(format!(
                "It waited {} for room at an upstream.",
                self.waited
            ));
        }
        for decision in &self.decisions {
            lines.extend(decision.explain());
        }
        lines.push(match self.outcome {
            None => "It is still running.".into(),
            Some(outcome) => format!("Its outcome is {}: {}", outcome.as_str(), self.reason),
        });
        lines
    }
}

impl Decision {
    fn explain(&self) -> Vec<String> {
        let mut lines = vec![format!(
            "After {}, attempt {} went to {} out of {} candidates.",
            self.after,
            self.attempt,
            self.upstream,
            self.weighed.len()
        )];
        for evaluation in &self.weighed {
            lines.push(format!("  {}", explain(evaluation)));
        }
        if !self.ended.is_empty() {
            lines.push(format!("  It ended: {}", self.ended));
        }
        lines
    }
}

fn explain(evaluation: &Evaluation) -> String {
    let reason = match evaluation.exclusion {
        None => "chosen as the cheapest of those sampled",
        Some(Exclusion::Costlier) => "passed over: no cheaper",
        Some(Exclusion::NotSampled) => "passed over: not among those sampled",
        Some(Exclusion::Ejected) => "passed over: it failed too often lately",
        Some(Exclusion::Full) => "passed over: this daemon has as many requests there as it may",
        Some(Exclusion::Failed) => "passed over: it failed this request before",
    };
    format!(
        "{}: wait {}, prefill {}, distance {}; {reason}.",
        evaluation.upstream, evaluation.wait, evaluation.prefill, evaluation.distance
    )
}

/// Bounded log of request records.
#[derive(Default)]
pub struct RequestLog {
    ring: Mutex<Ring>,
}

#[derive(Default)]
struct Ring {
    order: VecDeque<Name>,
    records: HashMap<Name, Record>,
}

impl RequestLog {
    /// Starts the record of a request; evicts the oldest when the log is full.
    pub fn begin(&self, record: Record) {
        let mut ring = self.ring.lock();
        if ring.order.len() >= MAX_RECORDS
            && let Some(oldest) = ring.order.pop_front()
        {
            ring.records.remove(&oldest);
        }
        ring.order.push_back(record.request.clone());
        ring.records.insert(record.request.clone(), record);
    }

    /// Updates a record, if it is still kept.
    pub fn update(&self, request: &Name, update: impl FnOnce(&mut Record)) {
        if let Some(record) = self.ring.lock().records.get_mut(request) {
            update(record);
        }
    }

    /// Adds a decision to a record, up to [`MAX_DECISIONS`].
    pub fn record_decision(&self, request: &Name, decision: Decision) {
        self.update(request, |record| {
            if record.decisions.len() < MAX_DECISIONS {
                record.decisions.push(decision);
            }
        });
    }

    /// Records how the last attempt ended.
    pub fn record_attempt_end(&self, request: &Name, ended: &str) {
        self.update(request, |record| {
            if let Some(last) = record.decisions.last_mut() {
                last.ended = ended.to_owned();
            }
        });
    }

    /// Records the outcome of a request and the reason for it.
    pub fn record_outcome(&self, request: &Name, outcome: Outcome, reason: &str) {
        self.update(request, |record| {
            record.outcome = Some(outcome);
            record.reason = reason.to_owned();
        });
    }

    /// Record of a request, if it is still kept.
    pub fn find(&self, request: &str) -> Option<Record> {
        self.ring.lock().records.get(request).cloned()
    }

    /// At most `max` records, newest first.
    pub fn newest(&self, max: usize) -> Vec<Record> {
        let ring = self.ring.lock();
        let newest = ring.order.iter().rev().take(max);
        newest
            .filter_map(|id| ring.records.get(id).cloned())
            .collect()
    }
}
