//! What a replica last said of how many requests a second it takes from all hosts together.
//!
//! Each answer says it anew, to the host that gets the answer; hosts tell each other, and [`Notice::join`] brings
//! what they heard together in any order.

use super::Limit;
use unit::{Span, Time};

/// Time for which a limit still holds after the first answer that names none. One that comes back in it has
/// never been over, so that nothing is sent beyond it in between.
pub const WITHDRAWAL_GRACE: Span = Span::from_ms(1_000);

/// Time by which one and the same naming may seem newer after other hosts passed it on.
const ECHO: Span = Span::from_ms(250);

/// Rate that goes to a replica which names less: only an answer can say that its need is over.
const LEAST_RATE: f64 = 0.25;

/// What a replica last said.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Advertisement {
    /// Requests a second, as it named them last.
    pub rate: f64,
    /// When it did.
    pub advertised_at: Time,
    /// When the first answer after that came which named none.
    pub withdrawn_at: Option<Time>,
}

impl Advertisement {
    /// Makes one of an answer that has just come and names a rate.
    pub fn new(rate: f64, now: Time) -> Advertisement {
        Advertisement {
            rate,
            advertised_at: now,
            withdrawn_at: None,
        }
    }

    /// Takes in an answer that names none.
    pub fn withdraw(&mut self, now: Time) {
        if now > self.advertised_at {
            self.withdrawn_at.get_or_insert(now);
        }
    }

    /// Whether the limit holds no longer.
    pub fn is_expired(&self, now: Time) -> bool {
        self.withdrawn_at
            .is_some_and(|at| now.since(at) >= WITHDRAWAL_GRACE)
    }

    /// Limit by which requests are given out by a host that may give so great a part of it.
    pub fn limit(&self, part: f64) -> Limit {
        Limit {
            rate: (self.rate * part).max(LEAST_RATE),
            burst: 0.0,
        }
    }

    /// Takes in what another host heard; tells whether that says anything else.
    pub fn merge(&mut self, told: &Advertisement) -> bool {
        let before = *self;
        let echo = match told.rate == self.rate {
            true => ECHO,
            false => Span::ZERO,
        };
        if told.advertised_at > self.advertised_at + echo {
            self.rate = told.rate;
            self.advertised_at = told.advertised_at;
        }
        let since = |at: &Time| *at > self.advertised_at;
        let unnamed = [before.withdrawn_at, told.withdrawn_at]
            .into_iter()
            .flatten();
        self.withdrawn_at = unnamed.filter(since).min();
        self.rate != before.rate || self.withdrawn_at.is_some() != before.withdrawn_at.is_some()
    }
}
