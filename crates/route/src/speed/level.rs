//! Decaying weighted mean.

use unit::{Span, Time};

/// Weight beyond which a level does not grow more inert.
const MAX_WEIGHT: f64 = 60.0;

/// Decaying weighted mean of samples. Only the weight decays; it tells how far the mean is trusted.
#[derive(Debug, Clone, Copy)]
pub(super) struct Level {
    pub(super) mean: f64,
    weight: f64,
    updated_at: Time,
    /// Time in which the weight falls to a third.
    period: Span,
    /// Mean and weight that were last sent to other hosts.
    pub(super) sent: Option<(f64, f64)>,
}

impl Level {
    /// Level without samples.
    pub(super) fn new(period: Span) -> Level {
        Level {
            mean: 0.0,
            weight: 0.0,
            updated_at: Time(0),
            period,
            sent: None,
        }
    }

    /// Weight of all samples, decayed to `now`.
    pub(super) fn weight(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).secs() / self.period.secs();
        self.weight * (-age).exp()
    }

    /// Adds a sample; the first ones count fully.
    pub(super) fn add(&mut self, sample: f64, weight: f64, now: Time) {
        let before = self.weight(now);
        let total = before + weight;
        if total <= 0.0 {
            return;
        }
        self.mean += (sample - self.mean) * weight / total;
        self.weight = total.min(MAX_WEIGHT);
        self.updated_at = now;
    }

    /// Replaces the samples by a mean and its weight.
    pub(super) fn replace(&mut self, mean: f64, weight: f64, now: Time) {
        (self.mean, self.weight, self.updated_at) = (mean, weight, now);
    }

    /// Mean together with a prior of the given weight.
    pub(super) fn with_prior(&self, prior: f64, weight: f64, now: Time) -> f64 {
        let own = self.weight(now);
        (self.mean * own + prior * weight) / (own + weight)
    }
}
