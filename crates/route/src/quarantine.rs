//! Requests that end the replicas that run them: suspected by what was in flight at falls, tried alone, kept out.
//!
//! A fall tells little by itself: up to a whole batch was in flight there, and all but one of them are innocent. So a
//! request that was in flight at one fall is only remembered. From the second on it is suspected, and runs on trial: one
//! trial at a time over all hosts, so that no two suspects are ever in flight together. A suspect whose trial
//! ends its replica as well is kept out; one that ends well anywhere is cleared, since a request that ends
//! replicas never ends well. What is asked for often ends well somewhere within a fraction of a second, and
//! so stays served however often it runs beside such a request.

mod incidents;
mod record;

pub use incidents::{Incident, Incidents, Instance};

use record::Record;
use std::collections::{HashMap, HashSet, VecDeque};
use unit::{Fingerprint, Span, Time};

/// Falls from which a request runs on trial only. With one, a whole batch would wait for trials at each fall.
pub const SUSPICION_THRESHOLD: usize = 2;

/// Falls, one of them on trial, from which a request is kept out.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Time for which a request is kept out after its last fall: then it has one trial, in which it may end one replica
/// more an hour, and an engine that was mended meanwhile serves it again.
pub const QUARANTINE_DURATION: Span = Span::from_secs(3_600);

/// Time for which a fall is remembered against the requests that were in flight.
const REMEMBERED: Span = Span::from_secs(600);

/// Time after which a trial whose host says nothing is over: longer than clients wait for most answers.
const TRIAL: Span = Span::from_secs(15);

/// Time after a trial that broke off until the next one of the same request: by then it is known whether the
/// replica has fallen.
const TRIAL_SETTLES: Span = Span::from_ms(1_000);

/// Time after the end of a trial in which a fall still counts as its own: the fall is known a moment after the trial.
const FALL_FOLLOWS: Span = Span::from_secs(5);

/// Trials that broke off, where no fall was found, that count as one fall on trial.
const BROKEN_TRIALS: u32 = 3;

/// Requests remembered at once; at 100 bytes each these are 0.4 MB. The one whose last fall is oldest gives way.
const MOST_RECORDS: usize = 4_096;

/// Falls whose requests are remembered at once; they tell what else may have caused one.
const MOST_FALLS: usize = 128;

/// Requests listed at once, the newest ones: at 12 bytes each they fit one datagram.
pub const MAX_SUSPECTS: usize = 64;

/// Identity of one fall: the replica and its incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Crash(pub u64);

/// Who asks for a trial: the same one may ask again, since an answer may be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestId(pub u64);

/// What is held of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// Nothing: it runs as any other.
    Clear,
    /// It runs on trial only.
    Suspected,
    /// It does not run.
    Quarantined,
}

/// What a host may do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// Send it as any other.
    Free,
    /// Send it once, and tell how that ended.
    Trial,
    /// Not send it now: another trial is under way.
    Wait,
    /// Not send it for that long.
    Quarantined(Span),
}

/// How a trial ended that did not end well.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialOutcome {
    /// It broke off; the replica may have fallen.
    Interrupted,
    /// It told nothing: it was refused, or its client left.
    Inconclusive,
}

/// Request that is suspected or kept out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it is kept out; it is suspected otherwise.
    pub is_quarantined: bool,
    /// Its first fall that counts.
    pub since: Time,
}

/// Trial under way.
#[derive(Debug)]
struct Trial {
    print: Fingerprint,
    ticket: RequestId,
    until: Time,
}

/// What is known of requests and falls.
#[derive(Debug, Default)]
pub struct Tracker {
    records: HashMap<Fingerprint, Record>,
    /// Requests that are suspected or kept out.
    held: HashSet<Fingerprint>,
    /// Requests that were in flight at the last falls, oldest first.
    falls: VecDeque<(Crash, Vec<Fingerprint>)>,
    trial: Option<Trial>,
}

impl Tracker {
    /// Notes requests that were in flight where a replica fell; gives those whose standing has changed. The same fall
    /// may be told often, and by several hosts.
    pub fn record_crash(
        &mut self,
        fall: Crash,
        aboard: &[Fingerprint],
        now: Time,
    ) -> Vec<Fingerprint> {
        self.note_aboard(fall, aboard);
        let before: Vec<Status> = aboard.iter().map(|p| self.status(*p, now)).collect();
        for print in aboard {
            let record = self.records.entry(*print).or_insert(Record::new(now));
            record.fell(fall, now);
            if record.is_suspected() {
                self.held.insert(*print);
            }
        }
        let mut changed = Vec::new();
        for (print, before) in aboard.iter().zip(before) {
            if self.status(*print, now) != before {
                changed.push(*print);
            }
        }
        // A trial is over with the fall that it brought, also where its host cannot say so.
        for print in &changed {
            self.release(*print);
        }
        self.bound(now);
        changed
    }

    /// Notes that a run of a request has ended well; tells whether that clears it.
    pub fn record_success(&mut self, print: Fingerprint) -> bool {
        self.release(print);
        let Some(record) = self.records.get_mut(&print) else {
            return false;
        };
        record.forgive();
        self.held.remove(&print)
    }

    /// What is held of a request.
    pub fn status(&self, print: Fingerprint, now: Time) -> Status {
        let record = self.records.get(&print);
        let is_contested = |fall| self.is_contested(fall, print);
        record.map_or(Status::Clear, |r| r.standing(now, is_contested))
    }

    /// Whether something else that is suspected was in flight at a fall as well.
    fn is_contested(&self, fall: Crash, print: Fingerprint) -> bool {
        let known = self.falls.iter().find(|(known, _)| *known == fall);
        let aboard = known.map_or(&[][..], |(_, aboard)| aboard);
        let is_suspected =
            |other: &Fingerprint| self.records.get(other).is_some_and(Record::is_suspected);
        aboard
            .iter()
            .any(|other| *other != print && is_suspected(other))
    }

    /// Adds requests to those that were in flight at a fall.
    fn note_aboard(&mut self, fall: Crash, aboard: &[Fingerprint]) {
        let known = self.falls.iter_mut().find(|(known, _)| *known == fall);
        match known {
            Some((_, all)) => {
                let new = aboard.iter().filter(|print| !all.contains(print));
                let new: Vec<Fingerprint> = new.copied().collect();
                all.extend(new);
            }
            None => self.falls.push_back((fall, aboard.to_vec())),
        }
        if self.falls.len() > MOST_FALLS {
            self.falls.pop_front();
        }
    }

    /// What may be done with a request; begins its trial where that is the answer.
    pub fn request_permit(&mut self, print: Fingerprint, ticket: RequestId, now: Time) -> Permit {
        let standing = self.status(print, now);
        let Some(record) = self.records.get_mut(&print) else {
            return Permit::Free;
        };
        match standing {
            Status::Clear => Permit::Free,
            Status::Quarantined => Permit::Quarantined(record.kept_out_for(now)),
            Status::Suspected => match &self.trial {
                Some(trial) if now < trial.until => {
                    match (trial.print, trial.ticket) == (print, ticket) {
                        true => Permit::Trial,
                        false => Permit::Wait,
                    }
                }
                _ if !record.may_be_tried(now) => Permit::Wait,
                _ => {
                    let until = now + TRIAL;
                    record.tried(until);
                    self.trial = Some(Trial {
                        print,
                        ticket,
                        until,
                    });
                    Permit::Trial
                }
            },
        }
    }

    /// Notes that a trial has ended, and not well; tells whether the standing of its request has changed.
    pub fn record_trial(&mut self, print: Fingerprint, how: TrialOutcome, now: Time) -> bool {
        self.release(print);
        let before = self.status(print, now);
        if let Some(record) = self.records.get_mut(&print) {
            record.trial_ended(how, now);
        }
        self.status(print, now) != before
    }

    /// Takes over that a request is suspected or kept out, by the word of an earlier leader.
    pub fn restore(&mut self, print: Fingerprint, is_out: bool, now: Time) {
        let record = self.records.entry(print).or_insert(Record::new(now));
        record.restore(is_out, now);
        self.held.insert(print);
        self.bound(now);
    }

    /// Forgets that a request was suspected or kept out.
    pub fn lift(&mut self, print: Fingerprint) {
        self.release(print);
        self.held.remove(&print);
        if let Some(record) = self.records.get_mut(&print) {
            record.forgive();
        }
    }

    /// Whether any request is suspected or kept out.
    pub fn has_suspects(&self) -> bool {
        !self.held.is_empty()
    }

    /// Requests that are suspected or kept out, the newest first.
    pub fn suspects(&mut self, now: Time) -> Vec<Suspect> {
        self.forget(now);
        let listed = self.held.iter().filter_map(|print| {
            let record = self.records.get(print)?;
            let listed = Suspect {
                fingerprint: *print,
                is_quarantined: self.status(*print, now) == Status::Quarantined,
                since: record.first,
            };
            Some((record.last, listed))
        });
        let mut listed: Vec<_> = listed.collect();
        listed.sort_by_key(|(last, listed)| (std::cmp::Reverse(*last), listed.fingerprint));
        listed.truncate(MAX_SUSPECTS);
        listed.into_iter().map(|(_, listed)| listed).collect()
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Ends the trial of a request, if it is under way.
    fn release(&mut self, print: Fingerprint) {
        if self.trial.as_ref().is_some_and(|t| t.print == print) {
            self.trial = None;
        }
    }

    /// Forgets records whose falls are too old to count.
    fn forget(&mut self, now: Time) {
        self.records.retain(|_, record| !record.is_over(now));
        self.held.retain(|print| self.records.contains_key(print));
    }

    /// Forgets the records whose last fall is oldest, beyond the most that are kept: a quarter at a time, so that
    /// the next ones cost nothing.
    fn bound(&mut self, now: Time) {
        if self.records.len() <= MOST_RECORDS {
            return;
        }
        self.forget(now);
        if self.records.len() <= MOST_RECORDS {
            return;
        }
        let mut ages: Vec<_> = self.records.iter().map(|(p, r)| (r.rank(), *p)).collect();
        ages.sort_unstable();
        for (_, print) in ages.into_iter().take(MOST_RECORDS / 4) {
            self.records.remove(&print);
            self.held.remove(&print);
        }
    }
}
