//! Absence of one replica, as this host found it: the replica did not take a connection, or another
//! one answered at its address. Its entry in the store tells that only after several heartbeats.

use unit::{Span, Time};

/// Time for which a replica is left alone after its first failure to take a connection; it doubles
/// with each further one. About the time in which a process that fell starts again.
const FIRST_ABSENCE: Span = Span::from_ms(150);

/// Longest time for which a replica is left alone: then one request tries it again.
const LONGEST_ABSENCE: Span = Span::from_ms(1_200);

/// Time after it was found unreachable for which other hosts are told so, unless it answers: a
/// replica that fell stands in the store for about as long.
const SUSPECTED: Span = Span::from_ms(2_500);

/// Age up to which a host's own answer from a replica goes before other hosts' word that it cannot be
/// reached: several rounds of sums.
const REACHED_LATELY: Span = Span::from_ms(500);

/// Refusals in a row, each as "not this replica or not this adapter", that count as an absence.
const MISDIRECTED: u32 = 8;

/// Whether a replica is left alone.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Absence {
    /// Absences in a row.
    strikes: u32,
    /// Refusals in a row as misdirected.
    misdirected: u32,
    /// Until when it is left alone.
    until: Time,
    /// Whether a request tries it now, after an absence.
    tried: bool,
    /// When it was last found unreachable.
    struck: Time,
    /// When it last answered this host under its identity.
    reached: Time,
}

impl Absence {
    /// Whether the replica is left alone now.
    pub(super) fn holds(&self, now: Time) -> bool {
        now < self.until
    }

    /// Notes that it answered under its identity.
    pub(super) fn reached(&mut self, now: Time) {
        *self = Absence {
            reached: now,
            ..Absence::default()
        };
    }

    /// Whether it was found unreachable lately, and has not answered since.
    pub(super) fn is_suspected(&self, now: Time) -> bool {
        self.strikes > 0 && now.since(self.struck) < SUSPECTED
    }

    /// Whether it answered this host a moment ago, so that the word of others does not count.
    pub(super) fn was_reached(&self, now: Time) -> bool {
        now.since(self.reached) < REACHED_LATELY
    }

    /// Notes that it could not be reached.
    pub(super) fn strike(&mut self, now: Time) {
        // Requests that were on their way together fail together, and count once.
        if self.holds(now) && !self.tried {
            return;
        }
        self.tried = false;
        self.struck = now;
        let doubled = FIRST_ABSENCE * f64::from(1u32 << self.strikes.min(8));
        self.until = now + doubled.min(LONGEST_ABSENCE);
        self.strikes += 1;
    }

    /// Notes that a request was refused there as meant for another replica or adapter.
    ///
    /// One alone may be about the adapter; if `whole` it is not.
    pub(super) fn misdirected(&mut self, whole: bool, now: Time) {
        self.misdirected += 1;
        if whole || self.strikes > 0 || self.misdirected >= MISDIRECTED {
            self.strike(now);
        }
    }

    /// Notes that a request goes there: after an absence no other follows it until it is answered.
    pub(super) fn tried(&mut self, now: Time) {
        if self.strikes > 0 {
            self.tried = true;
            self.until = now + FIRST_ABSENCE;
        }
    }
}
