//! Distributed rate limits over all hosts, for client accounts and for replicas that advertise a limit.
//!
//! The leader runs the [`Limiter`] with one token bucket per account and per limited replica. Every host acquires units
//! from it before it admits a request of an account or sends one to such a replica. An [`Advertisement`] is the limit
//! that a replica reported, an [`Estimate`] a host's local view of the bucket before it asks. The state of a limiter is
//! not handed over: a new one starts with fully overdrawn buckets, so that rate and burst hold across any number of
//! leader changes.
//!
//! A host that gets no answer falls back to its [`Share`] of the units granted recently, for up to
//! [`FALLBACK_DURATION`]. The shares of all hosts add up to one, so that together they stay within
//! [`FALLBACK_FRACTION`] of the rate; a host that has just started has no share. The limiter reserves the shares of
//! hosts from which it gets no heartbeats.

mod advertisement;
mod contact;
mod estimate;
mod limiter;
mod share;
mod sliding_sum;

pub use advertisement::Advertisement;
pub use estimate::Estimate;
pub use limiter::{Limiter, Units};
pub use share::Share;
pub use sliding_sum::SlidingSum;

use unit::Span;

/// Time for which a host without an answer may use its share; covers the lease of a failed leader and the election of
/// the next one.
pub const FALLBACK_DURATION: Span = Span::from_ms(5_000);

/// Fraction of the rate that all hosts together use through their shares. It is below one since the burst may have been
/// used just before and the hosts do not lose contact at the same time; simulated in `tests/quota.rs`.
pub const FALLBACK_FRACTION: f64 = 0.65;

/// Age up to which units of a request that did not run are refunded. Refunds are spent later, so that a window may
/// exceed the limit by what accrues in this time.
pub const REFUND_WINDOW: Span = Span::from_ms(500);

/// Rate and burst over all hosts, in the units of an account or in requests for a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Bucket size in units.
    pub burst: f64,
}

/// State of a bucket after a grant, from which a host derives its share.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Units granted to all hosts in the last window, including this grant.
    pub granted: f64,
    /// Units left in the bucket; negative if overdrawn.
    pub available: f64,
}

/// Refusal of an acquisition for lack of units.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Time after which enough units are expected.
    pub retry_after: Span,
    /// Units left in the bucket; negative if overdrawn.
    pub available: f64,
}

/// Permitted excess over the limits in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    pub window: Span,
    /// Fraction of the limit.
    pub overage: f64,
    /// Units in addition to the overage.
    pub slack: f64,
}

/// Fraction of the slack by which a bucket may be overdrawn; the rest is for shares. Small accounts need an overdraft,
/// since a single request can take half a second's worth of their rate.
const OVERDRAFT_FRACTION: f64 = 0.5;

/// Overage consumed by answers in transit, refunds and shares. If the tolerance allows less, limits are reduced accordingly.
const REQUIRED_OVERAGE: f64 = 0.1;

/// Tolerance for limits advertised by replicas, in requests.
pub const REPLICA_TOLERANCE: Tolerance = Tolerance {
    window: Span::from_ms(4_000),
    overage: 0.5,
    slack: 5.0,
};

impl Tolerance {
    /// Maximum overdraft of a bucket in units.
    fn overdraft(&self) -> f64 {
        self.slack * OVERDRAFT_FRACTION
    }

    /// Limit that is enforced, so that the actual use stays within the given one.
    fn effective_limit(&self, limit: Limit) -> Limit {
        let factor = ((1.0 + self.overage) / (1.0 + REQUIRED_OVERAGE)).min(1.0);
        Limit {
            rate: limit.rate * factor,
            burst: limit.burst * factor,
        }
    }
}
