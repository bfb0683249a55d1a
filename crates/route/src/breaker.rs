//! Ejection of failing upstreams, and probing them back.

use unit::{Span, Time};

/// Failures in a row that eject an upstream.
const FAILURES: u32 = 3;

/// First time out; it doubles with each ejection in a row.
const FIRST_OUT: Span = Span::from_ms(500);

/// Longest time out.
const LONGEST_OUT: Span = Span::from_secs(15);

/// Health of one upstream, as seen by one daemon.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Breaker {
    failures: u32,
    ejections: u32,
    out_until: Option<Time>,
    probing: bool,
}

/// What a health means for routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Takes requests.
    Closed,
    /// Its time out is over: one request may try it.
    HalfOpen,
    /// Takes none, until that time.
    Open(Time),
}

impl Breaker {
    /// State at a time.
    pub fn state(&self, now: Time) -> State {
        match self.out_until {
            None => State::Closed,
            Some(until) if now >= until && !self.probing => State::HalfOpen,
            Some(until) => State::Open(until),
        }
    }

    /// Notes that a request was sent there.
    pub fn record_sent(&mut self, now: Time) {
        if self.state(now) == State::HalfOpen {
            self.probing = true;
        }
    }

    /// Notes an answer.
    pub fn record_success(&mut self) {
        *self = Breaker::default();
    }

    /// Notes that a request ended without a verdict on the upstream, such as a caller's leaving.
    pub fn record_inconclusive(&mut self) {
        self.probing = false;
    }

    /// Notes a failure; tells whether it ejected the upstream.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.failures += 1;
        let due = self.probing || self.failures >= FAILURES;
        self.probing = false;
        if !due || self.out_until.is_some_and(|until| now < until) {
            return false;
        }
        let factor = f64::from(1 << self.ejections.min(6));
        let out = (FIRST_OUT * factor).min(LONGEST_OUT);
        self.out_until = Some(now + out);
        self.ejections += 1;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ejects_probes_and_returns() {
        let mut health = Breaker::default();
        let at = |ms: u64| Time(ms * 1_000);
        assert!(!health.record_failure(at(0)));
        assert!(!health.record_failure(at(1)));
        assert!(health.record_failure(at(2)));
        assert_eq!(health.state(at(3)), State::Open(at(502)));
        assert_eq!(health.state(at(600)), State::HalfOpen);
        health.record_sent(at(600));
        assert!(
            matches!(health.state(at(600)), State::Open(_)),
            "one probe at a time"
        );
        assert!(health.record_failure(at(700)));
        assert_eq!(health.state(at(1_600)), State::Open(at(1_700)));
        health.record_sent(at(1_700));
        health.record_success();
        assert_eq!(health.state(at(1_701)), State::Closed);
    }
}
