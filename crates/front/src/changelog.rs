//! What stands in the store and has changed there lately, kept for hosts that hear of it from this
//! one instead of reading the store themselves.

use platform::store::{Change, Item};
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Time for which a removal is remembered. A host that asks has seen a revision this young; one
/// that has not reads the store.
const REMOVALS_KEPT: Span = Span::from_secs(30);

/// The store's items by key with the newest change of each, as far as this host has heard.
#[derive(Debug, Default)]
pub struct Changelog {
    /// Newest change of each key, and when the store was known to stand past it.
    changes: HashMap<Name, (Change, Time)>,
    /// Revision from which on nothing is missing.
    floor: u64,
    /// Revision of the store up to which this host has heard.
    revision: u64,
    /// When the store was last known to stand at that revision.
    confirmed: Time,
}

impl Changelog {
    /// Takes in the whole store, as read at a revision. What went before it is not known.
    pub fn reset(&mut self, items: &[Item], revision: u64, now: Time) {
        self.changes.clear();
        self.floor = revision;
        let written = items.iter().cloned().map(Change::Written);
        self.extend(written, revision, now);
    }

    /// Takes in changes up to a revision, at which the store stood at `confirmed`.
    pub fn extend(
        &mut self,
        changes: impl IntoIterator<Item = Change>,
        revision: u64,
        confirmed: Time,
    ) {
        for change in changes {
            let newer = |(known, _): &(Change, Time)| known.revision() < change.revision();
            if self.changes.get(change.key()).is_none_or(newer) {
                self.changes
                    .insert(change.key().clone(), (change, confirmed));
            }
        }
        // Word of an older revision, from a host that is behind, confirms nothing of the newest one.
        if revision >= self.revision {
            self.revision = revision;
            self.confirmed = self.confirmed.max(confirmed);
        }
        self.forget(confirmed);
    }

    /// Forgets old removals; a host that asks from before them is not answered any more.
    fn forget(&mut self, now: Time) {
        let floor = &mut self.floor;
        self.changes.retain(|_, (change, at)| {
            let stays = matches!(change, Change::Written(_)) || now.since(*at) < REMOVALS_KEPT;
            if !stays {
                *floor = (*floor).max(change.revision());
            }
            stays
        });
    }

    /// Revision up to which this host has heard.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Time since the store was known to stand at [`Recent::revision`].
    pub fn age(&self, now: Time) -> Span {
        now.since(self.confirmed)
    }

    /// The newest writing of all that stands in the store, as far as this host has heard.
    pub fn snapshot(&self) -> Vec<Change> {
        let changes = self.changes.values().map(|(change, _)| change);
        let stands = changes.filter(|change| matches!(change, Change::Written(_)));
        stands.cloned().collect()
    }

    /// Changes after a revision, oldest first; none when some of them may be missing here.
    pub fn since(&self, after: u64) -> Option<Vec<Change>> {
        if after < self.floor {
            return None;
        }
        let changes = self.changes.values().map(|(change, _)| change);
        let mut found: Vec<Change> = changes.filter(|c| c.revision() > after).cloned().collect();
        found.sort_by_key(Change::revision);
        Some(found)
    }
}
