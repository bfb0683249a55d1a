//! The way of a request through the quarantine: unnoticed, on trial, or not at all.

use super::Report;
use crate::attempt::Call;
use crate::peers::Peers;
use crate::respond::Rejection;
use crate::state::State;
use route::quarantine::{Permit, QUARANTINE_DURATION, RequestId, Status};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::timeout;
use unit::{Fingerprint, Span, rendezvous};

/// Part of its target for which a suspect may wait here for a trial, or to be cleared. What is asked for often is
/// cleared within about the time of one run.
const MAX_HELD_FRACTION: f64 = 0.25;

/// When a client may come back whose request is suspected: about the time of one trial.
const RETRY_AFTER_SUSPECTED: Span = Span::from_ms(1_000);

/// Time between two looks at what is held of a request that waits.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Trial of a request: it is sent once, and nothing that is suspected with it. Dropping it ends the trial.
pub struct Trial {
    state: Arc<State>,
    print: Fingerprint,
    is_broken: AtomicBool,
}

impl Trial {
    /// Notes that the run broke off.
    pub(super) fn mark_broken(&self) {
        self.is_broken.store(true, Ordering::Relaxed);
    }
}

impl std::fmt::Debug for Trial {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Trial({})", self.print)
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        // Where the run has ended well, that was told before this.
        let report = Report::TrialEnded(self.print, self.is_broken.load(Ordering::Relaxed));
        self.state.quarantine.report(report);
    }
}

/// Lets a request in if nothing is held of it, or its trial begins now.
pub async fn admit(state: &Arc<State>, peers: &Peers, call: &Call) -> Result<(), Rejection> {
    if state.quarantine.is_empty(state.now()) {
        return Ok(());
    }
    let print = call.fingerprint();
    let ticket = RequestId(rendezvous::hash(call.id.as_bytes()));
    let held_until = call.arrived + Span::from(call.route.target) * MAX_HELD_FRACTION;
    loop {
        let now = state.now();
        let permit = match state.quarantine.standing(print, now) {
            Status::Clear => return Ok(()),
            Status::Quarantined => Permit::Quarantined(QUARANTINE_DURATION),
            Status::Suspected => match peers.request_trial(print, ticket).await {
                Some(permit) => permit,
                // Nobody can come to lead before the store is back: what is innocent would wait for as long.
                None if state.table.lock().view.contact.is_unreachable() => {
                    state.quarantine.decide(print, ticket, state.now())
                }
                None => Permit::Wait,
            },
        };
        match permit {
            Permit::Free => {
                // Whoever decides knows better than what was seen here.
                state.quarantine.lift(print);
                return Ok(());
            }
            Permit::Trial => {
                begin_trial(state, call);
                return Ok(());
            }
            Permit::Quarantined(left) => return Err(blocked(left)),
            Permit::Wait if now >= held_until || state.is_draining() => return Err(suspected()),
            Permit::Wait => {
                let _ = timeout(POLL_INTERVAL, state.changed.notified()).await;
            }
        }
    }
}

fn begin_trial(state: &Arc<State>, call: &Call) {
    let trial = Trial {
        state: state.clone(),
        print: call.fingerprint(),
        is_broken: AtomicBool::new(false),
    };
    // A request is let in once.
    let _ = call.trial.set(trial);
}

/// Confirms at the last moment before a sending that the request may still go: it may have waited here while others
/// found out what it does.
pub fn check(state: &State, call: &Call) -> Result<(), Rejection> {
    let now = state.now();
    if call.trial.get().is_some() || state.quarantine.is_empty(now) {
        return Ok(());
    }
    match state.quarantine.standing(call.fingerprint(), now) {
        Status::Clear => Ok(()),
        Status::Suspected => Err(suspected()),
        Status::Quarantined => Err(blocked(QUARANTINE_DURATION)),
    }
}

/// Whether a request that may have run may be sent once more.
pub fn may_retry(state: &State, call: &Call) -> bool {
    call.trial.get().is_none() && check(state, call).is_ok()
}

/// Answer to a request that ends each replica that runs it.
fn blocked(left: Span) -> Rejection {
    let message =
        "The request has ended each replica that began to run it; it is not sent any more.";
    Rejection::not_run("kept_out", message, left)
}

/// Answer to a request that may be one of these, while another trial is under way.
fn suspected() -> Rejection {
    let message =
        "The request was in flight where several replicas fell; it is tried alone, one at a time.";
    Rejection::not_run("suspected", message, RETRY_AFTER_SUSPECTED)
}
