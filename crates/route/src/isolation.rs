//! Tells the failure of replicas from the failure of this host's own paths to them.
//!
//! While anything arrives from any replica, a replica that cannot be reached is the one that failed. If several
//! replicas fail and nothing arrives from the others, the common part is this host.

use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Replicas that fail in a row, without an arrival from any other, from which the paths are suspected.
const SUSPECT_FAILURES: usize = 2;

/// Replicas that fail in a row from which the host counts as isolated.
const ISOLATED_FAILURES: usize = 5;

/// Time for which a failure counts. Probes of failed replicas renew it.
const FAILURE_VALID_FOR: Span = Span::from_ms(4_000);

/// Time without an arrival, while requests are at replicas, after which paths are probed.
const SILENCE: Span = Span::from_ms(300);

/// Interval between probes while the paths are in doubt.
const PROBE_INTERVAL: Span = Span::from_ms(300);

/// What this host knows of its paths to the replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Reach {
    /// Replicas are reached.
    #[default]
    Sound,
    /// Several replicas failed in a row. Probes tell whether it is the paths.
    Suspect,
    /// No replica is reached, as far as probes tell.
    Isolated,
}

/// Detects that no replica is reached.
#[derive(Debug, Default)]
pub struct Detector {
    /// Replicas that failed since the last arrival, and when each last did.
    failed: HashMap<Name, Time>,
    /// When something last arrived from a replica.
    heard_at: Time,
    /// Requests at replicas.
    in_flight: usize,
    /// Since when there have been any.
    waiting_since: Time,
    /// When paths were last probed.
    probed_at: Time,
}

impl Detector {
    /// Records that something arrived from a replica; returns whether that ends failures.
    pub fn record_arrival(&mut self, now: Time) -> bool {
        self.heard_at = now;
        let had_failures = !self.failed.is_empty();
        self.failed.clear();
        had_failures
    }

    /// Records that no connection to a replica could be opened.
    pub fn record_failure(&mut self, replica: &Name, now: Time) {
        self.failed.insert(replica.clone(), now);
    }

    /// Records that a request is sent to a replica.
    pub fn begin(&mut self, now: Time) {
        if self.in_flight == 0 {
            self.waiting_since = now;
        }
        self.in_flight += 1;
    }

    /// Records the end of a request at a replica.
    pub fn finish(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// State of the paths, if this host knows `known` replicas.
    pub fn reach(&self, known: usize, now: Time) -> Reach {
        let is_recent = |at: &&Time| now.since(**at) < FAILURE_VALID_FOR;
        let failed = self.failed.values().filter(is_recent).count();
        match failed {
            0 => Reach::Sound,
            _ if failed >= ISOLATED_FAILURES.min(known) => Reach::Isolated,
            _ if failed >= SUSPECT_FAILURES => Reach::Suspect,
            _ => Reach::Sound,
        }
    }

    /// Whether replicas have failed since the last arrival, or nothing arrives while requests wait.
    pub fn is_in_doubt(&self, now: Time) -> bool {
        !self.failed.is_empty() || self.is_silent(now)
    }

    fn is_silent(&self, now: Time) -> bool {
        let quiet_since = self.heard_at.max(self.waiting_since);
        self.in_flight > 0 && now.since(quiet_since) > SILENCE
    }

    /// Whether to probe paths now, and records that this is done: several replicas have failed, or nothing arrives
    /// while requests wait.
    pub fn take_probe(&mut self, known: usize, now: Time) -> bool {
        let is_due = now.since(self.probed_at) > PROBE_INTERVAL;
        if !is_due || !self.is_silent(now) && self.reach(known, now) == Reach::Sound {
            return false;
        }
        self.probed_at = now;
        true
    }
}
