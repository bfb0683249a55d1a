//! What a host may expect of a limit before it asks for a part of it.

use super::{Limit, Refusal, Tolerance};
use unit::{Span, Time};

/// Time after a refusal in which nothing is asked for again, however little was missing.
const PAUSE: Span = Span::from_ms(5);

/// Units that were there when the host that gives out was last asked, carried on at the limit's pace.
///
/// Other hosts take some of them meanwhile, so that there are at most as many: a request that finds too few here
/// need not be asked for.
#[derive(Debug, Clone, Copy)]
pub struct Estimate {
    left: f64,
    at: Time,
    /// Until when nothing is asked for.
    closed_until: Time,
    /// When there will be enough for what was refused last, and stands in line.
    line: Time,
}

impl Estimate {
    /// What is known after a question was answered with so many units left.
    pub fn new(left: f64, now: Time) -> Estimate {
        Estimate {
            left,
            at: now,
            closed_until: now,
            line: now,
        }
    }

    /// What is known after a question was refused.
    pub fn after_refusal(over: Refusal, now: Time) -> Estimate {
        Estimate {
            closed_until: now + PAUSE,
            line: now + over.retry_after,
            ..Estimate::new(over.available, now)
        }
    }

    /// What is to be believed while nobody answers and this host has no part of its own.
    pub fn without_answer(tolerance: Tolerance, now: Time) -> Estimate {
        Estimate {
            closed_until: now + PAUSE,
            ..Estimate::new(-tolerance.overdraft(), now)
        }
    }

    /// Takes units off that are being asked for.
    pub fn deduct(&mut self, units: f64, limit: Limit, now: Time) {
        self.left = self.left_at(limit, now) - units;
        self.at = now;
    }

    /// Time until there may be so many units; zero when they may be there now.
    pub fn wait(&self, needed: f64, tolerance: Tolerance, limit: Limit, now: Time) -> Span {
        let missing = needed - tolerance.overdraft() - self.left_at(limit, now);
        let gathered = Span::from_secs_f64(missing.max(0.0) / limit.rate);
        gathered.max(self.closed_until.since(now))
    }

    /// Time until those have their turn that were refused before, and stand in line.
    pub fn queue_wait(&self, now: Time) -> Span {
        self.line.since(now)
    }

    fn left_at(&self, limit: Limit, now: Time) -> f64 {
        let gained = now.since(self.at).secs() * limit.rate;
        (self.left + gained).min(limit.burst)
    }
}
