//! Smoothed share of a replica's answers that went wrong in some way.

use unit::{Span, Time};

/// Weight of the newest answer in a replica's smoothed share of failures.
const NEWEST_FAILURE: f64 = 0.1;

/// Time in which a share of failures halves without any answer, so that a replica is tried again.
const FAILURE_HALVES: Span = Span::from_ms(1_500);

/// Smoothed share of samples between 0 and 1, which fades while none comes.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Share {
    value: f64,
    learned: Time,
}

impl Share {
    /// The share now; it halves in [`FAILURE_HALVES`] without news.
    pub(super) fn at(&self, now: Time) -> f64 {
        let halves = now.since(self.learned).secs() / FAILURE_HALVES.secs();
        self.value * 0.5_f64.powf(halves)
    }

    /// Takes a sample in.
    pub(super) fn learn(&mut self, sample: f64, now: Time) {
        let before = self.at(now);
        self.value = before + (sample - before) * NEWEST_FAILURE;
        self.learned = now;
    }
}
