//! Logs and metrics of where a request was sent and how it ended.

use super::is_event_stream;
use crate::attempt::Call;
use crate::respond::{Body, Rejection};
use crate::state::State;
use crate::table::Choice;
use hyper::Response;
use route::admission::{Forecast, Request, Standing};
use tracing::{info, warn};
use unit::Span;

/// Logs the first send of a request.
pub(super) fn sent(state: &State, call: &Call, choice: &Choice, waited: bool) {
    let missing_ms = choice.missing_for.map(Span::ms);
    if missing_ms.is_some() {
        let metrics = &state.log.metrics;
        metrics
            .counter("coveford_sent_to_missing_total", &[])
            .increment(1);
    }
    if let (Some(forecast), true) = (choice.pause, waited) {
        let reason = match forecast.streams > 0.0 {
            true => "streams",
            false => "queue",
        };
        let metrics = &state.log.metrics;
        metrics
            .counter("coveford_prompts_held_total", &[("reason", reason)])
            .increment(1);
    }
    let standing = call.standing.lock().as_str();
    let labels = [("standing", standing)];
    state
        .log
        .metrics
        .counter("coveford_sent_total", &labels)
        .increment(1);
    state.log.sampled(&call.id, || {
        let ms = state.now().since(call.arrived).ms();
        let pause_ms = choice.pause.map(|p| p.pause.ms());
        let harm_ms = choice.pause.map(|p| p.harm.ms());
        let room_ms = choice.pause.and_then(|p| p.room).map(Span::ms);
        let streams = choice.pause.map(|p| p.streams);
        info!(target: "request", event = "sent", id = &*call.id, route = &*call.route.name, model = call.metadata.model.as_deref(), adapter = call.metadata.adapter.as_deref(), resumes = call.metadata.resumes.as_deref(), last_event = call.metadata.last_event, replica = &*choice.replica, software = &*choice.software, candidates = choice.candidate_count, expected_ms = choice.ttft.ms(), paced = choice.fits_prefill_limit, waited, standing, ms, entry = choice.revision, missing_ms, pause_ms, harm_ms, room_ms, streams, "request sent to the replica with the lowest cost")
    });
}

/// Logs that a request waits here, in which standing and on what forecast.
pub(super) fn held(
    state: &State,
    call: &Call,
    standing: Standing,
    until: Span,
    forecast: &Forecast,
) {
    let labels = [("standing", standing.as_str())];
    state
        .log
        .metrics
        .counter("coveford_waits_total", &labels)
        .increment(1);
    state.log.sampled(&call.id, || {
        info!(target: "request", event = "held", id = &*call.id, route = &*call.route.name, model = call.metadata.model.as_deref(), standing = standing.as_str(), until_ms = until.ms(), expected_ms = forecast.ttft.ms(), behind_ms = forecast.ttft_behind.ms(), deferred_ms = forecast.deferred.ms(), utilization = forecast.utilization, "request waits for room")
    });
}

/// Logs the forecast on which a request is refused.
pub(super) fn refused_by_forecast(
    state: &State,
    call: &Call,
    request: &Request,
    forecast: &Forecast,
    room: Span,
) {
    state.log.rate_limited(|| {
        info!(target: "request", event = "no_room", id = &*call.id, model = call.metadata.model.as_deref(), limit_ms = request.limit.ms(), answer_ms = request.answer.ms(), behind_ms = forecast.ttft_behind.ms(), deferred_ms = forecast.deferred.ms(), utilization = forecast.utilization, may_hold = forecast.may_hold, room_ms = room.ms(), "no room is expected before the deadline")
    });
}

/// Records the answer of a replica. Event streams are recorded at their end.
pub(super) fn answered(state: &State, call: &Call, response: &Response<Body>) {
    let status = response.status().as_u16();
    let took = state.now().since(call.arrived);
    if is_event_stream(call, response) {
        return;
    }
    state.log.metrics.record_first_byte(&call.route.name, took);
    let outcome = match response.status().is_success() {
        true => "complete",
        false => "failed_by_replica",
    };
    state.log.metrics.record_outcome(&call.route.name, outcome);
    state.log.sampled(&call.id, || {
        info!(target: "request", event = "answered", id = &*call.id, route = &*call.route.name, status, ms = took.ms(), target_ms = Span::from(call.route.target_latency).ms(), "answer forwarded")
    });
}

/// Records a request that was rejected by this host.
pub(super) fn rejected(state: &State, call: &Call, rejection: &Rejection) {
    let ms = state.now().since(call.arrived).ms();
    state
        .log
        .metrics
        .record_outcome(&call.route.name, rejection.reason);
    let retry_after_ms = rejection.retry_after.map(|s| s.ms());
    let account = call.caller.account.as_ref().map(|a| &*a.name);
    state.log.rate_limited(|| {
        warn!(target: "request", event = "refused", id = &*call.id, route = &*call.route.name, model = call.metadata.model.as_deref(), adapter = call.metadata.adapter.as_deref(), account, status = rejection.status.as_u16(), reason = rejection.reason, retry_after_ms, ms, why = rejection.message, "request rejected")
    });
}
