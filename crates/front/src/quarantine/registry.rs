//! What one host knows of suspected and quarantined requests.

use super::stored;
use crate::message::{QuarantineEntry, QuarantineList};
use platform::store::era;
use route::quarantine::{Crash, Incidents, Report, Status, Tracker};
use std::collections::{BTreeMap, HashMap};
use unit::{Fingerprint, Span, Time};

/// Time for which successes are recorded after a crash: somewhat longer than the longest run.
const ALERT_FOR: Span = Span::from_secs(60);

/// Age at which the leader's list expires; it is broadcast every few seconds.
const LIST_VALID_FOR: Span = Span::from_secs(10);

/// Limit on recorded successes, at 16 bytes each.
const MAX_SUCCESSES: usize = 1_024;

#[derive(Default)]
pub(super) struct Registry {
    /// Crashes by request, complete on the leader.
    pub(super) tracker: Tracker,
    /// Requests that were interrupted here, by replica.
    pub(super) incidents: Incidents,
    leader_list: LeaderList,
    stored: Stored,
    /// Last success of each request on this host.
    successes: HashMap<Fingerprint, Time>,
    alert_until: Time,
    /// List that this host broadcast last as the leader.
    sent: SentList,
}

/// List that the leader broadcast last.
#[derive(Default)]
struct LeaderList {
    /// Term and number of the list, by which a newer one is recognized.
    version: (u64, u32),
    at: Time,
    listed: HashMap<Fingerprint, bool>,
}

/// List in the store.
#[derive(Default)]
struct Stored {
    /// Revision of the last change.
    revision: u64,
    /// Whether the store holds a list.
    is_present: bool,
    /// Whether it has lost the list, since it came back from a copy.
    is_lost: bool,
    listed: BTreeMap<Fingerprint, bool>,
}

/// List that this host broadcast last as the leader.
#[derive(Default)]
struct SentList {
    number: u32,
    listed: BTreeMap<Fingerprint, bool>,
}

/// Changes of a leader's list.
pub(super) struct Delta {
    pub(super) changed: bool,
    pub(super) newly_quarantined: Vec<Fingerprint>,
}

fn listed_status(is_quarantined: bool) -> Status {
    match is_quarantined {
        true => Status::Quarantined,
        false => Status::Suspected,
    }
}

impl Registry {
    pub(super) fn status(&self, fingerprint: Fingerprint, now: Time) -> Status {
        let from_leader = self
            .leader_list
            .listed
            .get(&fingerprint)
            .filter(|_| self.is_list_current(now));
        let statuses = from_leader
            .into_iter()
            .chain(self.stored.listed.get(&fingerprint));
        let statuses = statuses
            .map(|is_quarantined| listed_status(*is_quarantined))
            .max();
        // Only the leader quarantines; what this host alone has seen is a reason to ask the leader.
        let observed = self.tracker.status(fingerprint, now).min(Status::Suspected);
        statuses.unwrap_or(Status::Clear).max(observed)
    }

    fn is_list_current(&self, now: Time) -> bool {
        now.since(self.leader_list.at) < LIST_VALID_FOR
    }

    pub(super) fn is_empty(&self, now: Time) -> bool {
        let has_leader_list = !self.leader_list.listed.is_empty() && self.is_list_current(now);
        !has_leader_list && self.stored.listed.is_empty() && !self.tracker.has_suspects()
    }

    pub(super) fn is_alert(&self, now: Time) -> bool {
        now < self.alert_until || !self.is_empty(now)
    }

    pub(super) fn alert(&mut self, now: Time) {
        self.alert_until = now + ALERT_FOR;
    }

    /// Records a success, and returns whether to report it.
    pub(super) fn record_success(&mut self, fingerprint: Fingerprint, now: Time) -> bool {
        if self.successes.len() >= MAX_SUCCESSES {
            self.successes.retain(|_, at| now.since(*at) < ALERT_FOR);
        }
        if self.successes.len() < MAX_SUCCESSES {
            self.successes.insert(fingerprint, now);
        }
        self.status(fingerprint, now) != Status::Clear
    }

    pub(super) fn record_report(&mut self, report: &Report, now: Time) -> Vec<Fingerprint> {
        self.alert(now);
        self.tracker.record_report(report, now)
    }

    pub(super) fn record_crash(
        &mut self,
        crash: Crash,
        in_flight: &[Fingerprint],
        now: Time,
    ) -> Vec<Fingerprint> {
        self.alert(now);
        self.tracker.record_crash(crash, in_flight, now)
    }

    pub(super) fn lift(&mut self, fingerprint: Fingerprint) {
        self.tracker.lift(fingerprint);
        self.leader_list.listed.remove(&fingerprint);
        self.stored.listed.remove(&fingerprint);
    }

    pub(super) fn take_over(&mut self, now: Time) {
        let from_leader = self
            .leader_list
            .listed
            .iter()
            .map(|(fingerprint, is_quarantined)| (*fingerprint, *is_quarantined));
        let from_store = self
            .stored
            .listed
            .iter()
            .map(|(fingerprint, is_quarantined)| (*fingerprint, *is_quarantined));
        for (fingerprint, is_quarantined) in from_leader.chain(from_store) {
            self.tracker.restore(fingerprint, is_quarantined, now);
        }
        self.sent = SentList::default();
    }

    pub(super) fn listing(&mut self, term: u64, now: Time) -> (QuarantineList, Delta) {
        let suspects = self.tracker.suspects(now);
        let next: BTreeMap<Fingerprint, bool> = suspects
            .iter()
            .map(|suspect| (suspect.fingerprint, suspect.is_quarantined))
            .collect();
        let changed = next != self.sent.listed;
        let is_new = |fingerprint: &Fingerprint| self.sent.listed.get(fingerprint) != Some(&true);
        let quarantined = next.iter().filter(|(_, is_quarantined)| **is_quarantined);
        let newly_quarantined = quarantined
            .map(|(fingerprint, _)| *fingerprint)
            .filter(is_new)
            .collect();
        if changed {
            self.sent.number += 1;
            self.sent.listed = next;
        }
        let suspects = suspects.into_iter().map(|suspect| QuarantineEntry {
            fingerprint: suspect.fingerprint,
            is_quarantined: suspect.is_quarantined,
            since_ms: u32::try_from(now.since(suspect.since).0 / 1_000).unwrap_or(u32::MAX),
        });
        let listing = QuarantineList {
            term,
            number: self.sent.number,
            entries: suspects.collect(),
        };
        (
            listing,
            Delta {
                changed,
                newly_quarantined,
            },
        )
    }

    /// Applies the leader's list, and returns the suspects in it that have succeeded here since
    /// their first crash.
    pub(super) fn apply_listing(&mut self, list: QuarantineList, now: Time) -> Vec<Fingerprint> {
        let version = (list.term, list.number);
        if version < self.leader_list.version {
            return Vec::new();
        }
        if !list.entries.is_empty() {
            self.alert(now);
        }
        let succeeded = list.entries.iter().filter(|entry| {
            let since = now - Span::from_ms(u64::from(entry.since_ms));
            let succeeded_at = self.successes.get(&entry.fingerprint);
            !entry.is_quarantined && succeeded_at.is_some_and(|at| *at > since)
        });
        let succeeded = succeeded.map(|entry| entry.fingerprint).collect();
        self.leader_list = LeaderList {
            version,
            at: now,
            listed: list
                .entries
                .iter()
                .map(|entry| (entry.fingerprint, entry.is_quarantined))
                .collect(),
        };
        succeeded
    }

    /// The list to write and the revision that it replaces, unless the store has it already.
    pub(super) fn pending_write(&mut self, now: Time) -> Option<(Vec<u8>, u64)> {
        let listed = self.tracker.suspects(now).into_iter();
        let listed: BTreeMap<Fingerprint, bool> = listed
            .map(|suspect| (suspect.fingerprint, suspect.is_quarantined))
            .collect();
        let expected_revision = match self.stored.is_present {
            true => self.stored.revision,
            false => 0,
        };
        (self.stored.is_lost || listed != self.stored.listed)
            .then(|| (stored::encode(&listed), expected_revision))
    }

    /// Applies the list that the store holds at a revision. A copy of an earlier state lifts nothing.
    pub(super) fn apply_stored(&mut self, mut listed: BTreeMap<Fingerprint, bool>, revision: u64) {
        if self.is_of_later_era(revision) {
            for (fingerprint, is_quarantined) in &self.stored.listed {
                *listed.entry(*fingerprint).or_default() |= is_quarantined;
            }
        }
        if revision >= self.stored.revision {
            self.stored = Stored {
                revision,
                is_present: true,
                is_lost: false,
                listed,
            };
        }
    }

    /// Whether the store has come back from a copy since its list was applied last.
    fn is_of_later_era(&self, revision: u64) -> bool {
        let known = self.stored.revision;
        known > 0 && era::of(revision) > era::of(known)
    }

    /// Records that the store holds no list, as of a revision. A copy that lacks it lifts nothing.
    pub(super) fn clear_stored(&mut self, revision: u64) {
        if self.is_of_later_era(revision) {
            self.stored.revision = revision;
            self.stored.is_present = false;
            self.stored.is_lost = !self.stored.listed.is_empty();
        } else if revision >= self.stored.revision {
            self.stored = Stored {
                revision,
                ..Stored::default()
            };
        }
    }

    /// Records that the store no longer holds a list.
    pub(super) fn mark_missing(&mut self) {
        self.stored.is_present = false;
    }

    /// Applies the removal of the list from the store, unless a newer one is known. Returns whether
    /// it was applied.
    pub(super) fn apply_removed(&mut self, revision: u64) -> bool {
        if revision < self.stored.revision {
            return false;
        }
        let from_store = std::mem::take(&mut self.stored.listed);
        let from_leader = std::mem::take(&mut self.leader_list.listed);
        for fingerprint in from_store.into_keys().chain(from_leader.into_keys()) {
            self.tracker.lift(fingerprint);
        }
        self.stored.revision = revision;
        self.stored.is_present = false;
        self.stored.is_lost = false;
        true
    }

    pub(super) fn counts(&self, now: Time) -> (usize, usize) {
        let from_leader = self
            .leader_list
            .listed
            .iter()
            .filter(|_| self.is_list_current(now));
        let mut listed: BTreeMap<Fingerprint, bool> = from_leader
            .map(|(fingerprint, quarantined)| (*fingerprint, *quarantined))
            .collect();
        for (fingerprint, is_quarantined) in &self.stored.listed {
            *listed.entry(*fingerprint).or_default() |= is_quarantined;
        }
        let quarantined = listed
            .values()
            .filter(|is_quarantined| **is_quarantined)
            .count();
        (listed.len() - quarantined, quarantined)
    }
}
