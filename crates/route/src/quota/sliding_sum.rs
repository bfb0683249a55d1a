//! What was used in a sliding window.

use std::collections::VecDeque;
use unit::{Span, Time};

/// Steps into which the window is cut.
const STEPS: u64 = 16;

/// Sum of units over a sliding window.
#[derive(Debug, Clone)]
pub struct SlidingSum {
    window: Span,
    /// Begin of each step, and the units of it.
    steps: VecDeque<(Time, f64)>,
}

impl SlidingSum {
    /// Makes an empty one.
    pub fn new(window: Span) -> SlidingSum {
        SlidingSum {
            window,
            steps: VecDeque::new(),
        }
    }

    /// Adds units that are used now.
    pub fn add(&mut self, units: f64, now: Time) {
        let window = self.window;
        // A window that ended a while ago can still be looked at.
        let is_old = |(begin, _): &(Time, f64)| now.since(*begin) >= window + window;
        while self.steps.front().is_some_and(is_old) {
            self.steps.pop_front();
        }
        let step = Span(window.0 / STEPS);
        match self.steps.back_mut() {
            Some((begin, sum)) if now.since(*begin) < step => *sum += units,
            _ => self.steps.push_back((now, units)),
        }
    }

    /// Takes units out that were added at `at` and not used.
    pub fn remove(&mut self, units: f64, at: Time) {
        let step = self.steps.iter_mut().rev().find(|(begin, _)| *begin <= at);
        if let Some((_, sum)) = step {
            *sum = (*sum - units).max(0.0);
        }
    }

    /// Whether nothing was added for so long.
    pub fn is_idle(&self, span: Span, now: Time) -> bool {
        let last = self.steps.back();
        last.is_none_or(|(begin, _)| now.since(*begin) >= span)
    }

    /// Units used in the window that ends at a time.
    pub fn sum(&self, now: Time) -> f64 {
        let window = self.window;
        let in_window = |(begin, _): &&(Time, f64)| *begin <= now && now.since(*begin) < window;
        self.steps
            .iter()
            .filter(in_window)
            .map(|(_, sum)| sum)
            .sum()
    }
}
