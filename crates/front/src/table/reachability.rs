//! Absence of one replica, as this host found it: the replica did not take a connection, or another
//! one answered at its address. Its entry in the store tells that only after several heartbeats.

use unit::{Span, Time};

/// Time for which a replica is left alone after its first failure to take a connection; it doubles
/// with each further one. About the time in which a process that fell starts again.
const INITIAL_BACKOFF: Span = Span::from_ms(150);

/// Longest time for which a replica is left alone: then one request tries it again.
const MAX_BACKOFF: Span = Span::from_ms(1_200);

/// Time after it was found unreachable for which other hosts are told so, unless it answers: a
/// replica that fell stands in the store for about as long.
const REPORT_DURATION: Span = Span::from_ms(2_500);

/// Age up to which a host's own answer from a replica goes before other hosts' word that it cannot be
/// reached: several rounds of sums.
const REACHED_VALID_FOR: Span = Span::from_ms(500);

/// Refusals in a row, each as "not this replica or not this adapter", that count as an absence.
const MISDIRECTED_THRESHOLD: u32 = 8;

/// Whether a replica is left alone.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Reachability {
    /// Absences in a row.
    failures: u32,
    /// Refusals in a row as misdirected.
    misdirected: u32,
    /// Until when it is left alone.
    avoid_until: Time,
    /// Whether a request tries it now, after an absence.
    is_probing: bool,
    /// When it was last found unreachable.
    failed_at: Time,
    /// When it last answered this host under its identity.
    reached_at: Time,
}

impl Reachability {
    /// Whether the replica is left alone now.
    pub(super) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    /// Notes that it answered under its identity.
    pub(super) fn record_reached(&mut self, now: Time) {
        *self = Reachability {
            reached_at: now,
            ..Reachability::default()
        };
    }

    /// Whether it was found unreachable lately, and has not answered since.
    pub(super) fn is_suspected(&self, now: Time) -> bool {
        self.failures > 0 && now.since(self.failed_at) < REPORT_DURATION
    }

    /// Whether it answered this host a moment ago, so that the word of others does not count.
    pub(super) fn was_reached(&self, now: Time) -> bool {
        now.since(self.reached_at) < REACHED_VALID_FOR
    }

    /// Notes that it could not be reached.
    pub(super) fn record_failure(&mut self, now: Time) {
        // Requests that were on their way together fail together, and count once.
        if self.is_avoided(now) && !self.is_probing {
            return;
        }
        self.is_probing = false;
        self.failed_at = now;
        let doubled = INITIAL_BACKOFF * f64::from(1u32 << self.failures.min(8));
        self.avoid_until = now + doubled.min(MAX_BACKOFF);
        self.failures += 1;
    }

    /// Notes that a request was refused there as meant for another replica or adapter.
    ///
    /// One alone may be about the adapter; if `whole` it is not.
    pub(super) fn record_misdirected(&mut self, whole: bool, now: Time) {
        self.misdirected += 1;
        if whole || self.failures > 0 || self.misdirected >= MISDIRECTED_THRESHOLD {
            self.record_failure(now);
        }
    }

    /// Notes that a request goes there: after an absence no other follows it until it is answered.
    pub(super) fn record_attempt(&mut self, now: Time) {
        if self.failures > 0 {
            self.is_probing = true;
            self.avoid_until = now + INITIAL_BACKOFF;
        }
    }
}
