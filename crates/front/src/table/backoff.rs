//! Backoffs that replicas ask of this host by 503 with `Retry-After`. A backoff belongs to an
//! incarnation and outlives changes of the replica's entry.

use super::Table;
use platform::replica::Incarnation;
use route::backoff::Backoff;
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Backoffs by replica, with the incarnation that asked for each.
pub(super) type Backoffs = HashMap<Name, (Incarnation, Backoff)>;

/// Effect of a refusal on a replica's backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffUpdate {
    /// Whether no backoff was active before.
    pub is_new: bool,
    /// Time until requests may be sent again.
    pub remaining: Span,
}

impl Table {
    /// Records that a replica refused a request and asked for a backoff of `time`. Zero means that
    /// it asked for none: that only restarts the ramp-up after an active backoff. Returns `None` if
    /// nothing changed, or if the table knows another incarnation of the replica.
    pub fn record_backoff(
        &mut self,
        id: &Name,
        incarnation: Incarnation,
        time: Span,
        now: Time,
    ) -> Option<BackoffUpdate> {
        if self.view.has_other_incarnation(id, incarnation) {
            return None;
        }
        let active = self.backoffs.get_mut(id);
        let active = active.filter(|(of, backoff)| *of == incarnation && !backoff.is_over(now));
        let is_new = active.is_none();
        if is_new && time == Span::ZERO {
            return None;
        }
        let backoff = match active {
            Some((_, backoff)) => {
                backoff.extend(time, now);
                *backoff
            }
            None => {
                let backoff = Backoff::new(time, now);
                self.backoffs.insert(id.clone(), (incarnation, backoff));
                backoff
            }
        };
        Some(BackoffUpdate {
            is_new,
            remaining: backoff.remaining(now),
        })
    }

    /// Active backoff of an incarnation, including the ramp-up after it.
    pub(super) fn backoff(
        &self,
        id: &str,
        incarnation: Incarnation,
        now: Time,
    ) -> Option<&Backoff> {
        let (of, backoff) = self.backoffs.get(id)?;
        (*of == incarnation && !backoff.is_over(now)).then_some(backoff)
    }

    /// Replicas that take no requests from this host now.
    pub fn backing_off(&self, now: Time) -> Vec<Name> {
        let backoffs = self.backoffs(now).into_iter();
        let active = backoffs.filter(|(_, remaining)| *remaining > Span::ZERO);
        active.map(|(id, _)| id).collect()
    }

    /// Replicas with an active backoff and the time left of it, the longest first; zero during the
    /// ramp-up.
    pub fn backoffs(&self, now: Time) -> Vec<(Name, Span)> {
        let holds = |id: &Name, of: &Incarnation| !self.view.has_other_incarnation(id, *of);
        let backoffs = self.backoffs.iter().filter(|(id, (of, _))| holds(id, of));
        let remaining = backoffs.map(|(id, (_, backoff))| (id.clone(), backoff.remaining(now)));
        let mut remaining: Vec<(Name, Span)> = remaining.collect();
        remaining.sort_by_key(|(_, remaining)| std::cmp::Reverse(*remaining));
        remaining
    }

    /// Removes and returns backoffs whose ramp-up is over or whose replica has restarted.
    pub fn expire_backoffs(&mut self, now: Time) -> Vec<Name> {
        let view = &self.view;
        let is_over = |id: &Name, of: &Incarnation, backoff: &Backoff| {
            backoff.is_over(now) || view.has_other_incarnation(id, *of)
        };
        let expired = self
            .backoffs
            .extract_if(|id, (of, backoff)| is_over(id, of, backoff));
        expired.map(|(id, _)| id).collect()
    }
}
