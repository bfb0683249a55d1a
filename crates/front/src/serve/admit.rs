//! Admission: choosing a replica for a request, letting it wait for its turn, or refusing it.

use super::unavailable::{absent, full, want_adapter};
use super::{Context, RETURN_RANGE, report};
use crate::attempt::{Call, Reservation};
use crate::grant::Grant;
use crate::queue::Placement;
use crate::rate_limit::{self, Waiter};
use crate::respond::Rejection;
use crate::table::{Choice, Unplaceable};
use route::batch;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;
use unit::{Name, Span, Time};

/// Expected time to the first token, as a part of its target, beyond which a request is refused.
const REFUSED_BEYOND: f64 = 1.2;

/// Part of its target for which a request may wait here for its model or adapter.
const HELD_PART: f64 = 0.25;

/// Part of the target that a request may spend waiting here and in reading its prompt.
const WAITING_PART: f64 = 0.8;

/// Priority from which a request gives way: it is not sent where what is to be read already holds up
/// the streams that run for as long as it may. Every one of them then pauses too long, some forty of a
/// full batch; a more urgent request is sent all the same. Measured: from 1 on, requests are refused
/// that would have been served.
const GIVES_WAY: u8 = 2;

/// Time between two looks at the table while a request waits.
const LOOK: Duration = Duration::from_millis(60);

/// Part of the places of a service below which nothing is refused.
const PLACES_FREE: f64 = 0.5;

/// Where a request goes.
pub(super) struct Placed {
    pub(super) choice: Choice,
    pub(super) place: Reservation,
    /// Its part of the replica's limit, if that has named one.
    pub(super) grant: Option<Grant>,
}

/// Replica that was found for a request.
struct Found {
    choice: Choice,
    /// The request's place there, where it got that with its turn.
    place: Option<Reservation>,
    /// Whether it waited for its turn.
    waited: bool,
}

impl Found {
    fn at_once(choice: Choice) -> Found {
        Found {
            choice,
            place: None,
            waited: false,
        }
    }
}

/// Chooses a replica, and gets a part of its limit where it has named one; a replica that has no room for the request
/// is not chosen again until it may have.
pub(super) async fn place(
    entry: &Context,
    call: &Arc<Call>,
    avoid: &[Name],
    sending: usize,
) -> Result<Placed, Rejection> {
    let state = &entry.state;
    let mut held = None;
    loop {
        let found = find(entry, call, avoid, sending, &mut held).await?;
        let want = call.criteria(avoid);
        let Ok(grant) = rate_limit::admit(state, &entry.peers, &want, &found.choice).await else {
            // Not even this host's own word may keep others from their turn.
            tokio::task::yield_now().await;
            continue;
        };
        let Found {
            choice,
            place,
            waited,
        } = found;
        if sending == 0 {
            report::sent(state, call, &choice, waited);
        }
        let place = place.unwrap_or_else(|| Reservation::take(state, call, &choice));
        return Ok(Placed {
            choice,
            place,
            grant,
        });
    }
}

/// Finds a replica; waits shortly for a model or an adapter that is on its way, or for room at replicas in need.
async fn find(
    entry: &Context,
    call: &Arc<Call>,
    avoid: &[Name],
    sending: usize,
    held: &mut Option<Waiter>,
) -> Result<Found, Rejection> {
    let state = &entry.state;
    let held_until = call.arrived + Span::from(call.route.target) * HELD_PART;
    loop {
        let now = state.now();
        let want = call.criteria(avoid);
        let chosen = state.table.lock().choose(&want, now);
        let (until, fault) = match chosen {
            Ok(choice) if sending > 0 => return Ok(Found::at_once(choice)),
            Ok(choice) => {
                if choice.crowded {
                    want_adapter(state, call, true);
                }
                return admit(entry, call, choice).await;
            }
            Err(Unplaceable::Saturated(at)) => full(state, call, &at, held, now),
            Err(nowhere) => absent(state, call, nowhere, held_until, now),
        };
        // A host that stops has no time for requests that only wait.
        if now >= until.min(call.deadline) || state.is_draining() {
            return Err(fault);
        }
        let left = until.since(now).std().min(LOOK);
        let _ = timeout(left, state.changed.notified()).await;
    }
}

/// Admits a request where it can meet its target: at once, or when its turn comes. Refuses it at
/// once where it cannot.
async fn admit(entry: &Context, call: &Arc<Call>, choice: Choice) -> Result<Found, Rejection> {
    let state = &entry.state;
    let now = state.now();
    let target = Span::from(call.route.target);
    let expected = now.since(call.arrived) + choice.first_token;
    let others_wait = entry.queues.lock().is_waited_for(call);
    if choice.paced && !others_wait {
        return Ok(Found::at_once(choice));
    }
    let (taken, coming) = {
        let table = state.table.lock();
        let model = call.ask.model.as_ref();
        let coming = model.and_then(|m| table.model_eta(m, now));
        (table.utilization(&call.criteria(&[]), now), coming)
    };
    if expected > target * REFUSED_BEYOND && (taken >= PLACES_FREE || !choice.free) {
        return Err(overloaded(expected, target, coming));
    }
    let until = call.arrived + (target * WAITING_PART).saturating_sub(choice.first_token);
    if let Some((choice, place)) = turn(entry, call, until, now).await {
        return Ok(Found {
            choice,
            place: Some(place),
            waited: true,
        });
    }
    // Much may have changed in the wait: the first choice may have left.
    let now = state.now();
    let again = state.table.lock().choose(&call.criteria(&[]), now);
    match again {
        Ok(choice) if choice.held_up && call.priority >= GIVES_WAY => {
            let expected = now.since(call.arrived) + choice.first_token;
            Err(overloaded(expected, target, coming))
        }
        Ok(choice) => Ok(Found::at_once(choice)),
        Err(nowhere) => Err(absent(state, call, nowhere, now, now).1),
    }
}

/// Waits for the turn of a request; none when it did not come by `until`.
async fn turn(entry: &Context, call: &Arc<Call>, until: Time, now: Time) -> Option<Placement> {
    if until <= now {
        return None;
    }
    let state = &entry.state;
    let turn = entry.queues.lock().push(call, until, now);
    tokio::select! {
        turn = state.clock.timeout_at(until, turn) => turn.ok().and_then(Result::ok),
        _ = state.drain_started() => None,
    }
}

/// Answer to a request that would wait too long for its first token.
fn overloaded(expected: Span, target: Span, coming: Option<Span>) -> Rejection {
    let wait = batch::retry_after(expected, target, coming);
    let wait = wait.max(RETURN_RANGE.0).min(RETURN_RANGE.1);
    let message = format!("The request would wait {expected} for its first token.");
    Rejection::not_run("overloaded", message, wait)
}
