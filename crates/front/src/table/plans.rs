//! What the leader told beside the sums: models that come, were loaded, or are about to go, and
//! replicas that several hosts could not reach.

use super::{SUMS_AGE, Table};
use crate::message::replica_hash;
use std::collections::{HashMap, HashSet};
use unit::{Name, Span, Time};

/// Age up to which the word that a replica cannot be reached counts: a few rounds of sums, so that
/// it ends soon with the leader.
const ABSENT_AGE: Span = Span::from_ms(600);

/// The leader's plans, as told last.
#[derive(Default)]
pub(super) struct Told {
    /// When models are expected somewhere.
    coming: HashMap<Name, Time>,
    /// Short names of replicas that several hosts could not reach, and when that was told.
    absent: (HashSet<u32>, Time),
    /// Replicas and the model that each has just loaded.
    pub(super) loaded: Pairs,
    /// Replicas and the model that each is about to give up.
    pub(super) closing: Pairs,
}

impl Told {
    /// Notes when models are expected somewhere, in milliseconds from now.
    pub(super) fn set_coming(&mut self, coming: &[(Name, u32)], now: Time) {
        let due = |ms: &u32| now + Span::from_ms(u64::from(*ms));
        let coming = coming.iter().map(|(model, ms)| (model.clone(), due(ms)));
        self.coming = coming.collect();
    }

    /// Notes which replicas several hosts could not reach.
    pub(super) fn set_absent(&mut self, absent: Vec<u32>, now: Time) {
        self.absent = (absent.into_iter().collect(), now);
    }

    /// Whether several hosts could not reach a replica a moment ago.
    pub(super) fn is_absent(&self, replica: &str, now: Time) -> bool {
        let (absent, at) = &self.absent;
        !absent.is_empty() && now.since(*at) < ABSENT_AGE && absent.contains(&replica_hash(replica))
    }

    /// Time until a model is expected somewhere.
    pub(super) fn coming(&self, model: &Name, now: Time) -> Option<Span> {
        self.coming.get(model).map(|at| at.since(now))
    }
}

/// Replicas with a model each, and when they were told.
#[derive(Default)]
pub(super) struct Pairs {
    pairs: Vec<(Name, Name)>,
    at: Time,
}

impl Pairs {
    /// Takes in what is told now in the place of what was told before.
    pub(super) fn set(&mut self, pairs: Vec<(Name, Name)>, now: Time) {
        self.pairs = pairs;
        self.at = now;
    }

    /// Drops what was told of a replica.
    pub(super) fn forget(&mut self, replica: &Name) {
        self.pairs.retain(|(r, _)| r != replica);
    }

    /// Whether a replica was told with a model, not too long ago.
    pub(super) fn has(&self, replica: &Name, model: &Name, now: Time) -> bool {
        let mut pairs = self.pairs.iter();
        now.since(self.at) < SUMS_AGE && pairs.any(|(r, m)| r == replica && m == model)
    }
}

impl Table {
    /// Time since the leader last told its plans.
    pub fn plans_age(&self, now: Time) -> Span {
        now.since(self.told.loaded.at)
    }

    /// Notes which replicas have just loaded which models.
    pub fn set_loaded(&mut self, loaded: Vec<(Name, Name)>, now: Time) {
        self.told.loaded.set(loaded, now);
    }

    /// Notes which replicas are about to give up which models.
    pub fn set_unloading(&mut self, closing: Vec<(Name, Name)>, now: Time) {
        self.told.closing.set(closing, now);
    }

    /// Notes which replicas, by their short names, several hosts could not reach.
    pub fn set_unreachable(&mut self, absent: Vec<u32>, now: Time) {
        self.told.set_absent(absent, now);
    }

    /// Notes when models are expected somewhere, in milliseconds from now.
    pub fn set_model_etas(&mut self, coming: &[(Name, u32)], now: Time) {
        self.told.set_coming(coming, now);
    }
}
