//! Answers polls of other hosts for changes of the store.

use super::client::is_stale;
use super::message::{ChangesRequest, ChangesResponse, MAX_REQUEST, PATH, Payload, WireChange};
use crate::respond::{Body, full_body};
use crate::state::State;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};
use unit::Time;

/// Timeout of a request's body, which normally arrives with its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers a poll, at the latest when its waiting time has passed.
pub async fn respond(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    if request.uri().path() != PATH {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let Some(request) = read_request(request).await else {
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let arrived = state.now();
    wait_for_changes(&state, &request).await;
    let body = rmp_serde::to_vec(&current_changes(&state, request.after, arrived));
    let body = body.expect("a response is serializable");
    *response.body_mut() = full_body(body.into());
    response
}

/// Reads a request; none if it is malformed or does not arrive in time.
async fn read_request(request: Request<Incoming>) -> Option<ChangesRequest> {
    let body = Limited::new(request.into_body(), MAX_REQUEST);
    let body = timeout(BODY_TIMEOUT, body.collect()).await.ok()?.ok()?;
    rmp_serde::from_slice(&body.to_bytes()).ok()
}

/// Waits until there is a change after the requested revision.
async fn wait_for_changes(state: &State, request: &ChangesRequest) {
    let end = Instant::now() + Duration::from_millis(u64::from(request.wait_ms));
    loop {
        let updated = state.readers.updated.notified();
        let remaining = end.saturating_duration_since(Instant::now());
        if remaining.is_zero() || is_ready(state, request) {
            return;
        }
        let _ = timeout(remaining, updated).await;
    }
}

/// Whether to respond now: there are changes, or this host's data is outdated, which the sender should learn at once.
fn is_ready(state: &State, request: &ChangesRequest) -> bool {
    let changelog = state.readers.changelog.lock();
    let age = changelog.age(state.now());
    changelog.revision() > request.after || is_stale(age, state.settings.bounds.propagation())
}

/// Response with the changes after a revision, to a request that arrived at `arrived`.
fn current_changes(state: &State, after: u64, arrived: Time) -> ChangesResponse {
    let now = state.now();
    let store_uptime = state.table.lock().view.contact.ages(now);
    let changelog = state.readers.changelog.lock();
    let payload = match changelog.since(after) {
        Some(changes) => Payload::Changes(changes.into_iter().map(WireChange::from).collect()),
        None => Payload::Snapshot(
            changelog
                .snapshot()
                .into_iter()
                .map(WireChange::from)
                .collect(),
        ),
    };
    ChangesResponse {
        revision: changelog.revision(),
        age_ms: changelog.age(now).ms().ceil() as u32,
        held_ms: now.since(arrived).ms() as u32,
        store_uptime,
        payload,
    }
}
