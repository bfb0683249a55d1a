//! Rate limit that a replica advertises, in requests per second from all hosts together.
//!
//! Each response of the replica carries the limit to the host that receives it. Hosts exchange what they received;
//! [`Advertisement::merge`] gives the same result in any order.

use super::Limit;
use unit::{Span, Time};

/// Time for which a limit still applies after the first response without one. A limit that is advertised again within
/// it has applied throughout.
pub const WITHDRAWAL_GRACE: Span = Span::from_ms(1_000);

/// Maximum amount by which the same advertisement may appear newer after it was relayed by other hosts.
const MAX_RELAY_SKEW: Span = Span::from_ms(250);

/// Minimum rate sent to a limited replica, since only its responses can withdraw the limit.
const MIN_RATE: f64 = 0.25;

/// Limit last advertised by a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Advertisement {
    /// Requests per second.
    pub rate: f64,
    /// Time of the last response with a limit.
    pub advertised_at: Time,
    /// Time of the first response without a limit after that.
    pub withdrawn_at: Option<Time>,
}

impl Advertisement {
    /// Creates an advertisement from a response received at `now`.
    pub fn new(rate: f64, now: Time) -> Advertisement {
        Advertisement {
            rate,
            advertised_at: now,
            withdrawn_at: None,
        }
    }

    /// Records a response without a limit.
    pub fn withdraw(&mut self, now: Time) {
        if now > self.advertised_at {
            self.withdrawn_at.get_or_insert(now);
        }
    }

    /// Whether the limit no longer applies.
    pub fn is_expired(&self, now: Time) -> bool {
        self.withdrawn_at
            .is_some_and(|at| now.since(at) >= WITHDRAWAL_GRACE)
    }

    /// Limit to be enforced by a limiter that may grant the given fraction of the rate.
    pub fn limit(&self, fraction: f64) -> Limit {
        Limit {
            rate: (self.rate * fraction).max(MIN_RATE),
            burst: 0.0,
        }
    }

    /// Merges an advertisement received by another host; returns whether the rate or the withdrawal changed.
    pub fn merge(&mut self, other: &Advertisement) -> bool {
        let before = *self;
        let skew = match other.rate == self.rate {
            true => MAX_RELAY_SKEW,
            false => Span::ZERO,
        };
        if other.advertised_at > self.advertised_at + skew {
            self.rate = other.rate;
            self.advertised_at = other.advertised_at;
        }
        let since = |at: &Time| *at > self.advertised_at;
        let withdrawals = [before.withdrawn_at, other.withdrawn_at]
            .into_iter()
            .flatten();
        self.withdrawn_at = withdrawals.filter(since).min();
        self.rate != before.rate || self.withdrawn_at.is_some() != before.withdrawn_at.is_some()
    }
}
