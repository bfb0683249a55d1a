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
pub struct Health {
    failures: u32,
    ejections: u32,
    out_until: Option<Time>,
    probing: bool,
}

/// What a health means for routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Takes requests.
    In,
    /// Its time out is over: one request may try it.
    Probe,
    /// Takes none, until that time.
    Out(Time),
}

impl Health {
    /// State at a time.
    pub fn state(&self, now: Time) -> State {
        match self.out_until {
            None => State::In,
            Some(until) if now >= until && !self.probing => State::Probe,
            Some(until) => State::Out(until),
        }
    }

    /// Notes that a request was sent there.
    pub fn sent(&mut self, now: Time) {
        if self.state(now) == State::Probe {
            self.probing = true;
        }
    }

    /// Notes an answer.
    pub fn succeeded(&mut self) {
        *self = Health::default();
    }

    /// Notes that a request ended without a verdict on the upstream, such as a caller's leaving.
    pub fn undecided(&mut self) {
        self.probing = false;
    }

    /// Notes a failure; tells whether it ejected the upstream.
    pub fn failed(&mut self, now: Time) -> bool {
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
        let mut health = Health::default();
        let at = |ms: u64| Time(ms * 1_000);
        assert!(!health.failed(at(0)));
        assert!(!health.failed(at(1)));
        assert!(health.failed(at(2)));
        assert_eq!(health.state(at(3)), State::Out(at(502)));
        assert_eq!(health.state(at(600)), State::Probe);
        health.sent(at(600));
        assert!(
            matches!(health.state(at(600)), State::Out(_)),
            "one probe at a time"
        );
        assert!(health.failed(at(700)));
        assert_eq!(health.state(at(1_600)), State::Out(at(1_700)));
        health.sent(at(1_700));
        health.succeeded();
        assert_eq!(health.state(at(1_701)), State::In);
    }
}
