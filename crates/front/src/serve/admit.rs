//! Admission: choosing a replica for a request, queueing it, or refusing it.

use super::dispatched;
use super::room::{self, Refusal};
use super::unavailable::{request_adapter, saturated, unplaceable};
use super::{Context, RETRY_AFTER_RANGE, report};
use crate::attempt::{Call, Reservation};
use crate::dispatch::Place;
use crate::grant::Grant;
use crate::queue::Placement;
use crate::rate_limit::{self, WaitGuard};
use crate::respond::Rejection;
use crate::state::State;
use crate::table::{Choice, Unplaceable};
use route::admission::Standing;
use route::batch;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;
use unit::{Name, Span, Time};

/// Expected time to first token, as a multiple of the target, above which a request is refused.
const MAX_TTFT_FACTOR: f64 = 1.2;

/// Fraction of the target for which a request may wait for an adapter or an unreachable replica.
const RETRY_WAIT_FRACTION: f64 = 0.25;

/// Fraction of the target that queueing and prefill may take together.
const QUEUE_WAIT_FRACTION: f64 = 0.8;

/// Priority from which a request is refused rather than sent to a replica whose prefill limit is
/// exceeded. Each stream that runs there, some forty in a full batch, would pause too long. More
/// urgent requests are sent all the same: below this priority, requests would be refused that can be
/// served.
const YIELDING_PRIORITY: u8 = 2;

/// Interval at which a waiting request retries the choice without a change of the table.
const POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Utilization of a service below which no request is refused as overloaded.
const BUSY_UTILIZATION: f64 = 0.5;

/// Placement of one send.
pub(super) struct Admission {
    pub(super) choice: Choice,
    pub(super) reservation: Reservation,
    /// Unit of the replica's rate limit, if it has one.
    pub(super) grant: Option<Grant>,
}

/// Replica found for a request.
pub(super) struct Selection {
    choice: Choice,
    /// Reservation, if the request was queued.
    reservation: Option<Reservation>,
    /// Whether the request was queued.
    waited: bool,
    /// Place that the dispatcher gave out, if it was asked.
    place: Option<Place>,
}

impl Selection {
    fn immediate(choice: Choice) -> Selection {
        Selection::without_reservation(choice, false)
    }

    pub(super) fn without_reservation(choice: Choice, waited: bool) -> Selection {
        Selection {
            choice,
            reservation: None,
            waited,
            place: None,
        }
    }

    /// Selection of a request that was queued.
    pub(super) fn reserved((choice, reservation): Placement) -> Selection {
        Selection {
            choice,
            reservation: Some(reservation),
            waited: true,
            place: None,
        }
    }
}

/// Chooses a replica and claims a unit of its rate limit, if it has one. A replica whose limit is
/// exhausted is not chosen again until a unit may be available.
pub(super) async fn place(
    context: &Context,
    call: &Arc<Call>,
    excluded: &[Name],
    attempt: usize,
) -> Result<Admission, Rejection> {
    let state = &context.state;
    let mut waiter = None;
    loop {
        let selection = find(context, call, excluded, attempt, &mut waiter).await?;
        let criteria = call.criteria(excluded);
        let Ok(grant) =
            rate_limit::admit(state, &context.peers, &criteria, &selection.choice).await
        else {
            // Denials without a message to the leader complete at once: let other tasks run.
            tokio::task::yield_now().await;
            continue;
        };
        let Selection {
            choice,
            reservation,
            waited,
            mut place,
        } = selection;
        if place.is_none() {
            place = match dispatched::claim(state, &context.peers, call, &choice).await {
                Ok(place) => place,
                Err(dispatched::Full) => {
                    if let Some(grant) = grant {
                        grant.refund(state).await;
                    }
                    tokio::task::yield_now().await;
                    continue;
                }
            };
        }
        if attempt == 0 {
            report::sent(state, call, &choice, waited);
        }
        let mut reservation =
            reservation.unwrap_or_else(|| Reservation::open(state, call, &choice));
        reservation.place = place.or_else(|| dispatched::record_alone(state, call, &choice));
        return Ok(Admission {
            choice,
            reservation,
            grant,
        });
    }
}

/// Finds a replica; waits for an adapter, a model that is being loaded, or a replica without
/// capacity.
async fn find(
    context: &Context,
    call: &Arc<Call>,
    excluded: &[Name],
    attempt: usize,
    waiter: &mut Option<WaitGuard>,
) -> Result<Selection, Rejection> {
    let state = &context.state;
    let retry_deadline = call.arrived + Span::from(call.route.target_latency) * RETRY_WAIT_FRACTION;
    // An earlier placement may have left it as late or patient.
    *call.standing.lock() = Standing::Timely;
    loop {
        if let Some((choice, place)) = dispatched::find(context, call, excluded).await? {
            let place = Some(place);
            return Ok(Selection {
                place,
                ..Selection::immediate(choice)
            });
        }
        let now = state.now();
        let criteria = call.criteria(excluded);
        let chosen = state.table.lock().choose(&criteria, now);
        let (deadline, rejection) = match chosen {
            Ok(choice) if attempt > 0 => return Ok(Selection::immediate(choice)),
            Ok(choice) => {
                if choice.adapter_replicas_busy {
                    request_adapter(state, call, true);
                }
                if !has_waiting_room(state, call) {
                    return admit(context, call, choice).await;
                }
                match room::admit(context, call, choice).await {
                    Ok(selection) => return Ok(selection),
                    Err(Refusal::Rejected(rejection)) => return Err(rejection),
                    Err(Refusal::Unplaceable(reason)) => {
                        room::unplaceable(state, call, reason, state.now())
                    }
                }
            }
            Err(Unplaceable::Saturated(saturation)) => {
                saturated(state, call, &saturation, waiter, now)
            }
            Err(reason) if has_waiting_room(state, call) => {
                room::unplaceable(state, call, reason, now)
            }
            Err(reason) => unplaceable(state, call, reason, retry_deadline, now),
        };
        let now = state.now();
        // A draining host does not wait.
        if now >= deadline.min(call.deadline) || state.is_draining() {
            return Err(rejection);
        }
        let pause = deadline.since(now).std().min(POLL_INTERVAL);
        let _ = timeout(pause, state.changed.notified()).await;
    }
}

fn has_waiting_room(state: &State, call: &Call) -> bool {
    let features = state.table.lock().features(&call.service);
    features.waiting_room
}

/// Admits a request at once or from its queue, or refuses it if it cannot meet its target.
async fn admit(
    context: &Context,
    call: &Arc<Call>,
    choice: Choice,
) -> Result<Selection, Rejection> {
    let state = &context.state;
    let now = state.now();
    let target = Span::from(call.route.target_latency);
    let expected = now.since(call.arrived) + choice.ttft;
    let is_queued = context.queues.lock().has_waiters(call);
    if choice.fits_prefill_limit && !is_queued {
        return Ok(Selection::immediate(choice));
    }
    let (utilization, model_eta) = {
        let table = state.table.lock();
        let model = call.metadata.model.as_ref();
        let model_eta = model.and_then(|m| table.model_eta(m, now));
        (table.utilization(&call.first_criteria(), now), model_eta)
    };
    if expected > target * MAX_TTFT_FACTOR
        && (utilization >= BUSY_UTILIZATION || !choice.has_free_slot)
    {
        return Err(overloaded(expected, target, model_eta));
    }
    let deadline = call.arrived + (target * QUEUE_WAIT_FRACTION).saturating_sub(choice.ttft);
    let caller = call.route.name.clone();
    if let Some(placement) = wait_for_turn(context, call, caller, deadline, now).await {
        return Ok(Selection::reserved(placement));
    }
    // The table may have changed during the wait: choose again.
    let now = state.now();
    let chosen = state.table.lock().choose(&call.first_criteria(), now);
    match chosen {
        Ok(choice) if choice.exceeds_prefill_limit && call.priority >= YIELDING_PRIORITY => {
            let expected = now.since(call.arrived) + choice.ttft;
            Err(overloaded(expected, target, model_eta))
        }
        Ok(choice) => Ok(Selection::immediate(choice)),
        Err(reason) => Err(unplaceable(state, call, reason, now, now).1),
    }
}

/// Queues a request among those of `caller`; `None` if it was not placed by `deadline`.
pub(super) async fn wait_for_turn(
    context: &Context,
    call: &Arc<Call>,
    caller: Name,
    deadline: Time,
    now: Time,
) -> Option<Placement> {
    if deadline <= now {
        return None;
    }
    let state = &context.state;
    let placement = context.queues.lock().push(call, caller, deadline, now);
    tokio::select! {
        placement = state.clock.timeout_at(deadline, placement) => placement.ok().and_then(Result::ok),
        _ = state.drain_started() => None,
    }
}

/// Rejection of a request that would wait too long for its first token.
fn overloaded(expected: Span, target: Span, model_eta: Option<Span>) -> Rejection {
    let wait = batch::retry_after(expected, target, model_eta);
    let wait = wait.max(RETRY_AFTER_RANGE.0).min(RETRY_AFTER_RANGE.1);
    let message = format!("The request would wait {expected} for its first token.");
    Rejection::not_run("overloaded", message, wait)
}
