//! Closes new connections unread while the process is short of processor time, so that their clients meet another host.
//!
//! The delay from the spawn of a connection's task to its first run tells how much work is ahead of it. Work that was
//! accepted goes on for seconds, so the share of connections that are accepted falls fast and rises slowly.

use parking_lot::Mutex;
use std::time::Duration;
use unit::{Span, Time, clock};

/// Delay above which the process is short of processor time; a request waits for several such delays.
const MAX_DELAY: Span = Span::from_ms(25);

/// Time for which all delays must have been longer before connections are closed: other work, such as a plan, may take the
/// processor for some hundred milliseconds.
const OVERLOADED_AFTER: Span = Span::from_ms(500);

/// Time in which the accepted share falls to 37%.
const FALL_TIME: Duration = Duration::from_millis(150);

/// Longest time between two connections for which the share falls: nothing is known of the time between.
const MAX_STEP: Span = Span::from_ms(100);

/// Time in which the accepted share rises from 0 to 1.
const RISE_TIME: Duration = Duration::from_secs(8);

/// Least share that is accepted: connections of clients that meet no other host.
const MIN_SHARE: f64 = 0.02;

/// Time after the last accepted connection from which the next one is accepted in any case.
const MAX_PAUSE: Span = Span::from_ms(200);

/// Shedding of a running server.
#[derive(Debug)]
pub struct Shedding(Mutex<Shedder>);

/// Starts accepting all connections.
pub fn open() -> Shedding {
    Shedding(Mutex::new(Shedder::new(now())))
}

fn now() -> Time {
    Time(clock::since_boot().0)
}

/// State for operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Status {
    /// Share of the new connections that are accepted now.
    pub accepted_share: f64,
    /// Delay of the last connection that was served.
    pub delay: Span,
    /// Connections closed unread so far.
    pub closed: u64,
}

impl Shedding {
    pub fn status(&self) -> Status {
        self.0.lock().status()
    }

    /// When a connection is accepted now, or none if it is to be closed.
    pub(crate) fn accept(&self) -> Option<Time> {
        let now = now();
        self.0.lock().accepts(now).then_some(now)
    }

    /// Records that a connection is first served, which was accepted at `accepted_at`.
    pub(crate) fn record_start(&self, accepted_at: Time) {
        let now = now();
        self.0.lock().record(now.since(accepted_at), now);
    }
}

/// Decides which new connections are accepted.
#[derive(Debug)]
pub struct Shedder {
    /// Last delay.
    delay: Span,
    recorded_at: Time,
    /// Since when all delays have been too long, if the last one was.
    overloaded_since: Option<Time>,
    /// Share of the connections that are accepted.
    share: f64,
    decided_at: Time,
    /// Part of a connection that may be accepted beyond those that were.
    credit: f64,
    accepted_at: Time,
    closed: u64,
}

impl Shedder {
    pub fn new(now: Time) -> Shedder {
        Shedder {
            delay: Span::ZERO,
            recorded_at: now,
            overloaded_since: None,
            share: 1.0,
            decided_at: now,
            credit: 0.0,
            accepted_at: now,
            closed: 0,
        }
    }

    /// Records the delay after which an accepted connection was first served.
    pub fn record(&mut self, delay: Span, now: Time) {
        let passed = now.since(self.recorded_at).min(MAX_STEP);
        self.recorded_at = now;
        self.delay = delay;
        if delay <= MAX_DELAY {
            self.overloaded_since = None;
            return;
        }
        let since = *self.overloaded_since.get_or_insert(now);
        if now.since(since) >= OVERLOADED_AFTER {
            self.share *= (-passed.secs() / FALL_TIME.as_secs_f64()).exp();
            self.share = self.share.max(MIN_SHARE);
        }
    }

    /// Whether a new connection is accepted.
    pub fn accepts(&mut self, now: Time) -> bool {
        let passed = now.since(self.decided_at).secs();
        self.decided_at = now;
        if self.overloaded_since.is_none() {
            self.share = (self.share + passed / RISE_TIME.as_secs_f64()).min(1.0);
        }
        self.credit += self.share;
        let accepts = self.credit >= 1.0 || now.since(self.accepted_at) >= MAX_PAUSE;
        if accepts {
            self.credit = (self.credit - 1.0).max(0.0);
            self.accepted_at = now;
        } else {
            self.closed += 1;
        }
        accepts
    }

    pub fn status(&self) -> Status {
        Status {
            accepted_share: self.share,
            delay: self.delay,
            closed: self.closed,
        }
    }
}
