//! Table of upstreams, and the queues of requests that wait for room at them.
//!
//! One mutex holds both; the work under it is short and never waits.

mod entry;
mod placed;
mod tables;

pub use entry::{Entry, Target};
pub use placed::Placed;

use crate::clock::Clock;
use backing::hosts::Host;
use parking_lot::Mutex;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use route::choose::Request;
use route::queue::{Rejection, Ticket};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use tables::Tables;
use tokio::sync::oneshot;
use tokio::time::timeout_at;
use unit::{Name, Span, Time};
use upstream::engine::{Cached, Load, Report};

/// Time a request waits for a replica when there is none at all, such as while one restarts.
pub const ABSENT_PATIENCE: Span = Span::from_secs(3);

/// Request that wants a place.
#[derive(Debug, Clone)]
pub struct Want {
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
    pub ask: Request,
}

/// Why no place could be had; the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Placeless {
    /// It was shed.
    Shed(Rejection),
    /// No upstream holds what it asked for.
    Absent,
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
type Grant = Result<Placed, Placeless>;

impl Fleet {
    /// Gets a place for a request, waiting in the queue if it must.
    pub async fn acquire(self: &Arc<Self>, want: Want, queue_most: usize) -> Grant {
        let deadline = want.deadline;
        let waiting = {
            let mut tables = self.tables.lock();
            let now = self.clock.now();
            match tables.place_now(self, now, &want) {
                Some(placed) => return Ok(placed),
                None => enqueue(&mut tables, now, want, queue_most)?,
            }
        };
        let until = self.clock.instant(waiting.until);
        match timeout_at(until, waiting.receiver).await {
            Ok(Ok(grant)) => grant,
            Ok(Err(_)) => Err(Placeless::Shed(Rejection::Full)),
            Err(_) if waiting.until < deadline => Err(Placeless::Absent),
            Err(_) => Err(Placeless::Shed(Rejection::Expired)),
        }
    }

    /// Takes over the host list; upstreams not in it any more are leaving.
    pub fn set_hosts(self: &Arc<Self>, hosts: &[Host]) {
        let mut tables = self.tables.lock();
        tables.set_hosts(hosts);
        tables.pump_all(self, self.clock.now());
    }

    /// Takes in a report that was read just now.
    pub fn reported(self: &Arc<Self>, upstream: &str, report: Report) {
        let mut tables = self.tables.lock();
        tables.reported(self.clock.now(), upstream, report);
        tables.pump_all(self, self.clock.now());
    }

    /// Takes in the load that rode on an answer.
    pub fn loaded(&self, slot: usize, load: Load) {
        self.tables.lock().loaded(self.clock.now(), slot, load);
    }

    /// Takes in cache events.
    pub fn cached(&self, upstream: &str, events: &[Cached]) {
        self.tables.lock().cached(upstream, events);
    }

    /// Notes that a poll of an upstream failed.
    pub fn unanswered(&self, upstream: &str) {
        let now = self.clock.now();
        let mut tables = self.tables.lock();
        if let Some(entry) = tables.find_mut(upstream) {
            entry.health.record_failure(now);
        }
    }

    /// Gives up the place of a request and serves those that wait.
    fn release(self: &Arc<Self>, slot: usize, flight: u64) {
        let mut tables = self.tables.lock();
        tables.land(slot, flight);
        tables.pump(self, self.clock.now(), slot);
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
    pub fn stale(&self, age: Span) -> Vec<(Name, SocketAddr)> {
        self.tables.lock().stale(self.clock.now(), age)
    }

    /// Requests that wait, by model or service.
    pub fn waiting(&self) -> Vec<(Target, usize)> {
        self.tables.lock().waiting()
    }

    /// Whether an upstream that is not leaving holds a target ready.
    pub fn is_reachable(&self, target: &Target) -> bool {
        self.tables.lock().is_reachable(target)
    }
}

struct Waiting {
    receiver: oneshot::Receiver<Grant>,
    until: Time,
}

/// Puts a request into its queue, unless it has no hope there.
fn enqueue(
    tables: &mut Tables,
    now: Time,
    want: Want,
    queue_most: usize,
) -> Result<Waiting, Placeless> {
    let reachable = tables.is_reachable(&want.target);
    let until = match reachable {
        true => want.deadline,
        false => want.deadline.min(now + ABSENT_PATIENCE),
    };
    let queue = tables.queue(&want.target, queue_most);
    if let Some(wait) = queue.expected_wait(now, want.priority)
        && now + wait > want.deadline
    {
        return Err(Placeless::Shed(Rejection::Expired));
    }
    let (sender, receiver) = oneshot::channel();
    let ticket = Ticket {
        caller: want.caller.clone(),
        weight: want.weight,
        priority: want.priority,
        arrived: want.arrived,
        deadline: want.deadline,
        payload: tables::Waiter { want, sender },
    };
    queue.expire(now, |waiter| waiter.sender.is_closed());
    if let Some(shed) = queue.push(now, ticket) {
        let _ = shed
            .payload
            .sender
            .send(Err(Placeless::Shed(Rejection::Full)));
    }
    Ok(Waiting { receiver, until })
}
