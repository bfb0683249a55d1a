//! Rejection of a request that no send could answer.

use super::RETRY_AFTER_RANGE;
use crate::attempt::{Failure, History};
use crate::respond::Rejection;

/// Rejection by what was sent and by the last failure. `placement` is the rejection of the last placement, if that ended
/// the retries. It says that the request has not run only if no replica may have run it.
pub fn rejection(
    history: &History,
    last: &Failure,
    placement: Option<Rejection>,
    is_late: bool,
) -> Rejection {
    if history.has_run() {
        return match is_late || *last == Failure::TimedOut {
            true => Rejection::timed_out("The replica did not answer in time."),
            false => Rejection::lost("lost", format!("The answer could not be had ({last}).")),
        };
    }
    match last {
        Failure::RejectedByHost { rejection, .. } => placement.unwrap_or_else(|| rejection.clone()),
        Failure::Unauthorized(refusal) => refusal.rejection(),
        Failure::Quarantined(rejection) => rejection.clone(),
        _ => placement.unwrap_or_else(|| {
            let message = format!("No replica took the request ({last}).");
            Rejection::not_run("refused_by_replicas", message, RETRY_AFTER_RANGE.0)
        }),
    }
}
