//! Orders without an answer, which may still be executed.

use super::{Job, MAX_ORDER_DELAY};
use unit::Time;

/// Orders, with the number of orders that each expects the replica to have accepted, and the time at which it was sent.
#[derive(Debug, Clone, Default)]
pub(super) struct Unanswered {
    orders: Vec<(Job, u64, Time)>,
}

impl Unanswered {
    /// Adds an order, and drops those that can no longer be executed.
    pub(super) fn push(&mut self, job: Job, expected: u64, now: Time) {
        self.expire(now);
        self.orders.push((job, expected, now));
    }

    pub(super) fn append(&mut self, others: Unanswered) {
        self.orders.extend(others.orders);
    }

    /// Drops orders that can no longer be executed.
    pub(super) fn expire(&mut self, now: Time) {
        self.orders
            .retain(|(_, _, at)| now.since(*at) < MAX_ORDER_DELAY);
    }

    pub(super) fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.orders.iter().map(|(job, _, _)| job)
    }

    /// Orders that a replica executes once it has accepted more than `accepted` orders. The others it executes in place
    /// of the next order or never.
    pub(super) fn jobs_beyond(&self, accepted: u64) -> impl Iterator<Item = &Job> {
        let beyond = self
            .orders
            .iter()
            .filter(move |(_, expected, _)| *expected > accepted);
        beyond.map(|(job, _, _)| job)
    }
}
