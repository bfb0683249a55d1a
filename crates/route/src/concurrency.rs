//! Adaptive limit of requests in flight to one upstream: additive increase, multiplicative decrease.

use unit::{Span, Time};

/// Factor by which the limit shrinks when the measured delay is over its target.
const CUT: f64 = 0.8;

/// Least time between two cuts, so that one congestion is answered once.
const CUT_EVERY: Span = Span::from_ms(500);

/// Limit never falls below this; a lone request must always get through.
const LEAST: f64 = 2.0;

/// Limit of one upstream, as seen by one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Limit {
    current: f64,
    most: f64,
    last_cut: Time,
}

impl Limit {
    /// Starts at `start` and never passes `most`.
    pub fn new(start: u32, most: u32) -> Limit {
        Limit {
            current: f64::from(start).max(LEAST),
            most: f64::from(most).max(LEAST),
            last_cut: Time(0),
        }
    }

    /// Requests that may be in flight now.
    pub fn allowed(&self) -> u32 {
        self.current as u32
    }

    /// Learns from a request that used the limit: its delay and what it should have been.
    pub fn observe(&mut self, now: Time, in_flight: u32, delay: Span, target: Span) {
        if delay > target {
            self.decrease(now);
            return;
        }
        let used = f64::from(in_flight) * 2.0 >= self.current;
        if used {
            self.current = (self.current + 1.0 / self.current).min(self.most);
        }
    }

    /// Shrinks after a refusal for want of room.
    pub fn decrease(&mut self, now: Time) {
        if now.since(self.last_cut) < CUT_EVERY {
            return;
        }
        self.last_cut = now;
        self.current = (self.current * CUT).max(LEAST);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_congestion_cuts_once() {
        let mut limit = Limit::new(100, 200);
        let (now, slow, target) = (Time(10_000_000), Span::from_secs(2), Span::from_secs(1));
        for _ in 0..50 {
            limit.observe(now, 100, slow, target);
        }
        assert_eq!(limit.allowed(), 80);
    }

    #[test]
    fn grows_only_when_used() {
        let mut limit = Limit::new(10, 20);
        let (fast, target) = (Span::from_ms(1), Span::from_secs(1));
        for _ in 0..1_000 {
            limit.observe(Time(0), 1, fast, target);
        }
        assert_eq!(limit.allowed(), 10);
        for _ in 0..1_000 {
            limit.observe(Time(0), 20, fast, target);
        }
        assert_eq!(limit.allowed(), 20);
    }
}
