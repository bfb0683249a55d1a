//! Retry budget over a sliding window: a share of the requests, plus a slack.
//!
//! The budget is one for all hosts; each spends the part that its own requests earn, and an equal
//! part of the slack. What it knows of the number of hosts may be stale, so it errs low.

use std::collections::VecDeque;
use unit::{Span, Time};

/// Steps into which the window is cut.
const STEPS: u64 = 10;

/// Part of the allowance that is spent; the rest covers hosts that are not known yet.
const SPENT_PART: f64 = 0.5;

/// Sliding counts of requests and retries of one service at one host.
#[derive(Debug, Clone)]
pub struct WindowedBudget {
    share: f64,
    slack: f64,
    length: Span,
    steps: VecDeque<Step>,
}

/// Counts of one step of the window.
#[derive(Debug, Clone, Copy)]
struct Step {
    start: Time,
    requests: u32,
    retries: u32,
}

impl WindowedBudget {
    /// Makes an empty window: `share` of the requests in `length`, and `slack` over all hosts.
    pub fn new(share: f64, slack: f64, length: Span) -> WindowedBudget {
        WindowedBudget {
            share,
            slack,
            length,
            steps: VecDeque::new(),
        }
    }

    /// The step that holds now; those that have left the window are forgotten.
    fn step(&mut self, now: Time) -> &mut Step {
        let length = self.length;
        while self
            .steps
            .front()
            .is_some_and(|s| now.since(s.start) > length)
        {
            self.steps.pop_front();
        }
        let step = Span(length.0 / STEPS);
        if self.steps.back().is_none_or(|s| now.since(s.start) >= step) {
            self.steps.push_back(Step {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        self.steps
            .back_mut()
            .expect("a step was pushed if none was there")
    }

    /// Notes a request.
    pub fn record_request(&mut self, now: Time) {
        self.step(now).requests += 1;
    }

    /// Spends a retry if the budget of one host among `hosts` has one. A host that does not know how
    /// many there are has no part of the slack: after a loss of power all of them start at once.
    pub fn spend(&mut self, now: Time, hosts: Option<usize>) -> bool {
        self.step(now);
        let requests: u32 = self.steps.iter().map(|s| s.requests).sum();
        let retries: u32 = self.steps.iter().map(|s| s.retries).sum();
        let slack = hosts.map_or(0.0, |hosts| self.slack / hosts.max(1) as f64);
        let allowed = (f64::from(requests) * self.share + slack) * SPENT_PART;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.step(now).retries += 1;
        true
    }
}
