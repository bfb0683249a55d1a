//! The leader's view of each replica, and the orders that are queued or in progress there.
//!
//! Each order carries the number of orders that the replica had accepted when the order was
//! planned. A replica that has accepted another one since rejects it, so a delayed order never
//! applies to a state that it was not planned for. A restarted replica counts from zero again:
//! loads that may still be executed there keep their memory reserved.
//!
//! `unanswered` keeps orders without an answer, `adapters` tracks adapters, `capacity` computes
//! free memory and adapter slots, and `bucket` limits the rate of loads.

mod adapters;
mod bucket;
mod capacity;
mod unanswered;

pub use bucket::Bucket;

use platform::replica::{Entry, Incarnation, Operation, Report, Resident};
use std::collections::{HashMap, VecDeque};
use unanswered::Unanswered;
use unit::{Name, Span, Time};

/// Time within which an unanswered load may still start: replicas execute orders up to 12 s late.
const MAX_ORDER_DELAY: Span = Span::from_secs(13);

/// Time after the expected completion of an order at which the replica is asked for a report.
const OVERDUE_AFTER: Span = Span::from_ms(3_000);

/// Order that is planned and not sent yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    pub operation: Operation,
    pub model: Name,
    /// Adapter of the model; without one the order is about the model itself.
    pub adapter: Option<Name>,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// Expected duration.
    pub duration: Span,
}

impl Job {
    /// Whether another order is about the same model and adapter.
    fn is_same(&self, other: &Job) -> bool {
        self.model == other.model && self.adapter == other.adapter
    }
}

/// Accepted order about a model that has not completed.
#[derive(Debug, Clone)]
pub struct Pending {
    pub job: Job,
    /// Expected completion.
    pub due: Time,
}

/// Time after an order during which a store entry may predate the order's effect.
const ENTRY_LAG: Span = Span::from_ms(3_000);

/// Time during which a report may predate the event that it is requested for.
const REPORT_LAG: Span = Span::from_ms(250);

/// Interval between reports of a busy replica; each costs as much as a probe.
const BUSY_REPORT_INTERVAL: Span = Span::from_ms(600);

/// Time without contact after which a replica counts as lost. Its entry lapses only after three
/// heartbeats, about 4 s, which is most of the time that loading a copy elsewhere takes.
const LOST_AFTER: Span = Span::from_ms(400);

/// Model that a replica unloads once hosts have had notice of it.
#[derive(Debug, Clone)]
struct Removal {
    model: Name,
    due: Time,
}

/// What the leader knows of one replica.
#[derive(Debug, Clone)]
pub struct Record {
    /// Incarnation that the record is about.
    incarnation: Incarnation,
    /// Unanswered loads of this incarnation.
    unanswered: Unanswered,
    /// Unanswered loads sent to earlier incarnations. This one may still execute them: it has the
    /// same identity, and its order count may happen to match.
    unanswered_before: Unanswered,
    /// Number of orders that the replica has accepted.
    pub orders_accepted: u64,
    /// Models that it holds, with their adapters.
    pub resident: Vec<Resident>,
    pub pending: Option<Pending>,
    /// Orders to send, in order.
    pub queue: VecDeque<Job>,
    /// Whether a call to the replica is in progress.
    pub in_call: bool,
    /// Earliest time for a report, if one is required before the next order.
    pub report_due: Option<Time>,
    /// Models to unload, in order.
    removals: VecDeque<Removal>,
    /// Model that memory is being freed for, until it is loaded or given up, and its expected
    /// arrival.
    reserved_for: Option<(Name, Time)>,
    /// Since when several hosts cannot reach the replica.
    unreachable_since: Option<Time>,
    /// Last model that was loaded, and when the leader learned of it.
    pub last_loaded: Option<(Name, Time)>,
    /// Minimum time that this model stays: as long as its load took.
    min_stay: Span,
    /// Last model that was unloaded, and when that was ordered.
    pub last_unloaded: Option<(Name, Time)>,
    last_used: HashMap<(Name, Name), Time>,
    last_ordered: Time,
    /// When its adapters last changed.
    pub adapters_changed: Time,
}

impl Default for Record {
    fn default() -> Record {
        Record {
            incarnation: None,
            unanswered: Unanswered::default(),
            unanswered_before: Unanswered::default(),
            orders_accepted: 0,
            resident: Vec::new(),
            pending: None,
            queue: VecDeque::new(),
            in_call: false,
            report_due: Some(Time(0)),
            removals: VecDeque::new(),
            reserved_for: None,
            unreachable_since: None,
            last_loaded: None,
            min_stay: Span::ZERO,
            last_unloaded: None,
            last_used: HashMap::new(),
            last_ordered: Time(0),
            adapters_changed: Time(0),
        }
    }
}

impl Record {
    pub fn is_incarnation(&self, incarnation: Incarnation) -> bool {
        self.incarnation == incarnation
    }

    /// Starts over for a new incarnation. Unanswered loads of the earlier one keep their memory
    /// reserved for as long as they may still be executed.
    fn reset(&mut self, incarnation: Incarnation) {
        let before = std::mem::take(self);
        let mut unanswered_before = before.unanswered_before;
        unanswered_before.append(before.unanswered);
        *self = Record {
            incarnation,
            unanswered_before,
            in_call: before.in_call,
            unreachable_since: before.unreachable_since,
            ..Record::default()
        };
    }

    /// Records a load without an answer, sent with the number of orders that it expects to have been accepted: the incarnation that it was sent to, or a later one, may
    /// still execute it.
    pub fn note_unanswered(&mut self, job: &Job, expected: u64, given_to: Incarnation, now: Time) {
        if job.operation == Operation::Unload {
            return;
        }
        match self.is_incarnation(given_to) {
            true => self.unanswered.push(job.clone(), expected, now),
            false => self.unanswered_before.push(job.clone(), expected, now),
        }
    }

    /// Whether it can take an order about a model now.
    pub fn is_idle(&self) -> bool {
        self.pending.is_none()
            && self.queue.is_empty()
            && !self.in_call
            && self.report_due.is_none()
    }

    /// Records whether several hosts cannot reach it now.
    pub fn note_unreachable(&mut self, unreachable: bool, now: Time) {
        self.unreachable_since = unreachable.then(|| self.unreachable_since.unwrap_or(now));
    }

    /// Whether it has been unreachable for so long that its models are to be loaded elsewhere.
    pub fn is_lost(&self, now: Time) -> bool {
        self.unreachable_since
            .is_some_and(|at| now.since(at) >= LOST_AFTER)
    }

    /// Schedules models to be unloaded, each from its time on, to free memory for `replacement`,
    /// which is expected by `arrival`.
    pub fn schedule_unloads(
        &mut self,
        models: impl IntoIterator<Item = (Name, Time)>,
        replacement: Name,
        arrival: Time,
    ) {
        let models = models.into_iter();
        self.removals = models.map(|(model, due)| Removal { model, due }).collect();
        self.reserved_for = Some((replacement, arrival));
    }

    /// Model that is being loaded or waits for memory, and its expected arrival.
    pub fn incoming(&self) -> Option<(&Name, Time)> {
        let pending = self.pending.as_ref();
        let pending = pending.filter(|p| p.job.operation == Operation::Load);
        let reserved = self.reserved_for.as_ref().map(|(model, at)| (model, *at));
        pending.map(|p| (&p.job.model, p.due)).or(reserved)
    }

    /// Removes the next model to unload from the schedule, if it is due and no order is in
    /// progress.
    pub fn take_due_unload(&mut self, now: Time) -> Option<Name> {
        let is_due = self.removals.front().is_some_and(|r| now >= r.due);
        if !is_due || !self.is_idle() {
            return None;
        }
        self.removals.pop_front().map(|r| r.model)
    }

    /// Whether a model is scheduled to be unloaded.
    pub fn will_unload(&self, model: &Name) -> bool {
        self.removals.iter().any(|r| r.model == *model)
    }

    /// Whether nothing is in progress, queued or scheduled, so that new orders may be planned.
    pub fn accepts_orders(&self) -> bool {
        self.is_idle() && self.removals.is_empty()
    }

    /// Whether nothing is in progress, queued or scheduled, a call that just gave its report aside.
    pub fn is_unoccupied(&self) -> bool {
        self.pending.is_none()
            && self.queue.is_empty()
            && self.report_due.is_none()
            && self.removals.is_empty()
    }

    /// Clears the reservation once its model is being loaded or no longer wanted.
    pub fn clear_reservation(&mut self) {
        self.reserved_for = None;
    }

    /// Model that was loaded so recently that unloading it would waste the load.
    pub fn recently_loaded(&self, now: Time) -> Option<&Name> {
        let (model, at) = self.last_loaded.as_ref()?;
        (now.since(*at) < self.min_stay).then_some(model)
    }

    /// Models that are being unloaded or are scheduled to be.
    pub fn unloading(&self) -> Vec<&Name> {
        let orders = self.pending.iter().map(|p| &p.job).chain(&self.queue);
        let unloads = |job: &&Job| job.operation == Operation::Unload && job.adapter.is_none();
        let unloads = orders.filter(unloads).map(|job| &job.model);
        let scheduled = self.removals.iter().map(|r| &r.model);
        scheduled.chain(unloads).collect()
    }

    /// Whether any model is being unloaded or scheduled to be.
    pub fn is_unloading(&self) -> bool {
        !self.unloading().is_empty()
    }

    /// Model that memory is being freed for, or was.
    pub fn reserved_for(&self) -> Option<&Name> {
        self.reserved_for.as_ref().map(|(model, _)| model)
    }

    /// Whether a report is required and may be requested now.
    pub fn is_report_due(&self, now: Time) -> bool {
        self.report_due.is_some_and(|at| now >= at)
    }

    /// Requires a report before the next order, and drops the queue.
    pub fn require_report(&mut self, now: Time) {
        self.report_due = Some(now + REPORT_LAG);
        self.queue.clear();
    }

    /// Records that an order is being sent.
    pub fn note_ordered(&mut self, now: Time) {
        self.last_ordered = now;
    }

    /// Compares the record with the replica's store entry, which may be older.
    ///
    /// An entry can complete a load or require a report. Only a report shows that memory is free
    /// again.
    pub fn sync(&mut self, entry: &Entry, now: Time) {
        if !self.is_incarnation(entry.incarnation) {
            self.reset(entry.incarnation);
        }
        self.unanswered.expire(now);
        self.unanswered_before.expire(now);
        if let Some(pending) = &self.pending {
            let holds = entry.resident.iter().any(|h| h.model == pending.job.model);
            let loads = pending.job.operation == Operation::Load;
            let overdue = now > pending.due + OVERDUE_AFTER;
            if loads && holds {
                let job = pending.job.clone();
                self.pending = None;
                self.last_loaded = Some((job.model.clone(), now));
                self.min_stay = job.duration;
                self.apply(&job, now);
            } else if (overdue || !loads && !holds) && self.report_due.is_none() {
                self.require_report(now);
            }
            return;
        }
        let settled = now.since(self.last_ordered) > ENTRY_LAG && !self.in_call;
        if settled && self.report_due.is_none() && self.differs(entry) {
            self.require_report(now);
        }
    }

    /// Whether an entry lists other models than the record.
    fn differs(&self, entry: &Entry) -> bool {
        let holds = |model: &Name| self.resident.iter().any(|h| h.model == *model);
        self.resident.len() != entry.resident.len()
            || !entry.resident.iter().all(|h| holds(&h.model))
    }

    /// Applies a report, which counts as the newest state unless it is from an incarnation whose
    /// entry has not arrived yet.
    pub fn apply_report(&mut self, report: &Report, now: Time) {
        if report.incarnation.is_some() && !self.is_incarnation(report.incarnation) {
            self.require_report(now);
            return;
        }
        self.last_ordered = now;
        self.orders_accepted = report.orders_accepted;
        let adapters = self.adapters();
        self.resident.clone_from(&report.resident);
        for (model, adapter) in &report.loading_adapters {
            if let Some(resident) = self.resident.iter_mut().find(|h| h.model == *model)
                && !resident.adapters.contains(adapter)
            {
                resident.adapters.push(adapter.clone());
            }
        }
        if self.adapters() != adapters {
            self.adapters_changed = now;
        }
        self.report_due = report.busy.then(|| now + BUSY_REPORT_INTERVAL);
        if !report.busy {
            self.pending = None;
        }
    }

    /// Applies an order's effect to the models and adapters held.
    pub fn apply(&mut self, job: &Job, now: Time) {
        let at = self.resident.iter().position(|h| h.model == job.model);
        match (job.operation, &job.adapter, at) {
            (Operation::Load, None, None) => self.resident.push(Resident {
                model: job.model.clone(),
                version: 0,
                adapters: Vec::new(),
            }),
            (Operation::Unload, None, Some(at)) => {
                self.resident.remove(at);
            }
            (Operation::Load, Some(adapter), Some(at)) => {
                let adapters = &mut self.resident[at].adapters;
                if !adapters.contains(adapter) {
                    adapters.push(adapter.clone());
                }
                self.adapters_changed = now;
                self.touch_adapter(&job.model, adapter, now);
            }
            (Operation::Unload, Some(adapter), Some(at)) => {
                self.resident[at].adapters.retain(|a| a != adapter);
                self.adapters_changed = now;
            }
            _ => {}
        }
    }
}
