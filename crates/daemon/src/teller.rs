//! What this daemon decided, for `coveford why`: a bounded ring of records.

use parking_lot::Mutex;
use route::choose::{Evaluation, Exclusion};
use route::retry::Outcome;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use unit::{Name, Span};

/// Requests whose reasons are kept.
const KEPT: usize = 4_096;

/// Decisions kept for one request.
const KEPT_DECISIONS: usize = 8;

/// Decision on one attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// Time since the request arrived.
    pub after: Span,
    /// Number of the attempt.
    pub attempt: u32,
    /// Upstream that was chosen.
    pub upstream: Name,
    /// All candidates as they were weighed.
    pub weighed: Vec<Evaluation>,
    /// How the attempt ended, as a sentence; empty while it runs.
    pub ended: String,
}

/// Record of one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The request.
    pub request: Name,
    /// Who sent it.
    pub caller: Name,
    /// Its class.
    pub class: Name,
    /// Model, adapter or service it asked for.
    pub target: Name,
    /// Whether it may be repeated.
    pub repeatable: bool,
    /// Sequence of the bundle it was served under.
    pub bundle: u64,
    /// Time in the queue.
    pub waited: Span,
    /// Decisions in order.
    pub decisions: Vec<Decision>,
    /// Outcome; none while it runs.
    pub outcome: Option<Outcome>,
    /// Why it ended so, as a sentence.
    pub reason: String,
}

impl Record {
    /// The record in sentences.
    pub fn explain(&self) -> Vec<String> {
        let repeat = match self.repeatable {
            true => "may be repeated",
            false => "may run at most once",
        };
        let mut lines = vec![format!(
            "Request {} of caller {} asked for {} in class {} under bundle {}; it {repeat}.",
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
        for weighed in &self.weighed {
            lines.push(format!("  {}", explain(weighed)));
        }
        if !self.ended.is_empty() {
            lines.push(format!("  It ended: {}", self.ended));
        }
        lines
    }
}

fn explain(weighed: &Evaluation) -> String {
    let why = match weighed.exclusion {
        None => "chosen as the cheapest of those sampled",
        Some(Exclusion::Costlier) => "passed over: no cheaper",
        Some(Exclusion::NotSampled) => "passed over: not among those sampled",
        Some(Exclusion::Ejected) => "passed over: it failed too often lately",
        Some(Exclusion::Full) => "passed over: this daemon has as many requests there as it may",
        Some(Exclusion::Failed) => "passed over: it failed this request before",
    };
    format!(
        "{}: wait {}, prefill {}, distance {}; {why}.",
        weighed.upstream, weighed.wait, weighed.prefill, weighed.distance
    )
}

/// Ring of records.
#[derive(Default)]
pub struct Teller {
    ring: Mutex<Ring>,
}

#[derive(Default)]
struct Ring {
    order: VecDeque<Name>,
    records: HashMap<Name, Record>,
}

impl Teller {
    /// Starts the record of a request; the oldest goes when the ring is full.
    pub fn begin(&self, record: Record) {
        let mut ring = self.ring.lock();
        if ring.order.len() >= KEPT
            && let Some(oldest) = ring.order.pop_front()
        {
            ring.records.remove(&oldest);
        }
        ring.order.push_back(record.request.clone());
        ring.records.insert(record.request.clone(), record);
    }

    /// Changes a record, if it is still kept.
    pub fn change(&self, request: &Name, change: impl FnOnce(&mut Record)) {
        if let Some(record) = self.ring.lock().records.get_mut(request) {
            change(record);
        }
    }

    /// Adds a decision to a record.
    pub fn decided(&self, request: &Name, decision: Decision) {
        self.change(request, |record| {
            if record.decisions.len() < KEPT_DECISIONS {
                record.decisions.push(decision);
            }
        });
    }

    /// Notes how the last attempt ended.
    pub fn attempt_ended(&self, request: &Name, ended: &str) {
        self.change(request, |record| {
            if let Some(last) = record.decisions.last_mut() {
                last.ended = ended.to_owned();
            }
        });
    }

    /// Notes the outcome.
    pub fn ended(&self, request: &Name, outcome: Outcome, reason: &str) {
        self.change(request, |record| {
            record.outcome = Some(outcome);
            record.reason = reason.to_owned();
        });
    }

    /// Record of a request, if it is still kept.
    pub fn find(&self, request: &str) -> Option<Record> {
        self.ring.lock().records.get(request).cloned()
    }

    /// The newest records, newest first.
    pub fn newest(&self, most: usize) -> Vec<Record> {
        let ring = self.ring.lock();
        let newest = ring.order.iter().rev().take(most);
        newest
            .filter_map(|id| ring.records.get(id).cloned())
            .collect()
    }
}
