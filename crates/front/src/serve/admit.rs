//! Admission: choosing a replica for a request, letting it wait for its turn, or refusing it.

use super::{Entry, RETURN_LATER, RETURN_RANGE, tell};
use crate::attempt::{Call, Place};
use crate::grant::Grant;
use crate::limits::{self, Held};
use crate::message::{Missing, Want};
use crate::respond::Fault;
use crate::state::{State, Wish};
use crate::table::{Choice, Nowhere};
use crate::waiting::Turn;
use route::batch;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;
use unit::{Name, Span, Time};

/// When a client may come back whose adapter had no room yet.
const RETURN_FOR_ADAPTER: Span = Span::from_ms(300);

/// When a client may come back whose replicas could not be reached: about a restart's time.
const RETURN_UNREACHABLE: Span = Span::from_ms(800);

/// Time within which the leader answers when a model that is on no replica is there, if it can come: a
/// few ways between hosts and one plan.
const LEADER_ANSWERS: Span = Span::from_ms(60);

/// Time from a copy's arrival until all hosts know of it: a round of sums.
const TOLD_WITHIN: Span = Span::from_ms(300);

/// Expected time to the first token, as a part of its target, beyond which a request is refused.
const REFUSED_BEYOND: f64 = 1.2;

/// Part of its target for which a request may wait here for its model or adapter.
const HELD_PART: f64 = 0.25;

/// Part of its target for which a request may wait until a replica in need has room: the rest is for reading its prompt.
const LIMITED_PART: f64 = 0.5;

/// Part of the target within which a model must come for the request to wait for it.
const COMING_PART: f64 = 0.8;

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
    pub(super) place: Place,
    /// Its part of the replica's limit, if that has named one.
    pub(super) grant: Option<Grant>,
}

/// Replica that was found for a request.
struct Found {
    choice: Choice,
    /// The request's place there, where it got that with its turn.
    place: Option<Place>,
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
    entry: &Entry,
    call: &Arc<Call>,
    avoid: &[Name],
    only: Option<&Name>,
    sending: usize,
) -> Result<Placed, Fault> {
    let state = &entry.state;
    let mut held = None;
    loop {
        let found = find(entry, call, avoid, only, sending, &mut held).await?;
        let want = call.want(avoid, only);
        let Ok(grant) = limits::admit(state, &entry.peers, &want, &found.choice).await else {
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
            tell::sent(state, call, &choice, waited);
        }
        let place = place.unwrap_or_else(|| Place::take(state, call, &choice));
        return Ok(Placed {
            choice,
            place,
            grant,
        });
    }
}

/// Finds a replica; waits shortly for a model or an adapter that is on its way, or for room at replicas in need.
async fn find(
    entry: &Entry,
    call: &Arc<Call>,
    avoid: &[Name],
    only: Option<&Name>,
    sending: usize,
    held: &mut Option<Held>,
) -> Result<Found, Fault> {
    let state = &entry.state;
    let held_until = call.arrived + Span::from(call.route.target) * HELD_PART;
    loop {
        let now = state.now();
        let want = call.want(avoid, only);
        let chosen = state.table.lock().choose(&want, now);
        let (until, fault) = match chosen {
            Ok(choice) if sending > 0 => return Ok(Found::at_once(choice)),
            Ok(choice) => {
                if choice.crowded {
                    want_adapter(state, call, true);
                }
                return admit(entry, call, choice).await;
            }
            Err(Nowhere::Limited(replica, turn)) => {
                limited(state, call, (&replica, turn), held, now)
            }
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

/// Until when a request may wait for room at replicas in need, and what it is told then. One that would not have its turn in
/// time does not wait at all.
fn limited(
    state: &Arc<State>,
    call: &Call,
    (replica, turn): (&Name, Span),
    held: &mut Option<Held>,
    now: Time,
) -> (Time, Fault) {
    let until = call.arrived + Span::from(call.route.target) * LIMITED_PART;
    if held.is_none() && now + turn > until {
        return (now, in_need(turn));
    }
    // Its adapter may be on no other replica.
    want_adapter(state, call, true);
    held.get_or_insert_with(|| limits::hold(state, replica));
    (until, in_need(turn))
}

/// Answer to a request whose replicas are in need and have no room.
fn in_need(turn: Span) -> Fault {
    let message =
        "The replicas that could take the request are in need, and take no more of them now.";
    Fault::not_run("limited", message, turn.max(RETURN_RANGE.0))
}

/// Until when a request may wait for what is on no replica, and what it is told then.
fn absent(
    state: &State,
    call: &Call,
    nowhere: Nowhere,
    held_until: Time,
    now: Time,
) -> (Time, Fault) {
    let target = Span::from(call.route.target);
    match nowhere {
        Nowhere::NoModel(Some(coming))
            if now.since(call.arrived) + coming < target * COMING_PART =>
        {
            let until = call.arrived + target * COMING_PART;
            let message = "The model is being loaded.";
            (until, Fault::not_run("model_loading", message, coming))
        }
        Nowhere::NoModel(coming) => {
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
            (until, Fault::not_run("no_model", message, wait))
        }
        Nowhere::NoAdapter => {
            want_adapter(state, call, false);
            let message = "The adapter is on no replica yet.";
            let fault = Fault::not_run("no_adapter", message, RETURN_FOR_ADAPTER);
            (held_until, fault)
        }
        Nowhere::Unreachable => {
            let message = "The replicas that could take the request cannot be reached.";
            let fault = Fault::not_run("unreachable", message, RETURN_UNREACHABLE);
            (held_until, fault)
        }
        Nowhere::Limited(_, turn) => (now, in_need(turn)),
        Nowhere::NoReplica => {
            let message = "No replica of the service is there.";
            (now, Fault::not_run("no_replica", message, RETURN_LATER))
        }
    }
}

/// Asks the leader, by way of the task that tells it, to have a request's adapter loaded; `beside`
/// the replicas that hold it, if these have too much to do.
fn want_adapter(state: &State, call: &Call, beside: bool) {
    if let (Some(model), Some(adapter)) = (&call.ask.model, &call.ask.adapter) {
        // The task that receives lives as long as the daemon.
        let _ = state.wanted.send(Wish::Adapter(Want {
            service: call.service.clone(),
            model: model.clone(),
            adapter: adapter.clone(),
            beside,
        }));
    }
}

/// Tells the leader that a request's model is on no replica, so that it comes before the next plan.
fn want_model(state: &State, call: &Call) {
    if let Some(model) = &call.ask.model {
        // The task that receives lives as long as the daemon.
        let _ = state.wanted.send(Wish::Model(Missing {
            service: call.service.clone(),
            model: model.clone(),
        }));
    }
}

/// Admits a request where it can meet its target: at once, or when its turn comes. Refuses it at
/// once where it cannot.
async fn admit(entry: &Entry, call: &Arc<Call>, choice: Choice) -> Result<Found, Fault> {
    let state = &entry.state;
    let now = state.now();
    let target = Span::from(call.route.target);
    let expected = now.since(call.arrived) + choice.first_token;
    let others_wait = entry.waiting.lock().is_waited_for(call);
    if choice.paced && !others_wait {
        return Ok(Found::at_once(choice));
    }
    let (taken, coming) = {
        let table = state.table.lock();
        let model = call.ask.model.as_ref();
        let coming = model.and_then(|m| table.coming(m, now));
        (table.taken(&call.want(&[], None), now), coming)
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
    let again = state.table.lock().choose(&call.want(&[], None), now);
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
async fn turn(entry: &Entry, call: &Arc<Call>, until: Time, now: Time) -> Option<Turn> {
    if until <= now {
        return None;
    }
    let state = &entry.state;
    let turn = entry.waiting.lock().push(call, until, now);
    tokio::select! {
        turn = state.clock.timeout_at(until, turn) => turn.ok().and_then(Result::ok),
        _ = state.stopping() => None,
    }
}

/// Answer to a request that would wait too long for its first token.
fn overloaded(expected: Span, target: Span, coming: Option<Span>) -> Fault {
    let wait = batch::return_after(expected, target, coming);
    let wait = wait.max(RETURN_RANGE.0).min(RETURN_RANGE.1);
    let message = format!("The request would wait {expected} for its first token.");
    Fault::not_run("overloaded", message, wait)
}
