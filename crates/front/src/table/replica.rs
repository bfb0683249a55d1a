//! What this daemon knows of one replica beyond its entry.

use super::average::Share;
use super::choose::{rank, tokens};
use super::pace::Pace;
use super::rate_limit::Need;
use super::reachability::Absence;
use super::{Criteria, DIRECT_AGE, SUMS_AGE};
use crate::message::Load;
use platform::ingress::Ask;
use std::collections::{BTreeMap, VecDeque};
use unit::{Name, Time};

/// Parts of prompts remembered for each replica.
const KEPT_PARTS: usize = 512;

/// Share of a request in the table's sums.
#[derive(Debug, Clone, Copy, Default)]
pub struct Footprint {
    /// Time to read its prompt, in milliseconds; 0 once the prompt is read.
    pub(super) reading_ms: f32,
    /// Tokens that it needs at the most.
    reserved: f32,
    /// Rank of urgency, 0 first.
    rank: usize,
}

/// What is known of one replica.
#[derive(Default)]
pub(super) struct State {
    /// What this host has in flight there.
    pub(super) mine: Load,
    /// What of it the leader was told last.
    pub(super) told: Load,
    /// What of it the leader was told some while before that.
    pub(super) told_before: Load,
    /// What the other hosts have in flight there, by the leader's sums, and when they came.
    pub(super) others: Load,
    pub(super) others_at: Time,
    /// What each other host has in flight there, as it told itself, and when.
    pub(super) hosts: BTreeMap<Name, (Load, Time)>,
    /// What is known of its limit, if it has named one.
    pub(super) need: Option<Need>,
    /// Share of its answers that failed.
    pub(super) failing: Share,
    /// Mark of long pauses in its streams.
    pub(super) lagging: Share,
    /// Whether it takes connections, and answers under its identity.
    pub(super) absence: Absence,
    /// Parts of prompts that it likely keeps, by model; the one used last stands last.
    parts: VecDeque<(Name, u64)>,
    /// Adapters that it holds by the leader's word, as model and adapter, and when that came.
    pub(super) adapters: Vec<(Name, Name)>,
    pub(super) adapters_at: Time,
}

impl State {
    /// Keeps of a replica that has started again only what hosts have under way there, which ends by itself.
    pub(super) fn restart(&mut self) {
        let before = std::mem::take(self);
        *self = State {
            mine: before.mine,
            told: before.told,
            told_before: before.told_before,
            others: before.others,
            others_at: before.others_at,
            hosts: before.hosts,
            ..State::default()
        };
    }

    /// Load of all hosts, as far as it is known.
    ///
    /// What hosts tell each other directly is newer than the leader's sums, and goes first.
    pub(super) fn load(&self, now: Time, direct: bool) -> Load {
        let mut load = self.mine;
        if direct {
            for (other, at) in self.hosts.values() {
                if now.since(*at) < DIRECT_AGE {
                    load.add(other);
                }
            }
        } else if now.since(self.others_at) < SUMS_AGE {
            load.add(&self.others);
        }
        load
    }

    /// Counts a request in.
    pub(super) fn enter(&mut self, want: &Criteria, pace: &Pace) -> Footprint {
        let model = want.ask.model.as_ref();
        let kept = model.map_or(0, |m| self.kept(m, want.ask));
        let print = Footprint {
            reading_ms: pace.reading(model, want.ask, kept).ms() as f32,
            reserved: tokens(want.ask) as f32,
            rank: rank(want.priority),
        };
        if let Some(model) = model {
            self.keep(model, want.ask);
        }
        self.mine.requests += 1.0;
        self.mine.reserved_tokens += print.reserved;
        self.mine.prefill_ms[print.rank] += print.reading_ms;
        print
    }

    /// Notes that the prompt of a request is read.
    pub(super) fn started(&mut self, print: &Footprint) {
        let unread = &mut self.mine.prefill_ms[print.rank];
        *unread = (*unread - print.reading_ms).max(0.0);
    }

    /// Counts a request out.
    pub(super) fn leave(&mut self, print: &Footprint) {
        self.mine.requests = (self.mine.requests - 1.0).max(0.0);
        self.mine.reserved_tokens = (self.mine.reserved_tokens - print.reserved).max(0.0);
        self.started(print);
    }

    /// Tokens at the beginning of a prompt that the replica likely keeps.
    pub(super) fn kept(&self, model: &Name, ask: &Ask) -> u64 {
        let kept = ask.parts.iter().map_while(|part| {
            self.position(model, part.id)?;
            Some(part.tokens)
        });
        kept.sum()
    }

    /// Remembers the parts of a prompt; those used longest ago are forgotten.
    fn keep(&mut self, model: &Name, ask: &Ask) {
        for part in &ask.parts {
            let known = self.position(model, part.id);
            let known = known.and_then(|at| self.parts.remove(at));
            let newest = known.unwrap_or_else(|| (model.clone(), part.id));
            self.parts.push_back(newest);
        }
        while self.parts.len() > KEPT_PARTS {
            self.parts.pop_front();
        }
    }

    /// Where a part of a prompt stands among those that are remembered.
    fn position(&self, model: &Name, part: u64) -> Option<usize> {
        let mut parts = self.parts.iter();
        parts.position(|(m, id)| *id == part && m == model)
    }
}
