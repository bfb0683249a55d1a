//! Orders without an answer, which may still be executed.

use super::{Job, MAX_ORDER_DELAY};
use unit::Time;

/// Orders with the time at which each was sent.
#[derive(Debug, Clone, Default)]
pub(super) struct Unanswered {
    orders: Vec<(Job, Time)>,
}

impl Unanswered {
    /// Adds an order, and drops those that can no longer be executed.
    pub(super) fn push(&mut self, job: Job, now: Time) {
        self.expire(now);
        self.orders.push((job, now));
    }

    pub(super) fn append(&mut self, others: Unanswered) {
        self.orders.extend(others.orders);
    }

    /// Drops orders that can no longer be executed.
    pub(super) fn expire(&mut self, now: Time) {
        self.orders
            .retain(|(_, at)| now.since(*at) < MAX_ORDER_DELAY);
    }

    pub(super) fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.orders.iter().map(|(job, _)| job)
    }
}
