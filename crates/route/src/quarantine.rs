//! Quarantine of what crashes the replicas that run it: requests, and segments that prompts share.
//!
//! A single crash proves little, since a whole batch may have been in flight and usually only one request caused it.
//! What was in flight at one crash is only recorded. From the second crash on a cause is suspected, and requests with it
//! run only on trial: one trial at a time over all hosts, so that no two suspects are in flight together. If the trial
//! crashes its replica too, requests that hold all suspects of the trial are quarantined. A cause is cleared by any request
//! with it that succeeds, since what crashes replicas never succeeds: what is frequent succeeds somewhere within a
//! fraction of a second and thus stays served, and what is left of a trial's suspects is quarantined alone.

mod cause;
mod crashes;
mod incidents;
mod record;

pub use cause::{Cause, join};
pub use crashes::{IncidentId, Window};
pub use incidents::{Incident, Incidents, Instance, Interruption};

use crashes::Crashes;
use record::Record;
use std::collections::{HashMap, HashSet, VecDeque};
use unit::{Span, Time};

/// Crashes from which a cause is suspected. With one, a whole batch would have to run on trial after each crash.
pub const SUSPICION_THRESHOLD: usize = 2;

/// Crashes, at least one of them on trial, from which a cause is quarantined.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Duration of the quarantine after the last crash. One request then gets a trial, so that at most one replica crashes
/// per hour and requests are served again once the engine is fixed.
pub const QUARANTINE_DURATION: Span = Span::from_secs(3_600);

/// Time for which the crashes of a cause that is not quarantined are kept.
const RECORD_RETENTION: Span = Span::from_secs(600);

/// Time after which a trial ends if its host does not report a result; longer than most client timeouts.
const TRIAL_TIMEOUT: Span = Span::from_secs(15);

/// Delay between an interrupted trial and the next one of the same request, in which a crash is detected.
const RETRIAL_DELAY: Span = Span::from_ms(1_000);

/// Time after the end of a trial in which a crash is still attributed to it, since crashes are detected with a delay.
const CRASH_DETECTION_DELAY: Span = Span::from_secs(5);

/// Interrupted trials without a detected crash from which a cause is quarantined.
const MAX_INTERRUPTED_TRIALS: u32 = 3;

/// Maximum number of tracked causes, about 0.4 MB. Beyond it those with the least evidence are evicted.
const MAX_RECORDS: usize = 4_096;

/// Crashes on trial that prove a cause even if other suspects were in flight, since trials never overlap.
const PROOF_TRIALS: usize = 2;

/// Maximum number of further crashes on trial that are needed, one for each recent crash that no suspect explains: while
/// replicas crash for other reasons too, a trial may be at one that would have crashed anyway. All are needed if requests
/// with each of the causes have succeeded before.
const MAX_MORE_TRIALS: usize = 2;

/// Time in which a crash that no suspect explains counts.
const UNEXPLAINED_CRASH_MEMORY: Span = Span::from_secs(60);

/// Maximum number of crashes for which what was in flight is kept: it tells what else may have caused one.
const MAX_CRASHES: usize = 128;

/// Maximum number of entries listed, so that the list fits into one datagram: quarantined ones first, then segments, and
/// the most recent of each.
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
    /// Whether the crash is known only by the end of the instance, which happens once.
    pub is_replaced: bool,
    /// Possible causes: requests of the host that the crash interrupted, and segments of their prompts.
    pub in_flight: Vec<Cause>,
    /// Those of requests on trial, each of which runs over a connection opened for it.
    pub on_trial: Vec<Cause>,
    /// Those with which requests have succeeded at the host before.
    pub succeeded: Vec<Cause>,
}

/// What a crash changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Change {
    /// Causes that are suspected since.
    pub suspected: Vec<Cause>,
    /// Whether anything is quarantined since.
    pub is_quarantined: bool,
}

/// Suspected or quarantined causes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Sorted. One, or several that only together are quarantined.
    pub causes: Vec<Cause>,
    /// Otherwise it is only suspected.
    pub is_quarantined: bool,
    /// Time of the first crash counted against it.
    pub since: Time,
}

/// Trial in progress.
#[derive(Debug)]
struct Trial {
    /// Suspects of the request that have not succeeded yet.
    causes: Vec<Cause>,
    request_id: RequestId,
    until: Time,
}

/// What was in flight at a crash.
#[derive(Debug)]
struct InFlight {
    crash: Crash,
    /// When it was reported first.
    at: Time,
    causes: Vec<Cause>,
    /// Those of requests on trial.
    on_trial: Vec<Cause>,
}

/// Quarantine of requests that hold all of some causes.
#[derive(Debug)]
struct Ban {
    /// Sorted.
    causes: Vec<Cause>,
    /// Crash on trial that proves them.
    crash: Option<Crash>,
    since: Time,
}

impl Ban {
    fn is_in_force(&self, now: Time) -> bool {
        now.since(self.since) < QUARANTINE_DURATION
    }

    /// Whether requests with these causes are quarantined.
    fn covers(&self, causes: &[Cause]) -> bool {
        self.causes.iter().all(|cause| causes.contains(cause))
    }
}

/// Tracks crashes, what was in flight at them, and trials.
#[derive(Debug, Default)]
pub struct Tracker {
    records: HashMap<Cause, Record>,
    /// Causes with a record that makes them suspected.
    suspects: HashSet<Cause>,
    bans: Vec<Ban>,
    /// Crashes reported by hosts.
    reported: Crashes,
    /// The most recent crashes, oldest first.
    crashes: VecDeque<InFlight>,
    trial: Option<Trial>,
}

impl Tracker {
    /// Records what a host reports of a crash. The same crash may be reported repeatedly and by several hosts.
    pub fn record_report(&mut self, report: &Report, now: Time) -> Change {
        let on_trial = report.on_trial.iter();
        // A crash that was seen before the trial began is another one.
        let since = on_trial
            .filter_map(|cause| self.records.get(cause)?.trial_started)
            .max();
        let crash = self.reported.identify(report, since, now);
        let at = report.window.broke_at;
        self.note_succeeded(&report.succeeded, now);
        self.count_crash(crash, &report.in_flight, &report.on_trial, at, now)
    }

    /// Records that requests with these causes have succeeded before the crash that is recorded next.
    pub fn note_succeeded(&mut self, causes: &[Cause], now: Time) {
        for cause in causes {
            let record = self.records.entry(*cause).or_insert(Record::new(now));
            record.has_succeeded = true;
        }
    }

    /// Records a crash just now, with a known identity.
    pub fn record_crash(&mut self, crash: Crash, in_flight: &[Cause], now: Time) -> Change {
        let is_on_trial = |cause: &&Cause| {
            let record = self.records.get(cause);
            record.is_some_and(|record| record.is_on_trial(now))
        };
        let on_trial: Vec<Cause> = in_flight.iter().filter(is_on_trial).copied().collect();
        self.count_crash(crash, in_flight, &on_trial, now, now)
    }

    fn count_crash(
        &mut self,
        crash: Crash,
        in_flight: &[Cause],
        on_trial: &[Cause],
        crashed_at: Time,
        now: Time,
    ) -> Change {
        self.add_in_flight(crash, in_flight, on_trial, now);
        let mut change = Change::default();
        for cause in in_flight {
            let record = self.records.entry(*cause).or_insert(Record::new(now));
            record.record_crash(crash, on_trial.contains(cause), crashed_at, now);
            if record.is_suspected() && self.suspects.insert(*cause) {
                change.suspected.push(*cause);
            }
        }
        change.is_quarantined = self.update_bans(now);
        if change.is_quarantined {
            // A crash ends the trial that caused it, even if the host of the trial cannot report that.
            self.end_trial(on_trial);
        }
        self.evict(now);
        change
    }

    /// Records that a request with these causes succeeded; returns those that it cleared.
    pub fn record_success(&mut self, causes: &[Cause], now: Time) -> Vec<Cause> {
        let mut cleared = Vec::new();
        for cause in causes {
            self.clear_trial(*cause);
            let Some(record) = self.records.get_mut(cause) else {
                continue;
            };
            record.clear();
            if self.suspects.remove(cause) {
                cleared.push(*cause);
            }
        }
        if !cleared.is_empty() {
            self.remove_from_bans(&cleared);
            // What is left may be the only explanation of a crash on trial.
            self.update_bans(now);
        }
        cleared
    }

    /// Quarantine status of a request with these causes.
    pub fn status(&self, causes: &[Cause], now: Time) -> Status {
        let mut bans = self.bans.iter();
        if bans.any(|ban| ban.is_in_force(now) && ban.covers(causes)) {
            Status::Quarantined
        } else if causes.iter().any(|cause| self.suspects.contains(cause)) {
            Status::Suspected
        } else {
            Status::Clear
        }
    }

    /// Whether a crash counts against any of these causes.
    pub fn has_crashes(&self, causes: &[Cause]) -> bool {
        let mut records = causes.iter().filter_map(|cause| self.records.get(cause));
        records.any(Record::has_crashes)
    }

    /// When the first of the crashes that count against a cause was seen.
    pub fn first_crash(&self, cause: Cause) -> Option<Time> {
        let record = self.records.get(&cause)?;
        record.has_crashes().then_some(record.first)
    }

    /// Quarantines what crashes on trial prove, by what is known of them now; returns whether anything is quarantined since.
    fn update_bans(&mut self, now: Time) -> bool {
        let is_proven = |ban: &Ban| ban.crash.is_some();
        let before: Vec<Ban> = self.bans.extract_if(.., |ban| is_proven(ban)).collect();
        for at in 0..self.crashes.len() {
            let crash = &self.crashes[at];
            if crash.on_trial.is_empty() {
                continue;
            }
            if let Some(causes) = self.proven_by(crash) {
                let (id, since) = (Some(crash.crash), crash.at);
                self.add_ban(causes, id, since, now);
            }
        }
        let is_new = |ban: &&Ban| !before.iter().any(|known| known.causes == ban.causes);
        self.bans
            .iter()
            .filter(|ban| is_proven(ban))
            .any(|ban| is_new(&ban))
    }

    /// Causes that a crash on trial proves, together: those of the request on trial that nothing has cleared since.
    fn proven_by(&self, crash: &InFlight) -> Option<Vec<Cause>> {
        let causes = self.suspects_on_trial(crash);
        let records = || causes.iter().map(|cause| &self.records[cause]);
        if !records().any(Record::may_be_quarantined) {
            return None;
        }
        let more = match records().all(Record::has_succeeded) {
            true => MAX_MORE_TRIALS,
            false => self.unexplained_crashes(crash.at).min(MAX_MORE_TRIALS),
        };
        let mut needed = 1 + more;
        let mut others = crash.causes.iter();
        if others.any(|cause| !causes.contains(cause) && self.may_explain(*cause, crash)) {
            needed = needed.max(PROOF_TRIALS);
        }
        let trials = self.crashes.iter();
        let alike = trials.filter(|other| self.suspects_on_trial(other) == causes);
        (alike.count() >= needed).then_some(causes)
    }

    /// Suspects of the request on trial at a crash that may explain it, sorted.
    fn suspects_on_trial(&self, crash: &InFlight) -> Vec<Cause> {
        let on_trial = crash.on_trial.iter();
        let may_explain = |cause: &&Cause| self.may_explain(**cause, crash);
        let mut suspects: Vec<Cause> = on_trial.filter(may_explain).copied().collect();
        suspects.sort_unstable();
        suspects
    }

    /// Number of recent crashes up to a time that no suspect explains.
    fn unexplained_crashes(&self, until: Time) -> usize {
        let is_recent = |crash: &&InFlight| {
            crash.at <= until && until.since(crash.at) < UNEXPLAINED_CRASH_MEMORY
        };
        let recent = self.crashes.iter().filter(is_recent);
        recent.filter(|crash| !self.is_explained(crash)).count()
    }

    fn is_explained(&self, crash: &InFlight) -> bool {
        crash
            .causes
            .iter()
            .any(|cause| self.may_explain(*cause, crash))
    }

    /// Whether a cause is suspected, and a crash counts against it.
    fn may_explain(&self, cause: Cause, crash: &InFlight) -> bool {
        let record = self.records.get(&cause);
        record.is_some_and(|r| r.is_suspected() && r.counts(crash.crash))
    }

    /// Adds a ban that is in force, unless another one covers as much; returns whether it was added.
    fn add_ban(
        &mut self,
        causes: Vec<Cause>,
        crash: Option<Crash>,
        since: Time,
        now: Time,
    ) -> bool {
        self.bans.retain(|ban| ban.is_in_force(now));
        let ban = Ban {
            causes,
            crash,
            since,
        };
        let is_covered = self.bans.iter().any(|other| other.covers(&ban.causes));
        let is_added = !ban.causes.is_empty() && ban.is_in_force(now) && !is_covered;
        if is_added {
            self.bans.push(ban);
        }
        is_added
    }

    fn remove_from_bans(&mut self, causes: &[Cause]) {
        for ban in &mut self.bans {
            ban.causes.retain(|cause| !causes.contains(cause));
        }
        self.bans.retain(|ban| !ban.causes.is_empty());
    }

    fn is_banned(&self, cause: Cause) -> bool {
        self.bans.iter().any(|ban| ban.causes.contains(&cause))
    }

    /// Adds to what was in flight at a crash.
    fn add_in_flight(&mut self, crash: Crash, in_flight: &[Cause], on_trial: &[Cause], now: Time) {
        let known = self.crashes.iter_mut().find(|known| known.crash == crash);
        match known {
            Some(known) => {
                add_new(&mut known.causes, in_flight);
                add_new(&mut known.on_trial, on_trial);
            }
            None => self.crashes.push_back(InFlight {
                crash,
                at: now,
                causes: in_flight.to_vec(),
                on_trial: on_trial.to_vec(),
            }),
        }
        if self.crashes.len() > MAX_CRASHES {
            // Crashes on trial prove something, and are rare.
            let is_plain = |known: &InFlight| known.on_trial.is_empty();
            let oldest = self.crashes.iter().position(is_plain);
            self.crashes.remove(oldest.unwrap_or(0));
        }
    }

    /// Decides what a host may do with a request that has these causes. `Permit::Trial` starts the trial.
    pub fn request_permit(&mut self, causes: &[Cause], request_id: RequestId, now: Time) -> Permit {
        match self.status(causes, now) {
            Status::Clear => Permit::Free,
            Status::Quarantined => Permit::Quarantined(self.quarantine_remaining(causes, now)),
            Status::Suspected => self.request_trial(causes, request_id, now),
        }
    }

    /// Remaining time of the quarantine of a request.
    fn quarantine_remaining(&self, causes: &[Cause], now: Time) -> Span {
        let bans = self.bans.iter().filter(|ban| ban.covers(causes));
        let since = bans.map(|ban| ban.since).max();
        since.map_or(Span::ZERO, |since| {
            QUARANTINE_DURATION.saturating_sub(now.since(since))
        })
    }

    fn request_trial(&mut self, causes: &[Cause], request_id: RequestId, now: Time) -> Permit {
        let is_suspect = |cause: &&Cause| self.suspects.contains(cause);
        let suspects: Vec<Cause> = causes.iter().filter(is_suspect).copied().collect();
        if let Some(trial) = self.trial.as_ref().filter(|trial| now < trial.until) {
            let is_same = trial.request_id == request_id
                && suspects.iter().any(|cause| trial.causes.contains(cause));
            return match is_same {
                true => Permit::Trial,
                false => Permit::Wait,
            };
        }
        let may_start = |cause: &Cause| self.records[cause].may_start_trial(now);
        if !suspects.iter().all(may_start) {
            return Permit::Wait;
        }
        let until = now + TRIAL_TIMEOUT;
        for cause in &suspects {
            let record = self.records.get_mut(cause);
            record
                .expect("a suspect has a record")
                .start_trial(now, until);
        }
        self.trial = Some(Trial {
            causes: suspects,
            request_id,
            until,
        });
        Permit::Trial
    }

    /// Records a trial of a request with these causes that did not succeed; returns whether it is quarantined since.
    pub fn record_trial(&mut self, causes: &[Cause], outcome: TrialOutcome, now: Time) -> bool {
        self.end_trial(causes);
        let mut proven = Vec::new();
        for cause in causes {
            if let Some(record) = self.records.get_mut(cause)
                && record.record_trial(outcome, now)
            {
                proven.push(*cause);
            }
        }
        proven.sort_unstable();
        self.add_ban(proven, None, now, now)
    }

    /// Restores an entry of the list of a previous leader.
    pub fn restore(&mut self, causes: &[Cause], is_quarantined: bool, now: Time) {
        for cause in causes {
            let record = self.records.entry(*cause).or_insert(Record::new(now));
            record.restore(is_quarantined, now);
            self.suspects.insert(*cause);
        }
        if is_quarantined {
            self.add_ban(causes.to_vec(), None, now, now);
        }
        self.evict(now);
    }

    /// Clears these causes, whatever speaks against them. What was on trial with them is not proven by that.
    pub fn lift(&mut self, causes: &[Cause]) {
        for cause in causes {
            self.clear_trial(*cause);
            self.suspects.remove(cause);
            if let Some(record) = self.records.get_mut(cause) {
                record.clear();
            }
        }
        let is_of = |all: &[Cause]| all.iter().any(|cause| causes.contains(cause));
        for crash in self
            .crashes
            .iter_mut()
            .filter(|crash| is_of(&crash.on_trial))
        {
            crash.on_trial.clear();
        }
        self.bans.retain(|ban| !is_of(&ban.causes));
    }

    /// Whether anything is suspected or quarantined.
    pub fn has_suspects(&self) -> bool {
        !self.suspects.is_empty()
    }

    /// Suspected and quarantined causes, at most [`MAX_SUSPECTS`].
    pub fn suspects(&mut self, now: Time) -> Vec<Suspect> {
        self.expire(now);
        let entry = |causes: Vec<Cause>, is_quarantined| {
            let records = || causes.iter().filter_map(|cause| self.records.get(cause));
            let last = records().map(|record| record.last).max()?;
            let since = records().map(|record| record.first).min()?;
            let suspect = Suspect {
                causes,
                is_quarantined,
                since,
            };
            Some((last, suspect))
        };
        let bans = self.bans.iter();
        let banned = bans.filter_map(|ban| entry(ban.causes.clone(), true));
        let alone = |cause: &&Cause| !self.bans.iter().any(|ban| ban.causes == [**cause]);
        let suspects = self.suspects.iter().filter(alone);
        let suspects = suspects.filter_map(|cause| entry(vec![*cause], false));
        let mut listed: Vec<_> = banned.chain(suspects).collect();
        // Most suspected requests never come again, and must not displace segments.
        listed.sort_by_key(|(last, suspect)| {
            let has_segment = suspect.causes.iter().any(|cause| cause.segment().is_some());
            let rank = (suspect.is_quarantined, has_segment, *last);
            (std::cmp::Reverse(rank), suspect.causes.clone())
        });
        listed.truncate(MAX_SUSPECTS);
        listed.into_iter().map(|(_, suspect)| suspect).collect()
    }

    /// Number of tracked causes.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Ends the trial in progress if it is of one of these causes.
    fn end_trial(&mut self, causes: &[Cause]) {
        let is_of = |trial: &Trial| causes.iter().any(|cause| trial.causes.contains(cause));
        if self.trial.as_ref().is_some_and(is_of) {
            self.trial = None;
        }
    }

    /// Removes a cause from the trial in progress, which ends with the last one.
    fn clear_trial(&mut self, cause: Cause) {
        if let Some(trial) = &mut self.trial {
            trial.causes.retain(|other| *other != cause);
        }
        self.trial.take_if(|trial| trial.causes.is_empty());
    }

    /// Removes expired records and bans.
    fn expire(&mut self, now: Time) {
        self.bans.retain(|ban| ban.is_in_force(now));
        let banned: HashSet<Cause> = self.banned().collect();
        self.records
            .retain(|cause, record| banned.contains(cause) || !record.is_expired(now));
        self.suspects
            .retain(|cause| self.records.contains_key(cause));
    }

    fn banned(&self) -> impl Iterator<Item = Cause> {
        self.bans.iter().flat_map(|ban| ban.causes.iter().copied())
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
        let records = self.records.iter();
        let mut ranks: Vec<_> = records
            .map(|(cause, record)| (self.is_banned(*cause), record.rank(), *cause))
            .collect();
        ranks.sort_unstable();
        for (_, _, cause) in ranks.into_iter().take(MAX_RECORDS / 4) {
            self.records.remove(&cause);
            self.suspects.remove(&cause);
        }
    }
}

/// Adds the causes that are not among the known ones yet.
fn add_new(known: &mut Vec<Cause>, causes: &[Cause]) {
    for cause in causes {
        if !known.contains(cause) {
            known.push(*cause);
        }
    }
}
