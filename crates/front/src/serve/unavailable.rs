//! Requests that no replica can take now: how long each may wait, and how it is rejected after
//! that.

use super::{RETRY_AFTER_DEFAULT, RETRY_AFTER_RANGE, resumption};
use crate::attempt::Call;
use crate::detour;
use crate::message::{AdapterRequest, ModelRequest, replica_hash};
use crate::rate_limit::{self, WaitGuard};
use crate::respond::Rejection;
use crate::state::{PlacementRequest, State};
use crate::table::{Saturation, Unplaceable, Witnesses};
use std::sync::Arc;
use unit::{Name, Span, Time};

/// `Retry-After` while an adapter is not loaded.
const RETRY_AFTER_NO_ADAPTER: Span = Span::from_ms(300);

/// Reason of a rejection because replicas cannot be reached.
pub const UNREACHABLE: &str = "unreachable";

/// `Retry-After` while replicas are unreachable: about the time of a restart.
const RETRY_AFTER_UNREACHABLE: Span = Span::from_ms(800);

/// Time for the leader to answer a request for a model that no replica holds: a few round trips between hosts, and one
/// plan.
const LEADER_RESPONSE_TIME: Span = Span::from_ms(60);

/// Time from the end of a load until all hosts know of the copy.
const PROPAGATION_TIME: Span = Span::from_ms(300);

/// Fraction of the target for which a request may wait for capacity; the rest is left for prefill.
const CAPACITY_WAIT_FRACTION: f64 = 0.5;

/// Random part of `Retry-After`, as a fraction of it, so that clients do not return at the same
/// time.
const JITTER_FRACTION: f64 = 0.25;

/// Least range of the random part: one step of the ramp-up after a backoff.
const MIN_JITTER: Span = Span::from_ms(300);

/// Fraction of the target within which a model must be loaded for the request to wait for it.
const MODEL_WAIT_FRACTION: f64 = 0.8;

/// Deadline and rejection of a request whose replicas have no capacity. A request that would not
/// get a unit in time does not wait.
pub(super) fn saturated(
    state: &Arc<State>,
    call: &Call,
    saturation: &Saturation,
    waiter: &mut Option<WaitGuard>,
    now: Time,
) -> (Time, Rejection) {
    let deadline = call.arrived + Span::from(call.route.target_latency) * CAPACITY_WAIT_FRACTION;
    if waiter.is_none() && now + saturation.wait > deadline {
        return (now, saturated_rejection(call, saturation));
    }
    // No other replica may hold the adapter.
    request_adapter(state, call, true);
    waiter.get_or_insert_with(|| rate_limit::register_waiter(state, &saturation.replica));
    (deadline, saturated_rejection(call, saturation))
}

/// Rejection of a request whose replicas have no capacity.
fn saturated_rejection(call: &Call, saturation: &Saturation) -> Rejection {
    let wait = saturation.wait.max(RETRY_AFTER_RANGE.0);
    let range = (wait * JITTER_FRACTION).max(MIN_JITTER);
    let wait = wait + range * fraction(&call.id);
    match saturation.is_backing_off {
        true => {
            let message = "The replicas that could take the request take none from this host now.";
            Rejection::not_run("resting", message, wait)
        }
        false => {
            let message = "The replicas that could take the request are in need, and take no more of them now.";
            Rejection::not_run("limited", message, wait)
        }
    }
}

/// Maps an identity to a number from 0 to 1.
pub(super) fn fraction(id: &str) -> f64 {
    unit::rendezvous::hash(id.as_bytes()) as f64 / u64::MAX as f64
}

/// Deadline and rejection of a request that no replica can take.
pub(super) fn unplaceable(
    state: &State,
    call: &Call,
    reason: Unplaceable,
    retry_deadline: Time,
    now: Time,
) -> (Time, Rejection) {
    let target = Span::from(call.route.target_latency);
    match reason {
        Unplaceable::OtherSoftware => {
            resumption::count_failure(state, "no_replica");
            let message = "No replica runs the software version that began the stream.";
            let rejection = Rejection::not_run("other_software", message, RETRY_AFTER_DEFAULT);
            (now, rejection)
        }
        Unplaceable::NoModel(_) if call.software().is_some() => {
            resumption::count_failure(state, "no_model");
            let message =
                "No replica of the software version that began the stream holds the model.";
            let rejection = Rejection::not_run("no_model", message, RETRY_AFTER_DEFAULT);
            (now, rejection)
        }
        Unplaceable::NoModel(Some(eta))
            if now.since(call.arrived) + eta < target * MODEL_WAIT_FRACTION =>
        {
            let deadline = call.arrived + target * MODEL_WAIT_FRACTION;
            let message = "The model is being loaded.";
            (deadline, Rejection::not_run("model_loading", message, eta))
        }
        Unplaceable::NoModel(eta) => {
            let deadline = match eta {
                Some(_) => now,
                None => {
                    request_model(state, call);
                    call.arrived + LEADER_RESPONSE_TIME
                }
            };
            let wait = eta.map_or(RETRY_AFTER_DEFAULT, |c| c + PROPAGATION_TIME);
            let message = "No replica holds the model at the moment.";
            let wait = wait.max(RETRY_AFTER_RANGE.0);
            (deadline, Rejection::not_run("no_model", message, wait))
        }
        Unplaceable::NoAdapter => {
            request_adapter(state, call, false);
            let message = "The adapter is on no replica yet.";
            let rejection = Rejection::not_run("no_adapter", message, RETRY_AFTER_NO_ADAPTER);
            (retry_deadline, rejection)
        }
        Unplaceable::Unreachable(witnesses) => {
            let Witnesses { own, confirmed } = witnesses;
            let message = format!(
                "The replicas that could take the request cannot be reached ({own} by this host alone, {confirmed} by others too)."
            );
            let rejection = Rejection::not_run(UNREACHABLE, message, RETRY_AFTER_UNREACHABLE);
            // Another host may reach what only this one does not.
            let is_final =
                call.passed_on_by.is_some() || own > 0 && detour::is_possible(state, call);
            let deadline = if is_final { now } else { retry_deadline };
            (deadline, rejection)
        }
        Unplaceable::Saturated(saturation) => (now, saturated_rejection(call, &saturation)),
        Unplaceable::Leaving => {
            let message = "All replicas of the service leave, or cannot be used.";
            (
                now,
                Rejection::not_run("leaving", message, RETRY_AFTER_DEFAULT),
            )
        }
        Unplaceable::NoReplica => {
            let message = "No replica of the service is there.";
            (
                now,
                Rejection::not_run("no_replica", message, RETRY_AFTER_DEFAULT),
            )
        }
    }
}

/// Asks the leader to load the adapter of a request; `additional` if replicas hold it but are busy.
pub(super) fn request_adapter(state: &State, call: &Call, additional: bool) {
    request_adapter_beside(state, call, additional, &[]);
}

/// Asks the leader to load the adapter of a request at a replica that is not `excluded`.
pub fn request_adapter_beside(state: &State, call: &Call, additional: bool, excluded: &[Name]) {
    if let (Some(model), Some(adapter)) = (&call.metadata.model, &call.metadata.adapter) {
        // The receiver lives as long as the daemon.
        let _ = state
            .placement_requests
            .send(PlacementRequest::Adapter(AdapterRequest {
                service: call.service.clone(),
                model: model.clone(),
                adapter: adapter.clone(),
                additional,
                software: call.software().cloned(),
                excluded: excluded.iter().map(|id| replica_hash(id)).collect(),
            }));
    }
}

/// Tells the leader that no replica holds the model of a request, without waiting for the next
/// report.
fn request_model(state: &State, call: &Call) {
    if let Some(model) = &call.metadata.model {
        // The receiver lives as long as the daemon.
        let _ = state
            .placement_requests
            .send(PlacementRequest::Model(ModelRequest {
                service: call.service.clone(),
                model: model.clone(),
            }));
    }
}
