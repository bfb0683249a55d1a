//! Admission to models by a forecast (see [`route::admission`]): requests that replicas cannot take
//! at once wait here, and late and patient ones give way to the rest.

use super::admit::{Selection, wait_for_turn};
use super::{Context, RETRY_AFTER_RANGE, report, unavailable};
use crate::attempt::Call;
use crate::respond::Rejection;
use crate::state::State;
use crate::table::{Choice, Unplaceable};
use route::admission::{self, Decision, Forecast, Request, Standing};
use std::sync::Arc;
use unit::{Name, Span, Time};

/// Why a request got no place.
pub(super) enum Refusal {
    /// It was refused.
    Rejected(Rejection),
    /// No replica can take it any more.
    Unplaceable(Unplaceable),
}

/// Admits a request at once or after a wait, or refuses it. `choice` is the best replica for a
/// timely request.
pub(super) async fn admit(
    context: &Context,
    call: &Arc<Call>,
    mut choice: Choice,
) -> Result<Selection, Refusal> {
    let state = &context.state;
    let exceeds_share = *call
        .exceeds_share
        .get_or_init(|| record_arrival(context, call));
    let mut waited = false;
    loop {
        let now = state.now();
        let request = request(state, call, &choice.replica, exceeds_share, now);
        let behind = choose_behind(state, call, &request, &choice, now);
        let forecast = forecast(context, call, &choice, behind.as_ref(), now);
        let decision = admission::decide(&request, &forecast);
        let ended_early = match decision {
            Decision::Send(standing) => {
                *call.standing.lock() = standing;
                let behind = behind.filter(|_| standing != Standing::Timely);
                return Ok(Selection::without_reservation(
                    behind.unwrap_or(choice),
                    waited,
                ));
            }
            Decision::Refuse(room) => {
                report::refused_by_forecast(state, call, &request, &forecast, room);
                return Err(Refusal::Rejected(overloaded(call, &forecast, room, now)));
            }
            Decision::Wait(standing, until) => {
                report::held(state, call, standing, until, &forecast);
                *call.standing.lock() = standing;
                let until = call.arrived + until;
                let caller = call.sharer().clone();
                if let Some(placement) = wait_for_turn(context, call, caller, until, now).await {
                    return Ok(Selection::reserved(placement));
                }
                waited = true;
                state.now() < until
            }
        };
        *call.standing.lock() = Standing::Timely;
        let now = state.now();
        let chosen = state.table.lock().choose(&call.first_criteria(), now);
        choice = chosen.map_err(Refusal::Unplaceable)?;
        // A wait that ended early was shed from a full queue: another one would be, too.
        if ended_early || state.is_draining() {
            return Ok(Selection::without_reservation(choice, waited));
        }
    }
}

/// Deadline and rejection of a request that no replica can take. It is held while a copy of its model
/// is being loaded that will serve it before its caller gives up, and otherwise refused at once.
pub(super) fn unplaceable(
    state: &State,
    call: &Call,
    reason: Unplaceable,
    now: Time,
) -> (Time, Rejection) {
    let is_unreachable = matches!(reason, Unplaceable::Unreachable(_));
    let needs_copy = matches!(
        reason,
        Unplaceable::Unreachable(_) | Unplaceable::NoModel(_)
    );
    let model = call.metadata.model.as_ref().filter(|_| needs_copy);
    let eta = model.and_then(|m| state.table.lock().announced_model_eta(m, now));
    let request = request(state, call, "", false, now);
    let (ready, last) = match eta {
        Some(eta) => (
            now + eta,
            admission::hold_limit(&request, prefill(state, call)),
        ),
        None => (now, Span::ZERO),
    };
    let last = call.arrived + last;
    let retry_deadline = call.arrived + request.target * admission::REFUSAL_FRACTION;
    let (deadline, rejection) = unavailable::unplaceable(state, call, reason, retry_deadline, now);
    match eta {
        Some(_) if ready <= last => (last, rejection),
        None if !is_unreachable => (deadline, rejection),
        _ => (now, rejection),
    }
}

/// Time to read the prompt of a request.
fn prefill(state: &State, call: &Call) -> Span {
    let Some(model) = &call.metadata.model else {
        return Span::ZERO;
    };
    let speed = state.table.lock().pace(&call.service, model).0;
    Span::from_secs_f64(call.metadata.prompt_tokens as f64 / speed / 1e3)
}

/// Counts a request among those of its caller; returns whether it has exceeded its share.
fn record_arrival(context: &Context, call: &Call) -> bool {
    if call.caller.account.is_none() {
        return false;
    }
    let now = context.state.now();
    let mut queues = context.queues.lock();
    let surges = queues.surges(&call.service, now);
    surges.record(call.sharer(), now);
    surges.exceeds(call.sharer(), now)
}

/// What the forecast is compared with, for a request to `replica`.
fn request(state: &State, call: &Call, replica: &str, exceeds_share: bool, now: Time) -> Request {
    let model = call.metadata.model.as_ref();
    let answer = model.map_or(Span::ZERO, |m| answer_time(state, call, replica, m));
    let limit = call.deadline.since(call.arrived);
    let max_silence = call.route.max_silence().map(Span::from);
    Request {
        age: now.since(call.arrived),
        target: call.route.target_latency.into(),
        limit,
        first_token_limit: max_silence.map_or(limit, |silence| silence.min(limit)),
        answer,
        exceeds_share,
    }
}

/// Expected time from the first token of a request to its last: that of the model's answers, or less
/// if the request asks for few tokens.
fn answer_time(state: &State, call: &Call, replica: &str, model: &Name) -> Span {
    let speed = state.table.lock().speed(replica, &call.service, model);
    let metadata = &call.metadata;
    let tokens = metadata.output_hint.unwrap_or(metadata.max_output_tokens);
    match tokens {
        0 => speed.decode,
        tokens => speed.decode.min(speed.step * tokens as f64),
    }
}

/// Best replica for a request that gives way to the rest, if it may have to and there is one: a less urgent request may
/// find the rate limits of all replicas used up.
fn choose_behind(
    state: &State,
    call: &Call,
    request: &Request,
    choice: &Choice,
    now: Time,
) -> Option<Choice> {
    let standing = admission::yielding_standing(request, choice.ttft)?;
    *call.standing.lock() = standing;
    let chosen = state.table.lock().choose(&call.first_criteria(), now);
    *call.standing.lock() = Standing::Timely;
    chosen.ok()
}

fn forecast(
    context: &Context,
    call: &Call,
    choice: &Choice,
    behind: Option<&Choice>,
    now: Time,
) -> Forecast {
    let state = &context.state;
    let (has_waiters, late_tokens, held) = {
        let queues = context.queues.lock();
        let late_tokens = behind.map_or(0, |_| queues.late_tokens(call));
        let held = behind.map(|_| queues.held()).unwrap_or_default();
        (queues.has_waiters(call), late_tokens, held)
    };
    let table = state.table.lock();
    let model = call.metadata.model.as_ref();
    let speed = model.map_or(f64::INFINITY, |m| table.pace(&call.service, m).0);
    // Other hosts are taken to hold as much as this one.
    let late_ms = late_tokens as f64 / speed * table.host_count as f64;
    let behind_or_choice = behind.unwrap_or(choice);
    Forecast {
        ttft: choice.ttft,
        ttft_behind: behind_or_choice.ttft,
        deferred: Span::from_secs_f64(late_ms / 1e3 / choice.candidate_count.max(1) as f64),
        fits: choice.fits_prefill_limit,
        has_waiters,
        has_no_backlog: behind_or_choice.fits_prefill_limit,
        has_free_slot: choice.has_free_slot,
        utilization: table.utilization(&call.first_criteria(), now),
        copy_in: model.and_then(|m| table.model_eta(m, now)),
        may_hold: held.has_room(state.settings.limits.memory_mb),
    }
}

/// Rejection of a request that cannot be served before its deadline.
fn overloaded(call: &Call, forecast: &Forecast, room: Span, now: Time) -> Rejection {
    let remaining = call.remaining(now).into();
    let fraction = unavailable::fraction(&call.id);
    let wait = admission::return_after(room, remaining, call.priority, fraction);
    let message = format!(
        "The request would wait {} for its first token.",
        forecast.ttft_behind
    );
    Rejection::not_run("overloaded", message, wait.max(RETRY_AFTER_RANGE.0))
}
