//! Place of a request at an upstream; dropping it gives the place up.

use super::Fleet;
use backing::hosts::Host;
use route::choose::Evaluation;
use std::net::SocketAddr;
use std::sync::Arc;
use unit::{Name, Span, Time};
use upstream::engine::{Load, RefusalReason};

/// Place of one attempt.
pub struct Placed {
    fleet: Option<Arc<Fleet>>,
    slot: usize,
    flight: u64,
    /// The upstream.
    pub upstream: Name,
    /// Its address.
    pub addr: SocketAddr,
    /// How the candidates were weighed.
    pub weighed: Vec<Evaluation>,
    /// When it was given.
    pub at: Time,
}

impl Placed {
    pub(super) fn new(
        fleet: Arc<Fleet>,
        slot: usize,
        flight: u64,
        host: &Host,
        weighed: Vec<Evaluation>,
        at: Time,
    ) -> Placed {
        Placed {
            fleet: Some(fleet),
            slot,
            flight,
            upstream: host.name.clone(),
            addr: host.addr,
            weighed,
            at,
        }
    }

    /// Takes the place apart without giving it up.
    pub(super) fn forget(mut self) -> (usize, u64) {
        self.fleet = None;
        (self.slot, self.flight)
    }

    fn change(&self, change: impl FnOnce(Time, &mut super::Entry)) {
        if let Some(fleet) = &self.fleet {
            fleet.change(self.slot, change);
        }
    }

    /// Notes the first sign of an answer: `delay` after sending, which should be within `target`.
    pub fn answered(&self, delay: Span, target: Span) {
        self.change(|now, entry| {
            entry.health.record_success();
            let in_flight = entry.in_flight();
            entry.limit.observe(now, in_flight, delay, target);
        });
    }

    /// Notes the end of a whole answer: its delay to the first sign, and its whole time.
    pub fn ended(&self, first: Span, whole: Span, load: Option<Load>) {
        self.change(|_, entry| {
            entry.health.record_success();
            entry.service.record(first, whole);
        });
        if let (Some(fleet), Some(load)) = (&self.fleet, load) {
            fleet.loaded(self.slot, load);
        }
    }

    /// Notes a failure.
    pub fn failed(&self) {
        self.change(|now, entry| {
            entry.health.record_failure(now);
        });
    }

    /// Notes a documented refusal.
    pub fn refused(&self, cause: RefusalReason) {
        self.change(|now, entry| match cause {
            RefusalReason::Leaving => entry.refused_leaving = true,
            RefusalReason::Full => entry.limit.decrease(now),
            RefusalReason::NotLoaded | RefusalReason::UnknownStream => entry.reported_at = Time(0),
        });
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        if let Some(fleet) = self.fleet.take() {
            fleet.release(self.slot, self.flight);
        }
    }
}
