//! What one host knows of requests that end replicas.

use super::stored;
use crate::message::{QuarantineEntry, QuarantineList};
use route::quarantine::{Crash, Incidents, Status, Tracker};
use std::collections::{BTreeMap, HashMap};
use unit::{Fingerprint, Span, Time};

/// Time for which good ends are noted after a fall: about the longest run and then some.
const ALERT_FOR: Span = Span::from_secs(60);

/// Age at which the leader's list no longer counts: it tells it every few seconds.
const LIST_VALID_FOR: Span = Span::from_secs(10);

/// Good ends remembered at once, at 16 bytes each.
const MAX_SUCCESSES: usize = 1_024;

/// What this host knows.
#[derive(Default)]
pub(super) struct Registry {
    /// Falls by request; all that is known of them at the host that leads.
    pub(super) ledger: Tracker,
    /// Requests that broke here, by replica.
    pub(super) falls: Incidents,
    /// The leader's list.
    told: LeaderList,
    /// The list in the store.
    stored: Stored,
    /// When requests last ended well here.
    successes: HashMap<Fingerprint, Time>,
    alert_until: Time,
    /// What this host told last as the leader.
    sent: SentList,
}

/// The leader's list, as it was told last.
#[derive(Default)]
struct LeaderList {
    /// Term and number of the list, by which a later one is known.
    version: (u64, u32),
    at: Time,
    listed: HashMap<Fingerprint, bool>,
}

/// The list in the store.
#[derive(Default)]
struct Stored {
    /// Revision of its last change.
    revision: u64,
    /// Whether it stands there.
    is_present: bool,
    listed: BTreeMap<Fingerprint, bool>,
}

/// What this host told last as the leader.
#[derive(Default)]
struct SentList {
    number: u32,
    listed: BTreeMap<Fingerprint, bool>,
}

/// What has changed in a leader's list.
pub(super) struct Delta {
    pub(super) changed: bool,
    pub(super) kept_out: Vec<Fingerprint>,
}

/// Standing of a request that is listed.
fn standing_of(is_out: bool) -> Status {
    match is_out {
        true => Status::Quarantined,
        false => Status::Suspected,
    }
}

impl Registry {
    pub(super) fn standing(&self, print: Fingerprint, now: Time) -> Status {
        let told = self
            .told
            .listed
            .get(&print)
            .filter(|_| self.is_list_current(now));
        let listed = told.into_iter().chain(self.stored.listed.get(&print));
        let listed = listed.map(|is_out| standing_of(*is_out)).max();
        // Only the leader keeps out; what was seen here alone is a reason to ask it.
        let seen = self.ledger.status(print, now).min(Status::Suspected);
        listed.unwrap_or(Status::Clear).max(seen)
    }

    fn is_list_current(&self, now: Time) -> bool {
        now.since(self.told.at) < LIST_VALID_FOR
    }

    pub(super) fn is_idle(&self, now: Time) -> bool {
        let told = !self.told.listed.is_empty() && self.is_list_current(now);
        !told && self.stored.listed.is_empty() && !self.ledger.has_suspects()
    }

    pub(super) fn is_alert(&self, now: Time) -> bool {
        now < self.alert_until || !self.is_idle(now)
    }

    pub(super) fn alert(&mut self, now: Time) {
        self.alert_until = now + ALERT_FOR;
    }

    /// Notes a good end; tells whether the leader is to know it.
    pub(super) fn record_success(&mut self, print: Fingerprint, now: Time) -> bool {
        if self.successes.len() >= MAX_SUCCESSES {
            self.successes.retain(|_, at| now.since(*at) < ALERT_FOR);
        }
        if self.successes.len() < MAX_SUCCESSES {
            self.successes.insert(print, now);
        }
        self.standing(print, now) != Status::Clear
    }

    pub(super) fn record_crash(
        &mut self,
        fall: Crash,
        aboard: &[Fingerprint],
        now: Time,
    ) -> Vec<Fingerprint> {
        self.alert(now);
        self.ledger.record_crash(fall, aboard, now)
    }

    pub(super) fn lift(&mut self, print: Fingerprint) {
        self.ledger.lift(print);
        self.told.listed.remove(&print);
        self.stored.listed.remove(&print);
    }

    pub(super) fn take_over(&mut self, now: Time) {
        let told = self.told.listed.iter().map(|(p, out)| (*p, *out));
        let stored = self.stored.listed.iter().map(|(p, out)| (*p, *out));
        for (print, is_out) in told.chain(stored) {
            self.ledger.restore(print, is_out, now);
        }
        self.sent = SentList::default();
    }

    pub(super) fn listing(&mut self, term: u64, now: Time) -> (QuarantineList, Delta) {
        let listed = self.ledger.suspects(now);
        let next: BTreeMap<Fingerprint, bool> = listed
            .iter()
            .map(|l| (l.fingerprint, l.is_quarantined))
            .collect();
        let changed = next != self.sent.listed;
        let is_new = |print: &Fingerprint| self.sent.listed.get(print) != Some(&true);
        let out = next.iter().filter(|(_, is_out)| **is_out);
        let kept_out = out.map(|(print, _)| *print).filter(is_new).collect();
        if changed {
            self.sent.number += 1;
            self.sent.listed = next;
        }
        let listed = listed.into_iter().map(|l| QuarantineEntry {
            fingerprint: l.fingerprint,
            is_quarantined: l.is_quarantined,
            since_ms: u32::try_from(now.since(l.since).0 / 1_000).unwrap_or(u32::MAX),
        });
        let listing = QuarantineList {
            term,
            number: self.sent.number,
            entries: listed.collect(),
        };
        (listing, Delta { changed, kept_out })
    }

    /// Takes in the leader's list; gives the requests in it that have ended well here since they were suspected.
    pub(super) fn apply_listing(&mut self, listing: QuarantineList, now: Time) -> Vec<Fingerprint> {
        let number = (listing.term, listing.number);
        if number < self.told.version {
            return Vec::new();
        }
        if !listing.entries.is_empty() {
            self.alert(now);
        }
        let sound = listing.entries.iter().filter(|listed| {
            let since = now - Span::from_ms(u64::from(listed.since_ms));
            let ended = self.successes.get(&listed.fingerprint);
            !listed.is_quarantined && ended.is_some_and(|at| *at > since)
        });
        let sound = sound.map(|listed| listed.fingerprint).collect();
        self.told = LeaderList {
            version: number,
            at: now,
            listed: listing
                .entries
                .iter()
                .map(|l| (l.fingerprint, l.is_quarantined))
                .collect(),
        };
        sound
    }

    /// List that is to stand in the store, and the revision that it replaces; none while it stands there.
    pub(super) fn pending_write(&mut self, now: Time) -> Option<(Vec<u8>, u64)> {
        let listed = self.ledger.suspects(now).into_iter();
        let listed: BTreeMap<Fingerprint, bool> =
            listed.map(|l| (l.fingerprint, l.is_quarantined)).collect();
        let replaced = match self.stored.is_present {
            true => self.stored.revision,
            false => 0,
        };
        (listed != self.stored.listed).then(|| (stored::encode(&listed), replaced))
    }

    pub(super) fn stored(&mut self, listed: BTreeMap<Fingerprint, bool>, revision: u64) {
        if revision >= self.stored.revision {
            self.stored = Stored {
                revision,
                is_present: true,
                listed,
            };
        }
    }

    /// Takes in that no list stands in the store, as of a revision.
    pub(super) fn absent(&mut self, revision: u64) {
        if revision >= self.stored.revision {
            self.stored = Stored {
                revision,
                ..Stored::default()
            };
        }
    }

    /// Takes in that no list stands in the store now.
    pub(super) fn mark_absent(&mut self) {
        self.stored.is_present = false;
    }

    /// Takes in that the list was removed from the store; tells whether it was the newest.
    pub(super) fn removed(&mut self, revision: u64) -> bool {
        if revision < self.stored.revision {
            return false;
        }
        let stored = std::mem::take(&mut self.stored.listed);
        let told = std::mem::take(&mut self.told.listed);
        for print in stored.into_keys().chain(told.into_keys()) {
            self.ledger.lift(print);
        }
        self.stored.revision = revision;
        self.stored.is_present = false;
        true
    }

    pub(super) fn counts(&self, now: Time) -> (usize, usize) {
        let told = self
            .told
            .listed
            .iter()
            .filter(|_| self.is_list_current(now));
        let mut listed: BTreeMap<Fingerprint, bool> = told.map(|(p, out)| (*p, *out)).collect();
        for (print, is_out) in &self.stored.listed {
            *listed.entry(*print).or_default() |= is_out;
        }
        let out = listed.values().filter(|is_out| **is_out).count();
        (listed.len() - out, out)
    }
}
