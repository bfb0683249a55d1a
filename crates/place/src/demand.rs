//! Demand for models as placement sees it: smoothed over minutes, with hysteresis.

use std::collections::BTreeMap;
use unit::{Name, Span, Time};

/// Time over which a rise is followed: fast, since a late verdict stops a line.
const RISE: Span = Span::from_secs(5);

/// Time over which a fall is followed: slow, so that a pause moves nothing.
const FALL: Span = Span::from_secs(45);

/// Smoothed demand for each model, in requests a second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Estimator {
    rates: BTreeMap<Name, f64>,
    last: Option<Time>,
}

impl Estimator {
    /// Takes in what arrives now, by model; models that are not named have none.
    pub fn update(&mut self, now: Time, arriving: &BTreeMap<Name, f64>) {
        let passed = self.last.map_or(Span::ZERO, |last| now.since(last));
        let first = self.last.is_none();
        self.last = Some(now);
        for (model, rate) in &mut self.rates {
            let new = arriving.get(model).copied().unwrap_or(0.0);
            *rate = follow(*rate, new, passed);
        }
        for (model, new) in arriving {
            let start = match first {
                true => *new,
                false => follow(0.0, *new, passed),
            };
            self.rates.entry(model.clone()).or_insert(start);
        }
    }

    /// Requests a second for a model.
    pub fn rate(&self, model: &str) -> f64 {
        self.rates.get(model).copied().unwrap_or(0.0)
    }
}

fn follow(old: f64, new: f64, passed: Span) -> f64 {
    let over = match new > old {
        true => RISE,
        false => FALL,
    };
    new + (old - new) * (-passed.secs() / over.secs()).exp()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rises_fast_and_falls_slowly() {
        let mut estimator = Estimator::default();
        let rate = |r: f64| BTreeMap::from([("m".into(), r)]);
        estimator.update(Time(0), &rate(0.0));
        estimator.update(Time(0) + RISE, &rate(10.0));
        let risen = estimator.rate("m");
        assert!((risen - 10.0 * (1.0 - (-1.0_f64).exp())).abs() < 1e-9);
        estimator.update(Time(0) + RISE + RISE, &rate(0.0));
        let kept = (-RISE.secs() / FALL.secs()).exp();
        assert!((estimator.rate("m") - risen * kept).abs() < 1e-9);
        assert!(kept > 0.85, "a pause of a few seconds takes little away");
    }
}
