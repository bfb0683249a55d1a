//! Limits that replicas name: how many requests a second they take from all hosts together.

use super::Table;
use platform::replica::Incarnation;
use route::quota::Notice;
use unit::{Name, Time};

/// What an answer says of its replica's limit, against what was known.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// It names one, and none was known.
    First,
    /// It names another one than before.
    Other(f64),
    /// It names none any more.
    Over,
}

impl Table {
    /// Takes in what an answer says: the rate that it names, if it does. Tells what that changes; nothing where another
    /// incarnation of the replica is known by now.
    pub fn heard_limit(
        &mut self,
        id: &Name,
        incarnation: Incarnation,
        rate: Option<f64>,
        now: Time,
    ) -> Option<Change> {
        if self.view.get(id)?.entry.incarnation != incarnation {
            return None;
        }
        let known = &mut self.replica(id).notice;
        let valid = known.filter(|notice| !notice.is_over(now));
        match (rate, valid) {
            (Some(rate), None) => {
                *known = Some(Notice::new(rate, now));
                Some(Change::First)
            }
            (Some(rate), Some(before)) => {
                *known = Some(Notice::new(rate, now));
                (before.rate != rate).then_some(Change::Other(before.rate))
            }
            (None, Some(mut notice)) => {
                let is_first = notice.unnamed.is_none();
                notice.unname(now);
                *known = Some(notice);
                is_first.then_some(Change::Over)
            }
            (None, None) => None,
        }
    }

    /// Limit that a replica has named and that still holds, in requests a second.
    pub fn limit_of(&self, id: &str, now: Time) -> Option<f64> {
        let notice = self.replicas.get(id)?.notice?;
        (!notice.is_over(now)).then_some(notice.rate)
    }
}
