//! Demand for each model, from the sums of all hosts.

use super::Planner;
use crate::routes::Routes;
use place::copies;
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Use of a replica beyond which demand counts as needing another one.
const TARGET_UTILIZATION: f64 = 0.4;

/// Time over which recent demand is smoothed.
const SMOOTHING_PERIOD: Span = Span::from_secs(20);

/// Time ahead for which a rise of demand is followed: about that of a load from a disk.
const FORECAST_PERIOD: Span = Span::from_ms(1_500);

/// Most of the present demand that a rise may add to it.
const MAX_RISE: f64 = 0.5;

/// Least time between two measurements that a rise is divided by, in seconds.
const MIN_INTERVAL_SECS: f64 = 0.05;

/// Recent demand, in replicas kept busy, from a single request: about what is left of it, smoothed over
/// [`RECENT_OVER`], once it is over.
const FIRST_REQUEST_DEMAND: f64 = 0.02;

/// Time over which models that were not asked for and then were are counted.
const ACTIVATION_WINDOW: Span = Span::from_secs(30);

/// Time in which a copy can be had again: room for it, and a load from the weight store.
const RELOAD_PERIOD: Span = Span::from_secs(10);

/// Demand to be expected, within [`BACK_IN`], of a model that nobody asks for: by how many of those woke
/// lately, and with what demand.
pub(super) fn expected_idle_demand<'a>(
    demands: impl Iterator<Item = &'a Demand>,
    models: usize,
    now: Time,
) -> f64 {
    let (mut woke, mut asked) = (0.0, 0);
    for demand in demands {
        woke += demand.activation_peak(now);
        asked += usize::from(demand.activation.is_some());
    }
    let idle = models.saturating_sub(asked).max(1);
    woke / idle as f64 * (RELOAD_PERIOD.secs() / ACTIVATION_WINDOW.secs())
}

/// Demand for a model, in replicas that it would keep busy.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    /// Present demand, with what its rise adds.
    pub(super) current: f64,
    /// Demand smoothed over [`RECENT_OVER`].
    pub(super) recent: f64,
    /// Since when it is asked for while no replica holds it.
    pub(super) unserved_since: Option<Time>,
    /// Since when it is asked for, and its greatest demand since.
    activation: Option<(Time, f64)>,
}

impl Demand {
    /// Notes that a host has a request for the model, which is on no replica; tells whether that is news.
    pub(super) fn note_missing(&mut self) -> bool {
        let known = self.recent >= FIRST_REQUEST_DEMAND;
        self.recent = self.recent.max(FIRST_REQUEST_DEMAND);
        !known
    }

    /// Notes whether a replica holds the model.
    pub(super) fn note_held(&mut self, held: bool, now: Time) {
        self.unserved_since = match held || self.current <= 0.0 && self.unserved_since.is_none() {
            true => None,
            false => Some(self.unserved_since.unwrap_or(now)),
        };
    }

    /// Demand with which it woke, if it did lately.
    fn activation_peak(&self, now: Time) -> f64 {
        let lately = self
            .activation
            .filter(|(at, _)| now.since(*at) < ACTIVATION_WINDOW);
        lately.map_or(0.0, |(_, peak)| peak)
    }

    /// Takes in a measurement that comes `passed` after the one before.
    fn update(&mut self, need: f64, passed: Span, now: Time) {
        let weight = (passed.secs() / SMOOTHING_PERIOD.secs()).min(1.0);
        let rise = (need - self.current).max(0.0) / passed.secs().max(MIN_INTERVAL_SECS);
        self.recent += (need - self.recent) * weight;
        self.current = need + (rise * FORECAST_PERIOD.secs()).min(need * MAX_RISE);
        let (since, peak) = self.activation.unwrap_or((now, 0.0));
        let is_asked = self.current + self.recent > copies::ACTIVE_DEMAND;
        self.activation = is_asked.then(|| (since, peak.max(need)));
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
        let mut book = self.fleet.lock();
        let passed = now.since(book.measured);
        book.measured = now;
        for (service, engine) in routes.engines() {
            for model in &engine.models {
                let key = (service.clone(), model.name.clone());
                let arrivals = arrivals.get(&key).copied().unwrap_or_default();
                let (speed, run) = table.pace_of(service, &model.name);
                let reading = arrivals.tokens / (speed * 1_000.0);
                let places = arrivals.rate * run.secs() / f64::from(engine.slots);
                let need = reading.max(places) / TARGET_UTILIZATION;
                book.demand
                    .entry(key)
                    .or_default()
                    .update(need, passed, now);
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
