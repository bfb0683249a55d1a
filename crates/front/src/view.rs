//! Which replicas there are, from the store's items; never backwards.
//!
//! An entry that vanishes while the store is away is no departure: entries of living replicas are
//! back soon after the store's return. One still missing then is gone. [`contact`](crate::contact) tells whether
//! the store was away.

use crate::contact::Contact;
use platform::replica::Entry;
use std::collections::BTreeMap;
use unit::{Name, Span, Time};

/// Time for which the revision of a removal is remembered, against older news from elsewhere.
const REMEMBERED: Span = Span::from_secs(60);

/// Replicas by identity.
#[derive(Debug)]
pub struct View {
    seen: BTreeMap<Name, Seen>,
    removed: BTreeMap<Name, (u64, Time)>,
    /// Whether the store is there, and since when.
    pub contact: Contact,
}

/// Replica with the news of it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Its newest entry.
    pub entry: Entry,
    /// Revision of that entry.
    pub revision: u64,
    /// Since when its entry has been missing, while it is not yet taken as gone.
    pub missing: Option<Time>,
}

/// What news did to the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum News {
    /// A replica that was not known.
    New(Name),
    /// A replica has announced that it leaves.
    Leaving(Name),
    /// Something else about a replica changed.
    Changed(Name),
    /// An entry is missing, and may come back.
    Missing(Name),
    /// A replica is gone.
    Gone(Name),
}

impl View {
    /// Makes an empty view of a store to which replicas write each `heartbeat`.
    pub fn new(heartbeat: Span) -> View {
        View {
            seen: BTreeMap::new(),
            removed: BTreeMap::new(),
            contact: Contact::new(heartbeat),
        }
    }

    /// Replicas, the missing ones included.
    pub fn all(&self) -> impl Iterator<Item = &Seen> {
        self.seen.values()
    }

    /// Replica of an identity.
    pub fn get(&self, id: &str) -> Option<&Seen> {
        self.seen.get(id)
    }

    /// Takes in an entry at its revision; older news changes nothing.
    pub fn put(&mut self, entry: Entry, revision: u64) -> Option<News> {
        let id = entry.id.clone();
        if self.removed.get(&id).is_some_and(|(at, _)| *at >= revision) {
            return None;
        }
        let Some(seen) = self.seen.get_mut(&id) else {
            let seen = Seen {
                entry,
                revision,
                missing: None,
            };
            self.seen.insert(id.clone(), seen);
            return Some(News::New(id));
        };
        if seen.revision >= revision {
            return None;
        }
        if entry.beat < seen.entry.beat {
            // An old writing that came late: it shows that the replica is there, and nothing else.
            seen.revision = revision;
            seen.missing = None;
            return None;
        }
        let leaves = entry.leaving && !seen.entry.leaving;
        // A replica that has announced its leaving does not take that back.
        let leaving = entry.leaving || seen.entry.leaving;
        *seen = Seen {
            entry: Entry { leaving, ..entry },
            revision,
            missing: None,
        };
        Some(match leaves {
            true => News::Leaving(id),
            false => News::Changed(id),
        })
    }

    /// Takes in a removal at its revision.
    pub fn remove(&mut self, id: &str, revision: u64, now: Time) -> Option<News> {
        let may_return = self.contact.may_return(now);
        let seen = self.seen.get_mut(id)?;
        if seen.revision >= revision {
            return None;
        }
        let id: Name = id.into();
        if !may_return {
            self.seen.remove(&id);
            self.removed.insert(id.clone(), (revision, now));
            return Some(News::Gone(id));
        }
        seen.revision = revision;
        match seen.missing.replace(now) {
            Some(since) => {
                seen.missing = Some(since);
                None
            }
            None => Some(News::Missing(id)),
        }
    }

    /// Compares with a whole range read at `revision`: what is not in it has been removed.
    pub fn compare(&mut self, present: &[Name], revision: u64, now: Time) -> Vec<News> {
        let absent: Vec<Name> = self
            .seen
            .values()
            .filter(|s| s.revision < revision && !present.contains(&s.entry.id))
            .map(|s| s.entry.id.clone())
            .collect();
        absent
            .iter()
            .filter_map(|id| self.remove(id, revision, now))
            .collect()
    }

    /// Whether any entry is missing.
    pub fn has_missing(&self) -> bool {
        self.seen.values().any(|s| s.missing.is_some())
    }

    /// Takes as gone what is still missing after the store's return, and forgets old removals.
    pub fn expire(&mut self, now: Time) -> Vec<News> {
        self.removed
            .retain(|_, (_, at)| now.since(*at) < REMEMBERED);
        if self.contact.may_return(now) {
            return Vec::new();
        }
        let gone: Vec<Name> = self
            .seen
            .values()
            .filter(|s| s.missing.is_some())
            .map(|s| s.entry.id.clone())
            .collect();
        for id in &gone {
            if let Some(seen) = self.seen.remove(id) {
                self.removed.insert(id.clone(), (seen.revision, now));
            }
        }
        gone.into_iter().map(News::Gone).collect()
    }
}
