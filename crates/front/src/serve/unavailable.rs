//! What a request lacks that no replica can take now: until when it may wait for that here, and what it is told
//! otherwise.

use super::{RETURN_LATER, RETURN_RANGE};
use crate::attempt::Call;
use crate::message::{AdapterRequest, ModelRequest};
use crate::rate_limit::{self, Waiter};
use crate::respond::Rejection;
use crate::state::{PlacementRequest, State};
use crate::table::{Saturated, Unplaceable};
use std::sync::Arc;
use unit::{Span, Time};

/// When a client may come back whose adapter had no room yet.
const RETURN_FOR_ADAPTER: Span = Span::from_ms(300);

/// When a client may come back whose replicas could not be reached: about a restart's time.
const RETURN_UNREACHABLE: Span = Span::from_ms(800);

/// Time within which the leader answers when a model that is on no replica is there, if it can come: a
/// few ways between hosts and one plan.
const LEADER_ANSWERS: Span = Span::from_ms(60);

/// Time from a copy's arrival until all hosts know of it: a round of sums.
const TOLD_WITHIN: Span = Span::from_ms(300);

/// Part of its target for which a request may wait until a replica in need or at rest has room: the remainder is for reading
/// its prompt.
const FULL_PART: f64 = 0.5;

/// Part of the time after which a client may come back by which the times of clients differ, so that they don't all return in
/// one moment.
const SPREAD_PART: f64 = 0.25;

/// Least time by which they differ: a step of the return to a replica that rested.
const LEAST_SPREAD: Span = Span::from_ms(300);

/// Part of the target within which a model must come for the request to wait for it.
const COMING_PART: f64 = 0.8;

/// Until when a request may wait for room at replicas in need or at rest, and what it is told then. One that would not have its
/// turn in time does not wait at all.
pub(super) fn full(
    state: &Arc<State>,
    call: &Call,
    at: &Saturated,
    held: &mut Option<Waiter>,
    now: Time,
) -> (Time, Rejection) {
    let until = call.arrived + Span::from(call.route.target) * FULL_PART;
    if held.is_none() && now + at.turn > until {
        return (now, has_no_room(call, at));
    }
    // Its adapter may be on no other replica.
    want_adapter(state, call, true);
    held.get_or_insert_with(|| rate_limit::register_waiter(state, &at.replica));
    (until, has_no_room(call, at))
}

/// Answer to a request whose replicas have no room by their own word.
fn has_no_room(call: &Call, at: &Saturated) -> Rejection {
    let wait = at.turn.max(RETURN_RANGE.0);
    let spread = (wait * SPREAD_PART).max(LEAST_SPREAD);
    let wait = wait + spread * fraction(&call.id);
    match at.rests {
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

/// Number from 0 to 1 by an identity.
fn fraction(id: &str) -> f64 {
    unit::rendezvous::hash(id.as_bytes()) as f64 / u64::MAX as f64
}

/// Until when a request may wait for what is on no replica, and what it is told then.
pub(super) fn absent(
    state: &State,
    call: &Call,
    nowhere: Unplaceable,
    held_until: Time,
    now: Time,
) -> (Time, Rejection) {
    let target = Span::from(call.route.target);
    match nowhere {
        Unplaceable::NoModel(Some(coming))
            if now.since(call.arrived) + coming < target * COMING_PART =>
        {
            let until = call.arrived + target * COMING_PART;
            let message = "The model is being loaded.";
            (until, Rejection::not_run("model_loading", message, coming))
        }
        Unplaceable::NoModel(coming) => {
            let until = match coming {
                Some(_) => now,
                None => {
                    want_model(state, call);
                    call.arrived + LEADER_ANSWERS
                }
            };
            let wait = coming.map_or(RETURN_LATER, |c| c + TOLD_WITHIN);
            let message = "No replica holds the model at the moment.";
            let wait = wait.max(RETURN_RANGE.0);
            (until, Rejection::not_run("no_model", message, wait))
        }
        Unplaceable::NoAdapter => {
            want_adapter(state, call, false);
            let message = "The adapter is on no replica yet.";
            let fault = Rejection::not_run("no_adapter", message, RETURN_FOR_ADAPTER);
            (held_until, fault)
        }
        Unplaceable::Unreachable => {
            let message = "The replicas that could take the request cannot be reached.";
            let fault = Rejection::not_run("unreachable", message, RETURN_UNREACHABLE);
            (held_until, fault)
        }
        Unplaceable::Saturated(at) => (now, has_no_room(call, &at)),
        Unplaceable::Leaving => {
            let message = "All replicas of the service leave, or cannot be used.";
            (now, Rejection::not_run("leaving", message, RETURN_LATER))
        }
        Unplaceable::NoReplica => {
            let message = "No replica of the service is there.";
            (now, Rejection::not_run("no_replica", message, RETURN_LATER))
        }
    }
}

/// Asks the leader, by way of the task that tells it, to have a request's adapter loaded; `beside`
/// the replicas that hold it, if these have too much to do.
pub(super) fn want_adapter(state: &State, call: &Call, beside: bool) {
    if let (Some(model), Some(adapter)) = (&call.ask.model, &call.ask.adapter) {
        // The task that receives lives as long as the daemon.
        let _ = state
            .placement_requests
            .send(PlacementRequest::Adapter(AdapterRequest {
                service: call.service.clone(),
                model: model.clone(),
                adapter: adapter.clone(),
                additional: beside,
            }));
    }
}

/// Tells the leader that a request's model is on no replica, so that it comes before the next plan.
fn want_model(state: &State, call: &Call) {
    if let Some(model) = &call.ask.model {
        // The task that receives lives as long as the daemon.
        let _ = state
            .placement_requests
            .send(PlacementRequest::Model(ModelRequest {
                service: call.service.clone(),
                model: model.clone(),
            }));
    }
}
