//! What is remembered of one request.

use super::{
    BROKEN_TRIALS, Crash, FALL_FOLLOWS, QUARANTINE_DURATION, QUARANTINE_THRESHOLD, REMEMBERED,
    SUSPICION_THRESHOLD, Status, TRIAL_SETTLES, TrialOutcome,
};
use unit::{Span, Time};

/// Falls remembered of one request, the newest ones.
const MOST_FALLS: usize = 8;

/// Falls on trial that prove a request guilty, whatever else was in flight: two suspects have no trials together.
const PROVING_TRIALS: usize = 2;

/// Falls of one request, and its trials.
#[derive(Debug)]
pub(super) struct Record {
    /// Falls that count, oldest first.
    counted: Vec<Crash>,
    /// Falls that no longer count, since a run has ended well after them: they may be told again.
    forgiven: Vec<Crash>,
    /// First fall that counts.
    pub(super) first: Time,
    /// Last fall.
    pub(super) last: Time,
    /// Until when a fall counts as one on trial.
    on_trial_until: Option<Time>,
    /// When the next trial may begin.
    next_trial: Time,
    /// Trials that broke off where no fall was found yet.
    broken: u32,
    /// Falls on trial, of those that count.
    on_trial: Vec<Crash>,
    /// Whether it is proved in another way: by an earlier leader, or by trials that always break off.
    is_proved: bool,
}

impl Record {
    pub(super) fn new(now: Time) -> Record {
        Record {
            counted: Vec::new(),
            forgiven: Vec::new(),
            first: now,
            last: now,
            on_trial_until: None,
            next_trial: Time(0),
            broken: 0,
            on_trial: Vec::new(),
            is_proved: false,
        }
    }

    /// What is held of it; `is_contested` tells whether something else that is suspected was in flight at a fall, and may
    /// have caused it.
    pub(super) fn standing(&self, now: Time, is_contested: impl Fn(Crash) -> bool) -> Status {
        let fell_on_trial = self.on_trial.len() >= PROVING_TRIALS
            || self.on_trial.iter().any(|fall| !is_contested(*fall));
        let is_proved = self.is_proved || fell_on_trial;
        let is_proved = is_proved && self.counted.len() >= QUARANTINE_THRESHOLD;
        if is_proved && now.since(self.last) < QUARANTINE_DURATION {
            Status::Quarantined
        } else if self.is_suspected() {
            Status::Suspected
        } else {
            Status::Clear
        }
    }

    /// Time for which it is still kept out.
    pub(super) fn kept_out_for(&self, now: Time) -> Span {
        QUARANTINE_DURATION.saturating_sub(now.since(self.last))
    }

    pub(super) fn fell(&mut self, fall: Crash, now: Time) {
        if self.counted.contains(&fall) || self.forgiven.contains(&fall) {
            return;
        }
        if self.counted.is_empty() {
            self.first = now;
        }
        push(&mut self.counted, fall);
        self.last = now;
        self.broken = 0;
        if self.on_trial_until.is_some_and(|until| now < until) {
            push(&mut self.on_trial, fall);
        }
    }

    /// Whether it is suspected at the least.
    pub(super) fn is_suspected(&self) -> bool {
        self.counted.len() >= SUSPICION_THRESHOLD
    }

    /// Whether a trial may begin.
    pub(super) fn may_be_tried(&self, now: Time) -> bool {
        now >= self.next_trial
    }

    pub(super) fn tried(&mut self, until: Time) {
        self.on_trial_until = Some(until + FALL_FOLLOWS);
    }

    pub(super) fn trial_ended(&mut self, how: TrialOutcome, now: Time) {
        if self.on_trial_until.is_none() {
            return;
        }
        self.on_trial_until = Some(now + FALL_FOLLOWS);
        if how == TrialOutcome::Inconclusive {
            return;
        }
        self.next_trial = now + TRIAL_SETTLES;
        self.broken += 1;
        if self.broken >= BROKEN_TRIALS {
            self.is_proved = true;
            self.last = now;
            // Falls that were not found: what breaks off in each trial is not served either.
            self.fill(QUARANTINE_THRESHOLD);
        }
    }

    /// Takes over what an earlier leader held of it.
    pub(super) fn restore(&mut self, is_out: bool, now: Time) {
        let falls = if is_out {
            QUARANTINE_THRESHOLD
        } else {
            SUSPICION_THRESHOLD
        };
        if self.counted.is_empty() {
            self.first = now;
            self.last = now;
        }
        self.fill(falls);
        self.is_proved |= is_out;
    }

    /// Counts so many falls at least, where it is not known which they were.
    fn fill(&mut self, falls: usize) {
        for unknown in self.counted.len()..falls {
            self.counted.push(Crash(unknown as u64));
        }
    }

    /// Lets what was counted so far count no more.
    pub(super) fn forgive(&mut self) {
        for fall in std::mem::take(&mut self.counted) {
            push(&mut self.forgiven, fall);
        }
        self.on_trial_until = None;
        self.broken = 0;
        self.on_trial.clear();
        self.is_proved = false;
    }

    /// Whether it can be forgotten.
    pub(super) fn is_over(&self, now: Time) -> bool {
        let kept = match self.is_proved || !self.on_trial.is_empty() {
            true => QUARANTINE_DURATION + REMEMBERED,
            false => REMEMBERED,
        };
        now.since(self.last) >= kept
    }

    /// What gives way first where there are too many: what is not proved, and among these the oldest.
    pub(super) fn rank(&self) -> (bool, usize, Time) {
        let falls = self.counted.len().min(SUSPICION_THRESHOLD);
        let fell_on_trial = self.is_proved || !self.on_trial.is_empty();
        (fell_on_trial, falls, self.last)
    }
}

/// Adds a fall, and forgets the oldest beyond the most.
fn push(falls: &mut Vec<Crash>, fall: Crash) {
    if falls.len() >= MOST_FALLS {
        falls.remove(0);
    }
    falls.push(fall);
}
