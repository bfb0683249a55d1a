//! Exponentially smoothed average of samples between 0 and 1.

use unit::{Span, Time};

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Time in which the average halves without samples, so that an avoided replica is tried again.
const HALF_LIFE: Span = Span::from_ms(1_500);

/// Smoothed average that decays towards 0 while no sample comes.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Average {
    value: f64,
    updated_at: Time,
}

impl Average {
    /// Average at `now`, including its decay.
    pub(super) fn current(&self, now: Time) -> f64 {
        let halves = now.since(self.updated_at).secs() / HALF_LIFE.secs();
        self.value * 0.5_f64.powf(halves)
    }

    pub(super) fn record(&mut self, sample: f64, now: Time) {
        let before = self.current(now);
        self.value = before + (sample - before) * SAMPLE_WEIGHT;
        self.updated_at = now;
    }
}
