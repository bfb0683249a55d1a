//! Speeds of replicas and models, in the services that use those of each replica.
//!
//! Other services use one speed for each model, measured on this host's own requests (`pace`).

use super::pace::Pace;
use super::replica::State;
use super::{Criteria, DECODE_STEP, Table, choose};
use crate::message::{Load, replica_hash};
use platform::config::Service;
use platform::ingress::Metadata;
use route::speed::{self, Expectation, Model, Row, Speed};
use unit::{Name, Span, Time, rendezvous};

/// Most rows of samples that a report takes; the rest follows with the next.
const MAX_SAMPLE_ROWS: usize = 64;

/// What is expected of a request when it is sent, to learn from its first token.
#[derive(Debug, Clone, Copy)]
pub enum Forecast {
    /// Prompt tokens to prefill, if no other prompt waited at the replica.
    Unqueued(Option<f64>),
    /// Expected time to first token by the speed of the replica.
    BySpeed(Expectation),
}

impl Table {
    /// Prefill speed of a model in tokens per millisecond, and its decode time, over all replicas.
    pub fn pace(&self, service: &Name, model: &Name) -> (f64, Span) {
        let pace = self.model_pace(service, Some(model));
        (pace.prefill_speed, pace.decode)
    }

    /// Expected speed of a replica with a model, as of the last choice.
    pub fn speed(&self, replica: &str, service: &Name, model: &Name) -> Speed {
        match self.speed_model(service, model) {
            Some(known) => self
                .speeds
                .speed(replica_hash(replica), &known, self.seen_at),
            None => {
                let pace = self.paces.get(service, Some(model));
                Speed {
                    prefill: pace.prefill_speed,
                    step: DECODE_STEP,
                    decode: pace.decode,
                }
            }
        }
    }

    /// Factor of a replica; 1 where its service does not use the speeds of replicas.
    pub(super) fn replica_factor(&self, replica: &str, now: Time) -> f64 {
        match self.speeds.is_empty() {
            true => 1.0,
            false => self.speeds.factor(replica_hash(replica), now),
        }
    }

    /// Time that is left to prefill the prompts that wait at a replica, given the sum of their times.
    pub(super) fn prefill_left(
        &self,
        replica: &str,
        state: &State,
        prefill_ms: f32,
        now: Time,
    ) -> Span {
        if !self.uses_speeds_of(replica) {
            return Span((f64::from(prefill_ms) * 1e3) as u64);
        }
        let factor = self.replica_factor(replica, now);
        let pending = Span((f64::from(prefill_ms) / factor * 1e3) as u64);
        state.progress.remaining(pending, factor, now)
    }

    /// Whether the service of a replica uses the speeds of replicas.
    fn uses_speeds_of(&self, replica: &str) -> bool {
        let service = self.view.get(replica).map(|r| &r.entry.service);
        let routes = self.routes.as_ref();
        let service = routes.zip(service).and_then(|(r, s)| r.service(s));
        service.is_some_and(|s| self.uses_speeds(s))
    }

    /// Whether a service uses the speeds of replicas.
    fn uses_speeds(&self, service: &Service) -> bool {
        self.features(&service.name).replica_speeds
    }

    /// Pace of a model on a replica of factor 1.
    pub(super) fn model_pace(&self, service: &Name, model: Option<&Name>) -> Pace {
        let known = model.and_then(|m| self.speed_model(service, m));
        let Some(known) = known else {
            return self.paces.get(service, model);
        };
        let speed = self.speeds.model(&known, self.seen_at);
        Pace {
            prefill_speed: speed.prefill,
            decode: speed.decode,
        }
    }

    /// Duration of a decode step of a model on a replica of factor 1.
    pub(super) fn model_step(&self, service: &Name, model: Option<&Name>, now: Time) -> Span {
        let known = model.and_then(|m| self.speed_model(service, m));
        known.map_or(DECODE_STEP, |m| self.speeds.model(&m, now).step)
    }

    /// Model of a service, if that uses the speeds of replicas.
    fn speed_model(&self, service: &Name, model: &Name) -> Option<Model> {
        let service = self.routes.as_ref()?.service(service)?;
        match self.uses_speeds(service) {
            true => identify(service, model),
            false => None,
        }
    }

    /// Forecast of a request that is about to be sent to a replica.
    pub fn forecast(&self, replica: &Name, criteria: &Criteria, now: Time) -> Forecast {
        let model = criteria.ask.model.as_ref();
        let known = model.and_then(|m| self.speed_model(criteria.service, m));
        match known {
            Some(known) => Forecast::BySpeed(self.expectation(replica, criteria, &known, now)),
            None => Forecast::Unqueued(self.unqueued_tokens(replica, criteria.ask, now)),
        }
    }

    /// Records the first token of a request, `took` after it was sent. Returns the ratio of the expected time to the
    /// real one, where that is known.
    pub fn record_speed(
        &mut self,
        replica: &str,
        service: &Name,
        model: &Name,
        forecast: &Forecast,
        took: Span,
        now: Time,
    ) -> Option<f64> {
        let expected = match forecast {
            Forecast::Unqueued(Some(tokens)) => {
                self.paces
                    .record_prefill_speed(service, model, *tokens, took);
                return None;
            }
            Forecast::Unqueued(None) => return None,
            Forecast::BySpeed(expected) => expected,
        };
        let known = self.speed_model(service, model)?;
        let replica = replica_hash(replica);
        self.speeds
            .record_first_token(replica, &known, expected, took, now);
        expected
            .has_room
            .then(|| expected.total().ms() / took.ms().max(1.0))
    }

    /// Records the time from the first token of a request to its last.
    pub fn record_decode(
        &mut self,
        replica: &str,
        service: &Name,
        model: &Name,
        decode: Span,
        now: Time,
    ) {
        match self.speed_model(service, model) {
            Some(known) => {
                let replica = replica_hash(replica);
                self.speeds.record_decode(replica, &known, decode, now);
            }
            None => self.paces.record_decode(service, model, decode),
        }
    }

    /// Records the pauses between the events of a stream.
    pub fn record_pauses(
        &mut self,
        replica: &str,
        service: &Name,
        model: &Name,
        pauses: &mut [Span],
        now: Time,
    ) {
        let Some(known) = self.speed_model(service, model) else {
            return;
        };
        let service = self.service(service);
        let engine = service.as_ref().and_then(|s| s.engine.as_ref());
        let stride = engine.map_or(1, |e| e.tokens_per_event);
        if let Some(step) = speed::undisturbed_step(pauses, stride) {
            let replica = replica_hash(replica);
            self.speeds.record_step(replica, &known, step, now);
        }
    }

    /// Samples of this host for its next report. The leader has them already.
    pub fn take_speed_samples(&mut self, is_leader: bool) -> Vec<Row> {
        if is_leader {
            self.speeds.drop_samples();
            return Vec::new();
        }
        self.speeds.take_samples(MAX_SAMPLE_ROWS)
    }

    /// Adds samples of another host.
    pub fn merge_speed_samples(&mut self, rows: &[Row], now: Time) {
        self.speeds.merge_samples(rows, now);
    }

    /// Rows for all hosts, at most `max` that changed and as many others.
    pub fn take_speed_rows(&mut self, max: usize, now: Time) -> Vec<Row> {
        self.speeds.take_rows(max, now)
    }

    /// Applies rows of the leader.
    pub fn apply_speeds(&mut self, rows: &[Row], now: Time) {
        self.speeds.apply_rows(rows, now);
    }

    /// Replicas that were found slow (true) or have recovered since the last call, with their factors.
    pub fn take_speed_transitions(&mut self, now: Time) -> Vec<(Name, f64, bool)> {
        let transitions = self.speeds.take_transitions(now);
        let named = transitions.into_iter().filter_map(|t| {
            let replica = self.view.id_of_hash(t.replica)?.clone();
            Some((replica, t.factor, t.is_slow))
        });
        named.collect()
    }

    /// Factors of the replicas for which one was measured.
    pub fn replica_factors(&self, now: Time) -> Vec<(Name, f64)> {
        let factors = self.speeds.factors(now).into_iter();
        let named = factors
            .filter_map(|(replica, factor)| Some((self.view.id_of_hash(replica)?.clone(), factor)));
        named.collect()
    }

    /// Models with measured speeds, by name, and their prefill speeds in tokens per millisecond.
    pub fn model_speeds(&self, now: Time) -> Vec<(Name, f64)> {
        let Some(routes) = &self.routes else {
            return Vec::new();
        };
        let mut speeds = Vec::new();
        for (service, engine) in routes.engines() {
            for model in &engine.models {
                let known = self.speed_model(service, &model.name);
                if let Some(known) = known.filter(|m| self.speeds.is_measured(m)) {
                    speeds.push((model.name.clone(), self.speeds.model(&known, now).prefill));
                }
            }
        }
        speeds
    }

    fn expectation(
        &self,
        replica: &Name,
        criteria: &Criteria,
        model: &Model,
        now: Time,
    ) -> Expectation {
        let state = self.replicas.get(replica);
        let load = state.map(|s| s.total_load(now, self.load_source(now)));
        let load = load.unwrap_or_default();
        let level = choose::priority_level(criteria.priority);
        let ahead = load.prefill_ms[..=level].iter().sum();
        let factor = self.replica_factor(replica, now);
        let left = |s| self.prefill_left(replica, s, ahead, now);
        let name = criteria.ask.model.as_ref();
        let cached = match (state, name) {
            (Some(state), Some(name)) => state.cached_tokens(name, criteria.ask),
            _ => 0,
        };
        let speed = self.speeds.model(model, now).scaled(factor);
        let tokens = criteria.ask.prompt_tokens.saturating_sub(cached);
        Expectation {
            ahead: state.map_or(Span::ZERO, left),
            prefill: speed.prefill_time(tokens),
            start: self.speeds.start(model, now),
            speed,
            has_room: self.has_room(replica, criteria, &load),
        }
    }

    /// Whether a replica has a free slot and memory for a request.
    fn has_room(&self, replica: &Name, criteria: &Criteria, load: &Load) -> bool {
        let listed = self.view.get(replica);
        let has_slot = listed.is_some_and(|r| load.requests + 1.0 <= r.entry.slots as f32);
        let service = self.service(criteria.service);
        let capacity = service.as_ref().and_then(|s| s.engine.as_ref());
        let capacity = capacity.map_or(0.0, |e| e.token_capacity as f32);
        let tokens = load.reserved_tokens + choose::max_tokens(criteria.ask) as f32;
        has_slot && (capacity <= 0.0 || tokens <= capacity)
    }

    /// Prompt tokens of a request that a replica has not cached, if no other prompt waits there.
    fn unqueued_tokens(&self, replica: &str, metadata: &Metadata, now: Time) -> Option<f64> {
        let model = metadata.model.as_ref()?;
        let state = self.replicas.get(replica);
        let load = state.map(|s| s.total_load(now, self.load_source(now)));
        let prefill_ms: f32 = load.unwrap_or_default().prefill_ms.iter().sum();
        let cached = state.map_or(0, |s| s.cached_tokens(model, metadata));
        (prefill_ms <= 0.0).then(|| metadata.prompt_tokens.saturating_sub(cached) as f64)
    }
}

/// Identity of a model of a service.
fn identify(service: &Service, model: &Name) -> Option<Model> {
    let models = &service.engine.as_ref()?.models;
    let size = models.iter().find(|m| m.name == *model)?.memory_mb;
    Some(Model {
        key: hash(&format!("{}/{}", service.name, model)),
        service: hash(&service.name),
        size,
    })
}

/// Upper 32 bits of the hash of a name.
fn hash(name: &str) -> u32 {
    (rendezvous::hash(name.as_bytes()) >> 32) as u32
}
