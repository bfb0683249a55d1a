//! Place of a request at an upstream; dropping it gives the place up.

use super::Fleet;
use backing::hosts::Host;
use route::choose::Evaluation;
use std::net::SocketAddr;
use std::sync::Arc;
use unit::{Name, Span, Time};
use upstream::engine::{Load, RefusalReason};

/// Place of one attempt.
pub struct Reservation {
    fleet: Option<Arc<Fleet>>,
    slot: usize,
    attempt: u64,
    /// The upstream.
    pub upstream: Name,
    /// Its address.
    pub addr: SocketAddr,
    /// How the candidates were evaluated.
    pub evaluations: Vec<Evaluation>,
    /// When it was given.
    pub reserved_at: Time,
}

impl Reservation {
    pub(super) fn new(
        fleet: Arc<Fleet>,
        slot: usize,
        attempt: u64,
        host: &Host,
        evaluations: Vec<Evaluation>,
        reserved_at: Time,
    ) -> Reservation {
        Reservation {
            fleet: Some(fleet),
            slot,
            attempt,
            upstream: host.name.clone(),
            addr: host.addr,
            evaluations,
            reserved_at,
        }
    }

    /// Takes the place apart without giving it up.
    pub(super) fn into_parts(mut self) -> (usize, u64) {
        self.fleet = None;
        (self.slot, self.attempt)
    }

    fn change(&self, change: impl FnOnce(Time, &mut super::Entry)) {
        if let Some(fleet) = &self.fleet {
            fleet.change(self.slot, change);
        }
    }

    /// Notes the first sign of an answer: `delay` after sending, which should be within `target`.
    pub fn record_first_response(&self, delay: Span, target: Span) {
        self.change(|now, entry| {
            entry.breaker.record_success();
            let in_flight = entry.in_flight();
            entry.limit.observe(now, in_flight, delay, target);
        });
    }

    /// Notes the end of a whole answer: its delay to the first sign, and its whole time.
    pub fn record_completion(&self, first: Span, whole: Span, load: Option<Load>) {
        self.change(|_, entry| {
            entry.breaker.record_success();
            entry.service_time.record(first, whole);
        });
        if let (Some(fleet), Some(load)) = (&self.fleet, load) {
            fleet.record_load(self.slot, load);
        }
    }

    /// Notes a failure.
    pub fn record_failure(&self) {
        self.change(|now, entry| {
            entry.breaker.record_failure(now);
        });
    }

    /// Notes a documented refusal.
    pub fn record_refusal(&self, cause: RefusalReason) {
        self.change(|now, entry| match cause {
            RefusalReason::Leaving => entry.refused_leaving = true,
            RefusalReason::Full => entry.limit.decrease(now),
            RefusalReason::Absent | RefusalReason::Unknown => entry.reported_at = Time(0),
        });
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(fleet) = self.fleet.take() {
            fleet.release(self.slot, self.attempt);
        }
    }
}
