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
const REMOVAL_RETENTION: Span = Span::from_secs(60);

/// Time for which the word of a replica that it leaves is remembered without an entry of it: it is gone minutes after.
const DEPARTURE_RETENTION: Span = Span::from_secs(24 * 3_600);

/// Replicas by identity.
#[derive(Debug)]
pub struct View {
    replicas: BTreeMap<Name, Replica>,
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
    heard_at: Time,
    /// How it came here.
    origin: Origin,
    /// Whether this host need not tell it any more.
    is_announced: bool,
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
    pub missing_since: Option<Time>,
    /// Incarnations before that of its entry, oldest first.
    former_incarnations: VecDeque<u64>,
    /// Whether this incarnation has announced that it leaves; its entry says so too while what stands in its place
    /// cannot be read.
    is_leaving: bool,
}

/// Incarnations of a replica that are remembered beside the present one, against writings that come late:
/// those that may be under way at one time.
const MAX_FORMER: usize = 4;

/// How a writing of an entry stands to the newest one that is known.
enum Write {
    /// It came late: a later one is known.
    Stale,
    /// It is the next one of the same incarnation.
    Next,
    /// It is of an incarnation that was not known.
    Restart,
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
    fn new(entry: Entry, revision: u64, is_leaving: bool) -> Replica {
        Replica {
            is_leaving,
            entry: Entry {
                leaving: is_leaving,
                ..entry
            },
            revision,
            missing_since: None,
            former_incarnations: VecDeque::new(),
        }
    }

    /// How a writing stands to the newest one.
    ///
    /// Counts begin anew with each incarnation, so they say nothing between two. One that began earlier is old if
    /// it was seen before; else the replica's clock was stepped back between its starts.
    fn classify(&self, entry: &Entry) -> Write {
        match (self.entry.incarnation, entry.incarnation) {
            (Some(known), Some(told))
                if told < known && self.former_incarnations.contains(&told) =>
            {
                Write::Stale
            }
            (known, told) if known != told => Write::Restart,
            _ if entry.beat < self.entry.beat => Write::Stale,
            _ => Write::Next,
        }
    }

    /// Takes the next writing of the same incarnation; tells whether it announces that the replica leaves. That
    /// is not taken back.
    fn apply_next(&mut self, entry: Entry) -> bool {
        let announces = entry.leaving && !self.is_leaving;
        self.is_leaving |= entry.leaving;
        self.entry = Entry {
            leaving: self.is_leaving,
            ..entry
        };
        announces
    }

    /// Takes the first writing of another incarnation, of which nothing holds that was known of the one before.
    fn restart(&mut self, entry: Entry, is_leaving: bool) {
        self.former_incarnations.extend(self.entry.incarnation);
        if self.former_incarnations.len() > MAX_FORMER {
            self.former_incarnations.pop_front();
        }
        self.is_leaving = is_leaving;
        self.entry = Entry {
            leaving: is_leaving,
            ..entry
        };
    }
}

impl View {
    /// Makes an empty view of a store to which replicas write each `heartbeat`.
    pub fn new(heartbeat: Span) -> View {
        View {
            replicas: BTreeMap::new(),
            removed: BTreeMap::new(),
            departures: BTreeMap::new(),
            contact: Contact::new(heartbeat),
        }
    }

    /// Replicas, the missing ones included.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    /// Replica of an identity.
    pub fn get(&self, id: &str) -> Option<&Replica> {
        self.replicas.get(id)
    }

    /// Whether another incarnation of a replica is known than this one.
    pub fn has_other_incarnation(&self, id: &str, incarnation: Incarnation) -> bool {
        let seen = self.replicas.get(id);
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
            heard_at: now,
            origin,
            is_announced: origin == Origin::Leader,
        };
        self.departures.insert(id.clone(), departure);
        if let Some(seen) = self.replicas.get_mut(id) {
            seen.is_leaving = true;
            seen.entry.leaving = true;
        }
        true
    }

    /// Departures that this host has to tell; they count as told.
    pub fn take_unannounced_departures(&mut self) -> Vec<(Name, Incarnation)> {
        let untold = self.departures.iter_mut().filter(|(_, d)| !d.is_announced);
        let told = untold.map(|(id, departure)| {
            departure.is_announced = true;
            (id.clone(), departure.incarnation)
        });
        told.collect()
    }

    /// Departures that this host has heard itself within the last `time`.
    pub fn recent_departures(&self, time: Span, now: Time) -> Vec<(Name, Incarnation)> {
        let is_own = |d: &Departure| d.origin == Origin::Answer && now.since(d.heard_at) < time;
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
        let is_leaving = entry.leaving || self.has_departure(&id, entry.incarnation);
        let Some(seen) = self.replicas.get_mut(&id) else {
            let seen = Replica::new(entry, revision, is_leaving);
            self.replicas.insert(id.clone(), seen);
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
        seen.missing_since = None;
        match seen.classify(&entry) {
            // It shows that the replica is there, and nothing else.
            Write::Stale => None,
            Write::Next => Some(match seen.apply_next(entry) {
                true => Update::Leaving(id),
                false => Update::Changed(id),
            }),
            Write::Restart => {
                seen.restart(entry, is_leaving);
                Some(Update::Restarted(id))
            }
        }
    }

    /// Takes in that what stands in the place of a replica's entry cannot be read, or is not its own: it names no
    /// replica to use. What runs there goes on, and an entry that can be read makes it good.
    pub fn mark_overwritten(&mut self, id: &str, revision: u64) -> Option<Update> {
        let seen = self.replicas.get_mut(id)?;
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
        let seen = self.replicas.get_mut(id)?;
        if seen.revision >= revision {
            return None;
        }
        let id: Name = id.into();
        if !may_return {
            self.replicas.remove(&id);
            self.removed.insert(id.clone(), (revision, now));
            return Some(Update::Removed(id));
        }
        seen.revision = revision;
        match seen.missing_since.replace(now) {
            Some(since) => {
                seen.missing_since = Some(since);
                None
            }
            None => Some(Update::Missing(id)),
        }
    }

    /// Compares with a whole range read at `revision`: what is not in it has been removed.
    pub fn reconcile(&mut self, present: &[Name], revision: u64, now: Time) -> Vec<Update> {
        let absent: Vec<Name> = self
            .replicas
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
        self.replicas.values().any(|s| s.missing_since.is_some())
    }

    /// Takes as gone what is still missing after the store's return, and forgets old removals.
    pub fn expire(&mut self, now: Time) -> Vec<Update> {
        self.removed
            .retain(|_, (_, at)| now.since(*at) < REMOVAL_RETENTION);
        let seen = &self.replicas;
        self.departures.retain(|id, departure| {
            seen.contains_key(id) || now.since(departure.heard_at) < DEPARTURE_RETENTION
        });
        if self.contact.may_reappear(now) {
            return Vec::new();
        }
        let gone: Vec<Name> = self
            .replicas
            .values()
            .filter(|s| s.missing_since.is_some())
            .map(|s| s.entry.id.clone())
            .collect();
        for id in &gone {
            if let Some(seen) = self.replicas.remove(id) {
                self.removed.insert(id.clone(), (seen.revision, now));
            }
        }
        gone.into_iter().map(Update::Removed).collect()
    }
}
