//! Demand for each model, from the sums of all hosts.

use super::Planner;
use crate::routes::Routes;
use place::copies;
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

/// Recent demand, in replicas kept busy, from a single request: about what is left of it, smoothed over
/// [`RECENT_OVER`], once it is over.
const FIRST_REQUEST: f64 = 0.02;

/// Time over which models that were not asked for and then were are counted.
const WOKE_LATELY: Span = Span::from_secs(30);

/// Time in which a copy can be had again: room for it, and a load from the weight store.
const BACK_IN: Span = Span::from_secs(10);

/// Demand to be expected, within [`BACK_IN`], of a model that nobody asks for: by how many of those woke
/// lately, and with what demand.
pub(super) fn expected<'a>(
    demands: impl Iterator<Item = &'a Demand>,
    models: usize,
    now: Time,
) -> f64 {
    let (mut woke, mut asked) = (0.0, 0);
    for demand in demands {
        woke += demand.woke_with(now);
        asked += usize::from(demand.woke.is_some());
    }
    let idle = models.saturating_sub(asked).max(1);
    woke / idle as f64 * (BACK_IN.secs() / WOKE_LATELY.secs())
}

/// Demand for a model, in replicas that it would keep busy.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Demand {
    /// Present demand, with what its rise adds.
    pub(super) now: f64,
    /// Demand smoothed over [`RECENT_OVER`].
    pub(super) recent: f64,
    /// Since when it is asked for while no replica holds it.
    pub(super) unserved: Option<Time>,
    /// Since when it is asked for, and its greatest demand since.
    woke: Option<(Time, f64)>,
}

impl Demand {
    /// Notes that a host has a request for the model, which is on no replica; tells whether that is news.
    pub(super) fn note_missing(&mut self) -> bool {
        let known = self.recent >= FIRST_REQUEST;
        self.recent = self.recent.max(FIRST_REQUEST);
        !known
    }

    /// Notes whether a replica holds the model.
    pub(super) fn note_held(&mut self, held: bool, now: Time) {
        self.unserved = match held || self.now <= 0.0 && self.unserved.is_none() {
            true => None,
            false => Some(self.unserved.unwrap_or(now)),
        };
    }

    /// Demand with which it woke, if it did lately.
    fn woke_with(&self, now: Time) -> f64 {
        let lately = self.woke.filter(|(at, _)| now.since(*at) < WOKE_LATELY);
        lately.map_or(0.0, |(_, peak)| peak)
    }

    /// Takes in a measurement that comes `passed` after the one before.
    fn update(&mut self, need: f64, passed: Span, now: Time) {
        let weight = (passed.secs() / RECENT_OVER.secs()).min(1.0);
        let rise = (need - self.now).max(0.0) / passed.secs().max(LEAST_PASSED);
        self.recent += (need - self.recent) * weight;
        self.now = need + (rise * AHEAD.secs()).min(need * MOST_RISE);
        let (since, peak) = self.woke.unwrap_or((now, 0.0));
        let is_asked = self.now + self.recent > copies::ACTIVE_DEMAND;
        self.woke = is_asked.then(|| (since, peak.max(need)));
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
                let (speed, run) = table.pace(service, &model.name);
                let reading = arrivals.tokens / (speed * 1_000.0);
                let places = arrivals.rate * run.secs() / f64::from(engine.slots);
                let need = reading.max(places) / FULL;
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
            .reports(now)
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
