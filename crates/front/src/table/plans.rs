//! What the leader told beside the sums: models that come, were loaded, or are about to go, and
//! replicas that several hosts could not reach.

use super::{MAX_DIGEST_AGE, Table};
use crate::message::replica_hash;
use std::collections::{HashMap, HashSet};
use unit::{Name, Span, Time};

/// Age up to which the word that a replica cannot be reached counts: a few rounds of sums, so that
/// it ends soon with the leader.
const MAX_UNREACHABLE_AGE: Span = Span::from_ms(600);

/// The leader's plans, as told last.
#[derive(Default)]
pub(super) struct Plans {
    /// When models are expected somewhere.
    model_etas: HashMap<Name, Time>,
    /// Short names of replicas that several hosts could not reach, and when that was told.
    unreachable: (HashSet<u32>, Time),
    /// Replicas and the model that each has just loaded.
    pub(super) loaded: Assignments,
    /// Replicas and the model that each is about to give up.
    pub(super) unloading: Assignments,
}

impl Plans {
    /// Notes when models are expected somewhere, in milliseconds from now.
    pub(super) fn set_coming(&mut self, coming: &[(Name, u32)], now: Time) {
        let due = |ms: &u32| now + Span::from_ms(u64::from(*ms));
        let coming = coming.iter().map(|(model, ms)| (model.clone(), due(ms)));
        self.model_etas = coming.collect();
    }

    /// Notes which replicas several hosts could not reach.
    pub(super) fn set_absent(&mut self, absent: Vec<u32>, now: Time) {
        self.unreachable = (absent.into_iter().collect(), now);
    }

    /// Whether several hosts could not reach a replica a moment ago.
    pub(super) fn is_unreachable(&self, replica: &str, now: Time) -> bool {
        let (absent, at) = &self.unreachable;
        !absent.is_empty()
            && now.since(*at) < MAX_UNREACHABLE_AGE
            && absent.contains(&replica_hash(replica))
    }

    /// Time until a model is expected somewhere.
    pub(super) fn model_eta(&self, model: &Name, now: Time) -> Option<Span> {
        self.model_etas.get(model).map(|at| at.since(now))
    }
}

/// Replicas with a model each, and when they were told.
#[derive(Default)]
pub(super) struct Assignments {
    pairs: Vec<(Name, Name)>,
    at: Time,
}

impl Assignments {
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
    pub(super) fn contains(&self, replica: &Name, model: &Name, now: Time) -> bool {
        let mut pairs = self.pairs.iter();
        now.since(self.at) < MAX_DIGEST_AGE && pairs.any(|(r, m)| r == replica && m == model)
    }
}

impl Table {
    /// Time since the leader last told its plans.
    pub fn plans_age(&self, now: Time) -> Span {
        now.since(self.plans.loaded.at)
    }

    /// Notes which replicas have just loaded which models.
    pub fn set_loaded(&mut self, loaded: Vec<(Name, Name)>, now: Time) {
        self.plans.loaded.set(loaded, now);
    }

    /// Notes which replicas are about to give up which models.
    pub fn set_unloading(&mut self, closing: Vec<(Name, Name)>, now: Time) {
        self.plans.unloading.set(closing, now);
    }

    /// Notes which replicas, by their short names, several hosts could not reach.
    pub fn set_unreachable(&mut self, absent: Vec<u32>, now: Time) {
        self.plans.set_absent(absent, now);
    }

    /// Notes when models are expected somewhere, in milliseconds from now.
    pub fn set_model_etas(&mut self, coming: &[(Name, u32)], now: Time) {
        self.plans.set_coming(coming, now);
    }
}
