//! What this daemon knows of one replica beyond its entry.

use super::average::Average;
use super::choose::{max_tokens, priority_level};
use super::pace::Pace;
use super::rate_limit::LimitState;
use super::reachability::Reachability;
use super::{Criteria, MAX_DIGEST_AGE, MAX_DIRECT_AGE};
use crate::message::Load;
use platform::ingress::Ask;
use std::collections::{BTreeMap, VecDeque};
use unit::{Name, Time};

/// Parts of prompts remembered for each replica.
const MAX_CACHED_PARTS: usize = 512;

/// Share of a request in the table's sums.
#[derive(Debug, Clone, Copy, Default)]
pub struct Footprint {
    /// Time to read its prompt, in milliseconds; 0 once the prompt is read.
    pub(super) prefill_ms: f32,
    /// Tokens that it needs at the most.
    reserved_tokens: f32,
    /// Rank of urgency, 0 first.
    level: usize,
}

/// What is known of one replica.
#[derive(Default)]
pub(super) struct State {
    /// What this host has in flight there.
    pub(super) own: Load,
    /// What of it the leader was told last.
    pub(super) reported: Load,
    /// What of it the leader was told some while before that.
    pub(super) reported_before: Load,
    /// What the other hosts have in flight there, by the leader's sums, and when they came.
    pub(super) fleet: Load,
    pub(super) fleet_at: Time,
    /// What each other host has in flight there, as it told itself, and when.
    pub(super) by_host: BTreeMap<Name, (Load, Time)>,
    /// What is known of its limit, if it has named one.
    pub(super) limit: Option<LimitState>,
    /// Share of its answers that failed.
    pub(super) failure_rate: Average,
    /// Mark of long pauses in its streams.
    pub(super) stall_rate: Average,
    /// Whether it takes connections, and answers under its identity.
    pub(super) reachability: Reachability,
    /// Parts of prompts that it likely keeps, by model; the one used last stands last.
    cached_parts: VecDeque<(Name, u64)>,
    /// Adapters that it holds by the leader's word, as model and adapter, and when that came.
    pub(super) adapters: Vec<(Name, Name)>,
    pub(super) adapters_at: Time,
}

impl State {
    /// Keeps of a replica that has started again only what hosts have under way there, which ends by itself.
    pub(super) fn restart(&mut self) {
        let before = std::mem::take(self);
        *self = State {
            own: before.own,
            reported: before.reported,
            reported_before: before.reported_before,
            fleet: before.fleet,
            fleet_at: before.fleet_at,
            by_host: before.by_host,
            ..State::default()
        };
    }

    /// Load of all hosts, as far as it is known.
    ///
    /// What hosts tell each other directly is newer than the leader's sums, and goes first.
    pub(super) fn total_load(&self, now: Time, direct: bool) -> Load {
        let mut load = self.own;
        if direct {
            for (other, at) in self.by_host.values() {
                if now.since(*at) < MAX_DIRECT_AGE {
                    load.add(other);
                }
            }
        } else if now.since(self.fleet_at) < MAX_DIGEST_AGE {
            load.add(&self.fleet);
        }
        load
    }

    /// Counts a request in.
    pub(super) fn begin(&mut self, criteria: &Criteria, pace: &Pace) -> Footprint {
        let model = criteria.ask.model.as_ref();
        let kept = model.map_or(0, |m| self.cached_tokens(m, criteria.ask));
        let print = Footprint {
            prefill_ms: pace.prefill(model, criteria.ask, kept).ms() as f32,
            reserved_tokens: max_tokens(criteria.ask) as f32,
            level: priority_level(criteria.priority),
        };
        if let Some(model) = model {
            self.cache_parts(model, criteria.ask);
        }
        self.own.requests += 1.0;
        self.own.reserved_tokens += print.reserved_tokens;
        self.own.prefill_ms[print.level] += print.prefill_ms;
        print
    }

    /// Notes that the prompt of a request is read.
    pub(super) fn finish_prefill(&mut self, print: &Footprint) {
        let unread = &mut self.own.prefill_ms[print.level];
        *unread = (*unread - print.prefill_ms).max(0.0);
    }

    /// Counts a request out.
    pub(super) fn finish(&mut self, print: &Footprint) {
        self.own.requests = (self.own.requests - 1.0).max(0.0);
        self.own.reserved_tokens = (self.own.reserved_tokens - print.reserved_tokens).max(0.0);
        self.finish_prefill(print);
    }

    /// Tokens at the beginning of a prompt that the replica likely keeps.
    pub(super) fn cached_tokens(&self, model: &Name, ask: &Ask) -> u64 {
        let kept = ask.parts.iter().map_while(|part| {
            self.position(model, part.id)?;
            Some(part.tokens)
        });
        kept.sum()
    }

    /// Remembers the parts of a prompt; those used longest ago are forgotten.
    fn cache_parts(&mut self, model: &Name, ask: &Ask) {
        for part in &ask.parts {
            let known = self.position(model, part.id);
            let known = known.and_then(|at| self.cached_parts.remove(at));
            let newest = known.unwrap_or_else(|| (model.clone(), part.id));
            self.cached_parts.push_back(newest);
        }
        while self.cached_parts.len() > MAX_CACHED_PARTS {
            self.cached_parts.pop_front();
        }
    }

    /// Where a part of a prompt stands among those that are remembered.
    fn position(&self, model: &Name, part: u64) -> Option<usize> {
        let mut parts = self.cached_parts.iter();
        parts.position(|(m, id)| *id == part && m == model)
    }
}
