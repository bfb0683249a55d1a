//! Places of one replica and its service time.

use super::Outcome;
use super::room::Room;
use std::cmp::Ordering;
use unit::{Span, Time};

/// Service time of a replica that has answered nothing yet.
const DEFAULT_SERVICE: Span = Span::from_ms(50);

/// Weight of the newest sample in the moving averages.
const SMOOTHING: f64 = 1.0 / 16.0;

/// Time for which requests are assumed that no host has told of.
const ASSUMED_FOR: Span = Span::from_ms(150);

/// First pause after a replica turned a request away; doubled by each further one.
const MIN_PAUSE: Span = Span::from_ms(20);

/// Longest pause.
const MAX_PAUSE: Span = Span::from_ms(640);

/// Time for which a replica gets no more requests than slots after it turned one of them away.
const NO_QUEUE_FOR: Span = Span::from_secs(10);

/// Cost of a replica that fails all requests, as a multiple of that of a sound one.
const FAILURE_COST: f64 = 8.0;

/// Time in which the average of failures halves by itself, so that a replica without requests is tried again.
const FAILURES_HALF_LIFE: Span = Span::from_secs(1);

/// Moving average of failures from which a replica counts as failing.
const FAILING: f64 = 0.4;

/// How many requests a replica may hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Policy {
    /// Requests beyond a replica's slots, which wait in its own queue and keep it busy until the next grant arrives.
    pub queue: u32,
}

/// State of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Status {
    /// It takes requests.
    #[default]
    Serving,
    /// It is leaving, asked for a pause, or cannot be reached.
    Away,
}

#[derive(Debug, Default)]
pub(super) struct Replica {
    pub(super) slots: u32,
    pub(super) status: Status,
    /// Requests that hold a place.
    pub(super) granted: u32,
    /// When a request last got a place.
    pub(super) granted_at: Time,
    /// Requests assumed to run, and until when.
    assumed: (u32, Time),
    /// Moving average of the service time, in microseconds, and of the distance from it.
    mean: f64,
    deviation: f64,
    /// Samples so far.
    samples: u32,
    /// Moving average of failures, from 0 to 1, and when it was last updated.
    failures: (f64, Time),
    /// Requests turned away since the last answer.
    turned_away: u32,
    /// Time until which it gets no requests.
    paused_until: Time,
    /// Time until which it gets no more requests than slots.
    no_queue_until: Time,
    /// Room, if it is brittle.
    pub(super) room: Room,
}

impl Replica {
    pub(super) fn is_serving(&self) -> bool {
        self.status == Status::Serving
    }

    /// Places, including those of its own queue.
    pub(super) fn places(&self, policy: Policy, now: Time) -> u32 {
        match now < self.no_queue_until || self.room.is_brittle() {
            true => self.slots,
            false => self.slots + policy.queue,
        }
    }

    /// Whether it fails so many requests that it gets one at a time while others are sound.
    pub(super) fn is_failing(&self, now: Time) -> bool {
        self.failures(now) > FAILING
    }

    fn failures(&self, now: Time) -> f64 {
        let half_lives = now.since(self.failures.1).secs() / FAILURES_HALF_LIFE.secs();
        self.failures.0 * (-half_lives).exp2()
    }

    fn record_failure(&mut self, sample: f64, now: Time) {
        let failures = self.failures(now);
        self.failures = (failures + (sample - failures) * SMOOTHING, now);
    }

    /// Whether it takes one more request with this number of places.
    pub(super) fn has_free_place(&self, places: u32, now: Time) -> bool {
        let assumed = match now < self.assumed.1 {
            true => self.assumed.0,
            false => 0,
        };
        let held = self.granted.max(assumed);
        self.is_serving()
            && now >= self.paused_until
            && held < places
            && self.room.admits(held, places, now)
    }

    pub(super) fn assume(&mut self, requests: u32, now: Time) {
        self.assumed = (requests, now + ASSUMED_FOR);
    }

    /// Mean service time.
    pub(super) fn service_time(&self) -> Span {
        match self.samples {
            0 => DEFAULT_SERVICE,
            _ => Span(self.mean as u64),
        }
    }

    /// Mean distance of service times from their mean.
    pub(super) fn deviation(&self) -> Span {
        Span(self.deviation as u64)
    }

    /// Orders replicas by the time until they are done with one more request, relative to their slots.
    pub(super) fn compare(&self, other: &Replica, now: Time) -> Ordering {
        let cost = self.cost(now).total_cmp(&other.cost(now));
        cost.then(self.granted_at.cmp(&other.granted_at))
    }

    fn cost(&self, now: Time) -> f64 {
        let share = f64::from(self.granted + 1) / f64::from(self.slots.max(1));
        share * self.service_time().secs() * (1.0 + (FAILURE_COST - 1.0) * self.failures(now))
    }

    /// Frees the place that was granted at a time, and learns from how the request ended.
    pub(super) fn release(&mut self, granted_at: Time, outcome: Outcome, now: Time) {
        match outcome {
            Outcome::Served(_) | Outcome::Failed => self.room.record_taken(granted_at),
            Outcome::Unused => self.room.record_unused(granted_at),
            Outcome::TurnedAway => self.room.record_turned_away(granted_at, self.granted, now),
        }
        match outcome {
            Outcome::Served(took) => self.record_served(took, now),
            Outcome::Failed => self.record_failure(1.0, now),
            Outcome::TurnedAway => self.record_turned_away(now),
            Outcome::Unused => {}
        }
        self.granted = self.granted.saturating_sub(1);
    }

    fn record_served(&mut self, took: Span, now: Time) {
        self.turned_away = 0;
        self.record_failure(0.0, now);
        self.samples = self.samples.saturating_add(1);
        let weight = SMOOTHING.max(1.0 / f64::from(self.samples));
        let distance = took.0 as f64 - self.mean;
        self.mean += distance * weight;
        if self.samples > 1 {
            self.deviation += (distance.abs() - self.deviation) * weight;
        }
    }

    fn record_turned_away(&mut self, now: Time) {
        if self.granted > self.slots {
            self.no_queue_until = now + NO_QUEUE_FOR;
            return;
        }
        // Requests that are turned away together count once.
        if now >= self.paused_until {
            let doubled = MIN_PAUSE * f64::from(1u32 << self.turned_away.min(8));
            self.paused_until = now + doubled.min(MAX_PAUSE);
            self.turned_away += 1;
        }
    }
}
