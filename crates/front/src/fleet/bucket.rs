//! Rate limiter for loads from the weight store.

use super::MAX_ORDER_DELAY;
use unit::{Span, Time};

/// Largest delivery delay of an answered order, as from a host without spare processor time. Loads
/// sent over longer than a window may start within one by this much.
const MAX_DELIVERY_DELAY: Span = Span::from_ms(250);

/// Token bucket that refills at the store's rate.
///
/// A new bucket is empty: the loads that an earlier leader started in the current window are not
/// known, and an empty bucket keeps the sum of both within the limit.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    capacity: f64,
    level: f64,
    refilled: Time,
    unanswered: Vec<Time>,
}

impl Bucket {
    /// Fills the bucket, for when no load can have started before.
    pub fn fill(&mut self) {
        self.level = self.capacity;
    }

    /// Makes an empty bucket that allows `window` x `rate` x `overage` + 3 loads to start in a
    /// window.
    pub fn new(rate: f64, window: Span, overage: f64, now: Time) -> Bucket {
        let allowance = rate * window.secs() * (overage - 1.0) + 3.0;
        let allowance = allowance - rate * MAX_DELIVERY_DELAY.secs();
        Bucket {
            rate,
            capacity: allowance.floor().max(1.0),
            level: 0.0,
            refilled: now,
            unanswered: Vec::new(),
        }
    }

    /// Number of loads that may start now. An unanswered load may start at any moment, so it keeps
    /// its token.
    pub fn available(&mut self, now: Time) -> usize {
        self.level = (self.level + now.since(self.refilled).secs() * self.rate).min(self.capacity);
        self.refilled = now;
        self.unanswered
            .retain(|at| now.since(*at) < MAX_ORDER_DELAY);
        (self.level - self.unanswered.len() as f64).max(0.0) as usize
    }

    /// Takes the token of one load.
    pub fn take(&mut self) {
        self.level -= 1.0;
    }

    /// Records a load without an answer.
    pub fn note_unanswered(&mut self, now: Time) {
        self.unanswered.push(now);
    }
}
