//! Requests of a host that was told to stop: none is sent late in its grace period, and each is answered before its end.

use crate::attempt::Failure;
use crate::respond::Rejection;
use crate::state::State;
use std::future::Future;
use unit::{Span, Time};

/// Fraction of the grace period after which the process exits, before it is killed.
pub const EXIT_FRACTION: f64 = 0.95;

/// Fraction after which requests that replicas still work on are answered; the rest is for the answers' way.
const ANSWER_FRACTION: f64 = 0.92;

/// Fraction after which no request is sent to a replica any more: it would hardly be answered in time. Requests come that
/// late if their bodies do, or if they waited.
const SEND_FRACTION: f64 = 0.5;

/// Time after which a client may come back; other hosts take its request.
const RETRY_AFTER: Span = Span::from_ms(100);

/// Point in the grace period, if the host was told to stop.
fn point(state: &State, fraction: f64) -> Option<Time> {
    let grace = Span::from(state.settings.bounds.grace);
    state.stopped_at().map(|at| at + grace * fraction)
}

/// Whether a request may still be sent to a replica or to another host.
pub fn allows_sends(state: &State) -> bool {
    point(state, SEND_FRACTION).is_none_or(|last| state.now() < last)
}

/// Rejection of a request that comes too late to be sent.
pub fn rejection() -> Rejection {
    let message = "This host stops; other hosts take the request.";
    Rejection::not_run("stopping", message, RETRY_AFTER)
}

/// Result of a send, which counts as lost if there is none when the grace period is nearly over.
pub async fn bound<T>(
    state: &State,
    send: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    let ended = async {
        state.drain_started().await;
        let end = point(state, ANSWER_FRACTION).unwrap_or_default();
        state.clock.sleep_until(end).await;
    };
    tokio::select! {
        result = send => result,
        () = ended => Err(Failure::Lost("this host stops".into())),
    }
}
