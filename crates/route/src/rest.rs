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
pub struct Rest {
    /// When it ends.
    until: Time,
    /// Requests that were sent since then.
    sent: u32,
}

impl Rest {
    /// Rest of a time from now on.
    pub fn new(time: Span, now: Time) -> Rest {
        Rest {
            until: now + time,
            sent: 0,
        }
    }

    /// Takes in that the replica asks again. A longer time that was asked for before holds on.
    pub fn ask(&mut self, time: Span, now: Time) {
        *self = Rest::new(time.max(self.left(now)), now);
    }

    /// Time that is left of it.
    pub fn left(&self, now: Time) -> Span {
        self.until.since(now)
    }

    /// Whether the replica is used as before.
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.until + STEP * f64::from(STEPS)
    }

    /// Time until a request may be sent behind so many that wait; none if it may be sent now.
    pub fn turn(&self, waiting: u32, now: Time) -> Option<Span> {
        let place = self.sent.saturating_add(waiting);
        // Requests that may be sent by the end of each step: 1, 3, 7.
        let step = (1..=STEPS).find(|step| place < (1 << step) - 1);
        let opens = self.until + STEP * f64::from(step.unwrap_or(STEPS + 1) - 1);
        (now < opens).then(|| opens.since(now))
    }

    /// Notes that a request is sent.
    pub fn sent(&mut self, now: Time) {
        if now >= self.until {
            self.sent = self.sent.saturating_add(1);
        }
    }
}
