//! Crashes and trials of one tracked request.

use super::{
    CRASH_DETECTION_DELAY, Crash, MAX_INTERRUPTED_TRIALS, QUARANTINE_DURATION,
    QUARANTINE_THRESHOLD, RECORD_RETENTION, RETRIAL_DELAY, SUSPICION_THRESHOLD, Status,
    TrialOutcome,
};
use unit::{Span, Time};

/// Maximum number of crashes kept per request, the most recent ones.
const MAX_CRASHES: usize = 8;

/// Crashes on trial that prove a request guilty even if other suspects were in flight, since trials never overlap.
const PROOF_TRIALS: usize = 2;

/// Bit of the identities of placeholders, which no other crash has.
const PLACEHOLDERS: u64 = 1 << 62;

/// Crashes and trials of one request.
#[derive(Debug)]
pub(super) struct Record {
    /// Crashes counted against the request, oldest first.
    counted: Vec<Crash>,
    /// Crashes that no longer count because the request succeeded after them; kept since they may be reported again.
    cleared: Vec<Crash>,
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
    /// Interrupted trials without a detected crash.
    interrupted_trials: u32,
    /// Counted crashes that happened on trial.
    trial_crashes: Vec<Crash>,
    /// Whether the request is proven guilty by other means: by a previous leader or by repeatedly interrupted trials.
    is_proven: bool,
}

impl Record {
    pub(super) fn new(now: Time) -> Record {
        Record {
            counted: Vec::new(),
            cleared: Vec::new(),
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

    /// `has_other_suspect` tells whether another suspect was in flight at a crash and may have caused it.
    pub(super) fn status(&self, now: Time, has_other_suspect: impl Fn(Crash) -> bool) -> Status {
        let crashed_on_trial = self.trial_crashes.len() >= PROOF_TRIALS
            || self
                .trial_crashes
                .iter()
                .any(|crash| !has_other_suspect(*crash));
        let is_proven = self.is_proven || crashed_on_trial;
        let is_proven = is_proven && self.counted.len() >= QUARANTINE_THRESHOLD;
        if is_proven && now.since(self.last) < QUARANTINE_DURATION {
            Status::Quarantined
        } else if self.is_suspected() {
            Status::Suspected
        } else {
            Status::Clear
        }
    }

    /// Remaining time of the quarantine.
    pub(super) fn quarantine_remaining(&self, now: Time) -> Span {
        QUARANTINE_DURATION.saturating_sub(now.since(self.last))
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
            self.interrupted_trials = 0;
        }
        if on_trial && !self.trial_crashes.contains(&crash) {
            push_bounded(&mut self.trial_crashes, crash);
        }
    }

    /// Whether a crash now is attributed to the trial.
    pub(super) fn is_on_trial(&self, now: Time) -> bool {
        self.trial_until.is_some_and(|until| now < until)
    }

    /// Whether the request is suspected or quarantined.
    pub(super) fn is_suspected(&self) -> bool {
        self.counted.len() >= SUSPICION_THRESHOLD
    }

    pub(super) fn may_start_trial(&self, now: Time) -> bool {
        now >= self.next_trial
    }

    pub(super) fn start_trial(&mut self, now: Time, until: Time) {
        self.trial_started = Some(now);
        self.trial_until = Some(until + CRASH_DETECTION_DELAY);
    }

    pub(super) fn record_trial(&mut self, outcome: TrialOutcome, now: Time) {
        if self.trial_until.is_none() {
            return;
        }
        self.trial_until = Some(now + CRASH_DETECTION_DELAY);
        if outcome == TrialOutcome::Inconclusive {
            return;
        }
        self.next_trial = now + RETRIAL_DELAY;
        self.interrupted_trials += 1;
        if self.interrupted_trials >= MAX_INTERRUPTED_TRIALS {
            self.is_proven = true;
            self.last = now;
            // The crashes were not detected, but a request whose trials are always interrupted is quarantined too.
            self.pad_crashes(QUARANTINE_THRESHOLD);
        }
    }

    /// Restores the status from the list of a previous leader.
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

    /// Clears the request: crashes so far no longer count.
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

    /// Eviction order, lowest first: requests without a crash on trial, then those with fewer crashes, then the oldest.
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
