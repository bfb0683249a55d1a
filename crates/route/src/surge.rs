//! Detection of callers that send far more than their usual.
//!
//! Load answered here: one client account at several times its usual rate while replicas are busy.
//! Its excess waits behind the requests of the others. A burst in which all callers rise together is
//! no surge of any one of them.

use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Time constant of the recent rate.
const RECENT: Span = Span::from_secs(3);

/// Time constant of the usual rate.
const USUAL: Span = Span::from_secs(30);

/// Growth over the usual, relative to the growth of all other callers, from which a caller surges.
const MIN_GROWTH: f64 = 2.0;

/// Growth of the usual rate over its time constant while requests come faster.
const MAX_DRIFT: f64 = 1.5;

/// Standard deviations by which its recent requests must exceed that: single hosts see few requests.
const DEVIATIONS: f64 = 3.0;

/// Most callers that are told apart; requests of further ones count among those of all.
const MAX_CALLERS: usize = 1_024;

/// Exponentially decaying count.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    value: f64,
    at: Time,
}

impl Count {
    fn current(&self, time_constant: Span, now: Time) -> f64 {
        let age = now.since(self.at).secs() / time_constant.secs();
        self.value * (-age).exp()
    }

    fn add(&mut self, weight: f64, time_constant: Span, now: Time) {
        self.value = self.current(time_constant, now) + weight;
        self.at = now;
    }
}

/// Requests of one caller or of all.
#[derive(Debug, Clone, Copy, Default)]
struct Requests {
    recent: Count,
    usual: Count,
}

impl Requests {
    /// Adds one request, of which `weight` counts as usual.
    fn add(&mut self, weight: f64, now: Time) {
        self.recent.add(1.0, RECENT, now);
        self.usual.add(weight, USUAL, now);
    }
}

/// Requests of each caller, as this host sees them.
#[derive(Debug)]
pub struct Surges {
    since: Time,
    callers: HashMap<Name, Requests>,
    all: Requests,
}

impl Surges {
    pub fn new(now: Time) -> Surges {
        Surges {
            since: now,
            callers: HashMap::new(),
            all: Requests::default(),
        }
    }

    /// Records a request that arrived.
    pub fn record(&mut self, caller: &Name, now: Time) {
        self.all.add(1.0, now);
        if self.callers.len() >= MAX_CALLERS && !self.callers.contains_key(caller) {
            return;
        }
        let known = self.callers.get(caller).copied().unwrap_or_default();
        let (recent, usual) = self.counts(&known, now);
        let weight = (MAX_DRIFT * (usual + 1.0) / (recent + 1.0)).min(1.0);
        self.callers
            .entry(caller.clone())
            .or_default()
            .add(weight, now);
    }

    /// Whether a caller sends far more than its usual while the others do not.
    pub fn exceeds(&self, caller: &Name, now: Time) -> bool {
        let Some(own) = self.callers.get(caller) else {
            return false;
        };
        let (recent, usual) = self.counts(own, now);
        let (all_recent, all_usual) = self.counts(&self.all, now);
        let (others_recent, others_usual) = (all_recent - recent, all_usual - usual);
        // Callers that are alone compete with nobody.
        if others_recent < 1.0 {
            return false;
        }
        let growth = (others_recent / others_usual.max(1.0)).max(1.0);
        let expected = usual * growth * MIN_GROWTH;
        recent > expected + DEVIATIONS * (expected + 1.0).sqrt()
    }

    /// Recent requests, and the number that the usual rate gives in the same time.
    fn counts(&self, requests: &Requests, now: Time) -> (f64, f64) {
        let recent = requests.recent.current(RECENT, now);
        let usual = requests.usual.current(USUAL, now);
        let observed = now.since(self.since);
        let scale = window(RECENT, observed) / window(USUAL, observed);
        (recent, usual * scale)
    }
}

/// Time in seconds that a decaying count of that time constant covers after `observed`.
fn window(time_constant: Span, observed: Span) -> f64 {
    let tau = time_constant.secs();
    tau * (1.0 - (-observed.secs().max(0.1) / tau).exp())
}
