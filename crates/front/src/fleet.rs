//! What the leader believes of each replica, and the orders it has in hand.
//!
//! Safety rests on the number of orders that a replica has taken: each order names the number under
//! which its effect was worked out, and a replica that has taken another order meanwhile refuses
//! it. So a late order never meets a memory other than the one it was meant for. The count begins anew when the
//! replica starts again: what may land there then keeps its room.
//!
//! Its parts: `unanswered` is orders that were not answered, `adapters` which adapters are where, `capacity` what else finds
//! room, `bucket` the rate of loads.

mod adapters;
mod bucket;
mod capacity;
mod unanswered;

pub use bucket::Bucket;

use platform::replica::{Entry, Held, Incarnation, Operation, Report};
use std::collections::{HashMap, VecDeque};
use unanswered::Unanswered;
use unit::{Name, Span, Time};

/// Time for which an unanswered load may begin yet: replicas carry out orders up to 12 s late.
const MAX_ORDER_DELAY: Span = Span::from_secs(13);

/// Time beyond the expected one after which a replica is asked whether an order is done.
const OVERDUE_AFTER: Span = Span::from_ms(3_000);

/// Order to be given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// What to do.
    pub operation: Operation,
    /// With which model.
    pub model: Name,
    /// With which adapter of it.
    pub adapter: Option<Name>,
    /// Whether the weights come from the weight store.
    pub from_store: bool,
    /// Time it is expected to take.
    pub duration: Span,
}

/// Order about a model that is under way.
#[derive(Debug, Clone)]
pub struct Pending {
    /// The order.
    pub job: Job,
    /// When it should be done.
    pub due: Time,
}

/// Time after an order in which an entry may be older than the order's effect.
const ENTRY_LAG: Span = Span::from_ms(3_000);

/// Time in which a report is older than what it is asked after.
const REPORT_LAG: Span = Span::from_ms(250);

/// Pause between two reports of a replica that is busy; each is priced as a probe.
const BUSY_REPORT_INTERVAL: Span = Span::from_ms(600);

/// Time for which a replica must be out of reach to count as lost: its entry tells so only after three
/// heartbeats, some 4 s, which is most of the time that a copy elsewhere needs.
const LOST_AFTER: Span = Span::from_ms(400);

/// Model that a replica is about to give up, once hosts have been told for long enough.
#[derive(Debug, Clone)]
struct Removal {
    model: Name,
    due: Time,
}

/// What is believed of one replica.
#[derive(Debug, Clone)]
pub struct Record {
    /// The incarnation of which it is believed.
    incarnation: Incarnation,
    /// Unanswered loads of this incarnation.
    unanswered: Unanswered,
    /// Unanswered loads of the ones before, which may be carried out by this one: the identity that they are
    /// addressed to is the same, and its count of orders may stand by chance where they expect it.
    unanswered_before: Unanswered,
    /// Orders it has taken.
    pub orders_taken: u64,
    /// What it holds.
    pub held: Vec<Held>,
    /// Order about a model that is under way.
    pub pending: Option<Pending>,
    /// Orders to be given, in turn.
    pub queue: VecDeque<Job>,
    /// Whether an order is being given now.
    pub in_call: bool,
    /// Whether it must be asked before the next order, and not before when.
    pub report_due: Option<Time>,
    /// Models that it is about to give up, in turn.
    removals: VecDeque<Removal>,
    /// Model for which it gives others up, or gave them up and does not load it yet, and when it should
    /// be there.
    reserved_for: Option<(Name, Time)>,
    /// Since when several hosts cannot reach it.
    unreachable_since: Option<Time>,
    /// Model that it loaded last, and when that was known.
    pub last_loaded: Option<(Name, Time)>,
    /// Time that this load took, for which the model is to stay at the least.
    min_stay: Span,
    /// Model that it gave up last, and when that was ordered.
    pub last_unloaded: Option<(Name, Time)>,
    last_used: HashMap<(Name, Name), Time>,
    last_ordered: Time,
}

impl Default for Record {
    fn default() -> Record {
        Record {
            incarnation: None,
            unanswered: Unanswered::default(),
            unanswered_before: Unanswered::default(),
            orders_taken: 0,
            held: Vec::new(),
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
        }
    }
}

impl Record {
    /// Whether it is this incarnation of which it is believed.
    pub fn is_incarnation(&self, incarnation: Incarnation) -> bool {
        self.incarnation == incarnation
    }

    /// Forgets what was believed of an earlier incarnation. Its unanswered loads keep the room that they would take,
    /// for as long as they may land.
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

    /// Notes that a load was not answered: it may be carried out yet, by the incarnation that it was given to or by
    /// a later one.
    pub fn note_unanswered(&mut self, job: &Job, given_to: Incarnation, now: Time) {
        if job.operation == Operation::Unload {
            return;
        }
        match self.is_incarnation(given_to) {
            true => self.unanswered.push(job.clone(), now),
            false => self.unanswered_before.push(job.clone(), now),
        }
    }

    /// Whether it takes an order about a model now.
    pub fn is_idle(&self) -> bool {
        self.pending.is_none()
            && self.queue.is_empty()
            && !self.in_call
            && self.report_due.is_none()
    }

    /// Notes whether several hosts cannot reach it now.
    pub fn note_unreachable(&mut self, absent: bool, now: Time) {
        self.unreachable_since = absent.then(|| self.unreachable_since.unwrap_or(now));
    }

    /// Whether it could not be reached for so long that its copies are to be had elsewhere.
    pub fn is_lost(&self, now: Time) -> bool {
        self.unreachable_since
            .is_some_and(|at| now.since(at) >= LOST_AFTER)
    }

    /// Notes that it is to give up models, each from its time on, so that another one finds room and is
    /// there at some time.
    pub fn schedule_unloads(
        &mut self,
        models: impl IntoIterator<Item = (Name, Time)>,
        instead: Name,
        there: Time,
    ) {
        let models = models.into_iter();
        self.removals = models.map(|(model, due)| Removal { model, due }).collect();
        self.reserved_for = Some((instead, there));
    }

    /// Model that is on its way to it, and when it should be there.
    pub fn incoming(&self) -> Option<(&Name, Time)> {
        let pending = self.pending.as_ref();
        let pending = pending.filter(|p| p.job.operation == Operation::Load);
        let promised = self.reserved_for.as_ref().map(|(model, at)| (model, *at));
        pending.map(|p| (&p.job.model, p.due)).or(promised)
    }

    /// Takes out the next model to be given up, if its time has come and no other order is in hand.
    pub fn take_due_unload(&mut self, now: Time) -> Option<Name> {
        let is_due = self.removals.front().is_some_and(|c| now >= c.due);
        if !is_due || !self.is_idle() {
            return None;
        }
        self.removals.pop_front().map(|c| c.model)
    }

    /// Whether it is about to give up a model.
    pub fn will_unload(&self, model: &Name) -> bool {
        self.removals.iter().any(|c| c.model == *model)
    }

    /// Whether it may be given something else to do: no order is in hand, and none stands in a plan.
    pub fn accepts_orders(&self) -> bool {
        self.is_idle() && self.removals.is_empty()
    }

    /// Notes that the model it has made room for is loaded, or is not wanted any more.
    pub fn clear_reservation(&mut self) {
        self.reserved_for = None;
    }

    /// Model that it loaded so lately that giving it up would waste the load.
    pub fn recently_loaded(&self, now: Time) -> Option<&Name> {
        let (model, at) = self.last_loaded.as_ref()?;
        (now.since(*at) < self.min_stay).then_some(model)
    }

    /// Models that it is giving up, or is about to.
    pub fn unloading(&self) -> Vec<&Name> {
        let orders = self.pending.iter().map(|p| &p.job).chain(&self.queue);
        let unloads = |job: &&Job| job.operation == Operation::Unload && job.adapter.is_none();
        let unloads = orders.filter(unloads).map(|job| &job.model);
        let closing = self.removals.iter().map(|c| &c.model);
        closing.chain(unloads).collect()
    }

    /// Whether it is giving up a model, or is about to.
    pub fn is_unloading(&self) -> bool {
        !self.unloading().is_empty()
    }

    /// Model for which it is making room, or has made it.
    pub fn reserved_for(&self) -> Option<&Name> {
        self.reserved_for.as_ref().map(|(model, _)| model)
    }

    /// Whether it may be asked for a report now.
    pub fn is_report_due(&self, now: Time) -> bool {
        self.report_due.is_some_and(|at| now >= at)
    }

    /// Notes that it must be asked what it holds before the next order.
    pub fn require_report(&mut self, now: Time) {
        self.report_due = Some(now + REPORT_LAG);
        self.queue.clear();
    }

    /// Notes that an order is being given.
    pub fn note_ordered(&mut self, now: Time) {
        self.last_ordered = now;
    }

    /// Compares with its entry, which may be older than what is believed.
    ///
    /// An entry can show that a load is done, and can raise doubt; that memory is free again is
    /// believed of a report only.
    pub fn sync(&mut self, entry: &Entry, now: Time) {
        if !self.is_incarnation(entry.incarnation) {
            self.reset(entry.incarnation);
        }
        self.unanswered_before.expire(now);
        if let Some(pending) = &self.pending {
            let holds = entry.held.iter().any(|h| h.model == pending.job.model);
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

    /// Whether an entry names other models than are believed to be held.
    fn differs(&self, entry: &Entry) -> bool {
        let names = |held: &[Held]| {
            let mut names: Vec<Name> = held.iter().map(|h| h.model.clone()).collect();
            names.sort();
            names
        };
        names(&self.held) != names(&entry.held)
    }

    /// Takes a report in; it counts as newest, unless it is of an incarnation whose entry has not come yet.
    pub fn apply_report(&mut self, report: &Report, now: Time) {
        if report.incarnation.is_some() && !self.is_incarnation(report.incarnation) {
            self.require_report(now);
            return;
        }
        self.last_ordered = now;
        self.orders_taken = report.orders;
        self.held.clone_from(&report.held);
        for (model, adapter) in &report.coming {
            if let Some(held) = self.held.iter_mut().find(|h| h.model == *model)
                && !held.adapters.contains(adapter)
            {
                held.adapters.push(adapter.clone());
            }
        }
        self.report_due = report.busy.then(|| now + BUSY_REPORT_INTERVAL);
        if !report.busy {
            self.pending = None;
        }
    }

    /// Changes what is held as an order does.
    pub fn apply(&mut self, job: &Job, now: Time) {
        let at = self.held.iter().position(|h| h.model == job.model);
        match (job.operation, &job.adapter, at) {
            (Operation::Load, None, None) => self.held.push(Held {
                model: job.model.clone(),
                version: 0,
                adapters: Vec::new(),
            }),
            (Operation::Unload, None, Some(at)) => {
                self.held.remove(at);
            }
            (Operation::Load, Some(adapter), Some(at)) => {
                let adapters = &mut self.held[at].adapters;
                if !adapters.contains(adapter) {
                    adapters.push(adapter.clone());
                }
                self.touch_adapter(&job.model, adapter, now);
            }
            (Operation::Unload, Some(adapter), Some(at)) => {
                self.held[at].adapters.retain(|a| a != adapter);
            }
            _ => {}
        }
    }
}
