//! Rate of loads from the weight store.

use super::MAX_ORDER_DELAY;
use unit::{Span, Time};

/// Time within which an order that is answered arrives, on a host whose processor is used up: loads that
/// are given over more than a window may begin within one.
const MAX_DELIVERY_DELAY: Span = Span::from_ms(250);

/// Loads from the weight store: a bucket that fills at the store's rate.
///
/// It starts empty: what an earlier holder let begin in the window is not known, and an empty
/// bucket keeps the sum of both within the bound.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: f64,
    capacity: f64,
    level: f64,
    refilled: Time,
    unanswered: Vec<Time>,
}

impl Bucket {
    /// Fills the bucket: nobody can have loaded anything before.
    pub fn fill(&mut self) {
        self.level = self.capacity;
    }

    /// Makes an empty bucket: `window` x `rate` x `overage` + 3 loads may begin in a window.
    pub fn new(rate: f64, window: Span, overage: f64, now: Time) -> Bucket {
        let beyond = rate * window.secs() * (overage - 1.0) + 3.0;
        let beyond = beyond - rate * MAX_DELIVERY_DELAY.secs();
        Bucket {
            rate,
            capacity: beyond.floor().max(1.0),
            level: 0.0,
            refilled: now,
            unanswered: Vec::new(),
        }
    }

    /// Loads that may begin now; each unanswered one may begin at any moment and keeps its place.
    pub fn available(&mut self, now: Time) -> usize {
        self.level = (self.level + now.since(self.refilled).secs() * self.rate).min(self.capacity);
        self.refilled = now;
        self.unanswered
            .retain(|at| now.since(*at) < MAX_ORDER_DELAY);
        (self.level - self.unanswered.len() as f64).max(0.0) as usize
    }

    /// Takes a load out.
    pub fn take(&mut self) {
        self.level -= 1.0;
    }

    /// Notes that a load was not answered.
    pub fn note_unanswered(&mut self, now: Time) {
        self.unanswered.push(now);
    }
}
