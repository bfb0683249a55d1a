//! Demand for one model, smoothed over time.

use unit::{Span, Time};

/// Time over which arrivals are smoothed; placement smooths again over minutes.
const SMOOTHED_OVER: Span = Span::from_secs(10);

/// Exponentially smoothed rate of arrivals and of targets met.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    rate: f64,
    attainment: f64,
    last: Time,
}

impl Demand {
    /// Starts with no demand at `now`.
    pub fn new(now: Time) -> Demand {
        Demand {
            rate: 0.0,
            attainment: 1.0,
            last: now,
        }
    }

    fn decay(&mut self, now: Time) {
        let factor = (-now.since(self.last).secs() / SMOOTHED_OVER.secs()).exp();
        self.rate *= factor;
        self.last = self.last.max(now);
    }

    /// Notes an arrival.
    pub fn record_arrival(&mut self, now: Time) {
        self.decay(now);
        self.rate += 1.0 / SMOOTHED_OVER.secs();
    }

    /// Notes an end and whether its targets were met.
    pub fn record_completion(&mut self, met: bool) {
        // A weight of 1/20: some twenty requests make up the figure.
        self.attainment += (f64::from(u8::from(met)) - self.attainment) / 20.0;
    }

    /// Requests a second.
    pub fn rate(&mut self, now: Time) -> f64 {
        self.decay(now);
        self.rate
    }

    /// Share of requests that met their targets.
    pub fn attainment(&self) -> f64 {
        self.attainment
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn follows_a_steady_rate() {
        let mut demand = Demand::new(Time(0));
        for i in 0..10_000 {
            demand.record_arrival(Time(i * 10_000));
        }
        let rate = demand.rate(Time(10_000 * 10_000));
        assert!((90.0..110.0).contains(&rate), "{rate}");
    }
}
