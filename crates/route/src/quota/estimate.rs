//! Local estimate of a bucket at the limiter.

use super::{Limit, Refusal, Tolerance};
use unit::{Span, Time};

/// Minimum time after a refusal before units are requested again.
const MIN_PAUSE: Span = Span::from_ms(5);

/// Upper bound of the units available at the limiter: the last reported number plus what has accrued since.
///
/// Other hosts acquire units in the meantime, so that a request for which the estimate is too low need not ask.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    available: f64,
    at: Time,
    /// Time until which no units are requested.
    paused_until: Time,
    /// Time at which enough units are expected for the request that was refused last.
    queued_until: Time,
}

impl Estimate {
    /// Estimate after an answer with the given number of units left.
    pub fn new(available: f64, now: Time) -> Estimate {
        Estimate {
            available,
            at: now,
            paused_until: now,
            queued_until: now,
        }
    }

    /// Estimate after a refusal.
    pub fn after_refusal(refusal: Refusal, now: Time) -> Estimate {
        Estimate {
            paused_until: now + MIN_PAUSE,
            queued_until: now + refusal.retry_after,
            ..Estimate::new(refusal.available, now)
        }
    }

    /// Estimate when the limiter does not answer and this host has no share: the bucket counts as fully overdrawn.
    pub fn without_answer(tolerance: Tolerance, now: Time) -> Estimate {
        Estimate {
            paused_until: now + MIN_PAUSE,
            ..Estimate::new(-tolerance.overdraft(), now)
        }
    }

    /// Deducts units that are being requested.
    pub fn deduct(&mut self, units: f64, limit: Limit, now: Time) {
        self.available = self.available_at(limit, now) - units;
        self.at = now;
    }

    /// Time until the given number of units may be available; zero if they may be available now.
    pub fn wait(&self, needed: f64, tolerance: Tolerance, limit: Limit, now: Time) -> Span {
        let missing = needed - tolerance.overdraft() - self.available_at(limit, now);
        let accrual = Span::from_secs_f64(missing.max(0.0) / limit.rate);
        accrual.max(self.paused_until.since(now))
    }

    /// Time until requests that were refused before are expected to be served.
    pub fn queue_wait(&self, now: Time) -> Span {
        self.queued_until.since(now)
    }

    fn available_at(&self, limit: Limit, now: Time) -> f64 {
        let accrued = now.since(self.at).secs() * limit.rate;
        (self.available + accrued).min(limit.burst)
    }
}
