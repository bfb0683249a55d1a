//! Contents and recent changes of the store, kept for hosts that follow this one instead of reading
//! the store.

use platform::store::{Change, Item, era};
use std::collections::{HashMap, HashSet};
use unit::{Name, Span, Time};

/// Time for which a removal is kept. A host that asks for changes since an older revision must read
/// the whole store.
const REMOVAL_RETENTION: Span = Span::from_secs(30);

/// Time after the store's return from a copy within which what the copy lacks is written again.
const COPY_COMPLETION: Span = Span::from_secs(2);

/// Newest change of each key in the store, as far as this host has read.
#[derive(Debug, Default)]
pub struct Changelog {
    changes: HashMap<Name, Kept>,
    /// Revision since which no change is missing.
    compacted_revision: u64,
    /// Revision up to which changes are included.
    revision: u64,
    /// When the store was last known to be at that revision.
    confirmed_at: Time,
    /// Last return of the store from a copy.
    copy: Option<CopyReturn>,
}

/// Return of the store from a copy.
#[derive(Debug, Clone, Copy)]
struct CopyReturn {
    /// When this host learnt of it.
    learnt_at: Time,
    /// When the store was last known to be at the revision before.
    confirmed_before: Time,
}

/// Newest change of a key.
#[derive(Debug)]
struct Kept {
    change: Change,
    /// When the store was known to be past it.
    confirmed_at: Time,
    /// Last write before it, if it is a removal: a replica may have said there that it leaves.
    last_write: Option<Change>,
}

impl Kept {
    /// The change itself if it is a write, otherwise the last one before it.
    fn into_last_write(self) -> Option<Change> {
        match self.change {
            Change::Written(_) => Some(self.change),
            Change::Removed { .. } => self.last_write,
        }
    }
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
        let known = self.changes.values().map(|kept| &kept.change);
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
        if self.revision > 0 && era::of(revision) > era::of(self.revision) {
            self.copy = Some(CopyReturn {
                learnt_at: confirmed,
                confirmed_before: confirmed - self.complete_age(confirmed),
            });
        }
        for change in changes {
            self.add(change, confirmed);
        }
        // A host that is behind confirms nothing about newer revisions.
        if revision >= self.revision {
            self.revision = revision;
            self.confirmed_at = self.confirmed_at.max(confirmed);
        }
        self.compact(confirmed);
    }

    /// Adds a change, unless a newer one of its key is known.
    fn add(&mut self, change: Change, confirmed_at: Time) {
        let known = self.changes.get(change.key());
        if known.is_some_and(|kept| kept.change.revision() >= change.revision()) {
            return;
        }
        let key = change.key().clone();
        let known = self.changes.remove(&key);
        let last_write = match &change {
            Change::Written(_) => None,
            Change::Removed { .. } => known.and_then(Kept::into_last_write),
        };
        let kept = Kept {
            change,
            confirmed_at,
            last_write,
        };
        self.changes.insert(key, kept);
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
        self.changes.retain(|_, kept| {
            let is_kept = matches!(kept.change, Change::Written(_))
                || now.since(kept.confirmed_at) < REMOVAL_RETENTION;
            if !is_kept {
                *compacted_revision = (*compacted_revision).max(kept.change.revision());
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

    /// Time since all that was written up to then was known here: a copy, from which the store has come back, lacks the last
    /// writes before it until they are made again.
    pub fn complete_age(&self, now: Time) -> Span {
        let is_incomplete = |copy: &CopyReturn| now.since(copy.learnt_at) < COPY_COMPLETION;
        match self.copy.filter(is_incomplete) {
            Some(copy) => now.since(copy.confirmed_before),
            None => self.age(now),
        }
    }

    /// Newest write of every key that exists.
    pub fn snapshot(&self) -> Vec<Change> {
        let changes = self.changes.values().map(|kept| &kept.change);
        let existing = changes.filter(|change| matches!(change, Change::Written(_)));
        existing.cloned().collect()
    }

    /// Changes after a revision, oldest first: the newest of each key, and the last write before a removal. `None` if some may
    /// be missing here.
    pub fn since(&self, after: u64) -> Option<Vec<Change>> {
        if after < self.compacted_revision {
            return None;
        }
        let kept = self.changes.values();
        let changes = kept.flat_map(|kept| kept.last_write.iter().chain([&kept.change]));
        let mut found: Vec<Change> = changes.filter(|c| c.revision() > after).cloned().collect();
        found.sort_by_key(Change::revision);
        Some(found)
    }
}
