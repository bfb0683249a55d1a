//! Orders that were not answered and may be carried out late.

use super::{Job, MAY_LAND};
use unit::Time;

/// Orders with the time at which each was given.
#[derive(Debug, Clone, Default)]
pub(super) struct Late {
    given: Vec<(Job, Time)>,
}

impl Late {
    /// Adds an order; those that can no longer land are forgotten.
    pub(super) fn push(&mut self, job: Job, now: Time) {
        self.forget(now);
        self.given.push((job, now));
    }

    /// Adds others.
    pub(super) fn append(&mut self, others: Late) {
        self.given.extend(others.given);
    }

    /// Forgets those that can no longer land.
    pub(super) fn forget(&mut self, now: Time) {
        self.given.retain(|(_, at)| now.since(*at) < MAY_LAND);
    }

    /// The orders.
    pub(super) fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.given.iter().map(|(job, _)| job)
    }
}
