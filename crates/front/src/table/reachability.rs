//! Reachability of one replica from this host. A replica that refuses connections, or at whose
//! address another one answers, is avoided at once; its entry in the store lapses only after
//! several heartbeats.
//!
//! A replica that refuses connections gets no requests until a probe has opened one. So no request
//! is spent on finding out whether it is back, and what this host reports to others stays true as
//! long as the replica is down, however few requests there are.

use unit::{Span, Time};

/// Time for which a replica is avoided after its first failure; doubled after each further one. About
/// the time in which a crashed process restarts.
const INITIAL_AVOIDANCE: Span = Span::from_ms(150);

/// Longest time for which a replica is avoided before one request tries it again.
const MAX_AVOIDANCE: Span = Span::from_ms(1_200);

/// Time after a failure for which a replica is reported to other hosts: about what its entry takes
/// to lapse, and longer than the interval of probes.
const REPORT_DURATION: Span = Span::from_ms(2_500);

/// Time after an answer of the replica during which reports of other hosts that it is unreachable
/// are ignored.
const REACHED_VALID_FOR: Span = Span::from_ms(500);

/// Time after a connection was opened or an answer came during which the leader does not believe
/// other hosts that the replica is unreachable.
const VERIFIED_FOR: Span = Span::from_ms(2_000);

/// Interval at which the leader verifies that a replica which others cannot reach is reachable.
const VERIFICATION_INTERVAL: Span = Span::from_ms(1_000);

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
    /// Whether the last failure was that no connection could be opened.
    is_refused: bool,
    /// Whether a request or a probe is trying the replica again.
    is_probing: bool,
    /// Time of the last failure.
    failed_at: Time,
    /// Time of the last answer under the replica's identity.
    reached_at: Time,
    /// When a probe last opened a connection.
    connected_at: Time,
    /// Whether a probe is to verify that other hosts are wrong about the replica.
    is_verification_due: bool,
}

impl Reachability {
    /// Whether requests avoid the replica now.
    pub(super) fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid_until || self.is_refused && self.is_suspected(now)
    }

    /// Whether a probe should try to open a connection, now or later.
    pub(super) fn needs_probe(&self, now: Time) -> bool {
        self.is_refused && self.is_suspected(now) || self.is_verification_due
    }

    /// Whether a probe should try to open a connection now.
    pub(super) fn is_probe_due(&self, now: Time) -> bool {
        self.needs_probe(now) && now >= self.avoid_until
    }

    /// Records that a probe starts, which ends within `limit`.
    pub(super) fn record_probe(&mut self, limit: Span, now: Time) {
        self.is_verification_due = false;
        self.is_probing = true;
        if self.is_refused {
            self.avoid_until = now + limit;
        }
    }

    /// Records that a probe opened a connection.
    pub(super) fn record_connected(&mut self, now: Time) {
        self.connected_at = now;
        if self.is_refused {
            self.failures = 0;
            self.avoid_until = now;
        }
        self.is_refused = false;
        self.is_probing = false;
    }

    /// Whether it was reached after `since`, and recently.
    pub(super) fn is_verified(&self, since: Time, now: Time) -> bool {
        let verified_at = self.connected_at.max(self.reached_at);
        verified_at > since && now.since(verified_at) < VERIFIED_FOR
    }

    /// Schedules a probe that verifies whether it can be reached, unless that is known.
    pub(super) fn verify(&mut self, since: Time, now: Time) {
        let verified_at = self.connected_at.max(self.reached_at);
        let is_known = verified_at > since && now.since(verified_at) < VERIFICATION_INTERVAL;
        self.is_verification_due = !self.is_refused && !self.is_probing && !is_known;
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

    /// Records that no connection could be opened.
    pub(super) fn record_refused(&mut self, now: Time) {
        self.is_refused = true;
        self.record_failure(now);
    }

    /// Records that it could not be reached.
    fn record_failure(&mut self, now: Time) {
        // Concurrent requests that fail together count once.
        if now < self.avoid_until && !self.is_probing {
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
            self.is_refused = false;
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
