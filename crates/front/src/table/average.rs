//! Smoothed share of a replica's answers that went wrong in some way.

use unit::{Span, Time};

/// Weight of the newest answer in a replica's smoothed share of failures.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Time in which a share of failures halves without any answer, so that a replica is tried again.
const HALF_LIFE: Span = Span::from_ms(1_500);

/// Smoothed share of samples between 0 and 1, which fades while none comes.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Average {
    value: f64,
    updated_at: Time,
}

impl Average {
    /// The share now; it halves in [`HALF_LIFE`] without news.
    pub(super) fn current(&self, now: Time) -> f64 {
        let halves = now.since(self.updated_at).secs() / HALF_LIFE.secs();
        self.value * 0.5_f64.powf(halves)
    }

    /// Takes a sample in.
    pub(super) fn record(&mut self, sample: f64, now: Time) {
        let before = self.current(now);
        self.value = before + (sample - before) * SAMPLE_WEIGHT;
        self.updated_at = now;
    }
}
