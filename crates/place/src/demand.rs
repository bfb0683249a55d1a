//! Exponentially smoothed request rates of models, which rise faster than they fall.

use std::collections::BTreeMap;
use unit::{Name, Span, Time};

/// Time constant for rising rates; short, so that replicas are added before requests miss their deadlines.
const RISE_TIME_CONSTANT: Span = Span::from_secs(5);

/// Time constant for falling rates; long, so that a pause in requests moves no replicas.
const FALL_TIME_CONSTANT: Span = Span::from_secs(45);

/// Smoothed request rate of each model.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Estimator {
    rates: BTreeMap<Name, f64>,
    updated_at: Option<Time>,
}

impl Estimator {
    /// Updates the estimate with the current arrival rates per second. A model that is not listed has none.
    pub fn update(&mut self, now: Time, arrival_rates: &BTreeMap<Name, f64>) {
        let elapsed = self.updated_at.map_or(Span::ZERO, |at| now.since(at));
        let first = self.updated_at.is_none();
        self.updated_at = Some(now);
        for (model, rate) in &mut self.rates {
            let new = arrival_rates.get(model).copied().unwrap_or(0.0);
            *rate = smooth(*rate, new, elapsed);
        }
        for (model, new) in arrival_rates {
            let start = match first {
                true => *new,
                false => smooth(0.0, *new, elapsed),
            };
            self.rates.entry(model.clone()).or_insert(start);
        }
    }

    /// Smoothed requests per second for a model.
    pub fn rate(&self, model: &str) -> f64 {
        self.rates.get(model).copied().unwrap_or(0.0)
    }
}

fn smooth(old: f64, new: f64, elapsed: Span) -> f64 {
    let time_constant = match new > old {
        true => RISE_TIME_CONSTANT,
        false => FALL_TIME_CONSTANT,
    };
    new + (old - new) * (-elapsed.secs() / time_constant.secs()).exp()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rises_fast_and_falls_slowly() {
        let mut estimator = Estimator::default();
        let rate = |r: f64| BTreeMap::from([("m".into(), r)]);
        estimator.update(Time(0), &rate(0.0));
        estimator.update(Time(0) + RISE_TIME_CONSTANT, &rate(10.0));
        let risen = estimator.rate("m");
        assert!((risen - 10.0 * (1.0 - (-1.0_f64).exp())).abs() < 1e-9);
        estimator.update(
            Time(0) + RISE_TIME_CONSTANT + RISE_TIME_CONSTANT,
            &rate(0.0),
        );
        let remaining = (-RISE_TIME_CONSTANT.secs() / FALL_TIME_CONSTANT.secs()).exp();
        assert!((estimator.rate("m") - risen * remaining).abs() < 1e-9);
        assert!(
            remaining > 0.85,
            "a pause of a few seconds takes little away"
        );
    }
}
