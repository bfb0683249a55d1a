//! What one host knows of suspected and quarantined causes.

use super::{Listed, stored};
use crate::message::{QuarantineEntry, QuarantineList};
use platform::store::era;
use route::quarantine::{Cause, Change, Crash, Incidents, Report, Status, Tracker};
use std::collections::HashMap;
use unit::{Span, Time};

/// Time for which successes are recorded after a crash: somewhat longer than the longest run.
const ALERT_FOR: Span = Span::from_secs(60);

/// Age at which the leader's list expires; it is broadcast every few seconds.
const LIST_VALID_FOR: Span = Span::from_secs(10);

/// Limit on recorded successes, at 24 bytes each.
const MAX_SUCCESSES: usize = 4_096;

#[derive(Default)]
pub(super) struct Registry {
    /// Crashes by cause, complete on the leader.
    pub(super) tracker: Tracker,
    /// Requests that were interrupted here, by replica.
    pub(super) incidents: Incidents,
    leader_list: LeaderList,
    stored: Stored,
    /// Last success of each cause on this host.
    successes: HashMap<Cause, Time>,
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
    listed: Listed,
    /// First crash of each listed cause.
    since: HashMap<Cause, Time>,
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
    listed: Listed,
}

/// List that this host broadcast last as the leader.
#[derive(Default)]
struct SentList {
    number: u32,
    listed: Listed,
}

/// Changes of a leader's list.
pub(super) struct Delta {
    pub(super) changed: bool,
    pub(super) newly_quarantined: Vec<Vec<Cause>>,
}

/// Entry of a list that quarantines requests with these causes.
fn quarantining<'a>(listed: &'a Listed, causes: &[Cause]) -> Option<&'a [Cause]> {
    let mut entries = listed.iter().filter(|(_, is_quarantined)| **is_quarantined);
    let entry = entries.find(|(listed, _)| listed.iter().all(|cause| causes.contains(cause)));
    entry.map(|(listed, _)| &**listed)
}

impl Registry {
    pub(super) fn status(&self, causes: &[Cause], now: Time) -> Status {
        let is_current = self.is_list_current(now);
        if self.quarantining(causes, now).is_some() {
            return Status::Quarantined;
        }
        let mut causes_listed = causes.iter();
        let is_suspected = match is_current {
            true => causes_listed.any(|cause| self.is_suspected_by_leader(cause)),
            false => causes_listed.any(|cause| self.stored.listed.contains_key(&[*cause][..])),
        };
        let by_list = match is_suspected {
            true => Status::Suspected,
            false => Status::Clear,
        };
        // Only the leader quarantines; what this host alone has seen is a reason to ask the leader.
        let observed = self.tracker.status(causes, now).min(Status::Suspected);
        by_list.max(observed)
    }

    /// Which of the causes of a request quarantine it.
    pub(super) fn quarantining(&self, causes: &[Cause], now: Time) -> Option<&[Cause]> {
        let by_leader = quarantining(&self.leader_list.listed, causes);
        by_leader
            .filter(|_| self.is_list_current(now))
            .or_else(|| quarantining(&self.stored.listed, causes))
    }

    /// Whether the leader lists a cause, and no request with it has succeeded here since its first crash.
    fn is_suspected_by_leader(&self, cause: &Cause) -> bool {
        let since = self.leader_list.since.get(cause);
        since.is_some_and(|since| !self.has_succeeded(cause, *since))
    }

    fn has_succeeded(&self, cause: &Cause, since: Time) -> bool {
        self.successes.get(cause).is_some_and(|at| *at > since)
    }

    /// Whether anyone needs to know that requests with a cause succeed.
    fn is_watched(&self, cause: &Cause) -> bool {
        self.leader_list.since.contains_key(cause)
            || self
                .stored
                .listed
                .keys()
                .any(|listed| listed.contains(cause))
            || self.tracker.has_crashes(&[*cause])
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

    /// Records that a request with these causes succeeded, and returns those to report.
    pub(super) fn record_success(&mut self, causes: &[Cause], now: Time) -> Vec<Cause> {
        if self.successes.len() + causes.len() > MAX_SUCCESSES {
            self.evict_successes();
        }
        for cause in causes {
            self.successes.insert(*cause, now);
        }
        let watched = causes.iter().filter(|cause| self.is_watched(cause));
        watched.copied().collect()
    }

    /// Those of these causes with which requests have succeeded here.
    pub(super) fn known_sound(&self, causes: &[Cause]) -> Vec<Cause> {
        let succeeded = causes
            .iter()
            .filter(|cause| self.successes.contains_key(cause));
        succeeded.copied().collect()
    }

    /// Removes the older half of the successes.
    fn evict_successes(&mut self) {
        let mut times: Vec<Time> = self.successes.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.successes.retain(|_, at| *at > median);
    }

    pub(super) fn record_report(&mut self, report: &Report, now: Time) -> Change {
        self.alert(now);
        let change = self.tracker.record_report(report, now);
        self.without_succeeded(change, now)
    }

    pub(super) fn record_crash(&mut self, crash: Crash, in_flight: &[Cause], now: Time) -> Change {
        self.alert(now);
        let change = self.tracker.record_crash(crash, in_flight, now);
        self.without_succeeded(change, now)
    }

    /// Clears what has succeeded here since its first crash.
    fn without_succeeded(&mut self, mut change: Change, now: Time) -> Change {
        let has_succeeded = |cause: &Cause| {
            let since = self.tracker.first_crash(*cause);
            since.is_some_and(|since| self.has_succeeded(cause, since))
        };
        let (sound, suspected) = change.suspected.iter().partition(|c| has_succeeded(c));
        change.suspected = suspected;
        let sound: Vec<Cause> = sound;
        self.tracker.record_success(&sound, now);
        change
    }

    /// Forgets what the leader or an operator has cleared.
    pub(super) fn lift(&mut self, causes: &[Cause]) {
        self.tracker.lift(causes);
        for cause in causes {
            self.leader_list.since.remove(cause);
        }
        let is_cleared = |listed: &Vec<Cause>| listed.iter().all(|cause| causes.contains(cause));
        self.leader_list
            .listed
            .retain(|listed, _| !is_cleared(listed));
        self.stored.listed.retain(|listed, _| !is_cleared(listed));
    }

    pub(super) fn take_over(&mut self, now: Time) {
        let listed = self.leader_list.listed.iter().chain(&self.stored.listed);
        for (causes, is_quarantined) in listed {
            self.tracker.restore(causes, *is_quarantined, now);
        }
        self.sent = SentList::default();
    }

    pub(super) fn listing(&mut self, term: u64, now: Time) -> (QuarantineList, Delta) {
        let suspects = self.tracker.suspects(now);
        let next: Listed = suspects
            .iter()
            .map(|suspect| (suspect.causes.clone(), suspect.is_quarantined))
            .collect();
        let changed = next != self.sent.listed;
        let is_new = |causes: &Vec<Cause>| self.sent.listed.get(causes) != Some(&true);
        let quarantined = next.iter().filter(|(_, is_quarantined)| **is_quarantined);
        let newly_quarantined = quarantined
            .map(|(causes, _)| causes.clone())
            .filter(is_new)
            .collect();
        if changed {
            self.sent.number += 1;
            self.sent.listed = next;
        }
        let suspects = suspects.into_iter().map(|suspect| QuarantineEntry {
            causes: suspect.causes,
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
    pub(super) fn apply_listing(&mut self, list: QuarantineList, now: Time) -> Vec<Cause> {
        let version = (list.term, list.number);
        if version < self.leader_list.version {
            return Vec::new();
        }
        if !list.entries.is_empty() {
            self.alert(now);
        }
        let mut since = HashMap::new();
        for entry in list.entries.iter().filter(|entry| !entry.is_quarantined) {
            let first = now - Span::from_ms(u64::from(entry.since_ms));
            since.extend(entry.causes.iter().map(|cause| (*cause, first)));
        }
        let succeeded = since
            .iter()
            .filter(|(cause, since)| self.has_succeeded(cause, **since));
        let succeeded = succeeded.map(|(cause, _)| *cause).collect();
        let listed = list.entries.into_iter();
        self.leader_list = LeaderList {
            version,
            at: now,
            listed: listed
                .map(|entry| (entry.causes, entry.is_quarantined))
                .collect(),
            since,
        };
        succeeded
    }

    /// The list to write and the revision that it replaces, unless the store has it already.
    pub(super) fn pending_write(&mut self, now: Time) -> Option<(Vec<u8>, u64)> {
        let listed = self.tracker.suspects(now).into_iter();
        let listed: Listed = listed
            .map(|suspect| (suspect.causes, suspect.is_quarantined))
            .collect();
        let expected_revision = match self.stored.is_present {
            true => self.stored.revision,
            false => 0,
        };
        (self.stored.is_lost || listed != self.stored.listed)
            .then(|| (stored::encode(&listed), expected_revision))
    }

    /// Applies the list that the store holds at a revision. A copy of an earlier state lifts nothing.
    pub(super) fn apply_stored(&mut self, mut listed: Listed, revision: u64) {
        if self.is_of_later_era(revision) {
            for (causes, is_quarantined) in &self.stored.listed {
                *listed.entry(causes.clone()).or_default() |= is_quarantined;
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
        self.leader_list.since.clear();
        for causes in from_store.into_keys().chain(from_leader.into_keys()) {
            self.tracker.lift(&causes);
        }
        self.stored.revision = revision;
        self.stored.is_present = false;
        self.stored.is_lost = false;
        true
    }

    /// Entries that this host knows of, from the leader and from the store.
    pub(super) fn listed(&self, now: Time) -> Listed {
        let mut listed = match self.is_list_current(now) {
            true => self.leader_list.listed.clone(),
            false => Listed::default(),
        };
        for (causes, is_quarantined) in &self.stored.listed {
            *listed.entry(causes.clone()).or_default() |= is_quarantined;
        }
        listed
    }
}
