//! Smoothed demand for one model.

use unit::{Span, Time};

/// Time constant of the smoothing of arrivals; placement smooths again over minutes.
const TIME_CONSTANT: Span = Span::from_secs(10);

/// Exponentially smoothed arrival rate and attainment of latency targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    rate: f64,
    attainment: f64,
    last: Time,
}

impl Demand {
    pub fn new(now: Time) -> Demand {
        Demand {
            rate: 0.0,
            attainment: 1.0,
            last: now,
        }
    }

    fn decay(&mut self, now: Time) {
        let factor = (-now.since(self.last).secs() / TIME_CONSTANT.secs()).exp();
        self.rate *= factor;
        self.last = self.last.max(now);
    }

    pub fn record_arrival(&mut self, now: Time) {
        self.decay(now);
        self.rate += 1.0 / TIME_CONSTANT.secs();
    }

    /// Records a completed request and whether it met its targets.
    pub fn record_completion(&mut self, met: bool) {
        // Moving average over about 20 requests.
        self.attainment += (f64::from(u8::from(met)) - self.attainment) / 20.0;
    }

    /// Arrivals per second.
    pub fn rate(&mut self, now: Time) -> f64 {
        self.decay(now);
        self.rate
    }

    /// Fraction of requests that met their targets.
    pub fn attainment(&self) -> f64 {
        self.attainment
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn converges_to_a_steady_rate() {
        let mut demand = Demand::new(Time(0));
        for i in 0..10_000 {
            demand.record_arrival(Time(i * 10_000));
        }
        let rate = demand.rate(Time(10_000 * 10_000));
        assert!((90.0..110.0).contains(&rate), "{rate}");
    }
}
