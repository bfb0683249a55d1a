//! Checks of requests against the quarantine: admitted, on trial, or rejected.

use super::Report;
use crate::attempt::Call;
use crate::peers::Peers;
use crate::respond::Rejection;
use crate::state::State;
use parking_lot::Mutex;
use route::quarantine::{Cause, Permit, QUARANTINE_DURATION, RequestId, Status};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::timeout;
use unit::{Span, rendezvous};

/// Fraction of its target for which a suspected request waits here for a trial or to be cleared. A
/// frequent request is cleared within about the duration of one run.
const MAX_HELD_FRACTION: f64 = 0.25;

/// Retry-After for a suspected request: about the duration of a trial.
const RETRY_AFTER_SUSPECTED: Span = Span::from_ms(1_000);

/// Interval between checks of a waiting request.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Time for which a request is held that came under suspicion while it waited: a few messages between
/// hosts.
const RECHECK_TIME: Span = Span::from_ms(150);

/// Interval between checks of a held request.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Trial of a request, which is sent once, with no other suspect in flight. Dropping it ends the
/// trial.
pub struct Trial {
    state: Arc<State>,
    /// Causes of the request that have not been cleared yet.
    causes: Mutex<Vec<Cause>>,
    is_interrupted: AtomicBool,
}

impl Trial {
    /// Records that requests with these causes succeed.
    pub(super) fn clear(&self, causes: &[Cause]) {
        let mut left = self.causes.lock();
        left.retain(|cause| !causes.contains(cause));
    }

    pub(super) fn mark_interrupted(&self) {
        self.is_interrupted.store(true, Ordering::Relaxed);
    }
}

impl std::fmt::Debug for Trial {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Trial({:?})", self.causes.lock())
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let causes = std::mem::take(&mut *self.causes.lock());
        if !causes.is_empty() {
            let is_interrupted = self.is_interrupted.load(Ordering::Relaxed);
            let report = Report::TrialEnded(causes, is_interrupted);
            self.state.quarantine.report(report);
        }
    }
}

/// Admits a request that is not suspected, or whose trial starts now.
pub async fn admit(state: &Arc<State>, peers: &Peers, call: &Call) -> Result<(), Rejection> {
    if state.quarantine.is_empty(state.now()) {
        return Ok(());
    }
    let causes = call.causes();
    let request = RequestId(rendezvous::hash(call.id.as_bytes()));
    let held_until = call.arrived + Span::from(call.route.target_latency) * MAX_HELD_FRACTION;
    loop {
        let now = state.now();
        let permit = match state.quarantine.status(&causes, now) {
            Status::Clear => return Ok(()),
            Status::Quarantined => Permit::Quarantined(QUARANTINE_DURATION),
            Status::Suspected => match peers.request_trial(&causes, request).await {
                Some(permit) => permit,
                // No host can become leader before the store is back, and innocent requests would
                // wait for as long.
                None if state.table.lock().view.contact.is_unreachable() => {
                    state.quarantine.decide(&causes, request, state.now())
                }
                None => Permit::Wait,
            },
        };
        match permit {
            Permit::Free => {
                // The leader knows more than this host has seen.
                state.quarantine.lift_suspects(&causes, now);
                return Ok(());
            }
            Permit::Trial => {
                begin_trial(state, call);
                return Ok(());
            }
            Permit::Quarantined(remaining) => return Err(quarantined(state, &causes, remaining)),
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
        causes: Mutex::new(call.causes()),
        is_interrupted: AtomicBool::new(false),
    };
    // A request is admitted only once.
    let _ = call.trial.set(trial);
}

/// Checks again, right before a request is sent, that it still may: its status may have changed
/// while it waited. What has come under suspicion since is mostly cleared within a moment by the
/// successes of other requests, so the request is held for [`RECHECK_TIME`].
pub async fn check(state: &State, call: &Call) -> Result<(), Rejection> {
    let held_until = state.now() + RECHECK_TIME;
    loop {
        let now = state.now();
        match status(state, call) {
            Status::Clear => return Ok(()),
            Status::Quarantined => {
                return Err(quarantined(state, &call.causes(), QUARANTINE_DURATION));
            }
            Status::Suspected if now >= held_until => return Err(suspected()),
            Status::Suspected => {
                let _ = timeout(RECHECK_INTERVAL, state.changed.notified()).await;
            }
        }
    }
}

/// Status of a request that is not on trial.
fn status(state: &State, call: &Call) -> Status {
    let now = state.now();
    match call.trial.get().is_some() || state.quarantine.is_empty(now) {
        true => Status::Clear,
        false => state.quarantine.status(&call.causes(), now),
    }
}

/// Whether a request that may have run may be sent again; [`check`] decides whether it is.
pub fn may_retry(state: &State, call: &Call) -> bool {
    call.trial.get().is_none() && status(state, call) != Status::Quarantined
}

/// Rejection of a quarantined request.
fn quarantined(state: &State, causes: &[Cause], remaining: Span) -> Rejection {
    let reason = state.quarantine.reason(causes, state.now());
    let reason = reason.unwrap_or_else(|| "the request or a segment of its prompt".into());
    let message = format!(
        "Each replica that began to run requests with {reason} has ended; they are not sent any more."
    );
    Rejection::not_run("kept_out", message, remaining)
}

/// Rejection of a suspected request while another trial is in progress.
fn suspected() -> Rejection {
    let message = "The request, or a segment of its prompt, was in flight where several replicas fell; it is tried alone, one at a time.";
    Rejection::not_run("suspected", message, RETRY_AFTER_SUSPECTED)
}
