//! One request of a client, from its head to its answer.

use crate::attempt::{Call, Failed, Place, send};
use crate::relay;
use crate::respond::{Body, Fault, close};
use crate::routes::Routes;
use crate::state::State;
use crate::table::{Choice, Nowhere};
use crate::waiting::{Turn, Waiting};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap};
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use platform::config::Route;
use platform::ingress;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{timeout, timeout_at};
use tracing::{info, warn};
use unit::{Name, Span, Time, rendezvous};

/// When a client may come back that found no configuration or no replica at all.
const RETURN_LATER: Span = Span::from_ms(1_000);

/// When a client may come back whose adapter had no room yet.
const RETURN_FOR_ADAPTER: Span = Span::from_ms(300);

/// Least and longest time after which a refused client is asked to come back.
const RETURN_RANGE: (Span, Span) = (Span::from_ms(200), Span::from_ms(3_000));

/// Expected time to the first token, as a part of its target, beyond which a request is refused.
const REFUSED_BEYOND: f64 = 1.2;

/// Part of its target for which a request may wait here for its model or adapter.
const HELD_PART: f64 = 0.25;

/// Part of the target within which a model must come for the request to wait for it.
const COMING_PART: f64 = 0.8;

/// Time between two looks at the table while a request waits.
const LOOK: Duration = Duration::from_millis(60);

/// Pause before a request goes once more to the only replica that may have it.
const AGAIN_PAUSE: Duration = Duration::from_millis(40);

/// Sendings of one request, the refused ones included.
const MOST_SENDINGS: usize = 5;

/// Part of the places of a service below which nothing is refused.
const PLACES_FREE: f64 = 0.5;

/// Where requests come in.
#[derive(Clone)]
pub struct Entry {
    /// What the parts of the daemon share.
    pub state: Arc<State>,
    /// Requests that wait for a replica.
    pub waiting: Arc<Mutex<Waiting>>,
}

/// Answers a request; the answer is given at once when the request is given up.
pub async fn handle(entry: Entry, request: Request<Incoming>) -> Response<Body> {
    let state = &entry.state;
    let _in_flight = state.enter();
    let arrived = state.now();
    let mut response = match answer(&entry, request, arrived).await {
        Ok(response) => response,
        Err(fault) => fault.response(),
    };
    if state.is_draining() {
        close(&mut response);
    }
    response
}

async fn answer(
    entry: &Entry,
    request: Request<Incoming>,
    arrived: Time,
) -> Result<Response<Body>, Fault> {
    let state = &entry.state;
    let routes = state.table.lock().routes.clone();
    let routes = routes.ok_or_else(|| {
        let message = "This host has no configuration yet.";
        Fault::not_run("no_configuration", message, RETURN_LATER)
    })?;
    let route = find(state, &routes, &request)?;
    let call = Arc::new(read(state, &routes, route, request, arrived).await?);
    let tells = Tells { state, call: &call };
    note_arrival(state, &call);
    let answered = attempts(entry, &call).await;
    match &answered {
        Ok(response) => tells.answered(response),
        Err(fault) => tells.failed(fault),
    }
    answered
}

/// Counts a request in the demand and in the retry budget of its service.
fn note_arrival(state: &State, call: &Call) {
    let bounds = &state.settings.bounds;
    let mut table = state.table.lock();
    table.arrived(&call.service, &call.ask, bounds, call.arrived);
}

/// Host that a request names: in its target or in its header.
fn host(uri: &hyper::Uri, headers: &HeaderMap) -> String {
    let named = headers.get(HOST).and_then(|h| h.to_str().ok());
    uri.host().or(named).unwrap_or_default().to_owned()
}

fn find(state: &State, routes: &Routes, request: &Request<Incoming>) -> Result<Arc<Route>, Fault> {
    let host = host(request.uri(), request.headers());
    if let Some(route) = routes.find(&host, request.uri().path()) {
        return Ok(route.clone());
    }
    if state.table.lock().view.is_away() {
        // The route may stand in a newer configuration that this host cannot read.
        let message = "No route leads there by the last configuration that this host could read.";
        return Err(Fault::not_run("configuration_old", message, RETURN_LATER));
    }
    state.log.metrics.ended(&"none".into(), "no_route");
    state.log.notable(|| {
        info!(target: "request", event = "refused", reason = "no_route", host, path = request.uri().path(), version = routes.version, "no route")
    });
    Err(Fault::refused(
        StatusCode::NOT_FOUND,
        "no_route",
        format!("No route of configuration {} leads there.", routes.version),
    ))
}

/// Reads a request whole.
async fn read(
    state: &Arc<State>,
    routes: &Routes,
    route: Arc<Route>,
    request: Request<Incoming>,
    arrived: Time,
) -> Result<Call, Fault> {
    let (head, body) = request.into_parts();
    let ask = ingress::ask(&head.headers);
    let patience = ask.patience.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + Span::from(patience);
    let body = read_body(state, routes, body, deadline).await?;
    let id = ask.id.clone().unwrap_or_else(|| "-".into());
    let hash = rendezvous::hash(id.as_bytes());
    let service = route::routing::split(&route.services, hash);
    let service = service.cloned().ok_or_else(|| {
        Fault::not_run("no_service", "The route leads to no service.", RETURN_LATER)
    })?;
    Ok(Call {
        id,
        service,
        route,
        method: head.method,
        uri: head
            .uri
            .path_and_query()
            .cloned()
            .map_or(head.uri, |p| p.as_str().parse().expect("a path was read")),
        headers: head.headers,
        body,
        ask,
        arrived,
        deadline,
    })
}

async fn read_body(
    state: &Arc<State>,
    routes: &Routes,
    body: Incoming,
    deadline: Time,
) -> Result<Bytes, Fault> {
    use hyper::body::Body as _;
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let most = routes.limits.body;
    let hint = body.size_hint().upper().unwrap_or(0).min(most as u64);
    let kb = (hint / 1_024) as u32 + 1;
    let _room = state
        .bodies
        .clone()
        .try_acquire_many_owned(kb)
        .map_err(|_| {
            let message = "This host holds as many request bodies as it may.";
            Fault::not_run("bodies_full", message, RETURN_LATER)
        })?;
    let read = Limited::new(body, most).collect();
    match timeout_at(state.instant(deadline), read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(Fault::refused(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            format!("The body is longer than {most} bytes."),
        )),
        Ok(Err(e)) => Err(Fault::refused(
            StatusCode::BAD_REQUEST,
            "body_broken",
            format!("The body broke off: {e}."),
        )),
        Err(_) => Err(Fault::refused(
            StatusCode::REQUEST_TIMEOUT,
            "body_late",
            "The body did not come in time.",
        )),
    }
}

/// Sends a request until it is answered, or nothing more may be done for it.
async fn attempts(entry: &Entry, call: &Arc<Call>) -> Result<Response<Body>, Fault> {
    let state = &entry.state;
    let mut tried: Vec<Name> = Vec::new();
    let mut may_have_run = false;
    let mut last = Failed::Unsent("no replica was tried".into());
    for sending in 0..MOST_SENDINGS {
        let only = ((tried.len() as u32) >= call.route.attempts)
            .then(|| tried.last().cloned())
            .flatten();
        if sending > 0 && !may_go_on(state, call, &last, only.is_some()) {
            return Err(give_up(state, call, &last, may_have_run));
        }
        if only.is_some() {
            tokio::time::sleep(AGAIN_PAUSE).await;
        }
        let avoid: &[Name] = match only {
            Some(_) => &[],
            None => &tried,
        };
        let (choice, place) = match place(entry, call, avoid, only.as_ref(), sending).await {
            Ok(placed) => placed,
            Err(_) if sending > 0 => return Err(give_up(state, call, &last, may_have_run)),
            Err(fault) => return Err(fault),
        };
        let sent = send(state, call, &choice, place, call.ask.last_event).await;
        if !matches!(sent, Err(Failed::Unsent(_))) && !tried.contains(&choice.replica) {
            tried.push(choice.replica.clone());
        }
        let failed = match sent {
            Ok(sent) if is_events(call, &sent.response) => {
                match relay::open_stream(state, call, sent, tried.clone()).await {
                    Ok(response) => return Ok(response),
                    Err(failed) => failed,
                }
            }
            Ok(sent) => match relay::read_whole(state, call, sent).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            },
            Err(failed) => failed,
        };
        may_have_run |= !failed.proves_not_run();
        after_failure(state, call, &choice, &failed);
        last = failed;
    }
    Err(give_up(state, call, &last, may_have_run))
}

fn is_events(call: &Call, response: &Response<Incoming>) -> bool {
    call.route.kind.is_stream() && response.status().is_success()
}

/// Whether a request may be sent once more after a failure.
fn may_go_on(state: &State, call: &Call, last: &Failed, same: bool) -> bool {
    let now = state.now();
    let allowed = match last {
        Failed::Late => false,
        Failed::Lost(_) => call.route.kind.is_repeatable() && !same,
        Failed::NotRun(_) | Failed::Unsent(_) => true,
    };
    let free = matches!(last, Failed::Unsent(_));
    allowed && now < call.deadline && (free || state.table.lock().spend(&call.service, now))
}

/// Tells of a failed sending, and corrects what the table believed.
fn after_failure(state: &State, call: &Call, choice: &Choice, failed: &Failed) {
    state.log.notable(|| {
        info!(target: "request", event = "failed", id = &*call.id, replica = &*choice.replica, addr = %choice.addr, entry = choice.revision, candidates = choice.candidates, why = %failed, "a sending brought no answer")
    });
    if let (Failed::NotRun(421), Some(model), Some(adapter)) =
        (failed, &call.ask.model, &call.ask.adapter)
    {
        let mut table = state.table.lock();
        table.drop_adapter(&choice.replica, model, adapter);
    }
    if !matches!(failed, Failed::NotRun(_)) {
        state.pool.forget(&choice.replica);
    }
}

/// Answer to a request that is given up.
fn give_up(state: &State, call: &Call, last: &Failed, may_have_run: bool) -> Fault {
    if !may_have_run {
        let wait = RETURN_RANGE.0;
        return Fault::not_run(
            "refused_by_replicas",
            format!("No replica took the request ({last})."),
            wait,
        );
    }
    match state.now() >= call.deadline || *last == Failed::Late {
        true => Fault::late("The replica did not answer in time."),
        false => Fault::lost("lost", format!("The answer could not be had ({last}).")),
    }
}

/// Chooses a replica; waits shortly for a model or an adapter that is on its way.
async fn place(
    entry: &Entry,
    call: &Arc<Call>,
    avoid: &[Name],
    only: Option<&Name>,
    sending: usize,
) -> Result<Turn, Fault> {
    let state = &entry.state;
    let held_until = call.arrived + Span::from(call.route.target) * HELD_PART;
    loop {
        let now = state.now();
        let want = call.want(avoid, only);
        let chosen = state.table.lock().choose(&want, now);
        let (until, fault) = match chosen {
            Ok(choice) if sending > 0 => {
                let place = Place::take(state, call, &choice);
                return Ok((choice, place));
            }
            Ok(choice) => return admit(entry, call, choice).await,
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
            let wait = coming.unwrap_or(RETURN_LATER).max(RETURN_RANGE.0);
            let message = "No replica holds the model at the moment.";
            (now, Fault::not_run("no_model", message, wait))
        }
        Nowhere::NoAdapter => {
            if let (Some(model), Some(adapter)) = (&call.ask.model, &call.ask.adapter) {
                let wanted = (call.service.clone(), model.clone(), adapter.clone());
                let _ = state.wanted.send(wanted);
            }
            let message = "The adapter is on no replica yet.";
            let fault = Fault::not_run("no_adapter", message, RETURN_FOR_ADAPTER);
            (held_until, fault)
        }
        Nowhere::NoReplica => {
            let message = "No replica of the service is there.";
            (now, Fault::not_run("no_replica", message, RETURN_LATER))
        }
    }
}

/// Admits a request where it can meet its target: at once, or when its turn comes. Refuses it at
/// once where it cannot.
async fn admit(entry: &Entry, call: &Arc<Call>, choice: Choice) -> Result<Turn, Fault> {
    let state = &entry.state;
    let now = state.now();
    let waited = now.since(call.arrived);
    let target = Span::from(call.route.target);
    let expected = waited + choice.first_token;
    let others_wait = entry.waiting.lock().is_waited_for(call);
    if choice.paced && !others_wait {
        return Ok(go(state, call, choice));
    }
    let taken = state.table.lock().taken(&call.want(&[], None), now);
    if expected > target * REFUSED_BEYOND && (taken >= PLACES_FREE || !choice.free) {
        let wait = (expected.saturating_sub(target * 0.5))
            .max(RETURN_RANGE.0)
            .min(RETURN_RANGE.1);
        let message = format!("The request would wait {expected} for its first token.");
        return Err(Fault::not_run("overloaded", message, wait));
    }
    let until = call.arrived + (target * WAITING_PART).saturating_sub(choice.first_token);
    if until > now {
        let turn = entry.waiting.lock().push(call, until, now);
        let turn = tokio::select! {
            turn = timeout_at(state.instant(until), turn) => turn.ok().and_then(Result::ok),
            _ = state.stopping() => None,
        };
        if let Some((choice, place)) = turn {
            tell_sent(state, call, &choice, true);
            return Ok((choice, place));
        }
    }
    // Much may have changed in the wait: the first choice may have left.
    let now = state.now();
    let again = state.table.lock().choose(&call.want(&[], None), now);
    match again {
        Ok(choice) => Ok(go(state, call, choice)),
        Err(nowhere) => Err(absent(state, call, nowhere, now, now).1),
    }
}

/// Part of the target that a request may spend waiting here and in reading its prompt.
const WAITING_PART: f64 = 0.8;

fn go(state: &Arc<State>, call: &Arc<Call>, choice: Choice) -> Turn {
    tell_sent(state, call, &choice, false);
    let place = Place::take(state, call, &choice);
    (choice, place)
}

fn tell_sent(state: &State, call: &Call, choice: &Choice, waited: bool) {
    state.log.routine(&call.id, || {
        let ms = state.now().since(call.arrived).ms();
        info!(target: "request", event = "sent", id = &*call.id, route = &*call.route.name, replica = &*choice.replica, candidates = choice.candidates, expected_ms = choice.first_token.ms(), paced = choice.paced, waited, ms, entry = choice.revision, "sent to the replica with the least expected time")
    });
}

/// Telling how a request ended.
struct Tells<'a> {
    state: &'a Arc<State>,
    call: &'a Arc<Call>,
}

impl Tells<'_> {
    fn answered(&self, response: &Response<Body>) {
        let (state, call) = (self.state, self.call);
        let status = response.status().as_u16();
        let took = state.now().since(call.arrived);
        if call.route.kind.is_stream() && response.status().is_success() {
            return;
        }
        state.log.metrics.first_byte(&call.route.name, took);
        let outcome = match response.status().is_success() {
            true => "complete",
            false => "failed_by_replica",
        };
        state.log.metrics.ended(&call.route.name, outcome);
        state.log.routine(&call.id, || {
            info!(target: "request", event = "answered", id = &*call.id, status, ms = took.ms(), "the replica's answer was passed on")
        });
    }

    fn failed(&self, fault: &Fault) {
        let (state, call) = (self.state, self.call);
        let ms = state.now().since(call.arrived).ms();
        state.log.metrics.ended(&call.route.name, fault.reason);
        let retry_after_ms = fault.retry_after.map(|s| s.ms());
        state.log.notable(|| {
            warn!(target: "request", event = "refused", id = &*call.id, route = &*call.route.name, model = call.ask.model.as_deref(), adapter = call.ask.adapter.as_deref(), status = fault.status.as_u16(), reason = fault.reason, retry_after_ms, ms, why = fault.message, "the request is given up")
        });
    }
}
