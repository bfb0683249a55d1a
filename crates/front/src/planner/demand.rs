//! Demand for each model, from the sums of all hosts.

use super::Planner;
use crate::routes::Routes;
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Use of a replica beyond which demand counts as needing another one.
const FULL: f64 = 0.4;

/// Time over which recent demand is smoothed.
const RECENT_OVER: Span = Span::from_secs(20);

/// Time ahead for which a rise of demand is followed: about that of a load from a disk.
const AHEAD: Span = Span::from_ms(1_500);

/// Most of the present demand that a rise may add to it.
const MOST_RISE: f64 = 0.5;

/// Least time between two measurements that a rise is divided by, in seconds.
const LEAST_PASSED: f64 = 0.05;

/// Demand for a model, in replicas that it would keep busy.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    /// Present demand, with what its rise adds.
    pub(super) now: f64,
    /// Demand smoothed over [`RECENT_OVER`].
    pub(super) recent: f64,
}

impl Demand {
    /// Takes in a measurement that comes `passed` after the one before.
    fn update(&mut self, need: f64, passed: Span) {
        let weight = (passed.secs() / RECENT_OVER.secs()).min(1.0);
        let rise = (need - self.now).max(0.0) / passed.secs().max(LEAST_PASSED);
        self.recent += (need - self.recent) * weight;
        self.now = need + (rise * AHEAD.secs()).min(need * MOST_RISE);
    }
}

/// Arrivals for one model at all hosts.
#[derive(Debug, Clone, Copy, Default)]
struct Arrivals {
    /// Requests a second.
    rate: f64,
    /// Prompt tokens a second.
    tokens: f64,
}

impl Planner {
    /// Brings the demand up to date from all hosts' sums.
    pub(super) fn measure(&self, routes: &Routes) {
        let now = self.state.now();
        let arrivals = self.arrivals(now);
        let table = self.state.table.lock();
        let mut book = self.book.lock();
        let passed = now.since(book.planned_at);
        book.planned_at = now;
        for (service, engine) in routes.engines() {
            for model in &engine.models {
                let key = (service.clone(), model.name.clone());
                let arrivals = arrivals.get(&key).copied().unwrap_or_default();
                let (speed, run) = table.pace_of(service, &model.name);
                let reading = arrivals.tokens / (speed * 1_000.0);
                let places = arrivals.rate * run.secs() / f64::from(engine.slots);
                let need = reading.max(places) / FULL;
                book.demand.entry(key).or_default().update(need, passed);
            }
        }
    }

    /// Arrivals by service and model, summed over hosts.
    fn arrivals(&self, now: Time) -> HashMap<(Name, Name), Arrivals> {
        let mut sums: HashMap<(Name, Name), Arrivals> = HashMap::new();
        for demand in self
            .peers
            .inbox
            .sums(now)
            .into_iter()
            .flat_map(|h| h.demand)
        {
            let sum = sums.entry((demand.service, demand.model)).or_default();
            sum.rate += f64::from(demand.rate);
            sum.tokens += f64::from(demand.tokens);
        }
        sums
    }
}
