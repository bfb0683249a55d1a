//! What the leader told of its plans: models that come, were loaded, or are about to go.

use super::SUMS_AGE;
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// The leader's plans, as told last.
#[derive(Default)]
pub(super) struct Told {
    /// When models are expected somewhere.
    coming: HashMap<Name, Time>,
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

    /// Whether a replica was told with a model, not too long ago.
    pub(super) fn has(&self, replica: &Name, model: &Name, now: Time) -> bool {
        let mut pairs = self.pairs.iter();
        now.since(self.at) < SUMS_AGE && pairs.any(|(r, m)| r == replica && m == model)
    }
}
