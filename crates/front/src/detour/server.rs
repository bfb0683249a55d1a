//! Takes requests that other hosts pass on, and sends them to replicas.

use super::message::{
    ANSWERED, EDITION, Envelope, MAX_HEAD, OUTCOME, REJECTED, RUN, Refusal, insert_json,
};
use crate::attempt::{Call, History};
use crate::respond::{Body, Rejection, full_body};
use crate::routes::{Edition, Routes};
use crate::serve::{self, Context, resumption};
use crate::state::State;
use crate::{paths, quarantine, streams};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;
use tracing::info;
use unit::{Span, Time};

/// Timeout of a request's body, which normally arrives with its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a request waits for a configuration that its sender knows to be in force: in a fleet of moderate size
/// all hosts have it then.
const CONFIGURATION_WAIT: Span = Span::from_ms(800);

/// Interval at which such a request looks for the configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// `Retry-After` of a request that this host does not take.
const RETRY_AFTER: Span = Span::from_ms(300);

/// Answers a request of another host.
pub async fn respond(context: &Context, request: Request<Incoming>) -> Response<Body> {
    let _in_flight = context.state.enter();
    let mut edition = None;
    let (mut response, outcome) = match answer(context, request, &mut edition).await {
        Ok(response) => (response, ANSWERED),
        Err(refusal) => {
            let body = rmp_serde::to_vec(&refusal).expect("a refusal is serializable");
            (Response::new(full_body(body.into())), REJECTED)
        }
    };
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(outcome));
    insert_json(headers, EDITION, edition.as_ref());
    response
}

/// Answers a request, and gives the configuration by which it is handled.
async fn answer(
    context: &Context,
    request: Request<Incoming>,
    edition: &mut Option<Edition>,
) -> Result<Response<Body>, Refusal> {
    let state = &context.state;
    let arrived = state.now();
    let slot = admit(state)?;
    let (envelope, memory) = read(state, request).await?;
    let history = History {
        attempted: envelope.attempted.clone(),
        may_have_run: envelope.may_have_run.clone(),
        unnamed_runs: envelope.unnamed_runs,
        reserved_runs: envelope.reserved_runs,
    };
    let permits = (slot, memory);
    let routes = current_routes(state, &envelope, arrived).await?;
    *edition = Some(routes.edition());
    let call = Arc::new(call(&routes, envelope, permits, arrived)?);
    state
        .log
        .metrics
        .counter("coveford_detours_taken_total", &[])
        .increment(1);
    state.log.sampled(&call.id, || {
        let from = call.passed_on_by.as_deref();
        info!(target: "request", event = "taken_over", id = &*call.id, route = &*call.route.name, from, "request of another host, which does not reach the replicas")
    });
    let admitted = quarantine::admit(state, &context.peers, &call).await;
    admitted.map_err(|rejection| Refusal::new(rejection, false))?;
    let sent = serve::send_with_retries(context, &call, history).await;
    let sent = sent.map(|response| with_run(&call, response));
    sent.map_err(|unanswered| {
        let history = unanswered.history;
        let is_unreachable = unanswered.rejection.reason == serve::UNREACHABLE;
        Refusal {
            attempted: history.attempted,
            may_have_run: history.may_have_run,
            ..Refusal::new(unanswered.rejection, is_unreachable)
        }
    })
}

/// Configuration in force, once it is as new as the sender of a request requires.
async fn current_routes(
    state: &State,
    envelope: &Envelope,
    arrived: Time,
) -> Result<Arc<Routes>, Refusal> {
    let left = Span::from_ms(u64::from(envelope.left_ms));
    let until = arrived + left.min(CONFIGURATION_WAIT);
    loop {
        let routes = state.table.lock().routes.clone();
        let is_current = |routes: &Arc<Routes>| !routes.edition().is_older_than(&envelope.edition);
        if let Some(routes) = routes.filter(is_current) {
            return Ok(routes);
        }
        if state.now() >= until {
            let message = "The other host does not know the newest configuration.";
            return Err(not_taken("no_replica", message));
        }
        let _ = timeout(POLL_INTERVAL, state.changed.notified()).await;
    }
}

/// Adds the run that began a stream to its answer.
fn with_run(call: &Call, mut response: Response<Body>) -> Response<Body> {
    let run = call.run.get().and_then(Option::as_ref);
    insert_json(response.headers_mut(), RUN, run);
    response
}

/// Takes a slot, if this host takes requests of others now.
fn admit(state: &State) -> Result<OwnedSemaphorePermit, Refusal> {
    if state.is_draining() {
        return Err(not_taken("leaving", "The other host is about to stop."));
    }
    if paths::is_isolated(state) {
        return Err(not_taken(
            serve::UNREACHABLE,
            "The other host reaches no replica.",
        ));
    }
    let slot = state.detours.slots.clone().try_acquire_owned();
    slot.map_err(|_| not_taken("overloaded", "The other host takes no more requests."))
}

/// Refusal of a request that another host may take.
fn not_taken(reason: &'static str, message: &str) -> Refusal {
    Refusal::new(Rejection::not_run(reason, message, RETRY_AFTER), true)
}

/// Reads a request, and reserves memory for it.
async fn read(
    state: &State,
    request: Request<Incoming>,
) -> Result<(Envelope, OwnedSemaphorePermit), Refusal> {
    let routes = state.table.lock().routes.clone();
    let max = routes.map_or(0, |routes| routes.limits.body_bytes) + MAX_HEAD;
    let body = request.into_body();
    // Hosts send bodies with their length.
    let length = body
        .size_hint()
        .exact()
        .map_or(max, |length| length as usize);
    let memory = serve::reserve(state, length.min(max));
    let memory = memory.map_err(|rejection| Refusal::new(rejection, true))?;
    let body = timeout(BODY_TIMEOUT, Limited::new(body, max).collect()).await;
    let unreadable = || not_taken("lost", "The request could not be read by the other host.");
    let Ok(Ok(body)) = body else {
        return Err(unreadable());
    };
    match rmp_serde::from_slice(&body.to_bytes()) {
        Ok(envelope) => Ok((envelope, memory)),
        Err(_) => Err(unreadable()),
    }
}

/// The request as one of this host, by its configuration.
fn call(
    routes: &Routes,
    envelope: Envelope,
    permits: (OwnedSemaphorePermit, OwnedSemaphorePermit),
    arrived: Time,
) -> Result<Call, Refusal> {
    let malformed = || not_taken("lost", "The other host cannot read the request.");
    let method = Method::from_bytes(envelope.method.as_bytes()).map_err(|_| malformed())?;
    let uri: hyper::Uri = envelope.uri.parse().map_err(|_| malformed())?;
    let headers = headers(&envelope.headers).ok_or_else(malformed)?;
    let route = routes.find(&envelope.authority, uri.path()).cloned();
    let route =
        route.ok_or_else(|| not_taken("no_replica", "No route of the other host leads there."))?;
    let parts = serve::Parts {
        host: envelope.authority,
        method,
        uri,
        headers,
        body: envelope.body,
        arrived: arrived - Span::from_ms(u64::from(envelope.elapsed_ms)),
        deadline: arrived + Span::from_ms(u64::from(envelope.left_ms)),
    };
    let caller = routes.caller(envelope.key);
    let call = serve::new_call(routes, route, caller, parts);
    let mut call = call.map_err(|rejection| Refusal::new(rejection, true))?;
    call.metadata.last_event = envelope.last_event;
    let is_bound = envelope
        .run
        .is_some_and(|run| resumption::bind_to(&mut call, run));
    if streams::is_resumption(&call) && !is_bound {
        let message = "The other host cannot resume the stream at the version that began it.";
        return Err(not_taken("other_software", message));
    }
    call.passed_on_by = Some(envelope.host);
    call.attempted_before = envelope.attempted;
    call.permits.extend([permits.0, permits.1]);
    Ok(call)
}

fn headers(fields: &[(String, Bytes)]) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for (name, value) in fields {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}
