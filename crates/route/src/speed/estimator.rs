//! Levels of models and replicas, and what they learn from one request.

use super::Speed;
use super::exchange::Kind;
use super::level::Level;
use super::sample::{Expectation, Model};
use std::collections::{BTreeMap, BTreeSet};
use unit::{Span, Time};

/// Time in which the weight of a replica's recent samples falls to a third.
const RECENT_PERIOD: Span = Span::from_ms(1_000);

/// Time in which the weight of a replica's lasting factor falls to a third.
const LASTING_PERIOD: Span = Span::from_secs(20);

/// Time in which the weight of a model's samples falls to a third.
const MODEL_PERIOD: Span = Span::from_secs(120);

/// Weight of a replica's lasting factor against its recent samples.
const RECENT_PRIOR: f64 = 0.3;

/// Weight of the factor 1 against a replica's lasting samples.
const LASTING_PRIOR: f64 = 2.0;

/// Weight of the other models of a service against a model's own samples.
const MODEL_PRIOR: f64 = 0.3;

/// Furthest from the lasting factor that a sample counts, as a logarithm: seconds of slowness leave little behind.
const LASTING_REACH: f64 = 0.4;

/// Furthest from a model's level that a sample counts, as a logarithm, once it has [`SETTLED_WEIGHT`].
const MODEL_REACH: f64 = 0.7;

/// Weight from which a model's level is taken as known, and tells the factors of replicas.
const SETTLED_WEIGHT: f64 = 2.0;

/// Weight below which a level is dropped.
const MIN_WEIGHT: f64 = 0.02;

/// Logarithm of the most that a late first token counts more for its replica than one in time: it covers more time.
const MAX_OVERDUE: f64 = 0.7;

/// Greatest factor and inverse factor of a replica.
const MAX_FACTOR: f64 = 10.0;

/// Factor below which a replica is reported as slow.
const SLOW_BELOW: f64 = 0.4;

/// Factor above which a slow replica is reported as recovered.
const RECOVERED_ABOVE: f64 = 0.6;

/// Time to first token besides prefill where nothing was measured.
const DEFAULT_START: Span = Span::from_ms(20);

/// Speed where nothing was measured. Typical of one accelerator with a model of 70 GB.
const DEFAULT: Speed = Speed {
    prefill: 15.0,
    step: Span::from_ms(12),
    decode: Span::from_ms(2_000),
};

/// Replica that was found slow or has recovered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Transition {
    /// Hash of its name.
    pub replica: u32,
    pub factor: f64,
    pub is_slow: bool,
}

/// Levels of all models and replicas.
#[derive(Debug, Default)]
pub struct Estimator {
    pub(super) levels: BTreeMap<(Kind, u32), Level>,
    /// Samples of this host that were not sent to the leader: mean and weight.
    pub(super) unreported: BTreeMap<(Kind, u32), (f64, f64)>,
    /// Levels that may have changed notably since they were sent to all hosts.
    pub(super) changed: BTreeSet<(Kind, u32)>,
    /// Last level that was sent in turn.
    pub(super) turn: Option<(Kind, u32)>,
    /// Replicas that were reported as slow.
    slow: BTreeSet<u32>,
}

impl Estimator {
    /// Speed of a model on a replica of factor 1.
    pub fn model(&self, model: &Model, now: Time) -> Speed {
        Speed {
            prefill: self.model_level(Kind::Prefill, model, now).exp(),
            step: Span(self.model_level(Kind::Step, model, now).exp() as u64),
            decode: Span::from_secs_f64(self.model_level(Kind::Decode, model, now) / 1e3),
        }
    }

    /// Time to first token of a request for a model besides prefill.
    pub fn start(&self, model: &Model, now: Time) -> Span {
        Span(self.model_level(Kind::Start, model, now).exp() as u64)
    }

    /// Factor of a replica: 1 for one as fast as the others, 0.2 for one that takes five times as long.
    pub fn factor(&self, replica: u32, now: Time) -> f64 {
        self.log_factor(replica, now).exp()
    }

    /// Speed of a replica with a model.
    pub fn speed(&self, replica: u32, model: &Model, now: Time) -> Speed {
        self.model(model, now).scaled(self.factor(replica, now))
    }

    /// Records the first token of a request, `took` after it was sent. Returns whether it told anything
    /// of speeds.
    pub fn record_first_token(
        &mut self,
        replica: u32,
        model: &Model,
        expected: &Expectation,
        took: Span,
        now: Time,
    ) -> bool {
        if let Some(start) = expected.measured_start(took) {
            let sample = (start.0 as f64).ln();
            self.record_model(Kind::Start, model, sample, 1.0, now);
        }
        let Some(weight) = expected.weight() else {
            return false;
        };
        let error = expected.error(took);
        let measured = expected.speed.prefill.ln() + error;
        let factor = self.log_factor(replica, now);
        let level = self.model_level(Kind::Prefill, model, now);
        let is_settled = self.weight((Kind::Prefill, model.key), now) >= SETTLED_WEIGHT;
        self.record_model(Kind::Prefill, model, measured - factor, weight, now);
        if is_settled {
            let weight = weight * (-error).clamp(0.0, MAX_OVERDUE).exp();
            self.record((Kind::Recent, replica), measured - level, weight, now);
        }
        true
    }

    /// Records the duration of a decode step without prefill.
    pub fn record_step(&mut self, replica: u32, model: &Model, step: Span, now: Time) {
        let sample = (step.0.max(1) as f64).ln() + self.log_factor(replica, now);
        self.record_model(Kind::Step, model, sample, 1.0, now);
    }

    /// Records the time from the first token of a request to its last.
    pub fn record_decode(&mut self, replica: u32, model: &Model, decode: Span, now: Time) {
        let sample = decode.ms() * self.factor(replica, now);
        self.record_model(Kind::Decode, model, sample, 1.0, now);
    }

    /// Drops what is known of a replica that was restarted or removed.
    pub fn forget(&mut self, replica: u32) {
        for key in [(Kind::Recent, replica), (Kind::Lasting, replica)] {
            self.levels.remove(&key);
            self.unreported.remove(&key);
        }
        self.slow.remove(&replica);
    }

    /// Replicas that were found slow or have recovered since the last call.
    pub fn take_transitions(&mut self, now: Time) -> Vec<Transition> {
        let of_replicas = self.levels.range(..(Kind::Prefill, 0));
        let mut replicas: BTreeSet<u32> = of_replicas.map(|((_, replica), _)| *replica).collect();
        replicas.extend(&self.slow);
        let mut transitions = Vec::new();
        for replica in replicas {
            let factor = self.factor(replica, now);
            let was_slow = self.slow.contains(&replica);
            let is_slow = match was_slow {
                true => factor < RECOVERED_ABOVE,
                false => factor < SLOW_BELOW,
            };
            if is_slow == was_slow {
                continue;
            }
            match is_slow {
                true => self.slow.insert(replica),
                false => self.slow.remove(&replica),
            };
            transitions.push(Transition {
                replica,
                factor,
                is_slow,
            });
        }
        transitions
    }

    /// Factors of the replicas that have one, by hash.
    pub fn factors(&self, now: Time) -> Vec<(u32, f64)> {
        let lasting = self.levels.range((Kind::Lasting, 0)..(Kind::Prefill, 0));
        lasting
            .map(|((_, replica), _)| (*replica, self.factor(*replica, now)))
            .collect()
    }

    /// Whether a model's prefill speed was measured.
    pub fn is_measured(&self, model: &Model) -> bool {
        self.levels.contains_key(&(Kind::Prefill, model.key))
    }

    /// Whether nothing was measured.
    pub fn is_empty(&self) -> bool {
        self.levels.is_empty()
    }

    /// Drops levels that no longer count.
    pub fn expire(&mut self, now: Time) {
        self.levels
            .retain(|_, level| level.weight(now) >= MIN_WEIGHT);
    }

    /// Logarithm of a replica's factor.
    fn log_factor(&self, replica: u32, now: Time) -> f64 {
        let lasting = self.lasting(replica, now);
        let recent = self.levels.get(&(Kind::Recent, replica));
        let factor = recent.map_or(lasting, |l| l.with_prior(lasting, RECENT_PRIOR, now));
        factor.clamp(-MAX_FACTOR.ln(), MAX_FACTOR.ln())
    }

    fn lasting(&self, replica: u32, now: Time) -> f64 {
        let level = self.levels.get(&(Kind::Lasting, replica));
        level.map_or(0.0, |l| l.with_prior(0.0, LASTING_PRIOR, now))
    }

    /// Level of a model; that of the other models of its service where it has few samples.
    fn model_level(&self, kind: Kind, model: &Model, now: Time) -> f64 {
        let typical = self.levels.get(&(kind, model.service));
        let typical = match typical {
            Some(level) => level.mean - model.size_term(kind),
            None => default_level(kind),
        };
        let own = self.levels.get(&(kind, model.key));
        own.map_or(typical, |l| l.with_prior(typical, MODEL_PRIOR, now))
    }

    fn weight(&self, key: (Kind, u32), now: Time) -> f64 {
        self.levels.get(&key).map_or(0.0, |l| l.weight(now))
    }

    /// Records a sample of a model, also for the other models of its service.
    fn record_model(&mut self, kind: Kind, model: &Model, sample: f64, weight: f64, now: Time) {
        self.record((kind, model.key), sample, weight, now);
        let typical = sample + model.size_term(kind);
        self.record((kind, model.service), typical, weight, now);
    }

    /// Records a sample, and keeps it for the leader.
    fn record(&mut self, key: (Kind, u32), sample: f64, weight: f64, now: Time) {
        let (mean, total) = self.unreported.entry(key).or_default();
        *mean += (sample - *mean) * weight / (*total + weight);
        *total += weight;
        self.add(key, sample, weight, now);
    }

    /// Adds a sample of this or another host.
    pub(super) fn add(&mut self, key: (Kind, u32), sample: f64, weight: f64, now: Time) {
        let (kind, hash) = key;
        if kind == Kind::Recent {
            let lasting = self.lasting(hash, now);
            let near = sample.clamp(lasting - LASTING_REACH, lasting + LASTING_REACH);
            self.add_to_level((Kind::Lasting, hash), near, weight, now);
        }
        self.add_to_level(key, sample, weight, now);
    }

    fn add_to_level(&mut self, key: (Kind, u32), sample: f64, weight: f64, now: Time) {
        let level = self.level_mut(key);
        let is_settled = level.weight(now) >= SETTLED_WEIGHT;
        let is_model = !matches!(key.0, Kind::Recent | Kind::Lasting | Kind::Decode);
        let sample = match is_model && is_settled {
            true => sample.clamp(level.mean - MODEL_REACH, level.mean + MODEL_REACH),
            false => sample,
        };
        level.add(sample, weight, now);
        self.changed.insert(key);
    }

    pub(super) fn level_mut(&mut self, key: (Kind, u32)) -> &mut Level {
        let period = match key.0 {
            Kind::Recent => RECENT_PERIOD,
            Kind::Lasting => LASTING_PERIOD,
            Kind::Prefill | Kind::Step | Kind::Decode | Kind::Start => MODEL_PERIOD,
        };
        self.levels.entry(key).or_insert_with(|| Level::new(period))
    }
}

/// Level where nothing was measured.
fn default_level(kind: Kind) -> f64 {
    match kind {
        Kind::Prefill => DEFAULT.prefill.ln(),
        Kind::Step => (DEFAULT.step.0 as f64).ln(),
        Kind::Decode => DEFAULT.decode.ms(),
        Kind::Start => (DEFAULT_START.0 as f64).ln(),
        Kind::Recent | Kind::Lasting => 0.0,
    }
}
