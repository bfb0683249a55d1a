//! Telling, in logs and metrics, where a request went and how it ended.

use super::is_events;
use crate::attempt::Call;
use crate::respond::{Body, Rejection};
use crate::state::State;
use crate::table::Choice;
use hyper::Response;
use tracing::{info, warn};
use unit::Span;

/// Tells that a request is sent to a replica, and whether it waited for its turn.
pub(super) fn sent(state: &State, call: &Call, choice: &Choice, waited: bool) {
    let missing_ms = choice.missing.map(Span::ms);
    if missing_ms.is_some() {
        let metrics = &state.log.metrics;
        metrics
            .counter("coveford_sent_to_missing_total", &[])
            .increment(1);
    }
    state.log.sampled(&call.id, || {
        let ms = state.now().since(call.arrived).ms();
        info!(target: "request", event = "sent", id = &*call.id, route = &*call.route.name, model = call.ask.model.as_deref(), adapter = call.ask.adapter.as_deref(), replica = &*choice.replica, candidates = choice.candidates, expected_ms = choice.first_token.ms(), paced = choice.paced, waited, ms, entry = choice.revision, missing_ms, "sent to the replica with the least expected time")
    });
}

/// Tells of the answer of a replica, unless it is a stream: that is told of at its end.
pub(super) fn answered(state: &State, call: &Call, response: &Response<Body>) {
    let status = response.status().as_u16();
    let took = state.now().since(call.arrived);
    if is_events(call, response) {
        return;
    }
    state.log.metrics.record_first_byte(&call.route.name, took);
    let outcome = match response.status().is_success() {
        true => "complete",
        false => "failed_by_replica",
    };
    state.log.metrics.record_outcome(&call.route.name, outcome);
    state.log.sampled(&call.id, || {
        info!(target: "request", event = "answered", id = &*call.id, route = &*call.route.name, status, ms = took.ms(), target_ms = Span::from(call.route.target).ms(), "the replica's answer was passed on")
    });
}

/// Tells of a request that coveford answers itself.
pub(super) fn failed(state: &State, call: &Call, fault: &Rejection) {
    let ms = state.now().since(call.arrived).ms();
    state
        .log
        .metrics
        .record_outcome(&call.route.name, fault.reason);
    let retry_after_ms = fault.retry_after.map(|s| s.ms());
    let account = call.caller.account.as_ref().map(|a| &*a.name);
    state.log.rate_limited(|| {
        warn!(target: "request", event = "refused", id = &*call.id, route = &*call.route.name, model = call.ask.model.as_deref(), adapter = call.ask.adapter.as_deref(), account, status = fault.status.as_u16(), reason = fault.reason, retry_after_ms, ms, why = fault.message, "the request is given up")
    });
}
