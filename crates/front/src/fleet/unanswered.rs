//! Orders that were not answered and may be carried out late.

use super::{Job, MAX_ORDER_DELAY};
use unit::Time;

/// Orders with the time at which each was given.
#[derive(Debug, Clone, Default)]
pub(super) struct Unanswered {
    orders: Vec<(Job, Time)>,
}

impl Unanswered {
    /// Adds an order; those that can no longer land are forgotten.
    pub(super) fn push(&mut self, job: Job, now: Time) {
        self.expire(now);
        self.orders.push((job, now));
    }

    /// Adds others.
    pub(super) fn append(&mut self, others: Unanswered) {
        self.orders.extend(others.orders);
    }

    /// Forgets those that can no longer land.
    pub(super) fn expire(&mut self, now: Time) {
        self.orders
            .retain(|(_, at)| now.since(*at) < MAX_ORDER_DELAY);
    }

    /// The orders.
    pub(super) fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.orders.iter().map(|(job, _)| job)
    }
}
