//! Pauses of streams beside prompts: what is learned of them by service, and the streams that a prompt would meet at a
//! replica.

use super::choose::Inputs;
use super::{Criteria, Table};
use platform::replica::Entry;
use route::batch::Candidate;
use route::pause::{Batch, Profile, division};
use route::speed::Speed;
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Ratio of two replicas' prefill speeds from which they are of different rank in the division of work.
const SPEED_CLASS: f64 = 1.4;

/// Profiles by service.
#[derive(Default)]
pub(super) struct Pauses(HashMap<Name, Profile>);

impl Pauses {
    pub(super) fn profile(&self, service: &str) -> Profile {
        self.0.get(service).copied().unwrap_or_default()
    }

    fn profile_mut(&mut self, service: &Name) -> &mut Profile {
        self.0.entry(service.clone()).or_default()
    }
}

/// What is the same for all streams of a service.
#[derive(Debug, Clone, Copy)]
pub(super) struct Terms {
    profile: Profile,
    tokens_per_event: u32,
    /// Shortest pause that a route of the service allows. Streams of other hosts are known by number only.
    max_pause: Span,
}

impl Terms {
    /// Streams at a replica of this speed, among its requests in flight.
    fn batch(&self, speed: Speed, in_flight: f64, pending: Span) -> Batch {
        let prompts = pending.ms() * speed.prefill / self.profile.mean_prefill.max(1.0);
        Batch {
            speed,
            tokens_per_event: self.tokens_per_event,
            chunk: self.profile.chunk,
            slowdown: self.profile.slowdown,
            pending,
            streams: (in_flight - prompts).max(0.0),
            max_pause: self.max_pause,
        }
    }
}

impl Table {
    /// Terms of a service, if its pauses are expected by replica and a route bounds them.
    pub(super) fn pause_terms(&self, service: &Name) -> Option<Terms> {
        let routes = self.routes.as_ref()?;
        let service_config = routes.service(service)?;
        let engine = service_config.engine.as_ref()?;
        let max_pause = routes.max_pause(service)?;
        let features = self.features(service);
        // A pause that is expected at a wrong speed holds back the wrong prompts.
        let is_used = features.pause_limits && features.replica_speeds;
        is_used.then(|| Terms {
            profile: self.pauses.profile(service),
            tokens_per_event: engine.tokens_per_event,
            max_pause,
        })
    }

    /// Streams that a prompt would meet at a replica.
    pub(super) fn batch_at(
        &self,
        replica: &str,
        inputs: &Inputs,
        in_flight: f64,
        pending: Span,
    ) -> Option<Batch> {
        let terms = inputs.pause_terms.as_ref()?;
        let speed = self.speed(replica, inputs.criteria.service, inputs.model?);
        Some(terms.batch(speed, in_flight, pending))
    }

    /// Sets how well each candidate suits the kind of the request. Long prompts go to the faster replicas, streams to
    /// the slower ones; among equals, the order of their identities is the same at all hosts and for all models.
    pub(super) fn divide(&self, entries: &[&Entry], candidates: &mut [Candidate], inputs: &Inputs) {
        let (Some(terms), true) = (&inputs.pause_terms, candidates.len() > 1) else {
            return;
        };
        let rank = |index: &usize| {
            let speed = candidates[*index].beside.map_or(1.0, |b| b.speed.prefill);
            let class = (speed.ln() / SPEED_CLASS.ln()).round() as i64;
            (class, unit::rendezvous::hash(entries[*index].id.as_bytes()))
        };
        let mut order: Vec<usize> = (0..candidates.len()).collect();
        order.sort_by_key(rank);
        let last = (candidates.len() - 1) as f64;
        let slots: f64 = candidates.iter().map(|c| f64::from(c.slots)).sum();
        let utilization = candidates.iter().map(|c| c.in_flight).sum::<f64>() / slots.max(1.0);
        let length = inputs.criteria.ask.prompt_tokens as f64;
        let share = terms.profile.prompt_share(length);
        for (position, index) in order.into_iter().enumerate() {
            candidates[index].division =
                division(position as f64 / last, share, utilization, terms.max_pause);
        }
    }

    /// Streams at a replica, as known when a pause between two events begins.
    pub fn streams_at(
        &self,
        replica: &str,
        service: &Name,
        model: &Name,
        now: Time,
    ) -> Option<Batch> {
        let terms = self.pause_terms(service)?;
        let (in_flight, pending) = self.load(replica, now);
        let speed = self.speed(replica, service, model);
        Some(terms.batch(speed, in_flight, pending))
    }

    /// Records the pause between two events of a stream, by the batch known at the first of them.
    pub fn record_pause(&mut self, service: &Name, batch: &Batch, seen: Span) {
        self.pauses.profile_mut(service).record_pause(batch, seen);
    }

    /// Records the prompt of a request that is sent to a replica.
    pub(super) fn record_prompt(&mut self, replica: &str, criteria: &Criteria) {
        if self.pause_terms(criteria.service).is_none() {
            return;
        }
        let Some(model) = &criteria.ask.model else {
            return;
        };
        let state = self.replicas.get(replica);
        let cached = state.map_or(0, |s| s.cached_tokens(model, criteria.ask));
        let length = criteria.ask.prompt_tokens;
        let prefill = length.saturating_sub(cached);
        let profile = self.pauses.profile_mut(criteria.service);
        profile.record_prompt(length as f64, prefill as f64);
    }

    /// Prefill time that may be pending at each replica with streams; `None` for no limit.
    pub fn prompt_rooms(&self, now: Time) -> Vec<(Name, Option<Span>)> {
        let room = |entry: &Entry| {
            let model = &entry.resident.first()?.model;
            let batch = self.streams_at(&entry.id, &entry.service, model, now)?;
            Some((entry.id.clone(), batch.room()))
        };
        self.view.all().filter_map(|r| room(&r.entry)).collect()
    }

    /// Profile of each service with samples.
    pub fn pause_profiles(&self) -> Vec<(Name, Profile)> {
        let profiles = self.pauses.0.iter();
        profiles.map(|(name, p)| (name.clone(), *p)).collect()
    }
}
