//! Room of a replica that falls over when it turns more than a number of requests away within a second.
//!
//! Its entry may name more slots than it takes. Each grant beyond what it has lately held is a risk, and risks in
//! progress and requests turned away within a second stay within its tolerance. If it turns a request away at a level
//! that it has held before, its room has fallen, and what it held is no proof any more.

use std::collections::VecDeque;
use unit::{Span, Time};

/// Time in which the replica counts what it turns away.
const WINDOW: Span = Span::from_ms(1_000);

/// Time after which a grant that was not turned away counts as held: the way to the replica and back, and a host that is
/// late.
const SETTLED_AFTER: Span = Span::from_ms(250);

/// Time until a host's report on a grant that was turned away is expected.
const REPORT_TIME: Span = Span::from_ms(15);

/// Requests turned away within a second at levels that were held before, from which the room has fallen.
const FALLEN_AFTER: u32 = 2;

/// Interval at which the most that it may hold is raised by one while nothing is turned away.
const RAISE_INTERVAL: Span = Span::from_ms(1_000);

/// The same for a replica that tolerates a single request: one that it turns away takes it out of use for a second.
const CAUTIOUS_RAISE_INTERVAL: Span = Span::from_ms(8_000);

/// Grant of which it is not known whether the replica took the request.
#[derive(Debug, Clone, Copy)]
struct Open {
    /// Requests held with this one.
    level: u32,
    granted_at: Time,
}

#[derive(Debug, Default)]
pub(super) struct Room {
    /// Requests that the replica may turn away within a second; none if it bears any number.
    tolerance: Option<u32>,
    /// Requests that it has held at once.
    proven: u32,
    /// Whether that was since its room last fell, and when it did.
    is_proven_since: bool,
    fallen_at: Time,
    /// Most requests that it may hold, if it ever turned one away, and when that was last changed.
    ceiling: Option<(u32, Time)>,
    turned_away: VecDeque<Time>,
    /// Whether it held nothing else when it last turned one away.
    had_no_room: bool,
    open: VecDeque<Open>,
}

impl Room {
    /// Sets the tolerance of a replica that holds `held` requests.
    pub(super) fn set_tolerance(&mut self, tolerance: Option<u32>, held: u32) {
        if tolerance.is_none() {
            *self = Room::default();
        } else if self.tolerance.is_none() {
            self.proven = held;
        }
        self.tolerance = tolerance;
    }

    pub(super) fn is_brittle(&self) -> bool {
        self.tolerance.is_some()
    }

    /// Whether a replica with this number of slots, which holds `held` requests, may get one more.
    pub(super) fn admits(&self, held: u32, slots: u32, now: Time) -> bool {
        let Some(tolerance) = self.tolerance else {
            return true;
        };
        let most = self.ceiling.map_or(slots, |(most, _)| most.min(slots));
        if held >= most.max(1) {
            return false;
        }
        let is_recent = |at: &&Time| now.since(**at) < WINDOW;
        let turned_away = self.turned_away.iter().filter(is_recent).count() as u32;
        let proven = self.proven_at(now);
        let is_risk = |open: &&Open| {
            let age = now.since(open.granted_at);
            age < REPORT_TIME || open.level > proven && age < SETTLED_AFTER
        };
        let risks = self.open.iter().filter(is_risk).count() as u32;
        // What it has held since it last turned one away, it holds again: one at a time whatever it tolerates. One of
        // those that it tolerates is kept for an idle replica, which shows whether it has any room.
        if held == 0 {
            let spent = turned_away + risks;
            return spent < tolerance || spent == 0 || !self.had_no_room && turned_away == 0;
        }
        let held_again = match turned_away {
            0 => risks < tolerance.max(1),
            _ if self.is_proven_since => risks == 0,
            _ => turned_away + risks < tolerance,
        };
        // One that tolerates a single request is tried with one more now and then, or it would never be used for more
        // than it held when it first said so.
        let is_trial = tolerance == 1 && turned_away + risks == 0;
        is_trial || turned_away + risks + 1 < tolerance || held < proven && held_again
    }

    /// Records that it got a request and now holds `level`.
    pub(super) fn record_grant(&mut self, level: u32, now: Time) {
        if self.tolerance.is_none() {
            return;
        }
        self.settle(now);
        self.raise(now);
        let granted_at = now;
        self.open.push_back(Open { level, granted_at });
    }

    /// Records that it took a request.
    pub(super) fn record_taken(&mut self, granted_at: Time) {
        if let Some(open) = self.remove(granted_at)
            && self.is_proof(&open)
        {
            self.proven = self.proven.max(open.level);
            self.had_no_room = false;
        }
    }

    /// Records that a request was not sent.
    pub(super) fn record_unused(&mut self, granted_at: Time) {
        self.remove(granted_at);
    }

    /// Records that it turned a request away while it held `held`, with this one.
    pub(super) fn record_turned_away(&mut self, granted_at: Time, held: u32, now: Time) {
        let Some(tolerance) = self.tolerance else {
            return;
        };
        let level = self.remove(granted_at).map_or(held, |open| open.level);
        self.turned_away.retain(|at| now.since(*at) < WINDOW);
        self.turned_away.push_back(now);
        self.had_no_room = level <= 1;
        let before = self.ceiling.map_or(level, |(before, _)| before);
        if self.is_proven_since && granted_at <= self.fallen_at {
            return;
        }
        // The dispatcher learns late of what has ended, so one request may be turned away at a level that was held.
        let is_repeated = self.turned_away.len() as u32 >= tolerance.clamp(1, FALLEN_AFTER);
        let has_fallen = is_repeated && level <= self.proven;
        let most = match has_fallen {
            true => level / 2,
            false => level.saturating_sub(1),
        };
        self.is_proven_since = has_fallen;
        self.fallen_at = now;
        self.proven = match has_fallen {
            true => 0,
            false => self.proven.min(most),
        };
        self.ceiling = Some((before.min(most).max(1), now));
    }

    /// Requests that it is known to hold at once.
    fn proven_at(&self, now: Time) -> u32 {
        let settled = self.open.iter();
        let settled = settled.filter(|open| now.since(open.granted_at) >= SETTLED_AFTER);
        let settled = settled.filter(|open| self.is_proof(open));
        let settled = settled.map(|open| open.level).max();
        self.proven.max(settled.unwrap_or_default())
    }

    /// Whether a grant that was taken tells of the room as it is: one before its fall does not.
    fn is_proof(&self, open: &Open) -> bool {
        !self.is_proven_since || open.granted_at > self.fallen_at
    }

    /// Takes grants that were not turned away in time as held.
    fn settle(&mut self, now: Time) {
        self.proven = self.proven_at(now);
        self.open
            .retain(|open| now.since(open.granted_at) < SETTLED_AFTER);
    }

    fn raise(&mut self, now: Time) {
        let interval = match self.tolerance {
            Some(1) => CAUTIOUS_RAISE_INTERVAL,
            _ => RAISE_INTERVAL,
        };
        if let Some((most, changed_at)) = &mut self.ceiling
            && now.since(*changed_at) >= interval
        {
            *most += 1;
            *changed_at = now;
        }
    }

    fn remove(&mut self, granted_at: Time) -> Option<Open> {
        let at = self.open.iter().position(|o| o.granted_at == granted_at)?;
        self.open.remove(at)
    }
}
