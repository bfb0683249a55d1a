//! Table of upstreams, and the queues of requests that wait for room at them.
//!
//! One mutex holds both; the work under it is short and never waits.

mod entry;
mod reservation;
mod tables;

pub use entry::{Entry, Target};
pub use reservation::Reservation;

use crate::clock::Clock;
use backing::hosts::Host;
use parking_lot::Mutex;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use route::choose;
use route::queue::{Rejection, Ticket};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tables::Tables;
use tokio::sync::oneshot;
use tokio::time::timeout_at;
use unit::{Name, Span, Time};
use upstream::engine::{CacheEvent, Load, Report};

/// Time a request waits for a replica when there is none at all, such as while one restarts.
pub const UNAVAILABLE_WAIT: Span = Span::from_secs(3);

/// Request that wants a place.
#[derive(Debug, Clone)]
pub struct Request {
    /// What must answer it.
    pub target: Target,
    /// Who sent it.
    pub caller: Name,
    /// Weight of the caller's share.
    pub weight: u32,
    /// Rank of its class.
    pub priority: u8,
    /// When it arrived.
    pub arrived: Time,
    /// When nobody needs it any more.
    pub deadline: Time,
    /// How it is to be placed.
    pub criteria: choose::Request,
}

/// Why no place could be had; the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireError {
    /// It was shed.
    Rejected(Rejection),
    /// No upstream holds what it asked for.
    Unavailable,
}

/// Running table; clones of the `Arc` share it.
pub struct Fleet {
    clock: Clock,
    tables: Mutex<Tables>,
}

/// Makes an empty table.
pub fn open(clock: Clock, seed: u64, hall: Name, distance: BTreeMap<Name, Span>) -> Arc<Fleet> {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    Arc::new(Fleet {
        clock,
        tables: Mutex::new(Tables::new(rng, hall, distance)),
    })
}

/// What a waiting request is told: its place, or that it was shed.
type Acquired = Result<Reservation, AcquireError>;

impl Fleet {
    /// Gets a place for a request, waiting in the queue if it must.
    pub async fn acquire(self: &Arc<Self>, request: Request, queue_capacity: usize) -> Acquired {
        let deadline = request.deadline;
        let waiting = {
            let mut tables = self.tables.lock();
            let now = self.clock.now();
            match tables.try_place(self, now, &request) {
                Some(placed) => return Ok(placed),
                None => enqueue(&mut tables, now, request, queue_capacity)?,
            }
        };
        let until = self.clock.instant(waiting.until);
        match timeout_at(until, waiting.receiver).await {
            Ok(Ok(grant)) => grant,
            Ok(Err(_)) => Err(AcquireError::Rejected(Rejection::Full)),
            Err(_) if waiting.until < deadline => Err(AcquireError::Unavailable),
            Err(_) => Err(AcquireError::Rejected(Rejection::Expired)),
        }
    }

    /// Takes over the host list; upstreams not in it any more are leaving.
    pub fn set_hosts(self: &Arc<Self>, hosts: &[Host]) {
        let mut tables = self.tables.lock();
        tables.set_hosts(hosts);
        tables.serve_all(self, self.clock.now());
    }

    /// Takes in a report that was read just now.
    pub fn record_report(self: &Arc<Self>, upstream: &str, report: Report) {
        let mut tables = self.tables.lock();
        tables.record_report(self.clock.now(), upstream, report);
        tables.serve_all(self, self.clock.now());
    }

    /// Takes in the load that rode on an answer.
    pub fn record_load(&self, slot: usize, load: Load) {
        self.tables.lock().record_load(self.clock.now(), slot, load);
    }

    /// Takes in cache events.
    pub fn record_cache_events(&self, upstream: &str, events: &[CacheEvent]) {
        self.tables.lock().record_cache_events(upstream, events);
    }

    /// Notes that a poll of an upstream failed.
    pub fn record_poll_failure(&self, upstream: &str) {
        let now = self.clock.now();
        let mut tables = self.tables.lock();
        if let Some(entry) = tables.find_mut(upstream) {
            entry.breaker.record_failure(now);
        }
    }

    /// Gives up the place of a request and serves those that wait.
    fn release(self: &Arc<Self>, slot: usize, attempt: u64) {
        let mut tables = self.tables.lock();
        tables.finish(slot, attempt);
        tables.serve_waiting(self, self.clock.now(), slot);
    }

    /// Changes the entry of a slot.
    fn change(&self, slot: usize, change: impl FnOnce(Time, &mut Entry)) {
        let now = self.clock.now();
        change(now, self.tables.lock().entry_mut(slot));
    }

    /// Copies of all entries, for the planner and for operators.
    pub fn entries(&self) -> Vec<Entry> {
        self.tables.lock().entries()
    }

    /// Upstreams whose last report is older than `age`, oldest first.
    pub fn stale_reports(&self, age: Span) -> Vec<(Name, SocketAddr)> {
        self.tables.lock().stale_reports(self.clock.now(), age)
    }

    /// Requests that wait, by model or service.
    pub fn queue_lengths(&self) -> Vec<(Target, usize)> {
        self.tables.lock().queue_lengths()
    }

    /// Whether an upstream that is not leaving holds a target ready.
    pub fn is_available(&self, target: &Target) -> bool {
        self.tables.lock().is_available(target)
    }
}

struct Waiting {
    receiver: oneshot::Receiver<Acquired>,
    until: Time,
}

/// Puts a request into its queue, unless it has no hope there.
fn enqueue(
    tables: &mut Tables,
    now: Time,
    request: Request,
    queue_capacity: usize,
) -> Result<Waiting, AcquireError> {
    let reachable = tables.is_available(&request.target);
    let until = match reachable {
        true => request.deadline,
        false => request.deadline.min(now + UNAVAILABLE_WAIT),
    };
    let queue = tables.queue(&request.target, queue_capacity);
    if let Some(wait) = queue.expected_wait(now, request.priority)
        && now + wait > request.deadline
    {
        return Err(AcquireError::Rejected(Rejection::Expired));
    }
    let (sender, receiver) = oneshot::channel();
    let ticket = Ticket {
        caller: request.caller.clone(),
        weight: request.weight,
        priority: request.priority,
        arrived: request.arrived,
        deadline: request.deadline,
        payload: tables::Waiter { request, sender },
    };
    queue.expire(now, |waiter| waiter.sender.is_closed());
    if let Some(shed) = queue.push(now, ticket) {
        let _ = shed
            .payload
            .sender
            .send(Err(AcquireError::Rejected(Rejection::Full)));
    }
    Ok(Waiting { receiver, until })
}
