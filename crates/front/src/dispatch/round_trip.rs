//! Time within which a dispatcher's answer is expected, from the measured round trips.

use unit::Span;

/// Time-out before the first answer, and the range of later ones.
const INITIAL_LIMIT: Span = Span::from_ms(25);
const LIMITS: (Span, Span) = (Span::from_ms(10), Span::from_ms(40));

/// Weights of the newest round trip in the mean and in the mean deviation, as in TCP's retransmission timer.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// Mean deviations beyond the mean within which an answer is expected.
const DEVIATIONS: f64 = 4.0;

/// Moving averages of the round trips, in microseconds.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RoundTrip {
    mean: Option<f64>,
    deviation: f64,
}

impl RoundTrip {
    pub(super) fn record(&mut self, took: Span) {
        let took = took.0 as f64;
        let Some(mean) = self.mean else {
            (self.mean, self.deviation) = (Some(took), took / 2.0);
            return;
        };
        self.deviation += ((took - mean).abs() - self.deviation) * DEVIATION_WEIGHT;
        self.mean = Some(mean + (took - mean) * MEAN_WEIGHT);
    }

    /// Time after which an answer counts as missing.
    pub(super) fn limit(&self) -> Span {
        let Some(mean) = self.mean else {
            return INITIAL_LIMIT;
        };
        let limit = Span((mean + DEVIATIONS * self.deviation) as u64);
        limit.clamp(LIMITS.0, LIMITS.1)
    }
}
