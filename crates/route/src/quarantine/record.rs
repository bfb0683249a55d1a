//! Crashes and trials of one possible cause.

use super::{
    CRASH_DETECTION_DELAY, Crash, MAX_INTERRUPTED_TRIALS, QUARANTINE_DURATION,
    QUARANTINE_THRESHOLD, RECORD_RETENTION, RETRIAL_DELAY, SUSPICION_THRESHOLD, TrialOutcome,
};
use unit::Time;

/// Maximum number of crashes kept per cause, the most recent ones.
const MAX_CRASHES: usize = 8;

/// Bit of the identities of placeholders, which no other crash has.
const PLACEHOLDERS: u64 = 1 << 62;

/// Crashes and trials of one possible cause.
#[derive(Debug)]
pub(super) struct Record {
    /// Crashes counted against it, oldest first.
    counted: Vec<Crash>,
    /// Crashes that no longer count because a request with it succeeded after them; kept since they may be reported again.
    cleared: Vec<Crash>,
    /// Whether a request with it succeeded before its first crash.
    pub(super) has_succeeded: bool,
    /// Time of the first counted crash.
    pub(super) first: Time,
    /// Time of the last counted crash.
    pub(super) last: Time,
    /// When the last trial started, if this tracker permitted one.
    pub(super) trial_started: Option<Time>,
    /// Time until which a crash is attributed to the trial.
    trial_until: Option<Time>,
    /// Earliest start of the next trial.
    next_trial: Time,
    /// Interrupted trials without a crash that is attributed to them.
    interrupted_trials: u32,
    /// Counted crashes that happened on trial.
    trial_crashes: Vec<Crash>,
    /// Whether it is quarantined by other means: by a previous leader or by repeatedly interrupted trials.
    is_proven: bool,
}

impl Record {
    pub(super) fn new(now: Time) -> Record {
        Record {
            counted: Vec::new(),
            cleared: Vec::new(),
            has_succeeded: false,
            first: now,
            last: now,
            trial_started: None,
            trial_until: None,
            next_trial: Time(0),
            interrupted_trials: 0,
            trial_crashes: Vec::new(),
            is_proven: false,
        }
    }

    /// Counts a crash seen at `crashed_at`.
    pub(super) fn record_crash(
        &mut self,
        crash: Crash,
        on_trial: bool,
        crashed_at: Time,
        now: Time,
    ) {
        if self.cleared.contains(&crash) {
            return;
        }
        if !self.counted.contains(&crash) {
            self.first = match self.counted.is_empty() {
                true => crashed_at,
                false => self.first.min(crashed_at),
            };
            push_bounded(&mut self.counted, crash);
            self.last = now;
        }
        if on_trial && !self.trial_crashes.contains(&crash) {
            push_bounded(&mut self.trial_crashes, crash);
            self.interrupted_trials = 0;
        }
    }

    /// Whether a crash now is attributed to the trial.
    pub(super) fn is_on_trial(&self, now: Time) -> bool {
        self.trial_until.is_some_and(|until| now < until)
    }

    pub(super) fn is_suspected(&self) -> bool {
        self.counted.len() >= SUSPICION_THRESHOLD
    }

    /// Whether a crash counts against it.
    pub(super) fn counts(&self, crash: Crash) -> bool {
        self.counted.contains(&crash)
    }

    /// Whether any crash counts against it.
    pub(super) fn has_crashes(&self) -> bool {
        !self.counted.is_empty()
    }

    /// Whether a request with it has succeeded, before its first crash or after one.
    pub(super) fn has_succeeded(&self) -> bool {
        self.has_succeeded || !self.cleared.is_empty()
    }

    /// Whether enough crashes count against it for a quarantine.
    pub(super) fn may_be_quarantined(&self) -> bool {
        self.counted.len() >= QUARANTINE_THRESHOLD
    }

    pub(super) fn may_start_trial(&self, now: Time) -> bool {
        now >= self.next_trial
    }

    pub(super) fn start_trial(&mut self, now: Time, until: Time) {
        self.trial_started = Some(now);
        self.trial_until = Some(until + CRASH_DETECTION_DELAY);
    }

    /// Records a trial that did not succeed; returns whether that quarantines it.
    pub(super) fn record_trial(&mut self, outcome: TrialOutcome, now: Time) -> bool {
        if self.trial_until.is_none() {
            return false;
        }
        self.trial_until = Some(now + CRASH_DETECTION_DELAY);
        if outcome == TrialOutcome::Inconclusive {
            return false;
        }
        self.next_trial = now + RETRIAL_DELAY;
        self.interrupted_trials += 1;
        self.is_proven |= self.interrupted_trials >= MAX_INTERRUPTED_TRIALS;
        if self.is_proven {
            self.last = now;
            // The crashes were not detected, but what is interrupted in each trial is quarantined too.
            self.pad_crashes(QUARANTINE_THRESHOLD);
        }
        self.is_proven
    }

    /// Restores the crashes from the list of a previous leader.
    pub(super) fn restore(&mut self, is_quarantined: bool, now: Time) {
        let crashes = if is_quarantined {
            QUARANTINE_THRESHOLD
        } else {
            SUSPICION_THRESHOLD
        };
        if self.counted.is_empty() {
            self.first = now;
            self.last = now;
        }
        self.pad_crashes(crashes);
        self.is_proven |= is_quarantined;
    }

    /// Adds placeholder crashes up to the given number.
    fn pad_crashes(&mut self, crashes: usize) {
        for placeholder in self.counted.len()..crashes {
            self.counted.push(Crash(PLACEHOLDERS | placeholder as u64));
        }
    }

    /// Crashes so far no longer count.
    pub(super) fn clear(&mut self) {
        for crash in std::mem::take(&mut self.counted) {
            push_bounded(&mut self.cleared, crash);
        }
        self.trial_until = None;
        self.interrupted_trials = 0;
        self.trial_crashes.clear();
        self.is_proven = false;
    }

    pub(super) fn is_expired(&self, now: Time) -> bool {
        let retention = match self.is_proven || !self.trial_crashes.is_empty() {
            true => QUARANTINE_DURATION + RECORD_RETENTION,
            false => RECORD_RETENTION,
        };
        now.since(self.last) >= retention
    }

    /// Eviction order, lowest first: those without a crash on trial, then those with fewer crashes, then the oldest.
    pub(super) fn rank(&self) -> (bool, usize, Time) {
        let crashes = self.counted.len().min(SUSPICION_THRESHOLD);
        let crashed_on_trial = self.is_proven || !self.trial_crashes.is_empty();
        (crashed_on_trial, crashes, self.last)
    }
}

/// Appends a crash, dropping the oldest beyond the maximum.
fn push_bounded(crashes: &mut Vec<Crash>, crash: Crash) {
    if crashes.len() >= MAX_CRASHES {
        crashes.remove(0);
    }
    crashes.push(crash);
}
