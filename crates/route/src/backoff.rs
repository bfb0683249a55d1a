//! Backoff that a replica requests from one host, and the ramp-up of the host's traffic afterwards.
//!
//! The ramp-up allows 1, 2 and 4 requests in its steps, so that a replica that is still recovering is not hit by all
//! queued requests at once.

use unit::{Span, Time};

/// Duration of each ramp-up step.
const RAMP_STEP: Span = Span::from_ms(300);

/// Number of ramp-up steps.
const RAMP_STEPS: u32 = 3;

/// Backoff from one replica, with the ramp-up that follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    /// End of the backoff and start of the ramp-up.
    until: Time,
    /// Requests sent during the ramp-up.
    sent: u32,
    /// Requests of this host queued for the replica.
    waiting: u32,
}

impl Backoff {
    pub fn new(duration: Span, now: Time) -> Backoff {
        Backoff {
            until: now + duration,
            sent: 0,
            waiting: 0,
        }
    }

    /// Applies a further request to back off: the later end counts, and the ramp-up starts over.
    pub fn extend(&mut self, duration: Span, now: Time) {
        *self = Backoff {
            waiting: self.waiting,
            ..Backoff::new(duration.max(self.remaining(now)), now)
        };
    }

    /// Time until the ramp-up starts; zero once it has.
    pub fn remaining(&self, now: Time) -> Span {
        self.until.since(now)
    }

    /// Whether the ramp-up has finished.
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.until + RAMP_STEP * f64::from(RAMP_STEPS)
    }

    /// Time after which a request could be sent behind those already queued; `None` if one may be sent now.
    pub fn wait(&self, now: Time) -> Option<Span> {
        let is_blocked = now < self.opens_at(self.sent);
        is_blocked.then(|| {
            self.opens_at(self.sent.saturating_add(self.waiting))
                .since(now)
        })
    }

    /// Time from which the request after the first `preceding` ones of the ramp-up may be sent.
    fn opens_at(&self, preceding: u32) -> Time {
        // Cumulative limit per step: 1, 3, 7.
        let step = (0..RAMP_STEPS).find(|step| preceding < (2 << step) - 1);
        self.until + RAMP_STEP * f64::from(step.unwrap_or(RAMP_STEPS))
    }

    /// Adds a queued request to the count, or removes one.
    pub fn count_waiting(&mut self, is_waiting: bool) {
        self.waiting = match is_waiting {
            true => self.waiting.saturating_add(1),
            false => self.waiting.saturating_sub(1),
        };
    }

    /// Counts a sent request towards the ramp-up.
    pub fn record_sent(&mut self, now: Time) {
        if now >= self.until {
            self.sent = self.sent.saturating_add(1);
        }
    }
}
