//! Placement by the dispatcher of a service.

use super::{Context, RETRY_AFTER_RANGE};
use crate::attempt::Call;
use crate::dispatch::{self, Answer, Place, Query};
use crate::message::replica_hash;
use crate::peers::Peers;
use crate::respond::Rejection;
use crate::state::State;
use crate::table::Choice;
use std::sync::Arc;
use tracing::info;
use unit::{Name, Span};

/// Grants of a request that this host may hand back before it chooses alone.
const MAX_HANDED_BACK: usize = 2;

/// Replica that the dispatcher of the request's service grants; `None` if this host is to choose.
///
/// A grant for a replica that this host knows not to take the request is handed back, and another one is asked for.
pub(super) async fn find(
    context: &Context,
    call: &Arc<Call>,
    excluded: &[Name],
) -> Result<Option<(Choice, Place)>, Rejection> {
    let state = &context.state;
    if !state.table.lock().is_dispatched(&call.service) {
        return Ok(None);
    }
    let mut avoid: Vec<u32> = excluded.iter().map(|id| replica_hash(id)).collect();
    avoid.extend(of_other_software(state, call));
    for _ in 0..=MAX_HANDED_BACK {
        let asked = dispatch::ask(state, &context.peers, query(call, &avoid));
        let answer = tokio::select! {
            answer = asked => answer,
            // A host that stops gives its waiting up.
            () = state.drain_started() => Answer::Alone,
        };
        let place = match answer {
            Answer::Granted(place) => place,
            Answer::Refused(wait) => return Err(refusal(call, wait, state)),
            Answer::Alone => return Ok(None),
        };
        if let Some(choice) = choice(state, call, excluded, place.replica) {
            log_granted(state, call, &choice);
            return Ok(Some((choice, place)));
        }
        avoid.push(place.replica);
        log_handed_back(state, call, place.replica);
    }
    Ok(None)
}

/// Replicas of the request's service that run other software than its stream needs.
fn of_other_software(state: &State, call: &Call) -> Vec<u32> {
    let Some(software) = call.software() else {
        return Vec::new();
    };
    let table = state.table.lock();
    let entries = table.view.all().map(|replica| &replica.entry);
    let others = entries.filter(|e| e.service == call.service && e.software != *software);
    others.map(|entry| replica_hash(&entry.id)).collect()
}

/// Records a request at a replica that this host chose alone, so that the dispatcher learns of it.
pub(super) fn record_alone(state: &State, call: &Call, choice: &Choice) -> Option<Place> {
    let is_dispatched = state.table.lock().is_dispatched(&call.service);
    is_dispatched.then(|| state.dispatch.hold_alone(&call.service, &choice.replica))
}

/// Time after which a host without a place at a brittle replica looks there again, while it does not know what others
/// have there.
const UNKNOWN_FOR: Span = Span::from_ms(100);

/// Place at a brittle replica that this host has chosen; `None` if the replica is not brittle, or has no place. Without a
/// dispatcher the host keeps to its own part of the replica.
pub async fn claim(
    state: &State,
    peers: &Peers,
    call: &Call,
    choice: &Choice,
) -> Result<Option<Place>, Full> {
    let replica = &choice.replica;
    let now = state.now();
    if state.table.lock().tolerance(replica, now).is_none() {
        return Ok(None);
    }
    let query = Query {
        only: Some(replica_hash(replica)),
        ..query(call, &[])
    };
    let wait = match dispatch::ask(state, peers, query).await {
        Answer::Granted(place) => return Ok(Some(place)),
        Answer::Refused(wait) => wait,
        // The dispatcher may still give out places to others.
        Answer::Alone if !state.dispatch.is_lost(&call.service) => UNKNOWN_FOR,
        Answer::Alone => {
            let table = state.table.lock();
            let part = table.own_part(replica, &state.settings.name);
            if table.own_requests(replica) < part {
                drop(table);
                return Ok(Some(state.dispatch.hold_alone(&call.service, replica)));
            }
            UNKNOWN_FOR
        }
    };
    let until = state.now() + wait;
    state.table.lock().record_full(replica, until);
    state
        .log
        .metrics
        .counter("coveford_brittle_kept_back_total", &[])
        .increment(1);
    Err(Full)
}

/// A brittle replica has no place for a request.
#[derive(Debug)]
pub struct Full;

fn query(call: &Call, avoid: &[u32]) -> Query {
    let account = call.caller.account.as_ref();
    Query {
        service: call.service.clone(),
        priority: call.priority,
        target: call.arrived + Span::from(call.route.target_latency),
        deadline: call.deadline,
        account: account.map(|account| account.name.clone()),
        avoid: avoid.to_vec(),
        only: None,
    }
}

/// The granted replica, if this host may send the request to it.
fn choice(state: &State, call: &Call, excluded: &[Name], granted: u32) -> Option<Choice> {
    let now = state.now();
    let mut table = state.table.lock();
    let in_service = table.view.all().filter(|r| r.entry.service == call.service);
    let others = in_service.map(|r| &r.entry.id);
    let others = others.filter(|id| replica_hash(id) != granted).cloned();
    let all_others: Vec<Name> = excluded.iter().cloned().chain(others).collect();
    let choice = table.choose(&call.criteria(&all_others), now).ok()?;
    let excluded: Vec<u32> = excluded.iter().map(|id| replica_hash(id)).collect();
    let places = table.places(&call.service, now).into_iter();
    let candidates = places.filter(|p| p.is_serving && !excluded.contains(&p.key));
    Some(Choice {
        candidate_count: candidates.count(),
        ..choice
    })
}

fn refusal(call: &Call, wait: Span, state: &State) -> Rejection {
    let left = call.deadline.since(state.now());
    let wait = wait.max(RETRY_AFTER_RANGE.0).min(RETRY_AFTER_RANGE.1);
    let message = format!("The request cannot be served within the {left} until its deadline.");
    Rejection::not_run("overloaded", message, wait)
}

fn log_granted(state: &State, call: &Call, choice: &Choice) {
    state.log.sampled(&call.id, || {
        let ms = state.now().since(call.arrived).ms();
        info!(target: "request", event = "granted", id = &*call.id, replica = &*choice.replica, ms, "the dispatcher of the service gave the request a place")
    });
}

fn log_handed_back(state: &State, call: &Call, replica: u32) {
    let metrics = &state.log.metrics;
    let labels = [("event", "handed_back")];
    metrics
        .counter("coveford_dispatch_questions_total", &labels)
        .increment(1);
    state.log.sampled(&call.id, || {
        let table = state.table.lock();
        let replica = table.view.id_of_hash(replica).map(|id| &**id);
        info!(target: "request", event = "handed_back", id = &*call.id, replica, "the dispatcher granted a replica that this host may not send to")
    });
}
