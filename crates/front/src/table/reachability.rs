//! Reachability of one replica from this host. A replica that refuses connections, or at whose
//! address another one answers, is avoided at once; its entry in the store lapses only after
//! several heartbeats.

use unit::{Span, Time};

/// Time for which a replica is avoided after its first failure; doubled after each further one.
const INITIAL_AVOIDANCE: Span = Span::from_ms(150);

/// Longest time for which a replica is avoided before one request tries it again.
const MAX_AVOIDANCE: Span = Span::from_ms(1_200);

/// Time for which an unreachable replica is reported to other hosts: about what its entry takes to
/// lapse.
const REPORT_DURATION: Span = Span::from_ms(2_500);

/// Time after an answer of the replica during which reports of other hosts that it is unreachable
/// are ignored.
const REACHED_VALID_FOR: Span = Span::from_ms(500);

/// Consecutive refusals as misdirected after which a replica counts as unreachable.
const MISDIRECTED_THRESHOLD: u32 = 8;

/// Reachability of one replica.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Reachability {
    /// Consecutive failures.
    failures: u32,
    /// Consecutive refusals as misdirected.
    misdirected: u32,
    /// Time until which requests avoid the replica.
    avoid_until: Time,
    /// Whether a request is trying the replica again.
    is_probing: bool,
    /// Time of the last failure.
    failed_at: Time,
    /// Time of the last answer under the replica's identity.
    reached_at: Time,
}

impl Reachability {
    /// Whether requests avoid the replica now.
    pub(super) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until
    }

    /// Records an answer under the replica's identity, which ends all failures.
    pub(super) fn record_reached(&mut self, now: Time) {
        *self = Reachability {
            reached_at: now,
            ..Reachability::default()
        };
    }

    /// Whether it failed recently and has not answered since.
    pub(super) fn is_suspected(&self, now: Time) -> bool {
        self.failures > 0 && now.since(self.failed_at) < REPORT_DURATION
    }

    /// Whether it answered recently enough to ignore reports of other hosts.
    pub(super) fn was_reached(&self, now: Time) -> bool {
        now.since(self.reached_at) < REACHED_VALID_FOR
    }

    /// Records that it could not be reached.
    pub(super) fn record_failure(&mut self, now: Time) {
        // Concurrent requests that fail together count once.
        if self.is_avoided(now) && !self.is_probing {
            return;
        }
        self.is_probing = false;
        self.failed_at = now;
        let doubled = INITIAL_AVOIDANCE * f64::from(1u32 << self.failures.min(8));
        self.avoid_until = now + doubled.min(MAX_AVOIDANCE);
        self.failures += 1;
    }

    /// Records a refusal as misdirected. A single one may be about the adapter alone, unless the
    /// request named none.
    pub(super) fn record_misdirected(&mut self, names_no_adapter: bool, now: Time) {
        self.misdirected += 1;
        if names_no_adapter || self.failures > 0 || self.misdirected >= MISDIRECTED_THRESHOLD {
            self.record_failure(now);
        }
    }

    /// Records that a request is sent: after a failure, no other follows until it is answered.
    pub(super) fn record_attempt(&mut self, now: Time) {
        if self.failures > 0 {
            self.is_probing = true;
            self.avoid_until = now + INITIAL_AVOIDANCE;
        }
    }
}
