//! Demand that this host sees, by service and model.

use crate::message;
use std::collections::BTreeMap;
use unit::{Name, Span, Time};

/// Window in which demand is counted: long enough that chance moves few copies.
const DEMAND_WINDOW: Span = Span::from_ms(1_500);

/// Requests a second below which a model counts as not asked for.
const MIN_RATE: f64 = 0.01;

/// Smoothed demand for one model.
#[derive(Debug, Clone, Copy, Default)]
struct Demand {
    /// Requests a second.
    rate: f64,
    /// Prompt tokens a second.
    tokens: f64,
    /// Until when it has decayed.
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
    /// Notes a request with a prompt of that many tokens.
    pub(super) fn record(&mut self, service: &Name, model: &Name, prompt: u64, now: Time) {
        let key = (service.clone(), model.clone());
        let demand = self.0.entry(key).or_default();
        demand.decay(now);
        demand.rate += 1.0 / DEMAND_WINDOW.secs();
        demand.tokens += prompt as f64 / DEMAND_WINDOW.secs();
    }

    /// Demand now, as it is told; what has faded away is forgotten.
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
