//! Reading a request: its route, its header fields, its body.

use super::RETURN_LATER;
use crate::accounts;
use crate::attempt::Call;
use crate::respond::Rejection;
use crate::routes::Routes;
use crate::state::State;
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{HOST, HeaderMap};
use hyper::{Request, StatusCode, Uri};
use platform::config::Route;
use platform::ingress;
use std::error::Error;
use std::sync::{Arc, OnceLock};
use tokio::sync::OwnedSemaphorePermit;
use tracing::info;
use unit::{Span, Time, rendezvous};

/// Age of what this host knows of the store, as a part of the bound on configurations, beyond which a route that it does
/// not know may stand in a newer one. Within it a request that is denied came before that was in force; what is left
/// covers the request's way and the look at the table.
const OLD_CONFIGURATION: f64 = 0.95;

/// Host that a request names: in its target or in its header.
fn host(uri: &Uri, headers: &HeaderMap) -> String {
    let named = headers.get(HOST).and_then(|h| h.to_str().ok());
    uri.host().or(named).unwrap_or_default().to_owned()
}

/// Finds the route of a request.
pub(super) fn route(
    state: &State,
    routes: &Routes,
    request: &Request<Incoming>,
) -> Result<Arc<Route>, Rejection> {
    let host = host(request.uri(), request.headers());
    if let Some(route) = routes.find(&host, request.uri().path()) {
        return Ok(route.clone());
    }
    let most = Span::from(state.settings.bounds.configuration) * OLD_CONFIGURATION;
    if state.table.lock().view.contact.is_unreachable() || accounts::data_age(state) > most {
        // The route may stand in a newer configuration that this host cannot read.
        let message = "No route leads there by the last configuration that this host could read.";
        return Err(Rejection::not_run(
            "configuration_old",
            message,
            RETURN_LATER,
        ));
    }
    state.log.metrics.record_outcome(&"none".into(), "no_route");
    state.log.rate_limited(|| {
        info!(target: "request", event = "refused", reason = "no_route", host, path = request.uri().path(), version = routes.version, "no route")
    });
    Err(Rejection::client_error(
        StatusCode::NOT_FOUND,
        "no_route",
        format!("No route of configuration {} leads there.", routes.version),
    ))
}

/// Reads a request whole.
pub(super) async fn call(
    state: &Arc<State>,
    routes: &Routes,
    route: Arc<Route>,
    request: Request<Incoming>,
    arrived: Time,
) -> Result<Call, Rejection> {
    let (mut head, body) = request.into_parts();
    let host = host(&head.uri, &head.headers);
    let caller = accounts::authenticate(state, routes, &route, &mut head.headers)?;
    let ask = ingress::ask(&head.headers);
    let patience = ask.patience.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + Span::from(patience);
    let (body, room) = read_body(state, routes, body, deadline).await?;
    let id = ask.id.clone().unwrap_or_else(|| "-".into());
    let hash = rendezvous::hash(id.as_bytes());
    let service = route::routing::pick_weighted(&route.services, hash);
    let service = service.cloned().ok_or_else(|| {
        Rejection::not_run("no_service", "The route leads to no service.", RETURN_LATER)
    })?;
    Ok(Call {
        id,
        host,
        service,
        priority: routes.rank(caller.account.as_ref(), &route),
        caller,
        route,
        method: head.method,
        uri: path(head.uri),
        headers: head.headers,
        body,
        _room: room,
        ask,
        arrived,
        deadline,
        fingerprint: OnceLock::new(),
        trial: OnceLock::new(),
    })
}

/// Path and query of a target, without its host.
fn path(uri: Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or(uri, |p| p.as_str().parse().expect("a path was read"))
}

/// Reads a body within its bounds of size and time; its part of the memory for bodies goes with it.
async fn read_body(
    state: &Arc<State>,
    routes: &Routes,
    body: Incoming,
    deadline: Time,
) -> Result<(Bytes, Option<OwnedSemaphorePermit>), Rejection> {
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    let most = routes.limits.body;
    let room = room(state, &body, most)?;
    let read = Limited::new(body, most).collect();
    match state.clock.timeout_at(deadline, read).await {
        Ok(Ok(body)) => Ok((body.to_bytes(), Some(room))),
        Ok(Err(why)) => Err(broken(&*why, most)),
        Err(_) => Err(Rejection::client_error(
            StatusCode::REQUEST_TIMEOUT,
            "body_late",
            "The body did not come in time.",
        )),
    }
}

/// Memory taken for a body whose length is not told, in bytes: most are smaller.
const UNTOLD: u64 = 64 * 1_024;

/// Takes the memory that a body needs, by its length.
fn room(state: &State, body: &Incoming, most: usize) -> Result<OwnedSemaphorePermit, Rejection> {
    let hint = body.size_hint().upper().unwrap_or(UNTOLD).min(most as u64);
    let kb = (hint / 1_024) as u32 + 1;
    let room = state.body_memory.clone().try_acquire_many_owned(kb);
    room.map_err(|_| {
        let message = "This host holds as many request bodies as it may.";
        Rejection::not_run("bodies_full", message, RETURN_LATER)
    })
}

/// Answer to a request whose body could not be read whole.
fn broken(why: &(dyn Error + Send + Sync + 'static), most: usize) -> Rejection {
    if why.is::<LengthLimitError>() {
        return Rejection::client_error(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            format!("The body is longer than {most} bytes."),
        );
    }
    Rejection::client_error(
        StatusCode::BAD_REQUEST,
        "body_broken",
        format!("The body broke off: {why}."),
    )
}
