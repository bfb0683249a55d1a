//! View of the replicas that the store lists. Updates with older revisions are ignored.
//!
//! An entry that vanishes during an outage of the store is not a removal: living replicas write
//! their entries again soon after the store returns. An entry that is still missing then is
//! removed. [`contact`](crate::contact) tells whether the store is reachable.

use crate::contact::Contact;
use crate::message::replica_hash;
use platform::replica::{Entry, Incarnation};
use platform::store::era;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use unit::{Name, Span, Time};

/// Time for which the revision of a removal is kept, to reject older updates from other hosts.
const REMOVAL_RETENTION: Span = Span::from_secs(60);

/// Time for which a departure is kept after the replica's entry is gone.
const DEPARTURE_RETENTION: Span = Span::from_secs(24 * 3_600);

/// Replicas by identity.
#[derive(Debug)]
pub struct View {
    replicas: BTreeMap<Name, Replica>,
    /// Identities by their hash, as datagrams name them.
    ids_by_hash: HashMap<u32, Name>,
    removed: BTreeMap<Name, Removal>,
    /// Entries of removed replicas that a copy of the store lists again.
    doubtful: BTreeMap<Name, Doubtful>,
    /// Replicas that said that they leave, in an answer or in their entries; kept while their entries come and go.
    departures: BTreeMap<Name, Departure>,
    /// Reachability of the store.
    pub contact: Contact,
}

/// Removal of a replica, and the last entry that it wrote.
#[derive(Debug, Clone, Copy)]
struct Removal {
    revision: u64,
    removed_at: Time,
    incarnation: Incarnation,
    sequence: u64,
}

impl Removal {
    /// Whether an entry is no later than the removal, although it comes from a later copy of the store.
    fn may_precede(&self, entry: &Entry, revision: u64) -> bool {
        era::of(revision) > era::of(self.revision)
            && (entry.incarnation, entry.sequence) <= (self.incarnation, self.sequence)
    }
}

/// Entry that may be one of the past: the replica is used if it still is listed when a silent one's would have lapsed.
#[derive(Debug)]
struct Doubtful {
    entry: Entry,
    revision: u64,
    since: Option<Time>,
}

/// Departure that a replica announced.
#[derive(Debug, Clone, Copy)]
struct Departure {
    incarnation: Incarnation,
    /// When this host first heard of it.
    heard_at: Time,
    origin: Origin,
    /// Whether this host has passed it on, or need not.
    is_announced: bool,
}

/// How a departure became known to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// By an answer of the replica.
    Answer,
    /// By its entry in the store.
    Entry,
    /// By another host, which told this one as the leader.
    Host,
    /// By the leader, which tells all hosts.
    Leader,
}

/// Replica, as the store lists it.
#[derive(Debug, Clone)]
pub struct Replica {
    pub entry: Entry,
    /// Revision of that entry.
    pub revision: u64,
    /// Since when its entry has been missing, if it is.
    pub missing_since: Option<Time>,
    /// Incarnations before the current one, oldest first.
    former_incarnations: VecDeque<u64>,
    /// Whether this incarnation has announced its departure. The entry is also marked as leaving
    /// while it is overwritten.
    is_leaving: bool,
}

/// Earlier incarnations remembered per replica, to recognize entries that arrive late.
const MAX_FORMER: usize = 4;

/// How an entry relates to the newest known one.
enum Write {
    /// Older than the known one.
    Stale,
    /// A later one of the same incarnation.
    Next,
    /// The first one of another incarnation.
    Restart,
}

/// Effect of a store change on the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// A new replica.
    Added(Name),
    /// A new incarnation of a known replica.
    Restarted(Name),
    /// A replica announced its departure.
    Leaving(Name),
    /// A replica's entry was replaced by something that is not a valid entry of it.
    Overwritten(Name),
    /// Another change of an entry.
    Changed(Name),
    /// An entry vanished during or shortly after an outage of the store, and may reappear.
    Missing(Name),
    /// A replica is gone.
    Removed(Name),
}

impl Replica {
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

    /// Relates an entry to the newest known one.
    ///
    /// Heartbeat counters restart with each incarnation, so they are compared within one. An
    /// earlier start time is stale if it was seen before, or comes from a copy of the store's past; otherwise the replica's
    /// clock was set back between two starts.
    fn classify(&self, entry: &Entry, is_from_copy: bool) -> Write {
        let is_past = |new| is_from_copy || self.former_incarnations.contains(&new);
        match (self.entry.incarnation, entry.incarnation) {
            (Some(known), Some(new)) if new < known && is_past(new) => Write::Stale,
            (known, new) if known != new => Write::Restart,
            _ if entry.sequence < self.entry.sequence => Write::Stale,
            _ => Write::Next,
        }
    }

    /// Applies a later entry of the same incarnation; returns whether it announces the departure,
    /// which cannot be revoked.
    fn apply_next(&mut self, entry: Entry) -> bool {
        let announces = entry.leaving && !self.is_leaving;
        self.is_leaving |= entry.leaving;
        self.entry = Entry {
            leaving: self.is_leaving,
            ..entry
        };
        announces
    }

    /// Applies the first entry of another incarnation.
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
    /// Creates an empty view. `heartbeat` is the interval at which replicas write their entries.
    pub fn new(heartbeat: Span) -> View {
        View {
            replicas: BTreeMap::new(),
            ids_by_hash: HashMap::new(),
            removed: BTreeMap::new(),
            doubtful: BTreeMap::new(),
            departures: BTreeMap::new(),
            contact: Contact::new(heartbeat),
        }
    }

    /// All replicas, including those whose entry is missing.
    pub fn all(&self) -> impl Iterator<Item = &Replica> {
        self.replicas.values()
    }

    pub fn get(&self, id: &str) -> Option<&Replica> {
        self.replicas.get(id)
    }

    /// Identity of the replica with this hash.
    pub fn id_of_hash(&self, hash: u32) -> Option<&Name> {
        self.ids_by_hash.get(&hash)
    }

    fn insert(&mut self, id: &Name, replica: Replica) {
        self.ids_by_hash.insert(replica_hash(id), id.clone());
        self.replicas.insert(id.clone(), replica);
    }

    /// Drops a replica, and keeps the revision at which it was removed.
    fn drop_replica(&mut self, id: &Name, revision: u64, now: Time) {
        self.ids_by_hash.remove(&replica_hash(id));
        if let Some(replica) = self.replicas.remove(id) {
            let removal = Removal {
                revision,
                removed_at: now,
                incarnation: replica.entry.incarnation,
                sequence: replica.entry.sequence,
            };
            self.removed.insert(id.clone(), removal);
        }
    }

    /// Whether a replica is known with another incarnation than this one.
    pub fn has_other_incarnation(&self, id: &str, incarnation: Incarnation) -> bool {
        let replica = self.replicas.get(id);
        replica.is_some_and(|replica| replica.entry.incarnation != incarnation)
    }

    /// Whether an incarnation has announced its departure.
    pub fn has_departure(&self, id: &str, incarnation: Incarnation) -> bool {
        let departure = self.departures.get(id);
        departure.is_some_and(|departure| departure.incarnation == incarnation)
    }

    /// Records that an incarnation announced its departure, which cannot be revoked; returns
    /// whether that was new.
    pub fn record_departure(
        &mut self,
        id: &Name,
        incarnation: Incarnation,
        origin: Origin,
        now: Time,
    ) -> bool {
        if self.has_other_incarnation(id, incarnation) {
            return false;
        }
        if self.has_departure(id, incarnation) {
            if origin == Origin::Entry {
                self.note_entry(id);
            }
            return false;
        }
        let departure = Departure {
            incarnation,
            heard_at: now,
            origin,
            is_announced: origin == Origin::Leader,
        };
        self.departures.insert(id.clone(), departure);
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.is_leaving = true;
            replica.entry.leaving = true;
        }
        true
    }

    /// Notes that a known departure stands in the store too, where the next leader reads it.
    fn note_entry(&mut self, id: &str) {
        let known = self.departures.get_mut(id);
        if let Some(known) = known.filter(|d| d.origin == Origin::Leader) {
            known.origin = Origin::Entry;
        }
    }

    /// Returns the departures that this host has to pass on, and marks all as passed on; with those that stand in entries
    /// if it is to tell them.
    pub fn take_unannounced_departures(&mut self, tells_entries: bool) -> Vec<(Name, Incarnation)> {
        let mut taken = Vec::new();
        for (id, departure) in &mut self.departures {
            let is_new = !std::mem::replace(&mut departure.is_announced, true);
            if is_new && (tells_entries || departure.origin != Origin::Entry) {
                taken.push((id.clone(), departure.incarnation));
            }
        }
        taken
    }

    /// Departures that replicas announced to this host within the last `time`.
    pub fn recent_departures(&self, time: Span, now: Time) -> Vec<(Name, Incarnation)> {
        let is_own = |d: &Departure| d.origin == Origin::Answer && now.since(d.heard_at) < time;
        let own = self.departures.iter().filter(|(_, d)| is_own(d));
        own.map(|(id, d)| (id.clone(), d.incarnation)).collect()
    }

    /// Departures of replicas that are listed, or were until lately: a host may still know one that has gone, or read it
    /// from a copy of the store. With those that stand in entries if this host is to tell them.
    pub fn departures(&self, tells_entries: bool) -> Vec<(Name, Incarnation)> {
        let is_told = |d: &Departure| tells_entries || d.origin != Origin::Entry;
        let told = self.departures.iter().filter(|(_, d)| is_told(d));
        let current = told.filter(|(id, _)| self.leaves(id));
        current.map(|(id, d)| (id.clone(), d.incarnation)).collect()
    }

    /// Whether the last known incarnation of a replica, which may be gone by now, has announced its departure.
    pub fn leaves(&self, id: &str) -> bool {
        let listed = self.replicas.get(id).map(|r| r.entry.incarnation);
        let removed = || self.removed.get(id).map(|r| r.incarnation);
        let incarnation = listed.or_else(removed);
        incarnation.is_some_and(|incarnation| self.has_departure(id, incarnation))
    }

    /// Applies an entry written at a revision; older ones change nothing.
    pub fn put(&mut self, entry: Entry, revision: u64) -> Option<Update> {
        let id = entry.id.clone();
        if let Some(removal) = self.removed.get(&id) {
            if removal.revision >= revision {
                return None;
            }
            if removal.may_precede(&entry, revision) && !self.replicas.contains_key(&id) {
                let since = None;
                self.doubtful.insert(
                    id,
                    Doubtful {
                        entry,
                        revision,
                        since,
                    },
                );
                return None;
            }
        }
        self.doubtful.remove(&id);
        let is_leaving = entry.leaving || self.has_departure(&id, entry.incarnation);
        let Some(replica) = self.replicas.get_mut(&id) else {
            let replica = Replica::new(entry, revision, is_leaving);
            self.insert(&id, replica);
            return Some(Update::Added(id));
        };
        if replica.revision >= revision {
            return None;
        }
        if replica.entry.incarnation.is_some() && entry.incarnation.is_none() {
            // Replicas always write their start time, so this entry was written by something else.
            return self.mark_overwritten(&id, revision);
        }
        let is_from_copy = era::of(revision) > era::of(replica.revision);
        replica.revision = revision;
        replica.missing_since = None;
        match replica.classify(&entry, is_from_copy) {
            // A stale entry only proves that the replica still writes.
            Write::Stale => None,
            Write::Next => Some(match replica.apply_next(entry) {
                true => Update::Leaving(id),
                false => Update::Changed(id),
            }),
            Write::Restart => {
                replica.restart(entry, is_leaving);
                Some(Update::Restarted(id))
            }
        }
    }

    /// Records that a replica's entry was replaced by something invalid. The replica gets no new
    /// requests until a valid entry follows; running ones go on.
    pub fn mark_overwritten(&mut self, id: &str, revision: u64) -> Option<Update> {
        let replica = self.replicas.get_mut(id)?;
        if replica.revision >= revision {
            return None;
        }
        replica.revision = revision;
        replica.entry.leaving = true;
        Some(Update::Overwritten(replica.entry.id.clone()))
    }

    /// Applies a removal at a revision.
    pub fn remove(&mut self, id: &str, revision: u64, now: Time) -> Option<Update> {
        let may_reappear = self.contact.may_reappear(now);
        self.doubtful.remove(id);
        let replica = self.replicas.get_mut(id)?;
        if replica.revision >= revision {
            return None;
        }
        let id: Name = id.into();
        if !may_reappear {
            self.drop_replica(&id, revision, now);
            return Some(Update::Removed(id));
        }
        replica.revision = revision;
        match replica.missing_since.replace(now) {
            Some(since) => {
                replica.missing_since = Some(since);
                None
            }
            None => Some(Update::Missing(id)),
        }
    }

    /// Compares with a complete listing read at `revision`: replicas that it lacks have been
    /// removed.
    pub fn reconcile(&mut self, present: &[Name], revision: u64, now: Time) -> Vec<Update> {
        let present: HashSet<&Name> = present.iter().collect();
        self.doubtful.retain(|id, _| present.contains(id));
        let missing: Vec<Name> = self
            .replicas
            .values()
            .filter(|s| s.revision < revision && !present.contains(&s.entry.id))
            .map(|s| s.entry.id.clone())
            .collect();
        missing
            .iter()
            .filter_map(|id| self.remove(id, revision, now))
            .collect()
    }

    /// Whether the entry of any replica is missing.
    pub fn has_missing(&self) -> bool {
        self.replicas.values().any(|s| s.missing_since.is_some())
    }

    /// Removes replicas whose entries are still missing after the store's return, and drops old
    /// removals and departures.
    pub fn expire(&mut self, now: Time) -> Vec<Update> {
        self.removed
            .retain(|_, removal| now.since(removal.removed_at) < REMOVAL_RETENTION);
        let replica = &self.replicas;
        self.departures.retain(|id, departure| {
            replica.contains_key(id) || now.since(departure.heard_at) < DEPARTURE_RETENTION
        });
        let mut updates = self.accept_doubtful(now);
        if self.contact.may_reappear(now) {
            return updates;
        }
        let expired: Vec<Name> = self
            .replicas
            .values()
            .filter(|s| s.missing_since.is_some())
            .map(|s| s.entry.id.clone())
            .collect();
        for id in &expired {
            if let Some(revision) = self.replicas.get(id).map(|replica| replica.revision) {
                self.drop_replica(id, revision, now);
            }
        }
        updates.extend(expired.into_iter().map(Update::Removed));
        updates
    }

    /// Takes replicas back whose entries have been listed for longer than those of silent ones are.
    fn accept_doubtful(&mut self, now: Time) -> Vec<Update> {
        let lapse_time = self.contact.lapse_time();
        let is_due =
            |doubtful: &mut Doubtful| now.since(*doubtful.since.get_or_insert(now)) >= lapse_time;
        let due: Vec<Name> = self
            .doubtful
            .iter_mut()
            .filter_map(|(id, doubtful)| is_due(doubtful).then(|| id.clone()))
            .collect();
        let accepted = due.into_iter().filter_map(|id| {
            let Doubtful {
                entry, revision, ..
            } = self.doubtful.remove(&id)?;
            self.removed.remove(&id);
            self.put(entry, revision)
        });
        accepted.collect()
    }
}
