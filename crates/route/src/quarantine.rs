//! Quarantine of requests that crash the replicas that run them.
//!
//! A single crash proves little, since a whole batch may have been in flight and usually only one request caused it. A
//! request that was in flight at one crash is only recorded. From the second crash on it is suspected and runs only on
//! trial: one trial at a time over all hosts, so that no two suspects are in flight together. A suspect whose trial
//! crashes the replica too is quarantined. A suspect that succeeds anywhere is cleared, since a request that crashes
//! replicas never succeeds; frequent requests succeed somewhere within a fraction of a second and thus stay served.

mod crashes;
mod incidents;
mod record;

pub use crashes::{IncidentId, Window};
pub use incidents::{Incident, Incidents, Instance, Interruption};

use crashes::Crashes;
use record::Record;
use std::collections::{HashMap, HashSet, VecDeque};
use unit::{Fingerprint, Span, Time};

/// Crashes from which a request is suspected. With one, a whole batch would have to run on trial after each crash.
pub const SUSPICION_THRESHOLD: usize = 2;

/// Crashes, at least one of them on trial, from which a request is quarantined.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Duration of the quarantine after the last crash. The request then gets one trial, so that it can crash at most one
/// replica per hour and is served again once the engine is fixed.
pub const QUARANTINE_DURATION: Span = Span::from_secs(3_600);

/// Time for which the crashes of a request that is not quarantined are kept.
const RECORD_RETENTION: Span = Span::from_secs(600);

/// Time after which a trial ends if its host does not report a result; longer than most client timeouts.
const TRIAL_TIMEOUT: Span = Span::from_secs(15);

/// Delay between an interrupted trial and the next one of the same request, in which a crash is detected.
const RETRIAL_DELAY: Span = Span::from_ms(1_000);

/// Time after the end of a trial in which a crash is still attributed to it, since crashes are detected with a delay.
const CRASH_DETECTION_DELAY: Span = Span::from_secs(5);

/// Interrupted trials without a detected crash from which a request is quarantined.
const MAX_INTERRUPTED_TRIALS: u32 = 3;

/// Maximum number of tracked requests, about 0.4 MB. Beyond it those with the least evidence are evicted.
const MAX_RECORDS: usize = 4_096;

/// Maximum number of crashes for which the requests in flight are kept: they tell what else may have caused one.
const MAX_CRASHES: usize = 128;

/// Maximum number of suspects listed, the most recent first, so that the list fits into one datagram.
pub const MAX_SUSPECTS: usize = 64;

/// Identity of one crash. Each tracker assigns its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Crash(pub u64);

/// Identity of one request asking for a trial, so that it can ask again if the response was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestId(pub u64);

/// Quarantine status of a request, from the mildest to the strictest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// Runs without restriction.
    Clear,
    /// Runs on trial only.
    Suspected,
    /// Does not run.
    Quarantined,
}

/// Permission of a host to send a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// Send it without restriction.
    Free,
    /// Send it once and report the result.
    Trial,
    /// Do not send it yet: another trial is in progress.
    Wait,
    /// Do not send it for the given time.
    Quarantined(Span),
}

/// Result of a trial that did not succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialOutcome {
    /// The response was interrupted; the replica may have crashed.
    Interrupted,
    /// The request was refused, or its client disconnected.
    Inconclusive,
}

/// Crash of a replica as one host saw it, in times of the tracker's clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Identity of the incident, the same in all reports of it.
    pub id: IncidentId,
    pub instance: Instance,
    /// Time in which the replica crashed.
    pub window: Window,
    /// Requests of the host that the crash interrupted.
    pub in_flight: Vec<Fingerprint>,
    /// Those of them that ran on trial, each over a connection opened for it.
    pub on_trial: Vec<Fingerprint>,
}

/// Suspected or quarantined request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    pub fingerprint: Fingerprint,
    /// Otherwise it is only suspected.
    pub is_quarantined: bool,
    /// Time of the first crash counted against it.
    pub since: Time,
}

/// Trial in progress.
#[derive(Debug)]
struct Trial {
    fingerprint: Fingerprint,
    request_id: RequestId,
    until: Time,
}

/// Tracks crashes, the requests in flight at them, and trials.
#[derive(Debug, Default)]
pub struct Tracker {
    records: HashMap<Fingerprint, Record>,
    /// Suspected and quarantined requests.
    suspects: HashSet<Fingerprint>,
    /// Crashes reported by hosts.
    reported: Crashes,
    /// Requests in flight at the most recent crashes, oldest first.
    crashes: VecDeque<(Crash, Vec<Fingerprint>)>,
    trial: Option<Trial>,
}

impl Tracker {
    /// Records what a host reports of a crash and returns the requests whose status changed. The same crash may be
    /// reported repeatedly and by several hosts.
    pub fn record_report(&mut self, report: &Report, now: Time) -> Vec<Fingerprint> {
        let on_trial = report.on_trial.iter();
        // A crash that was seen before the trial began is another one.
        let since = on_trial
            .filter_map(|fingerprint| self.records.get(fingerprint)?.trial_started)
            .max();
        let crash = self
            .reported
            .identify(&report.instance, report.id, report.window, since, now);
        let at = report.window.broke_at;
        self.count_crash(crash, &report.in_flight, &report.on_trial, at, now)
    }

    /// Records requests that were in flight at a crash just now, with a known identity; returns those whose status
    /// changed.
    pub fn record_crash(
        &mut self,
        crash: Crash,
        in_flight: &[Fingerprint],
        now: Time,
    ) -> Vec<Fingerprint> {
        let is_on_trial = |fingerprint: &&Fingerprint| {
            let record = self.records.get(fingerprint);
            record.is_some_and(|record| record.is_on_trial(now))
        };
        let on_trial: Vec<Fingerprint> = in_flight.iter().filter(is_on_trial).copied().collect();
        self.count_crash(crash, in_flight, &on_trial, now, now)
    }

    fn count_crash(
        &mut self,
        crash: Crash,
        in_flight: &[Fingerprint],
        on_trial: &[Fingerprint],
        crashed_at: Time,
        now: Time,
    ) -> Vec<Fingerprint> {
        self.add_in_flight(crash, in_flight);
        let before: Vec<Status> = in_flight.iter().map(|p| self.status(*p, now)).collect();
        for fingerprint in in_flight {
            let record = self.records.entry(*fingerprint).or_insert(Record::new(now));
            let is_trial = on_trial.contains(fingerprint);
            record.record_crash(crash, is_trial, crashed_at, now);
            if record.is_suspected() {
                self.suspects.insert(*fingerprint);
            }
        }
        let mut changed = Vec::new();
        for (fingerprint, before) in in_flight.iter().zip(before) {
            if self.status(*fingerprint, now) != before {
                changed.push(*fingerprint);
            }
        }
        // A crash ends the trial that caused it, even if the host of the trial cannot report that.
        for fingerprint in &changed {
            self.end_trial(*fingerprint);
        }
        self.evict(now);
        changed
    }

    /// Records that the request succeeded; returns whether that cleared it.
    pub fn record_success(&mut self, fingerprint: Fingerprint) -> bool {
        self.end_trial(fingerprint);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return false;
        };
        record.clear();
        self.suspects.remove(&fingerprint)
    }

    pub fn status(&self, fingerprint: Fingerprint, now: Time) -> Status {
        let record = self.records.get(&fingerprint);
        let has_other_suspect = |crash| self.has_other_suspect(crash, fingerprint);
        record.map_or(Status::Clear, |r| r.status(now, has_other_suspect))
    }

    /// Whether another suspect was in flight at the crash too.
    fn has_other_suspect(&self, crash: Crash, fingerprint: Fingerprint) -> bool {
        let known = self.crashes.iter().find(|(known, _)| *known == crash);
        let in_flight = known.map_or(&[][..], |(_, in_flight)| in_flight);
        let is_suspected =
            |other: &Fingerprint| self.records.get(other).is_some_and(Record::is_suspected);
        in_flight
            .iter()
            .any(|other| *other != fingerprint && is_suspected(other))
    }

    /// Adds requests to those in flight at a crash.
    fn add_in_flight(&mut self, crash: Crash, in_flight: &[Fingerprint]) {
        let known = self.crashes.iter_mut().find(|(known, _)| *known == crash);
        match known {
            Some((_, all)) => {
                let new = in_flight
                    .iter()
                    .filter(|fingerprint| !all.contains(fingerprint));
                let new: Vec<Fingerprint> = new.copied().collect();
                all.extend(new);
            }
            None => self.crashes.push_back((crash, in_flight.to_vec())),
        }
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.pop_front();
        }
    }

    /// Decides what a host may do with a request. `Permit::Trial` starts the trial.
    pub fn request_permit(
        &mut self,
        fingerprint: Fingerprint,
        request_id: RequestId,
        now: Time,
    ) -> Permit {
        let status = self.status(fingerprint, now);
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return Permit::Free;
        };
        match status {
            Status::Clear => Permit::Free,
            Status::Quarantined => Permit::Quarantined(record.quarantine_remaining(now)),
            Status::Suspected => match &self.trial {
                Some(trial) if now < trial.until => {
                    match (trial.fingerprint, trial.request_id) == (fingerprint, request_id) {
                        true => Permit::Trial,
                        false => Permit::Wait,
                    }
                }
                _ if !record.may_start_trial(now) => Permit::Wait,
                _ => {
                    let until = now + TRIAL_TIMEOUT;
                    record.start_trial(now, until);
                    self.trial = Some(Trial {
                        fingerprint,
                        request_id,
                        until,
                    });
                    Permit::Trial
                }
            },
        }
    }

    /// Records a trial that did not succeed; returns whether the status of the request changed.
    pub fn record_trial(
        &mut self,
        fingerprint: Fingerprint,
        outcome: TrialOutcome,
        now: Time,
    ) -> bool {
        self.end_trial(fingerprint);
        let before = self.status(fingerprint, now);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.record_trial(outcome, now);
        }
        self.status(fingerprint, now) != before
    }

    /// Restores a suspected or quarantined request from the list of a previous leader.
    pub fn restore(&mut self, fingerprint: Fingerprint, is_quarantined: bool, now: Time) {
        let record = self.records.entry(fingerprint).or_insert(Record::new(now));
        record.restore(is_quarantined, now);
        self.suspects.insert(fingerprint);
        self.evict(now);
    }

    /// Clears a request.
    pub fn lift(&mut self, fingerprint: Fingerprint) {
        self.end_trial(fingerprint);
        self.suspects.remove(&fingerprint);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.clear();
        }
    }

    /// Whether any request is suspected or quarantined.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Suspected and quarantined requests, the most recent first, at most [`MAX_SUSPECTS`].
    pub fn suspects(&mut self, now: Time) -> Vec<Suspect> {
        self.expire(now);
        let suspects = self.suspects.iter().filter_map(|fingerprint| {
            let record = self.records.get(fingerprint)?;
            let suspect = Suspect {
                fingerprint: *fingerprint,
                is_quarantined: self.status(*fingerprint, now) == Status::Quarantined,
                since: record.first,
            };
            Some((record.last, suspect))
        });
        let mut suspects: Vec<_> = suspects.collect();
        suspects.sort_by_key(|(last, suspect)| (std::cmp::Reverse(*last), suspect.fingerprint));
        suspects.truncate(MAX_SUSPECTS);
        suspects.into_iter().map(|(_, suspect)| suspect).collect()
    }

    /// Number of tracked requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Ends the trial of a request, if one is in progress.
    fn end_trial(&mut self, fingerprint: Fingerprint) {
        if self
            .trial
            .as_ref()
            .is_some_and(|t| t.fingerprint == fingerprint)
        {
            self.trial = None;
        }
    }

    /// Removes expired records.
    fn expire(&mut self, now: Time) {
        self.records.retain(|_, record| !record.is_expired(now));
        self.suspects
            .retain(|fingerprint| self.records.contains_key(fingerprint));
    }

    /// Evicts a quarter of the records if there are too many, so that eviction is rare.
    fn evict(&mut self, now: Time) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        self.expire(now);
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let mut ranks: Vec<_> = self.records.iter().map(|(p, r)| (r.rank(), *p)).collect();
        ranks.sort_unstable();
        for (_, fingerprint) in ranks.into_iter().take(MAX_RECORDS / 4) {
            self.records.remove(&fingerprint);
            self.suspects.remove(&fingerprint);
        }
    }
}
