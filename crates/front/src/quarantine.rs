//! Quarantine of requests that crash the replicas that run them.
//!
//! Each host reports to the leader which requests were interrupted by the crash of a replica, and
//! which of the listed ones succeeded. The leader counts, permits trials, and lists suspected and
//! quarantined requests. It broadcasts the list and writes it to the store: from there hosts that
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
pub use probe::{note_interrupted, note_replaced};
pub use stored::KEY;

use crate::message::QuarantineList;
use crate::state::State;
use parking_lot::Mutex;
use platform::store::Item;
use registry::Registry;
use route::quarantine::{
    Crash, Incident, Permit, Report as CrashReport, RequestId, Status, TrialOutcome,
};
use std::collections::BTreeMap;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tracing::{error, info, warn};
use unit::{Fingerprint, Time};

/// Report of this host to the leader.
#[derive(Debug)]
pub enum Report {
    /// A replica crashed with these requests in flight from this host.
    Crashed(Incident),
    /// A run of a listed request succeeded.
    Succeeded(Fingerprint),
    /// A trial ended without success, and whether it was interrupted.
    TrialEnded(Fingerprint, bool),
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

    /// Status of a request by the leader's list, the stored list, or what this host has seen
    /// itself.
    pub fn status(&self, fingerprint: Fingerprint, now: Time) -> Status {
        self.registry.lock().status(fingerprint, now)
    }

    /// Whether no request is suspected or quarantined, so that requests need no check.
    pub fn is_empty(&self, now: Time) -> bool {
        self.registry.lock().is_empty(now)
    }

    /// Whether replicas have crashed recently or requests are listed. Successes are recorded only
    /// then.
    pub fn is_alert(&self, now: Time) -> bool {
        self.registry.lock().is_alert(now)
    }

    /// Records that a run of a request succeeded here, and reports it if the request is suspected
    /// or quarantined.
    pub fn note_success(&self, fingerprint: Fingerprint, now: Time) {
        if self.registry.lock().record_success(fingerprint, now) {
            self.report(Report::Succeeded(fingerprint));
        }
    }

    /// Records a crash that this host or another one reports.
    pub fn note_crash_report(&self, report: &CrashReport, now: Time) {
        let changed = self.registry.lock().record_report(report, now);
        self.note_suspected(&changed);
    }

    /// Records a crash just now, with a known identity.
    pub fn note_crash(&self, crash: Crash, in_flight: &[Fingerprint], now: Time) {
        let changed = self.registry.lock().record_crash(crash, in_flight, now);
        self.note_suspected(&changed);
    }

    fn note_suspected(&self, changed: &[Fingerprint]) {
        for fingerprint in changed {
            info!(target: "quarantine", event = "suspected", print = %fingerprint, "request suspected: it was in flight at several replica crashes");
        }
        self.notify_if(!changed.is_empty());
    }

    /// Records that a run of a request succeeded on any host.
    pub fn note_success_anywhere(&self, fingerprint: Fingerprint) {
        let cleared = self.registry.lock().tracker.record_success(fingerprint);
        if cleared {
            info!(target: "quarantine", event = "cleared", print = %fingerprint, "request cleared: a run succeeded");
        }
        self.notify_if(cleared);
    }

    /// Decides, on the leader, whether a request may run.
    pub fn decide(&self, fingerprint: Fingerprint, request: RequestId, now: Time) -> Permit {
        self.registry
            .lock()
            .tracker
            .request_permit(fingerprint, request, now)
    }

    /// Records, on the leader, a trial that ended without success.
    pub fn note_trial_ended(&self, fingerprint: Fingerprint, is_interrupted: bool, now: Time) {
        let outcome = match is_interrupted {
            true => TrialOutcome::Interrupted,
            false => TrialOutcome::Inconclusive,
        };
        let changed = self
            .registry
            .lock()
            .tracker
            .record_trial(fingerprint, outcome, now);
        self.notify_if(changed);
    }

    /// Forgets a request that the leader has cleared.
    fn lift(&self, fingerprint: Fingerprint) {
        self.registry.lock().lift(fingerprint);
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
        for fingerprint in &delta.newly_quarantined {
            warn!(target: "quarantine", event = "kept_out", print = %fingerprint, "request quarantined: every replica that started it crashed, the last one during a trial");
        }
        (listing, delta.changed)
    }

    /// Applies the leader's list, and reports the listed requests that have succeeded here since
    /// their first crash.
    pub fn apply_listing(&self, list: QuarantineList, now: Time) {
        let succeeded = self.registry.lock().apply_listing(list, now);
        for fingerprint in succeeded {
            self.report(Report::Succeeded(fingerprint));
        }
    }

    /// The list to write to the store and the revision that it replaces, unless the store has it
    /// already.
    pub fn pending_write(&self, now: Time) -> Option<(Vec<u8>, u64)> {
        self.registry.lock().pending_write(now)
    }

    /// Applies the list that the store holds at a revision.
    pub fn apply_stored(&self, listed: BTreeMap<Fingerprint, bool>, revision: u64) {
        self.registry.lock().apply_stored(listed, revision);
    }

    /// Numbers of suspected and of quarantined requests that this host knows of.
    pub fn counts(&self, now: Time) -> (usize, usize) {
        self.registry.lock().counts(now)
    }
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

/// Records that a run of a request succeeded.
pub fn note_success(state: &State, call: &crate::attempt::Call) {
    let now = state.now();
    if state.quarantine.is_alert(now) {
        state.quarantine.note_success(call.fingerprint(), now);
    }
}
