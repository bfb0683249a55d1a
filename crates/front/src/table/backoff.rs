//! Times for which replicas want nothing from this host. They hold whatever becomes of a replica's entry, and end with its
//! incarnation.

use super::Table;
use platform::replica::Incarnation;
use route::backoff::Backoff;
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Rests by replica, with the incarnation that asked for each.
pub(super) type Rests = HashMap<Name, (Incarnation, Backoff)>;

/// What changed when a replica asked for rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffUpdate {
    /// Whether it had asked for none that holds.
    pub first: bool,
    /// Time that it rests now.
    pub left: Span,
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
        let known = self.rests.get_mut(id);
        let known = known.filter(|(of, rest)| *of == incarnation && !rest.is_over(now));
        let first = known.is_none();
        if first && time == Span::ZERO {
            return None;
        }
        let rest = match known {
            Some((_, rest)) => {
                rest.extend(time, now);
                *rest
            }
            None => {
                let rest = Backoff::new(time, now);
                self.rests.insert(id.clone(), (incarnation, rest));
                rest
            }
        };
        Some(BackoffUpdate {
            first,
            left: rest.remaining(now),
        })
    }

    /// Rest that an incarnation of a replica asked this host for, while it or the return from it lasts.
    pub(super) fn rest(&self, id: &str, incarnation: Incarnation, now: Time) -> Option<&Backoff> {
        let (of, rest) = self.rests.get(id)?;
        (*of == incarnation && !rest.is_over(now)).then_some(rest)
    }

    /// Replicas that want nothing from this host now.
    pub fn backing_off(&self, now: Time) -> Vec<Name> {
        let times = self.backoffs(now).into_iter();
        let resting = times.filter(|(_, left)| *left > Span::ZERO);
        resting.map(|(id, _)| id).collect()
    }

    /// Replicas that rest, or rested a moment ago, with the time that is left; the longest first.
    pub fn backoffs(&self, now: Time) -> Vec<(Name, Span)> {
        let holds = |id: &Name, of: &Incarnation| !self.view.has_other_incarnation(id, *of);
        let rests = self.rests.iter().filter(|(id, (of, _))| holds(id, of));
        let left = rests.map(|(id, (_, rest))| (id.clone(), rest.remaining(now)));
        let mut left: Vec<(Name, Span)> = left.collect();
        left.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        left
    }

    /// Takes out the replicas whose rest and the return from it are over, or that have started again.
    pub fn expire_backoffs(&mut self, now: Time) -> Vec<Name> {
        let view = &self.view;
        let is_over = |id: &Name, of: &Incarnation, rest: &Backoff| {
            rest.is_over(now) || view.has_other_incarnation(id, *of)
        };
        let over = self
            .rests
            .extract_if(|id, (of, rest)| is_over(id, of, rest));
        over.map(|(id, _)| id).collect()
    }
}
