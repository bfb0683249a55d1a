//! Upstreams as this daemon sees them, and the queues of requests that wait for them.
//!
//! One mutex guards both; it is held for short, non-blocking work only.

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

/// Maximum wait of a request whose target no upstream answers, such as during a restart.
pub const UNAVAILABLE_WAIT: Span = Span::from_secs(3);

/// Request for a reservation at an upstream.
#[derive(Debug, Clone)]
pub struct Request {
    /// What it is addressed to.
    pub target: Target,
    /// Client account that sent it.
    pub caller: Name,
    /// Weight of the caller's share.
    pub weight: u32,
    /// Priority of its class.
    pub priority: u8,
    /// When it arrived.
    pub arrived: Time,
    /// When it expires.
    pub deadline: Time,
    /// Criteria for the choice among upstreams.
    pub criteria: choose::Request,
}

/// Why a request got no reservation; it was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcquireError {
    /// The queue rejected it.
    Rejected(Rejection),
    /// No upstream answers its target.
    Unavailable,
}

/// Upstreams and queues of this daemon.
pub struct Fleet {
    clock: Clock,
    tables: Mutex<Tables>,
}

/// Creates a fleet without upstreams.
///
/// `distance` is the one-way delay to other halls.
pub fn open(clock: Clock, seed: u64, hall: Name, distance: BTreeMap<Name, Span>) -> Arc<Fleet> {
    let rng = ChaCha8Rng::seed_from_u64(seed);
    Arc::new(Fleet {
        clock,
        tables: Mutex::new(Tables::new(rng, hall, distance)),
    })
}

/// Outcome of a request for a reservation.
type Acquired = Result<Reservation, AcquireError>;

impl Fleet {
    /// Reserves an upstream for a request, which waits in the queue until one has capacity.
    pub async fn acquire(self: &Arc<Self>, request: Request, queue_capacity: usize) -> Acquired {
        let deadline = request.deadline;
        let waiting = {
            let mut tables = self.tables.lock();
            let now = self.clock.now();
            match tables.try_reserve(self, now, &request) {
                Some(reservation) => return Ok(reservation),
                None => enqueue(&mut tables, now, request, queue_capacity)?,
            }
        };
        let until = self.clock.instant(waiting.until);
        match timeout_at(until, waiting.receiver).await {
            Ok(Ok(acquired)) => acquired,
            Ok(Err(_)) => Err(AcquireError::Rejected(Rejection::Full)),
            Err(_) if waiting.until < deadline => Err(AcquireError::Unavailable),
            Err(_) => Err(AcquireError::Rejected(Rejection::Expired)),
        }
    }

    /// Applies the host list; an upstream that is no longer listed is leaving.
    pub fn set_hosts(self: &Arc<Self>, hosts: &[Host]) {
        let mut tables = self.tables.lock();
        tables.set_hosts(hosts);
        tables.serve_all(self, self.clock.now());
    }

    /// Records a report that was just read.
    pub fn record_report(self: &Arc<Self>, upstream: &str, report: Report) {
        let mut tables = self.tables.lock();
        tables.record_report(self.clock.now(), upstream, report);
        tables.serve_all(self, self.clock.now());
    }

    /// Records the load that came with an answer.
    pub fn record_load(&self, index: usize, load: Load) {
        self.tables
            .lock()
            .record_load(self.clock.now(), index, load);
    }

    /// Records cache events of an upstream.
    pub fn record_cache_events(&self, upstream: &str, events: &[CacheEvent]) {
        self.tables.lock().record_cache_events(upstream, events);
    }

    /// Records that a poll of an upstream failed.
    pub fn record_poll_failure(&self, upstream: &str) {
        let now = self.clock.now();
        let mut tables = self.tables.lock();
        if let Some(entry) = tables.find_mut(upstream) {
            entry.breaker.record_failure(now);
        }
    }

    /// Ends an attempt and serves the requests that wait for its upstream.
    fn release(self: &Arc<Self>, index: usize, attempt: u64) {
        let mut tables = self.tables.lock();
        tables.finish(index, attempt);
        tables.serve_waiting(self, self.clock.now(), index);
    }

    /// Changes the entry at an index.
    fn change(&self, index: usize, change: impl FnOnce(Time, &mut Entry)) {
        let now = self.clock.now();
        change(now, self.tables.lock().entry_mut(index));
    }

    /// Copies of all entries, for the planner and for operators.
    pub fn entries(&self) -> Vec<Entry> {
        self.tables.lock().entries()
    }

    /// Engines whose last report is at least `age` old, oldest first.
    pub fn stale_reports(&self, age: Span) -> Vec<(Name, SocketAddr)> {
        self.tables.lock().stale_reports(self.clock.now(), age)
    }

    /// Number of waiting requests by target, without empty queues.
    pub fn queue_lengths(&self) -> Vec<(Target, usize)> {
        self.tables.lock().queue_lengths()
    }

    /// Whether an upstream that is not leaving answers a target.
    pub fn is_available(&self, target: &Target) -> bool {
        self.tables.lock().is_available(target)
    }
}

struct Waiting {
    receiver: oneshot::Receiver<Acquired>,
    until: Time,
}

/// Puts a request into its queue; rejects it at once if it would expire there.
fn enqueue(
    tables: &mut Tables,
    now: Time,
    request: Request,
    queue_capacity: usize,
) -> Result<Waiting, AcquireError> {
    let available = tables.is_available(&request.target);
    let until = match available {
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
    if let Some(rejected) = queue.push(now, ticket) {
        let _ = rejected
            .payload
            .sender
            .send(Err(AcquireError::Rejected(Rejection::Full)));
    }
    Ok(Waiting { receiver, until })
}
