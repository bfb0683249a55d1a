//! Demand at this host, by service and model.

use crate::message;
use std::collections::BTreeMap;
use unit::{Name, Span, Time};

/// Time constant of the moving average.
const DEMAND_WINDOW: Span = Span::from_ms(1_500);

/// Requests per second below which a model is dropped.
const MIN_RATE: f64 = 0.01;

/// Smoothed demand for one model.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    /// Requests per second.
    rate: f64,
    /// Prompt tokens per second.
    tokens: f64,
    /// Time up to which the decay has been applied.
    updated_at: Time,
}

impl Demand {
    fn decay(&mut self, now: Time) {
        let factor = (-now.since(self.updated_at).secs() / DEMAND_WINDOW.secs()).exp();
        self.rate *= factor;
        self.tokens *= factor;
        self.updated_at = self.updated_at.max(now);
    }
}

/// Demand by service and model.
#[derive(Default)]
pub(super) struct Demands(BTreeMap<(Name, Name), Demand>);

impl Demands {
    /// Counts a request with a prompt of `prompt` tokens.
    pub(super) fn record(&mut self, service: &Name, model: &Name, prompt: u64, now: Time) {
        let key = (service.clone(), model.clone());
        let demand = self.0.entry(key).or_default();
        demand.decay(now);
        demand.rate += 1.0 / DEMAND_WINDOW.secs();
        demand.tokens += prompt as f64 / DEMAND_WINDOW.secs();
    }

    /// Current demand as sent to the leader; drops models without demand.
    pub(super) fn rows(&mut self, now: Time) -> Vec<message::Demand> {
        for demand in self.0.values_mut() {
            demand.decay(now);
        }
        self.0.retain(|_, d| d.rate > MIN_RATE);
        let rows = self.0.iter().map(|((service, model), d)| message::Demand {
            service: service.clone(),
            model: model.clone(),
            rate: d.rate as f32,
            tokens: d.tokens as f32,
        });
        rows.collect()
    }
}
