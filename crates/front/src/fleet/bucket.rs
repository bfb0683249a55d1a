//! Rate limiter for loads from the weight store.

use super::MAX_ORDER_DELAY;
use std::collections::VecDeque;
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
    /// Loads started in the current window, where unanswered loads are counted against the window.
    started: Option<Started>,
}

/// Loads that started within the last window.
#[derive(Debug, Clone)]
struct Started {
    window: Span,
    /// Loads that may start within any window.
    limit: usize,
    times: VecDeque<Time>,
}

impl Started {
    /// Loads that may still start in the window that ends now.
    fn remaining(&mut self, now: Time) -> usize {
        let is_past = |at: &Time| now.since(*at) >= self.window;
        while self.times.front().is_some_and(is_past) {
            self.times.pop_front();
        }
        self.limit.saturating_sub(self.times.len())
    }
}

impl Bucket {
    /// Fills the bucket, for when no load can have started before.
    pub fn fill(&mut self) {
        self.level = self.capacity;
        if let Some(started) = &mut self.started {
            started.times.clear();
        }
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
            started: None,
        }
    }

    /// Counts unanswered loads against what may start in a window rather than against the bucket's level: a few of
    /// them, as when replicas fail, then don't stop all loads until they can no longer start. As many loads as the
    /// rate allows are assumed to have started in the window before, by an earlier leader.
    pub fn count_by_window(mut self, window: Span, now: Time) -> Bucket {
        let window = window + MAX_DELIVERY_DELAY;
        let steady = (self.rate * window.secs()).floor() as usize;
        let interval = window.0 / steady.max(1) as u64;
        let before = |i: usize| Time(now.0.saturating_sub(interval * (steady - i) as u64));
        self.started = Some(Started {
            window,
            limit: steady + self.capacity as usize,
            times: (0..steady).map(before).collect(),
        });
        self
    }

    /// Number of loads that may start now. An unanswered load may start at any moment, so it keeps
    /// its token.
    pub fn available(&mut self, now: Time) -> usize {
        self.level = (self.level + now.since(self.refilled).secs() * self.rate).min(self.capacity);
        self.refilled = now;
        // One that started at the last moment counts in the window after it.
        let window = self.started.as_ref().map_or(Span::ZERO, |s| s.window);
        self.unanswered
            .retain(|at| now.since(*at) < MAX_ORDER_DELAY + window);
        let unanswered = self.unanswered.len();
        match &mut self.started {
            Some(started) => {
                let remaining = started.remaining(now).saturating_sub(unanswered);
                remaining.min(self.level.max(0.0) as usize)
            }
            None => (self.level - unanswered as f64).max(0.0) as usize,
        }
    }

    /// Takes the token of one load, which starts at the time of the last call of [`Bucket::available`].
    pub fn take(&mut self) {
        self.level -= 1.0;
        if let Some(started) = &mut self.started {
            started.times.push_back(self.refilled);
        }
    }

    /// Records a load without an answer.
    pub fn note_unanswered(&mut self, now: Time) {
        self.unanswered.push(now);
    }
}
