//! Requests that end replicas: what this host has seen of them, and what the leader says of them.
//!
//! Each host tells the leader which requests broke where a replica fell, and which of those that are listed have
//! ended well. The leader counts, gives out trials, and lists what is suspected or kept out: to all hosts by
//! datagram, and in the store, by which a host that begins or comes back knows it before it serves, and which
//! outlasts all hosts. Where hosts are few they tell each other of falls as well, so that the next leader knows.
//!
//! Its parts: `admit` is the way of a request through it, `probe` tells a fall from a broken connection, `registry` is what
//! this host knows, `stored` is the form of the list in the store. [`route::quarantine`] decides.

mod admit;
mod probe;
mod registry;
mod stored;

pub use admit::{Trial, admit, check, may_retry};
pub use probe::{note_broken, note_replaced};
pub use stored::KEY;

use crate::message::QuarantineList;
use crate::state::State;
use parking_lot::Mutex;
use platform::store::Item;
use registry::Registry;
use route::quarantine::{Crash, Incident, Permit, RequestId, Status, TrialOutcome};
use std::collections::BTreeMap;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tracing::{error, info, warn};
use unit::{Fingerprint, Time};

/// What a host tells others.
#[derive(Debug)]
pub enum Report {
    /// A replica fell with these requests in flight here.
    Crashed(Incident),
    /// A run of a request that is listed has ended well.
    Succeeded(Fingerprint),
    /// A trial has ended, and not well: whether it broke off.
    TrialEnded(Fingerprint, bool),
}

/// Receiver of what this host is to tell.
pub type Reports = UnboundedReceiver<Report>;

/// What this host knows of such requests. Its lock is taken last.
pub struct Quarantine {
    registry: Mutex<Registry>,
    reports: UnboundedSender<Report>,
    /// Notified when the standing of a request has changed in this host's ledger, so that a leader tells it.
    pub changed: Notify,
}

/// Makes the part of the shared state.
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
    /// Hands on what is to be told.
    fn report(&self, report: Report) {
        // The task that receives lives as long as the daemon.
        let _ = self.reports.send(report);
    }

    /// What is held of a request, by the leader's word, the store, or else what this host has seen itself.
    pub fn standing(&self, print: Fingerprint, now: Time) -> Status {
        self.registry.lock().standing(print, now)
    }

    /// Whether nothing is held of any request, so that none needs a look.
    pub fn is_empty(&self, now: Time) -> bool {
        self.registry.lock().is_idle(now)
    }

    /// Whether replicas have fallen lately, or requests are listed: good ends are noted only then.
    pub fn is_alert(&self, now: Time) -> bool {
        self.registry.lock().is_alert(now)
    }

    /// Notes that a run of a request has ended well here, and tells the leader where it is listed.
    pub fn note_success(&self, print: Fingerprint, now: Time) {
        if self.registry.lock().record_success(print, now) {
            self.report(Report::Succeeded(print));
        }
    }

    /// Takes in a fall, seen here or told by another host.
    pub fn note_crash(&self, fall: Crash, aboard: &[Fingerprint], now: Time) {
        let changed = self.registry.lock().record_crash(fall, aboard, now);
        for print in &changed {
            info!(target: "quarantine", event = "suspected", print = %print, "a request was in flight where several replicas fell");
        }
        self.note(!changed.is_empty());
    }

    /// Takes in that a run of a request has ended well on some host.
    pub fn note_success_anywhere(&self, print: Fingerprint) {
        let cleared = self.registry.lock().ledger.record_success(print);
        if cleared {
            info!(target: "quarantine", event = "cleared", print = %print, "a run of the request has ended well");
        }
        self.note(cleared);
    }

    /// Says, as the leader, what may be done with a request.
    pub fn decide(&self, print: Fingerprint, ticket: RequestId, now: Time) -> Permit {
        self.registry
            .lock()
            .ledger
            .request_permit(print, ticket, now)
    }

    /// Takes in, as the leader, that a trial has not ended well.
    pub fn note_trial_ended(&self, print: Fingerprint, broke: bool, now: Time) {
        let how = match broke {
            true => TrialOutcome::Interrupted,
            false => TrialOutcome::Inconclusive,
        };
        let changed = self.registry.lock().ledger.record_trial(print, how, now);
        self.note(changed);
    }

    /// Forgets what was held of a request here, by the leader's word.
    fn lift(&self, print: Fingerprint) {
        self.registry.lock().lift(print);
    }

    fn note(&self, changed: bool) {
        if changed {
            self.changed.notify_one();
        }
    }

    /// Falls that the leader of a term is to be told once more.
    pub fn unreported_crashes(&self, term: u64, now: Time) -> Vec<Incident> {
        self.registry.lock().falls.due_reports(term, now)
    }

    /// Takes over, as a new leader, what the one before had listed.
    pub fn take_over(&self, now: Time) {
        self.registry.lock().take_over(now);
    }

    /// What a leader is to tell all hosts, and whether it has changed since it was asked for last.
    pub fn listing(&self, term: u64, now: Time) -> (QuarantineList, bool) {
        let mut board = self.registry.lock();
        let (listing, news) = board.listing(term, now);
        drop(board);
        for print in &news.kept_out {
            warn!(target: "quarantine", event = "kept_out", print = %print, "a request has ended each replica that began to run it, the last one on trial; no host sends it any more");
        }
        (listing, news.changed)
    }

    /// Takes in the leader's list, and tells it which of these requests have ended well here since they were first in
    /// flight at a fall.
    pub fn apply_listing(&self, listing: QuarantineList, now: Time) {
        let sound = self.registry.lock().apply_listing(listing, now);
        for print in sound {
            self.report(Report::Succeeded(print));
        }
    }

    /// What is to stand in the store by this leader's ledger, and the revision that it replaces; none while it stands there.
    pub fn pending_write(&self, now: Time) -> Option<(Vec<u8>, u64)> {
        self.registry.lock().pending_write(now)
    }

    /// Takes in what stands in the store at a revision.
    pub fn stored(&self, listed: BTreeMap<Fingerprint, bool>, revision: u64) {
        self.registry.lock().stored(listed, revision);
    }

    /// Requests that are suspected and kept out, as far as this host knows.
    pub fn counts(&self, now: Time) -> (usize, usize) {
        self.registry.lock().counts(now)
    }
}

/// Takes in the list that stands in the store.
pub fn apply_stored(state: &State, item: &Item) {
    match stored::decode(&item.value) {
        Ok(listed) => state.quarantine.stored(listed, item.revision),
        Err(why) => {
            error!(target: "quarantine", event = "malformed", revision = item.revision, why = %why, "the list of requests that are kept out cannot be read; the last one stays in force")
        }
    }
}

/// Takes in that the list does not stand in the store, as of a revision.
pub fn note_not_stored(state: &State, revision: u64) {
    state.quarantine.registry.lock().absent(revision);
}

/// Takes in what a leader wanted to replace in vain; a revision of 0 says that nothing stands there.
pub fn apply_conflict(state: &State, item: &Item) {
    match item.revision {
        0 => state.quarantine.registry.lock().mark_absent(),
        _ => apply_stored(state, item),
    }
}

/// Takes in that the list was removed from the store, by which operators lift all of it.
pub fn note_removed(state: &State, revision: u64) {
    if state.quarantine.registry.lock().removed(revision) {
        warn!(target: "quarantine", event = "lifted", revision, "the list of requests that are kept out was removed from the store; all are let in again");
        state.quarantine.changed.notify_one();
    }
}

/// Notes that a run of a request has ended well.
pub fn note_success(state: &State, call: &crate::attempt::Call) {
    let now = state.now();
    if state.quarantine.is_alert(now) {
        state.quarantine.note_success(call.fingerprint(), now);
    }
}
