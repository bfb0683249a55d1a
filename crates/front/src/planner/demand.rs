//! Demand for each model, from the load reports of all hosts.

use super::Planner;
use crate::routes::Routes;
use place::copies;
use place::rise::Rise;
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Utilization of a replica above which demand counts as needing another one.
const TARGET_UTILIZATION: f64 = 0.4;

/// Time constant for smoothing recent demand.
const SMOOTHING_PERIOD: Span = Span::from_secs(20);

/// Time ahead for which rising demand is extrapolated: about the duration of a load from disk.
const FORECAST_PERIOD: Span = Span::from_ms(1_500);

/// Time constant of the hosts' moving averages of arrivals.
const ARRIVALS_LAG: Span = Span::from_ms(1_500);

/// Factor by which a model may be slower than the typical one of its service.
const MAX_SLOWDOWN: f64 = 2.0;

/// Limit on what extrapolation adds, as a fraction of the current demand.
const MAX_RISE: f64 = 0.5;

/// Minimum interval in seconds that a rise is divided by.
const MIN_INTERVAL_SECS: f64 = 0.05;

/// Recent demand, in busy replicas, credited for a single request: about what remains of it,
/// smoothed over [`SMOOTHING_PERIOD`], once it has ended.
const FIRST_REQUEST_DEMAND: f64 = 0.02;

/// Time over which activations, i.e. first requests for idle models, are counted.
const ACTIVATION_WINDOW: Span = Span::from_secs(30);

/// Time to bring a copy back: to free memory and to load from the weight store.
pub(super) const RELOAD_PERIOD: Span = Span::from_secs(10);

/// Expected demand within [`RELOAD_PERIOD`] for a model without requests, from the number of recent
/// activations and their peak demand.
pub(super) fn expected_idle_demand<'a>(
    demands: impl Iterator<Item = &'a Demand>,
    models: usize,
    now: Time,
) -> f64 {
    let (mut peaks, mut active) = (0.0, 0);
    for demand in demands {
        peaks += demand.activation_peak(now);
        active += usize::from(demand.activation.is_some());
    }
    let idle = models.saturating_sub(active).max(1);
    peaks / idle as f64 * (RELOAD_PERIOD.secs() / ACTIVATION_WINDOW.secs())
}

/// Demand for a model, in replicas that it would keep busy.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    /// Current demand, with extrapolation.
    pub(super) current: f64,
    /// Demand smoothed over [`SMOOTHING_PERIOD`].
    pub(super) recent: f64,
    /// Since when there is demand while no replica holds the model.
    pub(super) unserved_since: Option<Time>,
    /// Average and slope of the demand, where copies are to come before it.
    rise: Rise,
    /// Since when there is demand, and its peak since then.
    activation: Option<(Time, f64)>,
}

impl Demand {
    /// Records a request for a model that no replica holds. Returns whether there was no recent
    /// demand for it.
    pub(super) fn note_missing(&mut self) -> bool {
        let is_known = self.recent >= FIRST_REQUEST_DEMAND;
        self.recent = self.recent.max(FIRST_REQUEST_DEMAND);
        !is_known
    }

    /// Records whether a replica holds the model.
    pub(super) fn note_held(&mut self, held: bool, now: Time) {
        self.unserved_since = match held || self.current <= 0.0 && self.unserved_since.is_none() {
            true => None,
            false => Some(self.unserved_since.unwrap_or(now)),
        };
    }

    /// Peak demand since the model's activation, if that was recent.
    fn activation_peak(&self, now: Time) -> f64 {
        let recent = self
            .activation
            .filter(|(at, _)| now.since(*at) < ACTIVATION_WINDOW);
        recent.map_or(0.0, |(_, peak)| peak)
    }

    /// Adds a measurement, `elapsed` after the previous one.
    fn update(&mut self, sample: f64, elapsed: Span, now: Time) {
        let rise = (sample - self.current).max(0.0) / elapsed.secs().max(MIN_INTERVAL_SECS);
        let current = sample + (rise * FORECAST_PERIOD.secs()).min(sample * MAX_RISE);
        self.record(sample, current, elapsed, now);
    }

    /// Adds a measurement, from which the level that demand rises to is taken.
    fn update_ahead(&mut self, sample: f64, arrivals: f64, elapsed: Span, now: Time) {
        let lag = ARRIVALS_LAG.secs();
        let current = self.rise.update(sample, arrivals, lag, elapsed.secs());
        self.record(sample, current, elapsed, now);
    }

    fn record(&mut self, sample: f64, current: f64, elapsed: Span, now: Time) {
        let weight = (elapsed.secs() / SMOOTHING_PERIOD.secs()).min(1.0);
        self.recent += (sample - self.recent) * weight;
        self.current = current;
        let (since, peak) = self.activation.unwrap_or((now, 0.0));
        let is_active = self.current + self.recent > copies::ACTIVE_DEMAND;
        self.activation = is_active.then(|| (since, peak.max(sample)));
    }
}

/// Arrivals for one model at all hosts.
#[derive(Debug, Clone, Copy, Default)]
struct Arrivals {
    /// Requests per second.
    rate: f64,
    /// Prompt tokens per second.
    tokens: f64,
}

/// Median speed and duration over the models of a service.
struct Typical {
    speed: f64,
    duration: Span,
}

impl Typical {
    fn of(mut paces: Vec<(f64, Span)>) -> Typical {
        let middle = paces.len() / 2;
        paces.sort_by(|a, b| a.0.total_cmp(&b.0));
        let speed = paces.get(middle).map_or(0.0, |p| p.0);
        paces.sort_by_key(|p| p.1);
        let duration = paces.get(middle).map_or(Span::ZERO, |p| p.1);
        Typical { speed, duration }
    }

    /// Limits a model's speed from below and its duration from above: what was measured on crowded replicas says how
    /// long requests waited there, not how many replicas they keep busy.
    fn bound(&self, speed: f64, duration: Span) -> (f64, Span) {
        let lowest = self.speed / MAX_SLOWDOWN;
        (
            speed.max(lowest),
            duration.min(self.duration * MAX_SLOWDOWN),
        )
    }
}

impl Planner {
    /// Updates the demand from the load reports of all hosts.
    pub(super) fn measure(&self, routes: &Routes) {
        let now = self.state.now();
        let arrivals = self.arrivals(now);
        let table = self.state.table.lock();
        let mut fleet = self.fleet.lock();
        let elapsed = now.since(fleet.measured);
        fleet.measured = now;
        for (service, engine) in routes.engines() {
            let early_copies = table.features(service).early_copies;
            let typical = early_copies.then(|| {
                let paces = engine.models.iter();
                Typical::of(paces.map(|m| table.pace(service, &m.name)).collect())
            });
            let has_traffic = arrivals.keys().any(|(name, _)| name == service);
            if has_traffic {
                fleet.traffic_since.entry(service.clone()).or_insert(now);
            }
            for model in &engine.models {
                let key = (service.clone(), model.name.clone());
                let arrivals = arrivals.get(&key).copied().unwrap_or_default();
                let (mut speed, mut duration) = table.pace(service, &model.name);
                if let Some(typical) = &typical {
                    (speed, duration) = typical.bound(speed, duration);
                }
                let prefill = arrivals.tokens / (speed * 1_000.0);
                let slots = arrivals.rate * duration.secs() / f64::from(engine.slots);
                let sample = prefill.max(slots) / TARGET_UTILIZATION;
                let demand = fleet.demand.entry(key).or_default();
                match early_copies {
                    true => demand.update_ahead(sample, arrivals.rate, elapsed, now),
                    false => demand.update(sample, elapsed, now),
                }
            }
        }
    }

    /// Arrivals by service and model, summed over hosts.
    fn arrivals(&self, now: Time) -> HashMap<(Name, Name), Arrivals> {
        let mut totals: HashMap<(Name, Name), Arrivals> = HashMap::new();
        self.peers.inbox.for_each_demand(now, |demand| {
            let key = (demand.service.clone(), demand.model.clone());
            let total = totals.entry(key).or_default();
            total.rate += f64::from(demand.rate);
            total.tokens += f64::from(demand.tokens);
        });
        totals
    }
}
