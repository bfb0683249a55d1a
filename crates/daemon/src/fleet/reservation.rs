//! Reservation of an upstream for one attempt of a request.

use super::Fleet;
use backing::hosts::Host;
use route::choose::Evaluation;
use std::net::SocketAddr;
use std::sync::Arc;
use unit::{Name, Span, Time};
use upstream::engine::{Load, RefusalReason};

/// Attempt counted as in flight at an upstream until this is dropped.
pub struct Reservation {
    fleet: Option<Arc<Fleet>>,
    index: usize,
    attempt: u64,
    /// Name of the upstream.
    pub upstream: Name,
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// How the candidates were evaluated.
    pub evaluations: Vec<Evaluation>,
    /// When the reservation was made.
    pub reserved_at: Time,
}

impl Reservation {
    pub(super) fn new(
        fleet: Arc<Fleet>,
        index: usize,
        attempt: u64,
        host: &Host,
        evaluations: Vec<Evaluation>,
        reserved_at: Time,
    ) -> Reservation {
        Reservation {
            fleet: Some(fleet),
            index,
            attempt,
            upstream: host.name.clone(),
            addr: host.addr,
            evaluations,
            reserved_at,
        }
    }

    /// Index and attempt id, without releasing the reservation.
    pub(super) fn into_parts(mut self) -> (usize, u64) {
        self.fleet = None;
        (self.index, self.attempt)
    }

    fn change(&self, change: impl FnOnce(Time, &mut super::Entry)) {
        if let Some(fleet) = &self.fleet {
            fleet.change(self.index, change);
        }
    }

    /// Records the first part of an answer, `delay` after sending; the limit aims at `target`.
    pub fn record_first_response(&self, delay: Span, target: Span) {
        self.change(|now, entry| {
            entry.breaker.record_success();
            let in_flight = entry.in_flight();
            entry.limit.observe(now, in_flight, delay, target);
        });
    }

    /// Records a complete answer: time to its first part, total time, and the load it carried.
    pub fn record_completion(&self, to_first: Span, total: Span, load: Option<Load>) {
        self.change(|_, entry| {
            entry.breaker.record_success();
            entry.service_time.record(to_first, total);
        });
        if let (Some(fleet), Some(load)) = (&self.fleet, load) {
            fleet.record_load(self.index, load);
        }
    }

    /// Records a failed attempt.
    pub fn record_failure(&self) {
        self.change(|now, entry| {
            entry.breaker.record_failure(now);
        });
    }

    /// Records a refusal by the upstream, according to its reason.
    pub fn record_refusal(&self, reason: RefusalReason) {
        self.change(|now, entry| match reason {
            RefusalReason::Leaving => entry.refused_leaving = true,
            RefusalReason::Full => entry.limit.decrease(now),
            // The newest report is out of date: have it polled first.
            RefusalReason::Absent | RefusalReason::Unknown => entry.reported_at = Time(0),
        });
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(fleet) = self.fleet.take() {
            fleet.release(self.index, self.attempt);
        }
    }
}
