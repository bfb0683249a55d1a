//! Times for which replicas want nothing from this host. They hold whatever becomes of a replica's entry, and end with its
//! incarnation.

use super::Table;
use platform::replica::Incarnation;
use route::backoff::Backoff;
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Rests by replica, with the incarnation that asked for each.
pub(super) type Backoffs = HashMap<Name, (Incarnation, Backoff)>;

/// What changed when a replica asked for rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffUpdate {
    /// Whether it had asked for none that holds.
    pub is_new: bool,
    /// Time that it rests now.
    pub remaining: Span,
}

impl Table {
    /// Takes in that a replica turned a request away and wants nothing from this host for a time, of no length where it
    /// asked for none: then only a return that is under way begins anew. Nothing where another incarnation is known by now.
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
        let known = self.backoffs.get_mut(id);
        let known = known.filter(|(of, backoff)| *of == incarnation && !backoff.is_over(now));
        let is_new = known.is_none();
        if is_new && time == Span::ZERO {
            return None;
        }
        let backoff = match known {
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

    /// Rest that an incarnation of a replica asked this host for, while it or the return from it lasts.
    pub(super) fn backoff(
        &self,
        id: &str,
        incarnation: Incarnation,
        now: Time,
    ) -> Option<&Backoff> {
        let (of, backoff) = self.backoffs.get(id)?;
        (*of == incarnation && !backoff.is_over(now)).then_some(backoff)
    }

    /// Replicas that want nothing from this host now.
    pub fn backing_off(&self, now: Time) -> Vec<Name> {
        let times = self.backoffs(now).into_iter();
        let resting = times.filter(|(_, remaining)| *remaining > Span::ZERO);
        resting.map(|(id, _)| id).collect()
    }

    /// Replicas that rest, or rested a moment ago, with the time that is left; the longest first.
    pub fn backoffs(&self, now: Time) -> Vec<(Name, Span)> {
        let holds = |id: &Name, of: &Incarnation| !self.view.has_other_incarnation(id, *of);
        let backoffs = self.backoffs.iter().filter(|(id, (of, _))| holds(id, of));
        let remaining = backoffs.map(|(id, (_, backoff))| (id.clone(), backoff.remaining(now)));
        let mut remaining: Vec<(Name, Span)> = remaining.collect();
        remaining.sort_by_key(|(_, remaining)| std::cmp::Reverse(*remaining));
        remaining
    }

    /// Takes out the replicas whose rest and the return from it are over, or that have started again.
    pub fn expire_backoffs(&mut self, now: Time) -> Vec<Name> {
        let view = &self.view;
        let is_over = |id: &Name, of: &Incarnation, backoff: &Backoff| {
            backoff.is_over(now) || view.has_other_incarnation(id, *of)
        };
        let over = self
            .backoffs
            .extract_if(|id, (of, backoff)| is_over(id, of, backoff));
        over.map(|(id, _)| id).collect()
    }
}
