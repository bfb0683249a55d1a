//! State of one replica, as this host knows it beyond its entry in the store.

use super::average::Average;
use super::brittle::Word;
use super::choose::{max_tokens, priority_level};
use super::loads::LoadSource;
use super::pace::Pace;
use super::rate_limit::LimitState;
use super::reachability::Reachability;
use super::{Criteria, MAX_DIRECT_AGE};
use crate::message::Load;
use platform::ingress::Metadata;
use route::speed::Progress;
use std::collections::{BTreeMap, VecDeque};
use unit::{Name, Time};

/// Most prompt parts remembered per replica.
const MAX_CACHED_PARTS: usize = 512;

/// Contribution of one request to a replica's load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Footprint {
    /// Time to prefill its prompt, in milliseconds; 0 after its first token.
    pub(super) prefill_ms: f32,
    /// Most tokens of the KV cache that it needs.
    reserved_tokens: f32,
    /// Priority level, 0 is the most urgent.
    level: usize,
}

/// State of one replica.
#[derive(Default)]
pub(super) struct State {
    /// Load of this host's requests.
    pub(super) own: Load,
    /// Part of it that was last reported to the leader.
    pub(super) reported: Load,
    /// Part of it that was reported one latency earlier (see `REPORT_LATENCY`).
    pub(super) reported_before: Load,
    /// Load of the other hosts by the leader's digest.
    pub(super) fleet: Load,
    /// Load of each other host as it sent it directly, and when.
    pub(super) by_host: BTreeMap<Name, (Load, Time)>,
    /// What is known of its brittleness, if it ever was brittle.
    pub(super) brittle: Option<Word>,
    /// Rate limit, if the replica has advertised one.
    pub(super) limit: Option<LimitState>,
    /// Fraction of its answers that failed.
    pub(super) failure_rate: Average,
    /// Smoothed mark of stalls in its streams, from 0 to 1.
    pub(super) stall_rate: Average,
    pub(super) reachability: Reachability,
    /// Progress with the prompts that wait there.
    pub(super) progress: Progress,
    /// Prompt parts that its prefix cache likely holds, by model; the most recently used is last.
    cached_parts: VecDeque<(Name, u64)>,
    /// Adapters that it holds by the leader's digest, as model and adapter, and when that came.
    pub(super) adapters: Vec<(Name, Name)>,
    pub(super) adapters_at: Time,
}

impl State {
    /// Drops everything but the requests in flight, which end by themselves.
    pub(super) fn restart(&mut self) {
        let previous = std::mem::take(self);
        *self = State {
            own: previous.own,
            reported: previous.reported,
            reported_before: previous.reported_before,
            fleet: previous.fleet,
            by_host: previous.by_host,
            // The replicas of a service are brittle together, also after a restart.
            brittle: previous.brittle,
            ..State::default()
        };
    }

    /// Load of all hosts, as far as it is known.
    pub(super) fn total_load(&self, now: Time, source: LoadSource) -> Load {
        let mut load = self.own;
        match source {
            LoadSource::Direct => {
                for (other, at) in self.by_host.values() {
                    if now.since(*at) < MAX_DIRECT_AGE {
                        load.add(other);
                    }
                }
            }
            LoadSource::Digest => load.add(&self.fleet),
            LoadSource::Own => {}
        }
        load
    }

    /// Records a change of the prompts that wait there.
    pub(super) fn observe(&mut self, now: Time, source: LoadSource) {
        let load = self.total_load(now, source);
        let pending: f32 = load.prefill_ms.iter().sum();
        self.progress.observe(f64::from(pending), now);
    }

    /// Adds a request to the load.
    pub(super) fn begin(&mut self, criteria: &Criteria, pace: &Pace) -> Footprint {
        let model = criteria.ask.model.as_ref();
        let cached = model.map_or(0, |m| self.cached_tokens(m, criteria.ask));
        let footprint = Footprint {
            prefill_ms: pace.prefill(model, criteria.ask, cached).ms() as f32,
            reserved_tokens: max_tokens(criteria.ask) as f32,
            level: priority_level(criteria.priority),
        };
        if let Some(model) = model {
            self.cache_parts(model, criteria.ask);
        }
        self.own.requests += 1.0;
        self.own.reserved_tokens += footprint.reserved_tokens;
        self.own.prefill_ms[footprint.level] += footprint.prefill_ms;
        footprint
    }

    /// Removes the prefill of a request from the load.
    pub(super) fn finish_prefill(&mut self, footprint: &Footprint) {
        let prefill_ms = &mut self.own.prefill_ms[footprint.level];
        *prefill_ms = (*prefill_ms - footprint.prefill_ms).max(0.0);
    }

    /// Removes a request from the load.
    pub(super) fn finish(&mut self, footprint: &Footprint) {
        self.own.requests = (self.own.requests - 1.0).max(0.0);
        self.own.reserved_tokens = (self.own.reserved_tokens - footprint.reserved_tokens).max(0.0);
        self.finish_prefill(footprint);
    }

    /// Tokens at the beginning of a prompt that the replica's prefix cache likely holds.
    pub(super) fn cached_tokens(&self, model: &Name, metadata: &Metadata) -> u64 {
        let cached = metadata.segments.iter().map_while(|part| {
            self.position(model, part.id)?;
            Some(part.tokens)
        });
        cached.sum()
    }

    /// Remembers the parts of a prompt, evicting the least recently used.
    fn cache_parts(&mut self, model: &Name, metadata: &Metadata) {
        for part in &metadata.segments {
            let known = self.position(model, part.id);
            let known = known.and_then(|at| self.cached_parts.remove(at));
            let newest = known.unwrap_or_else(|| (model.clone(), part.id));
            self.cached_parts.push_back(newest);
        }
        while self.cached_parts.len() > MAX_CACHED_PARTS {
            self.cached_parts.pop_front();
        }
    }

    /// Index of a prompt part among the remembered ones.
    fn position(&self, model: &Name, part: u64) -> Option<usize> {
        let mut parts = self.cached_parts.iter();
        parts.position(|(m, id)| *id == part && m == model)
    }
}
