//! Time for which a replica wants nothing from one host, and the host's return to it.
//!
//! The first requests after it are few: 1, then 2, then 4 a step, so that a replica that is not well yet is not met by all
//! that waited for it.

use unit::{Span, Time};

/// Length of each step of the return.
const STEP: Span = Span::from_ms(300);

/// Steps of the return; after them the replica is used as before.
const STEPS: u32 = 3;

/// Rest that a replica asked one host for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// When it ends.
    until: Time,
    /// Requests that were sent since then.
    sent: u32,
    /// Requests of the host that wait for their turn.
    waiting: u32,
}

impl Backoff {
    /// Rest of a time from now on.
    pub fn new(time: Span, now: Time) -> Backoff {
        Backoff {
            until: now + time,
            sent: 0,
            waiting: 0,
        }
    }

    /// Takes in that the replica asks again. A longer time that was asked for before holds on, and the return begins anew.
    pub fn extend(&mut self, time: Span, now: Time) {
        *self = Backoff {
            waiting: self.waiting,
            ..Backoff::new(time.max(self.remaining(now)), now)
        };
    }

    /// Time that is left of it.
    pub fn remaining(&self, now: Time) -> Span {
        self.until.since(now)
    }

    /// Whether the replica is used as before.
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.until + STEP * f64::from(STEPS)
    }

    /// Time until a request would have its turn behind those that wait; none if one may be sent now.
    pub fn wait(&self, now: Time) -> Option<Span> {
        let is_closed = now < self.opens_at(self.sent);
        is_closed.then(|| {
            self.opens_at(self.sent.saturating_add(self.waiting))
                .since(now)
        })
    }

    /// When a request may be sent behind so many since the end.
    fn opens_at(&self, before: u32) -> Time {
        // Requests that may be sent by the end of each step: 1, 3, 7.
        let step = (0..STEPS).find(|step| before < (2 << step) - 1);
        self.until + STEP * f64::from(step.unwrap_or(STEPS))
    }

    /// Counts a request in that waits for its turn, or out.
    pub fn count_waiting(&mut self, waits: bool) {
        self.waiting = match waits {
            true => self.waiting.saturating_add(1),
            false => self.waiting.saturating_sub(1),
        };
    }

    /// Notes that a request is sent.
    pub fn record_sent(&mut self, now: Time) {
        if now >= self.until {
            self.sent = self.sent.saturating_add(1);
        }
    }
}
