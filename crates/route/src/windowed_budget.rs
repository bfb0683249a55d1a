//! Retry budget over a sliding window: a fraction of the requests, plus a fixed slack.
//!
//! The budget is shared by all hosts. Each host spends the part earned by its own requests and an equal part of the
//! slack. The known number of hosts may be out of date, so the budget is not used up entirely.

use std::collections::VecDeque;
use unit::{Span, Time};

/// Number of buckets in the window.
const BUCKETS: u64 = 10;

/// Fraction of the budget that is spent; the rest covers hosts that are not known yet.
const SPENT_FRACTION: f64 = 0.5;

/// Retry budget of one service at one host.
#[derive(Debug, Clone)]
pub struct WindowedBudget {
    share: f64,
    slack: f64,
    length: Span,
    buckets: VecDeque<Bucket>,
}

/// Counts of one bucket of the window.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Time,
    requests: u32,
    retries: u32,
}

impl WindowedBudget {
    /// Allows retries of `share` of the requests in a window of `length`, plus `slack` retries over all hosts.
    pub fn new(share: f64, slack: f64, length: Span) -> WindowedBudget {
        WindowedBudget {
            share,
            slack,
            length,
            buckets: VecDeque::new(),
        }
    }

    /// Removes expired buckets and returns the current one.
    fn current(&mut self, now: Time) -> &mut Bucket {
        let length = self.length;
        while self
            .buckets
            .front()
            .is_some_and(|b| now.since(b.start) > length)
        {
            self.buckets.pop_front();
        }
        let bucket = Span(length.0 / BUCKETS);
        if self
            .buckets
            .back()
            .is_none_or(|b| now.since(b.start) >= bucket)
        {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets
            .back_mut()
            .expect("a bucket was pushed if there was none")
    }

    pub fn record_request(&mut self, now: Time) {
        self.current(now).requests += 1;
    }

    /// Spends a retry if this host's part of the budget allows one. A host that does not know the number of hosts gets
    /// no part of the slack, since after a power failure all hosts start at once.
    pub fn spend(&mut self, now: Time, hosts: Option<usize>) -> bool {
        self.current(now);
        let requests: u32 = self.buckets.iter().map(|b| b.requests).sum();
        let retries: u32 = self.buckets.iter().map(|b| b.retries).sum();
        let slack = hosts.map_or(0.0, |hosts| self.slack / hosts.max(1) as f64);
        let allowed = (f64::from(requests) * self.share + slack) * SPENT_FRACTION;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.current(now).retries += 1;
        true
    }
}
