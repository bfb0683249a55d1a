//! Sum over a sliding window.

use std::collections::VecDeque;
use unit::{Span, Time};

/// Number of buckets in the window.
const BUCKETS: u64 = 16;

/// Sum of units over a sliding window, in buckets of 1/16 of its length.
#[derive(Debug, Clone)]
pub struct SlidingSum {
    window: Span,
    /// Start and units of each bucket.
    buckets: VecDeque<(Time, f64)>,
}

impl SlidingSum {
    pub fn new(window: Span) -> SlidingSum {
        SlidingSum {
            window,
            buckets: VecDeque::new(),
        }
    }

    pub fn add(&mut self, units: f64, now: Time) {
        let window = self.window;
        // Kept for two windows, since `sum` may be called for a time in the past.
        let is_expired = |(start, _): &(Time, f64)| now.since(*start) >= window + window;
        while self.buckets.front().is_some_and(is_expired) {
            self.buckets.pop_front();
        }
        let bucket = Span(window.0 / BUCKETS);
        match self.buckets.back_mut() {
            Some((start, sum)) if now.since(*start) < bucket => *sum += units,
            _ => self.buckets.push_back((now, units)),
        }
    }

    /// Subtracts units that were added at `at`.
    pub fn remove(&mut self, units: f64, at: Time) {
        let bucket = self
            .buckets
            .iter_mut()
            .rev()
            .find(|(start, _)| *start <= at);
        if let Some((_, sum)) = bucket {
            *sum = (*sum - units).max(0.0);
        }
    }

    /// Whether nothing was added within the given span.
    pub fn is_idle(&self, span: Span, now: Time) -> bool {
        let last = self.buckets.back();
        last.is_none_or(|(start, _)| now.since(*start) >= span)
    }

    /// Units in the window that ends at the given time.
    pub fn sum(&self, now: Time) -> f64 {
        let window = self.window;
        let in_window = |(start, _): &&(Time, f64)| *start <= now && now.since(*start) < window;
        self.buckets
            .iter()
            .filter(in_window)
            .map(|(_, sum)| sum)
            .sum()
    }
}
