//! Quarantine of requests and prompt segments that crash the replicas that run them.
//!
//! A request is known by itself and by the segments that its prompt shares with others. Each host
//! reports to the leader which requests were interrupted by the crash of a replica, and which of the
//! listed causes succeeded. The leader counts, permits trials, and lists what is suspected and
//! quarantined. It broadcasts the list and writes it to the store: from there hosts that
//! start or reconnect learn it before they serve, and it outlives all hosts. Where
//! hosts are few, they also report crashes to each other, so that the next leader knows of them.
//!
//! `admit` checks requests, `probe` tells a crash from a broken connection, `registry` holds what
//! this host knows, and `stored` encodes the list for the store. [`route::quarantine`] decides.

mod admit;
mod probe;
mod registry;
mod stored;

pub use admit::{Trial, admit, check, may_retry};
pub use probe::{has_crashed, note_interrupted, note_replaced};
pub use stored::{KEY, LIFTED};

use crate::attempt::Call;
use crate::message::QuarantineList;
use crate::state::State;
use parking_lot::Mutex;
use platform::store::Item;
use registry::Registry;
use route::quarantine::{
    Cause, Change, Crash, Incident, Permit, Report as CrashReport, RequestId, Status, TrialOutcome,
    join,
};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tracing::{error, info, warn};
use unit::{Span, Time};

/// Time after the first event of an answer from which it proves that no segment of its prompt crashes
/// replicas, which they do when they begin an answer.
pub const PROOF_TIME: Span = Span::from_ms(500);

/// Causes that only together are suspected or quarantined, mostly a single one, and whether they are
/// quarantined.
pub type Listed = BTreeMap<Vec<Cause>, bool>;

/// Report of this host to the leader.
#[derive(Debug)]
pub enum Report {
    /// A replica crashed with these requests in flight from this host.
    Crashed(Incident),
    /// A request with these causes succeeded.
    Succeeded(Vec<Cause>),
    /// A trial ended without success, and whether it was interrupted.
    TrialEnded(Vec<Cause>, bool),
}

/// Receiver of this host's reports.
pub type Reports = UnboundedReceiver<Report>;

/// What this host knows of suspected and quarantined requests. Its lock is taken last.
pub struct Quarantine {
    registry: Mutex<Registry>,
    reports: UnboundedSender<Report>,
    /// Notified when the status of a request has changed here, so that a leader broadcasts it.
    pub changed: Notify,
}

/// Makes the quarantine of a host, and the receiver of its reports.
pub fn open() -> (Quarantine, Reports) {
    let (reports, receiver) = unbounded_channel();
    let quarantine = Quarantine {
        registry: Mutex::default(),
        reports,
        changed: Notify::new(),
    };
    (quarantine, receiver)
}

impl Quarantine {
    fn report(&self, report: Report) {
        // The receiving task lives as long as the daemon.
        let _ = self.reports.send(report);
    }

    /// Status of a request with these causes by the leader's list, the stored list, or what this host
    /// has seen itself.
    pub fn status(&self, causes: &[Cause], now: Time) -> Status {
        self.registry.lock().status(causes, now)
    }

    /// Names which of the causes of a request quarantine it, as far as this host knows.
    fn reason(&self, causes: &[Cause], now: Time) -> Option<String> {
        let registry = self.registry.lock();
        registry.quarantining(causes, now).map(join)
    }

    /// Whether no request is suspected or quarantined, so that requests need no check.
    pub fn is_empty(&self, now: Time) -> bool {
        self.registry.lock().is_empty(now)
    }

    /// Whether replicas have crashed recently or causes are listed. Successes of whole requests are
    /// recorded only then.
    pub fn is_alert(&self, now: Time) -> bool {
        self.registry.lock().is_alert(now)
    }

    /// Records that a request with these causes succeeded here, and reports those against which
    /// crashes count.
    pub fn note_success(&self, causes: &[Cause], now: Time) {
        let watched = self.registry.lock().record_success(causes, now);
        if !watched.is_empty() {
            self.report(Report::Succeeded(watched));
        }
    }

    /// Records a crash that this host or another one reports.
    pub fn note_crash_report(&self, report: &CrashReport, now: Time) {
        let change = self.registry.lock().record_report(report, now);
        self.note_change(&change);
    }

    /// Records a crash just now, with a known identity.
    pub fn note_crash(&self, crash: Crash, in_flight: &[Cause], now: Time) {
        let change = self.registry.lock().record_crash(crash, in_flight, now);
        self.note_change(&change);
    }

    fn note_change(&self, change: &Change) {
        for cause in &change.suspected {
            let (print, segment) = names(cause);
            info!(target: "quarantine", event = "suspected", print, segment, "suspected: it was in flight at several replica crashes");
        }
        self.notify_if(change.is_quarantined || !change.suspected.is_empty());
    }

    /// Records that a request with these causes succeeded on any host.
    pub fn note_success_anywhere(&self, causes: &[Cause], now: Time) {
        let cleared = self.registry.lock().tracker.record_success(causes, now);
        for cause in &cleared {
            let (print, segment) = names(cause);
            info!(target: "quarantine", event = "cleared", print, segment, "cleared: a request with it succeeded");
        }
        self.notify_if(!cleared.is_empty());
    }

    /// Decides, on the leader, whether a request with these causes may run.
    pub fn decide(&self, causes: &[Cause], request: RequestId, now: Time) -> Permit {
        let tracker = &mut self.registry.lock().tracker;
        tracker.request_permit(causes, request, now)
    }

    /// Records, on the leader, a trial that ended without success.
    pub fn note_trial_ended(&self, causes: &[Cause], is_interrupted: bool, now: Time) {
        let outcome = match is_interrupted {
            true => TrialOutcome::Interrupted,
            false => TrialOutcome::Inconclusive,
        };
        let tracker = &mut self.registry.lock().tracker;
        let is_quarantined = tracker.record_trial(causes, outcome, now);
        self.notify_if(is_quarantined);
    }

    /// Forgets what speaks against these causes.
    fn lift(&self, causes: &[Cause]) {
        self.registry.lock().lift(causes);
    }

    /// Forgets those of a request's causes that the leader has cleared: the ones that are listed or suspected here.
    fn lift_suspects(&self, causes: &[Cause], now: Time) {
        let mut registry = self.registry.lock();
        let is_suspect = |cause: &&Cause| registry.status(&[**cause], now) != Status::Clear;
        let suspects: Vec<Cause> = causes.iter().filter(is_suspect).copied().collect();
        registry.lift(&suspects);
    }

    fn notify_if(&self, changed: bool) {
        if changed {
            self.changed.notify_one();
        }
    }

    /// Crashes to report again to the leader of a term.
    pub fn unreported_crashes(&self, term: u64, now: Time) -> Vec<Incident> {
        self.registry.lock().incidents.due_reports(term, now)
    }

    /// Takes over the previous leader's list on a new leader.
    pub fn take_over(&self, now: Time) {
        self.registry.lock().take_over(now);
    }

    /// The list to broadcast, and whether it has changed since the last call.
    pub fn listing(&self, term: u64, now: Time) -> (QuarantineList, bool) {
        let mut registry = self.registry.lock();
        let (listing, delta) = registry.listing(term, now);
        drop(registry);
        for causes in &delta.newly_quarantined {
            let (print, segment) = names(&causes[0]);
            let all = join(causes);
            warn!(target: "quarantine", event = "kept_out", print, segment, all, "quarantined: every replica that began to answer requests with all of these crashed, the last one during a trial");
        }
        (listing, delta.changed)
    }

    /// Applies the leader's list, and reports the listed requests that have succeeded here since
    /// their first crash.
    pub fn apply_listing(&self, list: QuarantineList, now: Time) {
        let succeeded = self.registry.lock().apply_listing(list, now);
        if !succeeded.is_empty() {
            self.report(Report::Succeeded(succeeded));
        }
    }

    /// The list to write to the store and the revision that it replaces, unless the store has it
    /// already.
    pub fn pending_write(&self, now: Time) -> Option<(Vec<u8>, u64)> {
        self.registry.lock().pending_write(now)
    }

    /// Applies the list that the store holds at a revision.
    pub fn apply_stored(&self, listed: Listed, revision: u64) {
        self.registry.lock().apply_stored(listed, revision);
    }

    /// Numbers of suspected and of quarantined entries that this host knows of.
    pub fn counts(&self, now: Time) -> (usize, usize) {
        count(self.registry.lock().listed(now).values())
    }

    /// Those of them with a segment of a prompt.
    pub fn segment_counts(&self, now: Time) -> (usize, usize) {
        let listed = self.registry.lock().listed(now);
        let has_segment = |causes: &[Cause]| causes.iter().any(|c| c.segment().is_some());
        let entries = listed.iter().filter(|(causes, _)| has_segment(causes));
        count(entries.map(|(_, is_quarantined)| is_quarantined))
    }
}

/// Numbers of entries that are only suspected, and that are quarantined.
fn count<'a>(entries: impl Iterator<Item = &'a bool>) -> (usize, usize) {
    let (quarantined, suspected): (Vec<&bool>, Vec<&bool>) = entries.partition(|q| **q);
    (suspected.len(), quarantined.len())
}

/// Fingerprint or segment as log lines name them.
fn names(cause: &Cause) -> (Option<String>, Option<String>) {
    let print = cause.request().map(|fingerprint| fingerprint.to_string());
    let segment = cause.segment().map(|id| format!("{id:x}"));
    (print, segment)
}

/// Applies a stored list.
pub fn apply_stored(state: &State, item: &Item) {
    match stored::decode(&item.value) {
        Ok(listed) => state.quarantine.apply_stored(listed, item.revision),
        Err(why) => {
            error!(target: "quarantine", event = "malformed", revision = item.revision, why = %why, "stored quarantine list cannot be decoded; the last one stays in force")
        }
    }
}

/// Clears the causes that an operator has written to the store.
pub fn apply_lifted(state: &State, item: &Item) {
    let listed = match stored::decode(&item.value) {
        Ok(listed) => listed,
        Err(why) => {
            error!(target: "quarantine", event = "malformed", revision = item.revision, why = %why, "causes to be admitted again cannot be decoded");
            return;
        }
    };
    let causes: Vec<Cause> = listed.into_keys().flatten().collect();
    state.quarantine.lift(&causes);
    let all = join(&causes);
    warn!(target: "quarantine", event = "lifted", all, revision = item.revision, "admitted again by an operator");
    state.quarantine.changed.notify_one();
}

/// Records that the store holds no list, as of a revision.
pub fn note_not_stored(state: &State, revision: u64) {
    state.quarantine.registry.lock().clear_stored(revision);
}

/// Applies what a conflicting write found; revision 0 means that there is no list.
pub fn apply_conflict(state: &State, item: &Item) {
    match item.revision {
        0 => state.quarantine.registry.lock().mark_missing(),
        _ => apply_stored(state, item),
    }
}

/// Applies the removal of the list from the store, by which operators clear it.
pub fn note_removed(state: &State, revision: u64) {
    if state.quarantine.registry.lock().apply_removed(revision) {
        warn!(target: "quarantine", event = "lifted", revision, "quarantine list removed from the store; all requests are admitted again");
        state.quarantine.changed.notify_one();
    }
}

/// Records that a request succeeded.
pub fn note_success(state: &State, call: &Call) {
    call.has_sound_segments.store(true, Ordering::Relaxed);
    note(state, call, call.shared_segments().collect());
    note_end(state, call);
}

/// Records that a request ended without a crash, whether or not its answer proves anything about its
/// prompt.
pub fn note_end(state: &State, call: &Call) {
    // Without a recent crash nothing depends on it, and the fingerprint is not worth its hash.
    if call.trial.get().is_some() || state.quarantine.is_alert(state.now()) {
        note(state, call, vec![Cause::Request(call.fingerprint())]);
    }
}

/// Records that an answer has gone on for [`PROOF_TIME`].
pub fn note_sound_segments(state: &State, call: &Call) {
    if !call.has_sound_segments.swap(true, Ordering::Relaxed) {
        note(state, call, call.shared_segments().collect());
    }
}

fn note(state: &State, call: &Call, causes: Vec<Cause>) {
    if let Some(trial) = call.trial.get() {
        trial.clear(&causes);
    }
    if !causes.is_empty() {
        state.quarantine.note_success(&causes, state.now());
    }
}
