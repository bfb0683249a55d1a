//! Contents and recent changes of the store, kept for hosts that follow this one instead of reading
//! the store.

use platform::store::{Change, Item};
use std::collections::{HashMap, HashSet};
use unit::{Name, Span, Time};

/// Time for which a removal is kept. A host that asks for changes since an older revision must read
/// the whole store.
const REMOVAL_RETENTION: Span = Span::from_secs(30);

/// Newest change of each key in the store, as far as this host has read.
#[derive(Debug, Default)]
pub struct Changelog {
    /// Newest change of each key, and when the store was known to be past it.
    changes: HashMap<Name, (Change, Time)>,
    /// Revision since which no change is missing.
    compacted_revision: u64,
    /// Revision up to which changes are included.
    revision: u64,
    /// When the store was last known to be at that revision.
    confirmed_at: Time,
}

impl Changelog {
    /// Adds the whole store, as read at a revision. After the first time this adds the difference, so that hosts that
    /// follow this one need not read the whole store whenever it has to.
    pub fn merge_snapshot(&mut self, items: &[Item], revision: u64, now: Time) {
        if self.revision == 0 {
            self.compacted_revision = revision;
        }
        let present: HashSet<&Name> = items.iter().map(|item| &item.key).collect();
        let is_gone = |known: &Change| {
            matches!(known, Change::Written(_))
                && known.revision() < revision
                && !present.contains(known.key())
        };
        let known = self.changes.values().map(|(change, _)| change);
        let removed: Vec<Change> = known
            .filter(|known| is_gone(known))
            .map(|known| Change::Removed {
                key: known.key().clone(),
                revision,
            })
            .collect();
        let written = items.iter().cloned().map(Change::Written);
        self.extend(written.chain(removed), revision, now);
    }

    /// Adds changes up to a revision; the store was at that revision at `confirmed`.
    pub fn extend(
        &mut self,
        changes: impl IntoIterator<Item = Change>,
        revision: u64,
        confirmed: Time,
    ) {
        for change in changes {
            let is_newer = |(known, _): &(Change, Time)| known.revision() < change.revision();
            if self.changes.get(change.key()).is_none_or(is_newer) {
                self.changes
                    .insert(change.key().clone(), (change, confirmed));
            }
        }
        // A host that is behind confirms nothing about newer revisions.
        if revision >= self.revision {
            self.revision = revision;
            self.confirmed_at = self.confirmed_at.max(confirmed);
        }
        self.compact(confirmed);
    }

    /// Adds items that are newer than the revision up to which changes are included, and leaves that revision as it is.
    /// Before the first snapshot nothing is added, since there are no changes to add them to.
    pub fn add_ahead(&mut self, items: &[Item]) {
        if self.revision > 0 {
            let written = items.iter().cloned().map(Change::Written);
            self.extend(written, self.revision, self.confirmed_at);
        }
    }

    /// Drops old removals; changes since before them are no longer returned.
    fn compact(&mut self, now: Time) {
        let compacted_revision = &mut self.compacted_revision;
        self.changes.retain(|_, (change, at)| {
            let is_kept =
                matches!(change, Change::Written(_)) || now.since(*at) < REMOVAL_RETENTION;
            if !is_kept {
                *compacted_revision = (*compacted_revision).max(change.revision());
            }
            is_kept
        });
    }

    /// Revision up to which changes are included.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Time since the store was known to be at [`Changelog::revision`].
    pub fn age(&self, now: Time) -> Span {
        now.since(self.confirmed_at)
    }

    /// Newest write of every key that exists.
    pub fn snapshot(&self) -> Vec<Change> {
        let changes = self.changes.values().map(|(change, _)| change);
        let existing = changes.filter(|change| matches!(change, Change::Written(_)));
        existing.cloned().collect()
    }

    /// Changes after a revision, oldest first; `None` if some may be missing here.
    pub fn since(&self, after: u64) -> Option<Vec<Change>> {
        if after < self.compacted_revision {
            return None;
        }
        let changes = self.changes.values().map(|(change, _)| change);
        let mut found: Vec<Change> = changes.filter(|c| c.revision() > after).cloned().collect();
        found.sort_by_key(Change::revision);
        Some(found)
    }
}
