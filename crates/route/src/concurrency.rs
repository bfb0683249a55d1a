//! Adaptive concurrency limit per upstream: additive increase, multiplicative decrease (AIMD).

use unit::{Span, Time};

/// Multiplicative decrease, applied when the delay exceeds its target.
const DECREASE_FACTOR: f64 = 0.8;

/// Minimum time between two decreases, so that one congestion event causes only one.
const DECREASE_INTERVAL: Span = Span::from_ms(500);

/// Minimum limit, so that a single request can always pass.
const MIN_LIMIT: f64 = 2.0;

/// Concurrency limit of one upstream at one daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct Limit {
    current: f64,
    max: f64,
    last_decrease: Time,
}

impl Limit {
    /// Starts at `initial` and never exceeds `max`.
    pub fn new(initial: u32, max: u32) -> Limit {
        Limit {
            current: f64::from(initial).max(MIN_LIMIT),
            max: f64::from(max).max(MIN_LIMIT),
            last_decrease: Time(0),
        }
    }

    /// Requests that may be in flight.
    pub fn allowed(&self) -> u32 {
        self.current as u32
    }

    /// Adjusts the limit after a request, by its delay and the target for it.
    pub fn observe(&mut self, now: Time, in_flight: u32, delay: Span, target: Span) {
        if delay > target {
            self.decrease(now);
            return;
        }
        let used = f64::from(in_flight) * 2.0 >= self.current;
        if used {
            self.current = (self.current + 1.0 / self.current).min(self.max);
        }
    }

    /// Decreases the limit, also when the upstream refused a request as overloaded.
    pub fn decrease(&mut self, now: Time) {
        if now.since(self.last_decrease) < DECREASE_INTERVAL {
            return;
        }
        self.last_decrease = now;
        self.current = (self.current * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_congestion_event_decreases_once() {
        let mut limit = Limit::new(100, 200);
        let (now, slow, target) = (Time(10_000_000), Span::from_secs(2), Span::from_secs(1));
        for _ in 0..50 {
            limit.observe(now, 100, slow, target);
        }
        assert_eq!(limit.allowed(), 80);
    }

    #[test]
    fn grows_only_when_utilized() {
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
