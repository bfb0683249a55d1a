//! Giving replicas the orders that wait for them, and noting what came of each.

use super::{Fleet, Planner};
use crate::feedback;
use crate::fleet::{Job, Pending, Record};
use crate::table::Permit;
use platform::answer::Said;
use platform::config::Engine;
use platform::replica::{self, Entry, Operation, Order, Ordered};
use std::sync::Arc;
use std::time::Duration;
use tracing::{info, warn};
use unit::{Name, Time};

/// Time for an order or a report to be answered.
const CALL_LIMIT: Duration = Duration::from_millis(700);

/// Time that an adapter takes to arrive; on the first two sites it is 6 to 19 ms.
const ADAPTER_ARRIVES: Duration = Duration::from_millis(25);

/// Answer to an order.
type Answer = Result<Ordered, platform::Error>;

/// What to do next for a replica.
enum Next {
    /// Give this order, worked out under that number of orders taken.
    Give(Job, u64),
    /// Leave out an order that there is no room for.
    Skip,
    /// Nothing for now.
    Stop,
}

impl Planner {
    /// Gives a replica the orders that wait for it, one after the other.
    pub(super) fn drive(self: &Arc<Self>, id: Name) {
        {
            let mut book = self.fleet.lock();
            let Some(known) = book.records.get_mut(&id) else {
                return;
            };
            if known.in_call {
                return;
            }
            known.in_call = true;
        }
        let planner = self.clone();
        tokio::spawn(async move {
            while planner.step(&id).await {}
            if let Some(known) = planner.fleet.lock().records.get_mut(&id) {
                known.in_call = false;
            }
        });
    }

    /// Gives the next order to a replica; tells whether to go on.
    async fn step(self: &Arc<Self>, id: &Name) -> bool {
        let Some(entry) = self.entry(id) else {
            return false;
        };
        let now = self.state.now();
        let (doubtful, looks) = self.doubt(id, now);
        if doubtful && !(looks && self.look(&entry).await) {
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
        let next = self.fleet.lock().next(id, engine, now);
        match next {
            Next::Give(job, expected) if self.term.is_valid() => {
                self.give(&entry, job, expected, permit).await
            }
            Next::Give(..) | Next::Stop => false,
            Next::Skip => true,
        }
    }

    /// Entry of a replica that does not leave.
    fn entry(&self, id: &str) -> Option<Entry> {
        let table = self.state.table.lock();
        let seen = table.view.get(id)?;
        (!seen.entry.leaving).then(|| seen.entry.clone())
    }

    /// Lets the replica be called, unless it takes no calls now.
    fn permit(&self, id: &str) -> Option<Permit> {
        let now = self.state.now();
        self.state.table.lock().permit(id, now).ok()
    }

    /// Whether a replica must be asked before the next order, and whether it may be asked now.
    fn doubt(&self, id: &str, now: Time) -> (bool, bool) {
        let book = self.fleet.lock();
        let known = book.records.get(id);
        let doubtful = known.is_none_or(|k| k.report_due.is_some());
        (doubtful, known.is_some_and(|k| k.is_report_due(now)))
    }

    /// Asks a replica what it holds; tells whether orders may go on.
    async fn look(&self, entry: &Entry) -> bool {
        let Some(_permit) = self.permit(&entry.id) else {
            return false;
        };
        let told = replica::report(&self.pool, entry.addr, &entry.id, CALL_LIMIT).await;
        self.hear(entry, "report", told.said.as_ref());
        match told.outcome {
            Ok(report) => {
                let is_of_entry = report
                    .incarnation
                    .is_none_or(|_| report.incarnation == entry.incarnation);
                if report.leaving && is_of_entry {
                    feedback::record_departure(&self.state, &from(entry, "report"));
                    return false;
                }
                let mut book = self.fleet.lock();
                let Some(known) = book.records.get_mut(&entry.id) else {
                    return false;
                };
                known.apply_report(&report, self.state.now());
                info!(target: "planner", event = "looked", replica = &*entry.id, orders = report.orders, busy = report.busy, "a replica was asked what it holds");
                !report.busy
            }
            Err(why) => {
                self.state.log.rate_limited(|| {
                    warn!(target: "planner", event = "no_report", replica = &*entry.id, why = %why, "a replica gave no report")
                });
                false
            }
        }
    }

    /// Takes in what an answer to a call says of its replica, if one came.
    fn hear(&self, entry: &Entry, call: &str, said: Option<&Said>) {
        if let Some(said) = said {
            feedback::apply(&self.state, &from(entry, call), said);
        }
    }

    /// Gives one order and notes what came of it; tells whether to go on.
    async fn give(self: &Arc<Self>, entry: &Entry, job: Job, expected: u64, _: Permit) -> bool {
        let order = Order {
            operation: job.operation,
            model: job.model.clone(),
            adapter: job.adapter.clone(),
            expected,
            holder: self.state.settings.name.clone(),
            fence: self.term.token,
        };
        let told = replica::order(&self.pool, entry.addr, &entry.id, &order, CALL_LIMIT).await;
        self.hear(entry, "order", told.said.as_ref());
        let answer = told.outcome;
        let now = self.state.now();
        self.tell_ordered(entry, &order, &answer);
        self.note(entry, job, expected, answer, now)
    }

    /// Tells of an order that was given.
    fn tell_ordered(&self, entry: &Entry, order: &Order, answer: &Answer) {
        let outcome = match answer {
            Ok(ordered) => format!("{ordered:?}"),
            Err(why) => why.to_string(),
        };
        let operation = match order.operation {
            Operation::Load => "load",
            Operation::Unload => "unload",
        };
        let labels = [("operation", operation), ("outcome", word(answer))];
        let metrics = &self.state.log.metrics;
        metrics
            .counter("coveford_orders_total", &labels)
            .increment(1);
        info!(target: "planner", event = "ordered", replica = &*entry.id, operation, model = &*order.model, adapter = order.adapter.as_deref(), expected = order.expected, term = self.term.token, outcome, "an order was given")
    }

    /// Notes what came of an order; tells whether to go on.
    fn note(
        self: &Arc<Self>,
        entry: &Entry,
        job: Job,
        expected: u64,
        answer: Answer,
        now: Time,
    ) -> bool {
        let mut book = self.fleet.lock();
        let Some(known) = book.records.get_mut(&entry.id) else {
            return false;
        };
        if !known.is_incarnation(entry.incarnation) {
            // It was given to an earlier incarnation, and nothing holds of that one but what may land yet.
            if let Err(why) = answer {
                book.note_unanswered(entry, &job, &why, now);
            }
            return false;
        }
        match answer {
            Ok(Ordered::Accepted) if job.adapter.is_none() => {
                known.orders_taken = expected + 1;
                begin(known, job, now);
                return true;
            }
            Ok(Ordered::Accepted) if job.operation == Operation::Unload => {
                // It goes when its last request has ended; until then it takes its place.
                known.orders_taken = expected + 1;
                known.require_report(now);
            }
            Ok(Ordered::Accepted | Ordered::InForce) if job.adapter.is_some() => {
                known.orders_taken = expected + 1;
                known.apply(&job, now);
                if let (Operation::Load, Some(adapter)) = (job.operation, job.adapter) {
                    self.tell_placed(job.model, adapter, entry.id.clone(), ADAPTER_ARRIVES);
                }
                return true;
            }
            Ok(Ordered::InForce) => {
                known.apply(&job, now);
                known.require_report(now);
            }
            Ok(Ordered::Fenced) => {
                warn!(target: "planner", event = "fenced", term = self.term.token, "a later holder gives orders; this term ends");
                self.term.end();
            }
            Ok(_) => known.require_report(now),
            Err(why) => {
                known.require_report(now);
                book.note_unanswered(entry, &job, &why, now);
            }
        }
        false
    }
}

impl Fleet {
    /// Takes the next order to a replica out of its queue.
    fn next(&mut self, id: &str, engine: &Engine, now: Time) -> Next {
        let Some(known) = self.records.get_mut(id) else {
            return Next::Stop;
        };
        let pends = known.pending.is_some();
        let due = |job: &Job| !pends || job.adapter.is_some();
        if !known.queue.front().is_some_and(due) {
            return Next::Stop;
        }
        let job = known.queue.pop_front();
        let job = job.filter(|job| known.fits(job, engine));
        known.note_ordered(now);
        job.map_or(Next::Skip, |job| Next::Give(job, known.orders_taken))
    }

    /// Keeps the places of a load that may have begun without an answer: at the weight store, if it is from there,
    /// and at the replica, should this start again.
    fn note_unanswered(&mut self, entry: &Entry, job: &Job, why: &platform::Error, now: Time) {
        if !matches!(why, platform::Error::Unknown { .. }) {
            return;
        }
        if let Some(known) = self.records.get_mut(&entry.id) {
            known.note_unanswered(job, entry.incarnation, now);
        }
        if job.from_store {
            for bucket in self.buckets.values_mut() {
                bucket.note_unanswered(now);
            }
        }
    }
}

/// Where an answer to a call comes from.
fn from(entry: &Entry, call: &str) -> feedback::Source {
    feedback::Source {
        replica: entry.id.clone(),
        incarnation: entry.incarnation,
        subject: call.into(),
        without_adapter: true,
    }
}

/// Notes that an order about a model was accepted and is under way.
fn begin(known: &mut Record, job: Job, now: Time) {
    if job.operation == Operation::Unload {
        known.last_unloaded = Some((job.model.clone(), now));
    }
    known.pending = Some(Pending {
        due: now + job.duration,
        job,
    });
}

/// Outcome of an order, as metrics name it.
fn word(answer: &Answer) -> &'static str {
    match answer {
        Ok(Ordered::Accepted | Ordered::InForce) => "taken",
        Ok(Ordered::Conflict) => "conflict",
        Ok(Ordered::Fenced) => "fenced",
        Ok(_) => "refused",
        Err(platform::Error::Unknown { .. }) => "unanswered",
        Err(_) => "not_sent",
    }
}
