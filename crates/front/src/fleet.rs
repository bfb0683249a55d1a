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
use unanswered::Late;
use unit::{Name, Span, Time};

/// Time for which an unanswered load may begin yet: replicas carry out orders up to 12 s late.
const MAY_LAND: Span = Span::from_secs(13);

/// Time beyond the expected one after which a replica is asked whether an order is done.
const OVERDUE: Span = Span::from_ms(3_000);

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
    pub takes: Span,
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
const SETTLES: Span = Span::from_ms(3_000);

/// Time in which a report is older than what it is asked after.
const REPORT_LAG: Span = Span::from_ms(250);

/// Pause between two reports of a replica that is busy; each is priced as a probe.
const BUSY_PAUSE: Span = Span::from_ms(600);

/// Time for which a replica must be out of reach to count as lost: its entry tells so only after three
/// heartbeats, some 4 s, which is most of the time that a copy elsewhere needs.
const LOST_AFTER: Span = Span::from_ms(400);

/// Model that a replica is about to give up, once hosts have been told for long enough.
#[derive(Debug, Clone)]
struct Closing {
    model: Name,
    due: Time,
}

/// What is believed of one replica.
#[derive(Debug, Clone)]
pub struct Known {
    /// The incarnation of which it is believed.
    incarnation: Incarnation,
    /// Unanswered loads of this incarnation.
    unanswered: Late,
    /// Unanswered loads of the ones before, which may be carried out by this one: the identity that they are
    /// addressed to is the same, and its count of orders may stand by chance where they expect it.
    strays: Late,
    /// Orders it has taken.
    pub orders: u64,
    /// What it holds.
    pub held: Vec<Held>,
    /// Order about a model that is under way.
    pub pending: Option<Pending>,
    /// Orders to be given, in turn.
    pub queue: VecDeque<Job>,
    /// Whether an order is being given now.
    pub calling: bool,
    /// Whether it must be asked before the next order, and not before when.
    pub doubtful: Option<Time>,
    /// Models that it is about to give up, in turn.
    closing: VecDeque<Closing>,
    /// Model for which it gives others up, or gave them up and does not load it yet, and when it should
    /// be there.
    room_for: Option<(Name, Time)>,
    /// Since when several hosts cannot reach it.
    absent: Option<Time>,
    /// Model that it loaded last, and when that was known.
    pub loaded: Option<(Name, Time)>,
    /// Time that this load took, for which the model is to stay at the least.
    stays: Span,
    /// Model that it gave up last, and when that was ordered.
    pub unloaded: Option<(Name, Time)>,
    used: HashMap<(Name, Name), Time>,
    ordered: Time,
}

impl Default for Known {
    fn default() -> Known {
        Known {
            incarnation: None,
            unanswered: Late::default(),
            strays: Late::default(),
            orders: 0,
            held: Vec::new(),
            pending: None,
            queue: VecDeque::new(),
            calling: false,
            doubtful: Some(Time(0)),
            closing: VecDeque::new(),
            room_for: None,
            absent: None,
            loaded: None,
            stays: Span::ZERO,
            unloaded: None,
            used: HashMap::new(),
            ordered: Time(0),
        }
    }
}

impl Known {
    /// Whether it is this incarnation of which it is believed.
    pub fn is_of(&self, incarnation: Incarnation) -> bool {
        self.incarnation == incarnation
    }

    /// Forgets what was believed of an earlier incarnation. Its unanswered loads keep the room that they would take,
    /// for as long as they may land.
    fn restart(&mut self, incarnation: Incarnation) {
        let before = std::mem::take(self);
        let mut strays = before.strays;
        strays.append(before.unanswered);
        *self = Known {
            incarnation,
            strays,
            calling: before.calling,
            absent: before.absent,
            ..Known::default()
        };
    }

    /// Notes that a load was not answered: it may be carried out yet, by the incarnation that it was given to or by
    /// a later one.
    pub fn unanswered(&mut self, job: &Job, given_to: Incarnation, now: Time) {
        if job.operation == Operation::Unload {
            return;
        }
        match self.is_of(given_to) {
            true => self.unanswered.push(job.clone(), now),
            false => self.strays.push(job.clone(), now),
        }
    }

    /// Whether it takes an order about a model now.
    pub fn is_idle(&self) -> bool {
        self.pending.is_none() && self.queue.is_empty() && !self.calling && self.doubtful.is_none()
    }

    /// Notes whether several hosts cannot reach it now.
    pub fn note_absent(&mut self, absent: bool, now: Time) {
        self.absent = absent.then(|| self.absent.unwrap_or(now));
    }

    /// Whether it could not be reached for so long that its copies are to be had elsewhere.
    pub fn is_lost(&self, now: Time) -> bool {
        self.absent.is_some_and(|at| now.since(at) >= LOST_AFTER)
    }

    /// Notes that it is to give up models, each from its time on, so that another one finds room and is
    /// there at some time.
    pub fn close(
        &mut self,
        models: impl IntoIterator<Item = (Name, Time)>,
        instead: Name,
        there: Time,
    ) {
        let models = models.into_iter();
        self.closing = models.map(|(model, due)| Closing { model, due }).collect();
        self.room_for = Some((instead, there));
    }

    /// Model that is on its way to it, and when it should be there.
    pub fn awaited(&self) -> Option<(&Name, Time)> {
        let pending = self.pending.as_ref();
        let pending = pending.filter(|p| p.job.operation == Operation::Load);
        let promised = self.room_for.as_ref().map(|(model, at)| (model, *at));
        pending.map(|p| (&p.job.model, p.due)).or(promised)
    }

    /// Takes out the next model to be given up, if its time has come and no other order is in hand.
    pub fn take_closed(&mut self, now: Time) -> Option<Name> {
        let is_due = self.closing.front().is_some_and(|c| now >= c.due);
        if !is_due || !self.is_idle() {
            return None;
        }
        self.closing.pop_front().map(|c| c.model)
    }

    /// Whether it is about to give up a model.
    pub fn closes(&self, model: &Name) -> bool {
        self.closing.iter().any(|c| c.model == *model)
    }

    /// Whether it may be given something else to do: no order is in hand, and none stands in a plan.
    pub fn is_free(&self) -> bool {
        self.is_idle() && self.closing.is_empty()
    }

    /// Notes that the model it has made room for is loaded, or is not wanted any more.
    pub fn room_used(&mut self) {
        self.room_for = None;
    }

    /// Model that it loaded so lately that giving it up would waste the load.
    pub fn fresh(&self, now: Time) -> Option<&Name> {
        let (model, at) = self.loaded.as_ref()?;
        (now.since(*at) < self.stays).then_some(model)
    }

    /// Models that it is giving up, or is about to.
    pub fn going(&self) -> Vec<&Name> {
        let orders = self.pending.iter().map(|p| &p.job).chain(&self.queue);
        let unloads = |job: &&Job| job.operation == Operation::Unload && job.adapter.is_none();
        let unloads = orders.filter(unloads).map(|job| &job.model);
        let closing = self.closing.iter().map(|c| &c.model);
        closing.chain(unloads).collect()
    }

    /// Whether it is giving up a model, or is about to.
    pub fn makes_room(&self) -> bool {
        !self.going().is_empty()
    }

    /// Model for which it is making room, or has made it.
    pub fn room_for(&self) -> Option<&Name> {
        self.room_for.as_ref().map(|(model, _)| model)
    }

    /// Whether it may be asked for a report now.
    pub fn wants_look(&self, now: Time) -> bool {
        self.doubtful.is_some_and(|at| now >= at)
    }

    /// Notes that it must be asked what it holds before the next order.
    pub fn doubt(&mut self, now: Time) {
        self.doubtful = Some(now + REPORT_LAG);
        self.queue.clear();
    }

    /// Notes that an order is being given.
    pub fn ordering(&mut self, now: Time) {
        self.ordered = now;
    }

    /// Compares with its entry, which may be older than what is believed.
    ///
    /// An entry can show that a load is done, and can raise doubt; that memory is free again is
    /// believed of a report only.
    pub fn sync(&mut self, entry: &Entry, now: Time) {
        if !self.is_of(entry.incarnation) {
            self.restart(entry.incarnation);
        }
        self.strays.forget(now);
        if let Some(pending) = &self.pending {
            let holds = entry.held.iter().any(|h| h.model == pending.job.model);
            let loads = pending.job.operation == Operation::Load;
            let overdue = now > pending.due + OVERDUE;
            if loads && holds {
                let job = pending.job.clone();
                self.pending = None;
                self.loaded = Some((job.model.clone(), now));
                self.stays = job.takes;
                self.effect(&job, now);
            } else if (overdue || !loads && !holds) && self.doubtful.is_none() {
                self.doubt(now);
            }
            return;
        }
        let settled = now.since(self.ordered) > SETTLES && !self.calling;
        if settled && self.doubtful.is_none() && self.differs(entry) {
            self.doubt(now);
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
    pub fn adopt(&mut self, report: &Report, now: Time) {
        if report.incarnation.is_some() && !self.is_of(report.incarnation) {
            self.doubt(now);
            return;
        }
        self.ordered = now;
        self.orders = report.orders;
        self.held.clone_from(&report.held);
        for (model, adapter) in &report.coming {
            if let Some(held) = self.held.iter_mut().find(|h| h.model == *model)
                && !held.adapters.contains(adapter)
            {
                held.adapters.push(adapter.clone());
            }
        }
        self.doubtful = report.busy.then(|| now + BUSY_PAUSE);
        if !report.busy {
            self.pending = None;
        }
    }

    /// Changes what is held as an order does.
    pub fn effect(&mut self, job: &Job, now: Time) {
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
                self.use_adapter(&job.model, adapter, now);
            }
            (Operation::Unload, Some(adapter), Some(at)) => {
                self.held[at].adapters.retain(|a| a != adapter);
            }
            _ => {}
        }
    }
}
