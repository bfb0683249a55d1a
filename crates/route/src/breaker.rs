//! Circuit breaker: takes failing upstreams out of routing and probes them before they return.

use unit::{Span, Time};

/// Consecutive failures that open the breaker.
const FAILURE_THRESHOLD: u32 = 3;

/// First open interval; doubles each time that the breaker opens again without a success in between.
const BASE_OPEN_INTERVAL: Span = Span::from_ms(500);

const MAX_OPEN_INTERVAL: Span = Span::from_secs(15);

/// Circuit breaker of one upstream at one daemon.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Breaker {
    failures: u32,
    openings: u32,
    open_until: Option<Time>,
    probing: bool,
}

/// State of a breaker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Requests pass.
    Closed,
    /// The open interval is over: one request may probe the upstream.
    HalfOpen,
    /// No requests pass until the given time.
    Open(Time),
}

impl Breaker {
    pub fn state(&self, now: Time) -> State {
        match self.open_until {
            None => State::Closed,
            Some(until) if now >= until && !self.probing => State::HalfOpen,
            Some(until) => State::Open(until),
        }
    }

    /// Records a sent request, which becomes the probe of a half-open breaker.
    pub fn record_sent(&mut self, now: Time) {
        if self.state(now) == State::HalfOpen {
            self.probing = true;
        }
    }

    /// Records a success, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = Breaker::default();
    }

    /// Records a request that ended without telling anything about the upstream, such as a disconnect of the caller.
    pub fn record_inconclusive(&mut self) {
        self.probing = false;
    }

    /// Records a failure; returns whether it opened the breaker.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failures += 1;
        let opens = self.probing || self.failures >= FAILURE_THRESHOLD;
        self.probing = false;
        if !opens || self.open_until.is_some_and(|until| now < until) {
            return false;
        }
        let factor = f64::from(1 << self.openings.min(6));
        let open = (BASE_OPEN_INTERVAL * factor).min(MAX_OPEN_INTERVAL);
        self.open_until = Some(now + open);
        self.openings += 1;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn opens_probes_and_closes() {
        let mut breaker = Breaker::default();
        let at = |ms: u64| Time(ms * 1_000);
        assert!(!breaker.record_failure(at(0)));
        assert!(!breaker.record_failure(at(1)));
        assert!(breaker.record_failure(at(2)));
        assert_eq!(breaker.state(at(3)), State::Open(at(502)));
        assert_eq!(breaker.state(at(600)), State::HalfOpen);
        breaker.record_sent(at(600));
        assert!(
            matches!(breaker.state(at(600)), State::Open(_)),
            "one probe at a time"
        );
        assert!(breaker.record_failure(at(700)));
        assert_eq!(breaker.state(at(1_600)), State::Open(at(1_700)));
        breaker.record_sent(at(1_700));
        breaker.record_success();
        assert_eq!(breaker.state(at(1_701)), State::Closed);
    }
}
