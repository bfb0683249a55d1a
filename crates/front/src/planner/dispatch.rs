//! Sending queued orders to replicas, and applying the answers.

use super::{Fleet, Planner};
use crate::feedback;
use crate::fleet::{Job, Pending, Record};
use crate::log::Topic;
use crate::table::Permit;
use platform::config::Engine;
use platform::replica::{self, Entry, Operation, Order, OrderStatus};
use platform::response::Feedback;
use std::sync::Arc;
use std::time::Duration;
use tracing::{info, warn};
use unit::{Name, Time};

/// Timeout for orders and reports.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout for orders where copies are to come before demand: an answer takes some milliseconds, and what isn't
/// answered is looked at before the next order.
const EARLY_ORDER_TIMEOUT: Duration = Duration::from_millis(350);

/// Typical time until an ordered adapter is loaded.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(25);

type Answer = Result<OrderStatus, platform::Error>;

/// Next action for a replica.
enum Next {
    /// Send this order, planned for that number of accepted orders.
    Send(Job, u64),
    /// Drop an order that there is no capacity for.
    Skip,
    Wait,
}

impl Planner {
    /// Sends a replica its queued orders, one after the other.
    pub(super) fn dispatch(self: &Arc<Self>, id: Name) {
        {
            let mut fleet = self.fleet.lock();
            let Some(record) = fleet.records.get_mut(&id) else {
                return;
            };
            if record.in_call {
                return;
            }
            record.in_call = true;
        }
        let planner = self.clone();
        tokio::spawn(async move {
            while planner.dispatch_next(&id).await {}
            if let Some(record) = planner.fleet.lock().records.get_mut(&id) {
                record.in_call = false;
            }
        });
    }

    /// Sends a replica its next order, and returns whether to continue.
    async fn dispatch_next(self: &Arc<Self>, id: &Name) -> bool {
        let Some(entry) = self.entry(id) else {
            return false;
        };
        let now = self.state.now();
        let (is_required, is_due) = self.report_state(id, now);
        if is_required && !(is_due && self.fetch_report(&entry).await) {
            return false;
        }
        let Some(permit) = self.permit(id) else {
            return false;
        };
        let routes = self.state.table.lock().routes.clone();
        let service = routes.as_ref().and_then(|r| r.service(&entry.service));
        let Some(engine) = service.and_then(|s| s.engine.as_ref()) else {
            return false;
        };
        if is_required {
            self.load_reserved(&entry, engine, now);
        }
        let next = self.fleet.lock().next_order(id, engine, now);
        match next {
            Next::Send(job, expected) if self.term.is_valid() => {
                self.send_order(&entry, job, expected, permit).await
            }
            Next::Send(..) | Next::Wait => false,
            Next::Skip => true,
        }
    }

    /// Entry of a replica that is not leaving.
    fn entry(&self, id: &str) -> Option<Entry> {
        let table = self.state.table.lock();
        let replica = table.view.get(id)?;
        (!replica.entry.leaving).then(|| replica.entry.clone())
    }

    /// Permit to call a replica, unless it accepts no calls now.
    fn permit(&self, id: &str) -> Option<Permit> {
        let now = self.state.now();
        self.state.table.lock().permit(id, now).ok()
    }

    /// Whether a replica must report before its next order, and whether a report may be requested
    /// now.
    fn report_state(&self, id: &str, now: Time) -> (bool, bool) {
        let fleet = self.fleet.lock();
        let record = fleet.records.get(id);
        let is_required = record.is_none_or(|r| r.report_due.is_some());
        (is_required, record.is_some_and(|r| r.is_report_due(now)))
    }

    /// Asks a replica for a report, and returns whether orders may follow.
    async fn fetch_report(&self, entry: &Entry) -> bool {
        let Some(_permit) = self.permit(&entry.id) else {
            return false;
        };
        let reply = replica::report(entry.addr, &entry.id, CALL_TIMEOUT).await;
        self.take_feedback(entry, "report", reply.feedback.as_ref());
        match reply.result {
            Ok(report) => {
                let is_same_incarnation = report
                    .incarnation
                    .is_none_or(|_| report.incarnation == entry.incarnation);
                if report.leaving && is_same_incarnation {
                    feedback::record_departure(&self.state, &source(entry, "report"));
                    return false;
                }
                let mut fleet = self.fleet.lock();
                let Some(record) = fleet.records.get_mut(&entry.id) else {
                    return false;
                };
                record.apply_report(&report, self.state.now());
                self.state.log.rate_limited_by(Topic::Planner, || {
                    info!(target: "planner", event = "looked", replica = &*entry.id, orders = report.orders_accepted, busy = report.busy, "replica report applied")
                });
                !report.busy
            }
            Err(why) => {
                self.postpone_report(entry);
                self.state.log.rate_limited(|| {
                    warn!(target: "planner", event = "no_report", replica = &*entry.id, why = %why, "no report from the replica")
                });
                false
            }
        }
    }

    /// Applies what an answer's head says about its replica.
    fn take_feedback(&self, entry: &Entry, call: &str, feedback: Option<&Feedback>) {
        if let Some(feedback) = feedback {
            feedback::apply(&self.state, &source(entry, call), feedback, true);
        }
    }

    /// Sends one order and applies the answer. Returns whether to continue.
    async fn send_order(
        self: &Arc<Self>,
        entry: &Entry,
        job: Job,
        expected: u64,
        _: Permit,
    ) -> bool {
        let order = Order {
            operation: job.operation,
            model: job.model.clone(),
            adapter: job.adapter.clone(),
            expected_orders: expected,
            holder: self.state.settings.name.clone(),
            fence: self.term.token,
        };
        let timeout = match self.has_early_copies(&entry.service) {
            true => EARLY_ORDER_TIMEOUT,
            false => CALL_TIMEOUT,
        };
        let reply = replica::order(entry.addr, &entry.id, &order, timeout).await;
        self.take_feedback(entry, "order", reply.feedback.as_ref());
        let answer = reply.result;
        let now = self.state.now();
        self.log_order(entry, &order, &answer);
        self.apply_answer(entry, job, expected, answer, now)
    }

    fn log_order(&self, entry: &Entry, order: &Order, answer: &Answer) {
        let outcome = match answer {
            Ok(ordered) => format!("{ordered:?}"),
            Err(why) => why.to_string(),
        };
        let operation = match order.operation {
            Operation::Load => "load",
            Operation::Unload => "unload",
        };
        let labels = [("operation", operation), ("outcome", outcome_label(answer))];
        let metrics = &self.state.log.metrics;
        metrics
            .counter("coveford_orders_total", &labels)
            .increment(1);
        info!(target: "planner", event = "ordered", replica = &*entry.id, operation, model = &*order.model, adapter = order.adapter.as_deref(), expected = order.expected_orders, term = self.term.token, outcome, "order sent")
    }

    /// Applies the answer to an order, and returns whether to continue.
    fn apply_answer(
        self: &Arc<Self>,
        entry: &Entry,
        job: Job,
        expected: u64,
        answer: Answer,
        now: Time,
    ) -> bool {
        let mut fleet = self.fleet.lock();
        let Some(record) = fleet.records.get_mut(&entry.id) else {
            return false;
        };
        if !record.is_incarnation(entry.incarnation) {
            // The order went to an earlier incarnation; all that matters is that it may still be
            // executed.
            if let Err(why) = answer {
                fleet.note_unanswered(entry, &job, expected, &why, now);
            }
            return false;
        }
        match answer {
            Ok(OrderStatus::Accepted) if job.adapter.is_none() => {
                record.orders_accepted = expected + 1;
                set_pending(record, job, now);
                return true;
            }
            Ok(OrderStatus::Accepted) if job.operation == Operation::Unload => {
                // The adapter is unloaded when its last request has ended, and holds its slot until
                // then.
                record.orders_accepted = expected + 1;
                record.require_report(now);
            }
            Ok(status @ (OrderStatus::Accepted | OrderStatus::InForce))
                if job.adapter.is_some() =>
            {
                // A load that is in force already is not counted; an unload at once is.
                let is_counted =
                    status == OrderStatus::Accepted || job.operation == Operation::Unload;
                record.orders_accepted = expected + u64::from(is_counted);
                record.apply(&job, now);
                if let (Operation::Load, Some(adapter)) = (job.operation, job.adapter) {
                    self.announce_placed(job.model, adapter, entry.id.clone(), ADAPTER_LOAD_TIME);
                }
                return true;
            }
            Ok(OrderStatus::InForce) => {
                record.apply(&job, now);
                record.require_report(now);
            }
            Ok(OrderStatus::Fenced) => {
                warn!(target: "planner", event = "fenced", term = self.term.token, "a later leader sends orders; this term ends");
                self.term.end();
            }
            Ok(_) => record.require_report(now),
            Err(why) => {
                record.require_report(now);
                fleet.note_unanswered(entry, &job, expected, &why, now);
            }
        }
        false
    }
}

impl Fleet {
    /// Takes the next order out of a replica's queue.
    fn next_order(&mut self, id: &str, engine: &Engine, now: Time) -> Next {
        let Some(record) = self.records.get_mut(id) else {
            return Next::Wait;
        };
        let is_pending = record.pending.is_some();
        let is_sendable = |job: &Job| !is_pending || job.adapter.is_some();
        if !record.queue.front().is_some_and(is_sendable) {
            return Next::Wait;
        }
        let job = record.queue.pop_front();
        let job = job.filter(|job| record.fits(job, engine) && !record.is_redundant(job));
        record.note_ordered(now);
        job.map_or(Next::Skip, |job| Next::Send(job, record.orders_accepted))
    }

    /// Reserves capacity for an order that may have been executed without an answer: at the
    /// replica, also across a restart, and at the weight store for a load from there.
    fn note_unanswered(
        &mut self,
        entry: &Entry,
        job: &Job,
        expected: u64,
        why: &platform::Error,
        now: Time,
    ) {
        if !matches!(why, platform::Error::Indeterminate { .. }) {
            return;
        }
        if let Some(record) = self.records.get_mut(&entry.id) {
            record.note_unanswered(job, expected, entry.incarnation, now);
        }
        if job.from_store {
            for bucket in self.buckets.values_mut() {
                bucket.note_unanswered(now);
            }
        }
    }
}

/// Source of an answer to a call.
fn source(entry: &Entry, call: &str) -> feedback::Source {
    feedback::Source {
        replica: entry.id.clone(),
        incarnation: entry.incarnation,
        subject: call.into(),
        without_adapter: true,
    }
}

/// Records that an order about a model was accepted.
fn set_pending(record: &mut Record, job: Job, now: Time) {
    if job.operation == Operation::Unload {
        record.last_unloaded = Some((job.model.clone(), now));
    }
    record.pending = Some(Pending {
        due: now + job.duration,
        job,
    });
}

/// Value of the metric label `outcome`.
fn outcome_label(answer: &Answer) -> &'static str {
    match answer {
        Ok(OrderStatus::Accepted | OrderStatus::InForce) => "taken",
        Ok(OrderStatus::Conflict) => "conflict",
        Ok(OrderStatus::Fenced) => "fenced",
        Ok(_) => "refused",
        Err(platform::Error::Indeterminate { .. }) => "unanswered",
        Err(_) => "not_sent",
    }
}
