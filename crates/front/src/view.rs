//! Which replicas there are, from the store's items; never backwards.
//!
//! An entry that vanishes while the store is away is no departure: entries of living replicas are
//! back soon after the store's return. One still missing then is gone. [`contact`](crate::contact) tells whether
//! the store was away.

use crate::contact::Contact;
use platform::replica::{Entry, Incarnation};
use std::collections::{BTreeMap, VecDeque};
use unit::{Name, Span, Time};

/// Time for which the revision of a removal is remembered, against older news from elsewhere.
const REMEMBERED: Span = Span::from_secs(60);

/// Time for which the word of a replica that it leaves is remembered without an entry of it: it is gone minutes after.
const LEAVING_REMEMBERED: Span = Span::from_secs(24 * 3_600);

/// Replicas by identity.
#[derive(Debug)]
pub struct View {
    seen: BTreeMap<Name, Replica>,
    removed: BTreeMap<Name, (u64, Time)>,
    /// Replicas that said in answers that they leave. Entries come and go meanwhile.
    departures: BTreeMap<Name, Departure>,
    /// Whether the store is there, and since when.
    pub contact: Contact,
}

/// Word of a replica that it leaves.
#[derive(Debug, Clone, Copy)]
struct Departure {
    incarnation: Incarnation,
    /// When it was heard first.
    at: Time,
    /// How it came here.
    origin: Origin,
    /// Whether this host need not tell it any more.
    told: bool,
}

/// How the word of a replica came to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// In an answer.
    Answer,
    /// From a host that tells this one, which tells all.
    Host,
    /// From the host that tells all.
    Leader,
}

/// Replica with the news of it.
#[derive(Debug, Clone)]
pub struct Replica {
    /// Its newest entry.
    pub entry: Entry,
    /// Revision of that entry.
    pub revision: u64,
    /// Since when its entry has been missing, while it is not yet taken as gone.
    pub missing: Option<Time>,
    /// Incarnations before that of its entry, oldest first.
    former: VecDeque<u64>,
    /// Whether this incarnation has announced that it leaves; its entry says so too while what stands in its place
    /// cannot be read.
    has_left: bool,
}

/// Incarnations of a replica that are remembered beside the present one, against writings that come late:
/// those that may be under way at one time.
const MOST_FORMER: usize = 4;

/// How a writing of an entry stands to the newest one that is known.
enum Writing {
    /// It came late: a later one is known.
    Old,
    /// It is the next one of the same incarnation.
    Next,
    /// It is of an incarnation that was not known.
    Restarted,
}

/// What news did to the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// A replica that was not known.
    Added(Name),
    /// A replica has started again under its identity.
    Restarted(Name),
    /// A replica has announced that it leaves.
    Leaving(Name),
    /// What stands in the place of a replica's entry cannot be read.
    Overwritten(Name),
    /// Something else about a replica changed.
    Changed(Name),
    /// An entry is missing, and may come back.
    Missing(Name),
    /// A replica is gone.
    Removed(Name),
}

impl Replica {
    /// A replica that was not known.
    fn new(entry: Entry, revision: u64, has_left: bool) -> Replica {
        Replica {
            has_left,
            entry: Entry {
                leaving: has_left,
                ..entry
            },
            revision,
            missing: None,
            former: VecDeque::new(),
        }
    }

    /// How a writing stands to the newest one.
    ///
    /// Counts begin anew with each incarnation, so they say nothing between two. One that began earlier is old if
    /// it was seen before; else the replica's clock was stepped back between its starts.
    fn writing(&self, entry: &Entry) -> Writing {
        match (self.entry.incarnation, entry.incarnation) {
            (Some(known), Some(told)) if told < known && self.former.contains(&told) => {
                Writing::Old
            }
            (known, told) if known != told => Writing::Restarted,
            _ if entry.beat < self.entry.beat => Writing::Old,
            _ => Writing::Next,
        }
    }

    /// Takes the next writing of the same incarnation; tells whether it announces that the replica leaves. That
    /// is not taken back.
    fn follow(&mut self, entry: Entry) -> bool {
        let announces = entry.leaving && !self.has_left;
        self.has_left |= entry.leaving;
        self.entry = Entry {
            leaving: self.has_left,
            ..entry
        };
        announces
    }

    /// Takes the first writing of another incarnation, of which nothing holds that was known of the one before.
    fn restart(&mut self, entry: Entry, has_left: bool) {
        self.former.extend(self.entry.incarnation);
        if self.former.len() > MOST_FORMER {
            self.former.pop_front();
        }
        self.has_left = has_left;
        self.entry = Entry {
            leaving: has_left,
            ..entry
        };
    }
}

impl View {
    /// Makes an empty view of a store to which replicas write each `heartbeat`.
    pub fn new(heartbeat: Span) -> View {
        View {
            seen: BTreeMap::new(),
            removed: BTreeMap::new(),
            departures: BTreeMap::new(),
            contact: Contact::new(heartbeat),
        }
    }

    /// Replicas, the missing ones included.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.seen.values()
    }

    /// Replica of an identity.
    pub fn get(&self, id: &str) -> Option<&Replica> {
        self.seen.get(id)
    }

    /// Whether another incarnation of a replica is known than this one.
    pub fn has_other_incarnation(&self, id: &str, incarnation: Incarnation) -> bool {
        let seen = self.seen.get(id);
        seen.is_some_and(|seen| seen.entry.incarnation != incarnation)
    }

    /// Whether an incarnation has said in an answer that it leaves.
    pub fn has_departure(&self, id: &str, incarnation: Incarnation) -> bool {
        let said = self.departures.get(id);
        said.is_some_and(|said| said.incarnation == incarnation)
    }

    /// Takes in that an incarnation says in an answer that it leaves, which is not taken back; tells whether that was not known.
    pub fn record_departure(
        &mut self,
        id: &Name,
        incarnation: Incarnation,
        origin: Origin,
        now: Time,
    ) -> bool {
        if self.has_other_incarnation(id, incarnation) || self.has_departure(id, incarnation) {
            return false;
        }
        let departure = Departure {
            incarnation,
            at: now,
            origin,
            told: origin == Origin::Leader,
        };
        self.departures.insert(id.clone(), departure);
        if let Some(seen) = self.seen.get_mut(id) {
            seen.has_left = true;
            seen.entry.leaving = true;
        }
        true
    }

    /// Departures that this host has to tell; they count as told.
    pub fn take_unannounced_departures(&mut self) -> Vec<(Name, Incarnation)> {
        let untold = self.departures.iter_mut().filter(|(_, d)| !d.told);
        let told = untold.map(|(id, departure)| {
            departure.told = true;
            (id.clone(), departure.incarnation)
        });
        told.collect()
    }

    /// Departures that this host has heard itself within the last `time`.
    pub fn recent_departures(&self, time: Span, now: Time) -> Vec<(Name, Incarnation)> {
        let is_own = |d: &Departure| d.origin == Origin::Answer && now.since(d.at) < time;
        let own = self.departures.iter().filter(|(_, d)| is_own(d));
        own.map(|(id, d)| (id.clone(), d.incarnation)).collect()
    }

    /// Departures of replicas that are there.
    pub fn departures(&self) -> Vec<(Name, Incarnation)> {
        let leaves = |seen: &&Replica| self.has_departure(&seen.entry.id, seen.entry.incarnation);
        let entries = self.all().filter(leaves).map(|seen| &seen.entry);
        entries.map(|e| (e.id.clone(), e.incarnation)).collect()
    }

    /// Takes in an entry at its revision; older news changes nothing.
    pub fn put(&mut self, entry: Entry, revision: u64) -> Option<Update> {
        let id = entry.id.clone();
        if self.removed.get(&id).is_some_and(|(at, _)| *at >= revision) {
            return None;
        }
        let has_left = entry.leaving || self.has_departure(&id, entry.incarnation);
        let Some(seen) = self.seen.get_mut(&id) else {
            let seen = Replica::new(entry, revision, has_left);
            self.seen.insert(id.clone(), seen);
            return Some(Update::Added(id));
        };
        if seen.revision >= revision {
            return None;
        }
        if seen.entry.incarnation.is_some() && entry.incarnation.is_none() {
            // Each writing of the replica tells its start: this one is another writer's.
            return self.mark_overwritten(&id, revision);
        }
        seen.revision = revision;
        seen.missing = None;
        match seen.writing(&entry) {
            // It shows that the replica is there, and nothing else.
            Writing::Old => None,
            Writing::Next => Some(match seen.follow(entry) {
                true => Update::Leaving(id),
                false => Update::Changed(id),
            }),
            Writing::Restarted => {
                seen.restart(entry, has_left);
                Some(Update::Restarted(id))
            }
        }
    }

    /// Takes in that what stands in the place of a replica's entry cannot be read, or is not its own: it names no
    /// replica to use. What runs there goes on, and an entry that can be read makes it good.
    pub fn mark_overwritten(&mut self, id: &str, revision: u64) -> Option<Update> {
        let seen = self.seen.get_mut(id)?;
        if seen.revision >= revision {
            return None;
        }
        seen.revision = revision;
        seen.entry.leaving = true;
        Some(Update::Overwritten(seen.entry.id.clone()))
    }

    /// Takes in a removal at its revision.
    pub fn remove(&mut self, id: &str, revision: u64, now: Time) -> Option<Update> {
        let may_return = self.contact.may_reappear(now);
        let seen = self.seen.get_mut(id)?;
        if seen.revision >= revision {
            return None;
        }
        let id: Name = id.into();
        if !may_return {
            self.seen.remove(&id);
            self.removed.insert(id.clone(), (revision, now));
            return Some(Update::Removed(id));
        }
        seen.revision = revision;
        match seen.missing.replace(now) {
            Some(since) => {
                seen.missing = Some(since);
                None
            }
            None => Some(Update::Missing(id)),
        }
    }

    /// Compares with a whole range read at `revision`: what is not in it has been removed.
    pub fn reconcile(&mut self, present: &[Name], revision: u64, now: Time) -> Vec<Update> {
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
    pub fn expire(&mut self, now: Time) -> Vec<Update> {
        self.removed
            .retain(|_, (_, at)| now.since(*at) < REMEMBERED);
        let seen = &self.seen;
        self.departures.retain(|id, departure| {
            seen.contains_key(id) || now.since(departure.at) < LEAVING_REMEMBERED
        });
        if self.contact.may_reappear(now) {
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
        gone.into_iter().map(Update::Removed).collect()
    }
}
