//! Which replicas there are, from the store's items; never backwards.
//!
//! An entry that vanishes while the store is away is no departure: entries of living replicas are
//! back within [`RETURN`] of the store's return. One still missing then is gone.

use platform::replica::Entry;
use std::collections::BTreeMap;
use unit::{Name, Span, Time};

/// Time in which entries that lapsed while the store was away come back after its return.
pub const RETURN: Span = Span::from_ms(2_000);

/// Time for which the revision of a removal is remembered, against older news from elsewhere.
const REMEMBERED: Span = Span::from_secs(60);

/// Replicas by identity.
#[derive(Debug, Default)]
pub struct View {
    seen: BTreeMap<Name, Seen>,
    removed: BTreeMap<Name, (u64, Time)>,
    /// When the store last came back after it was away.
    returned: Option<Time>,
    away: bool,
    /// When this host last heard from the store, or of it.
    heard: Option<Time>,
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
    /// Replicas, the missing ones included.
    pub fn all(&self) -> impl Iterator<Item = &Seen> {
        self.seen.values()
    }

    /// Replica of an identity.
    pub fn get(&self, id: &str) -> Option<&Seen> {
        self.seen.get(id)
    }

    /// Notes whether the store answers.
    pub fn store_answers(&mut self, answers: bool, now: Time) {
        if answers && self.away {
            self.returned = Some(now);
        }
        if answers {
            self.heard = Some(now);
        }
        self.away = !answers;
    }

    /// Time since this host last heard from the store, or of it.
    pub fn silent(&self, now: Time) -> Option<Span> {
        self.heard.map(|at| now.since(at))
    }

    /// Whether the store does not answer.
    pub fn is_away(&self) -> bool {
        self.away
    }

    /// Time since the store came back, while entries that vanished may come back yet.
    pub fn settling(&self, now: Time) -> Option<Span> {
        let since = now.since(self.returned?);
        (since < RETURN).then_some(since)
    }

    /// Notes that the store came back at a time, by the word of a host that saw it.
    pub fn store_came_back(&mut self, at: Time) {
        self.returned = self.returned.max(Some(at));
    }

    /// Whether entries that vanish now may come back.
    fn may_return(&self, now: Time) -> bool {
        self.away || self.returned.is_some_and(|at| now.since(at) < RETURN)
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
        let may_return = self.may_return(now);
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

    /// Takes as gone what is still missing after the store's return, and forgets old removals.
    pub fn expire(&mut self, now: Time) -> Vec<News> {
        self.removed
            .retain(|_, (_, at)| now.since(*at) < REMEMBERED);
        if self.may_return(now) {
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
