//! Limits held over all hosts, of what client accounts may use and of what replicas in need take: no network, no
//! clock.
//!
//! One host, the one that leads, runs the [`Limiter`]: a token bucket for each account and for each replica in need,
//! which every host asks before it lets a request in, or sends one there. A [`Notice`] is what a replica said of its
//! limit, an [`Outlook`] what a host may expect before it asks. Its state is lost with it, so that a new limiter starts with buckets
//! that are overdrawn as far as they may be: rate and burst then hold over any number of successors, and
//! nothing has to be handed over.
//!
//! A host that gets no answer goes on by its [`Share`] of what the limiter gave out lately, for
//! [`ALONE_FOR`] at the most. Shares of all hosts add up to one, so together they stay within
//! [`ALONE_PART`] of the rate; a host that has just started has no share. The limiter sets aside the
//! shares of hosts that it does not hear.

mod advertisement;
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

/// Time for which a host without an answer goes on by its share: the lease of a leader that died, and
/// the election of the next one.
pub const FALLBACK_DURATION: Span = Span::from_ms(5_000);

/// Part of an account's rate that all hosts use together by their shares. The burst may have been used
/// just before, and the hosts do not fall silent at the same moment: `tests/quota.rs` plays both.
pub const FALLBACK_FRACTION: f64 = 0.65;

/// Age up to which units of a request that did not run are given back. What is given back lets as much
/// run later, so a window may hold what the account gains in this time beyond its limit.
pub const REFUND_WINDOW: Span = Span::from_ms(500);

/// Rate and burst over all hosts: of an account in its own units, or of a replica in requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Units a second.
    pub rate: f64,
    /// Units on top of that.
    pub burst: f64,
}

/// What a host is told with units that it is given; it knows its share by that.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Units that all hosts were given in the last window, these included.
    pub granted: f64,
    /// Units that could be given out at once.
    pub available: f64,
}

/// What a host is told that asked for more than there is.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// Time after which there will be enough.
    pub retry_after: Span,
    /// Units that are there.
    pub available: f64,
}

/// What may be used beyond the limits, in any window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tolerance {
    /// Length of the window.
    pub window: Span,
    /// Part of the limit by which it may be exceeded.
    pub overage: f64,
    /// Units on top of that.
    pub slack: f64,
}

/// Part of the slack by which a bucket may be overdrawn; the rest is for shares. The smallest accounts send
/// a request a second that is half a second's rate, some of them together.
const OVERDRAFT_PART: f64 = 0.5;

/// Overage that answers on their way, units given back and shares need together. Where less is allowed,
/// as much less is given out.
const NEEDED_OVERAGE: f64 = 0.1;

/// Tolerance of the limits that replicas name, in requests.
pub const REPLICA_TOLERANCE: Tolerance = Tolerance {
    window: Span::from_ms(4_000),
    overage: 0.5,
    slack: 5.0,
};

impl Tolerance {
    /// Units by which a bucket may be overdrawn.
    fn overdraft(&self) -> f64 {
        self.slack * OVERDRAFT_PART
    }

    /// Limit by which units are given out, for what an account may use.
    fn effective_limit(&self, limit: Limit) -> Limit {
        let part = ((1.0 + self.overage) / (1.0 + NEEDED_OVERAGE)).min(1.0);
        Limit {
            rate: limit.rate * part,
            burst: limit.burst * part,
        }
    }
}
