//! Reading of a request: its route, its header fields and its caller.

use super::RETRY_AFTER_DEFAULT;
use crate::accounts::{self, Caller};
use crate::attempt::Call;
use crate::detour;
use crate::respond::Rejection;
use crate::routes::Routes;
use crate::state::State;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap};
use hyper::http::request;
use hyper::{Method, StatusCode, Uri};
use parking_lot::Mutex;
use platform::config::Route;
use platform::ingress;
use route::admission::Standing;
use std::sync::atomic::{AtomicBool, AtomicU32};
use std::sync::{Arc, OnceLock};
use tracing::info;
use unit::{Span, Time, rendezvous};

/// Age of this host's data, as a fraction of the bound on configurations, beyond which an unknown
/// route may exist in a newer configuration. The rest of the bound covers the transit of the
/// request and the lookup.
const MAX_AGE_FRACTION: f64 = 0.95;

/// Host that a request names in its target or else in its `Host` field.
fn host(uri: &Uri, headers: &HeaderMap) -> String {
    let header = headers.get(HOST).and_then(|h| h.to_str().ok());
    uri.host().or(header).unwrap_or_default().to_owned()
}

fn route(state: &State, routes: &Routes, head: &request::Parts) -> Result<Arc<Route>, Rejection> {
    let host = host(&head.uri, &head.headers);
    if let Some(route) = routes.find(&host, head.uri.path()) {
        return Ok(route.clone());
    }
    if routes.is_unreadable(&host, head.uri.path()) {
        let message = "The route that leads there cannot be read by this host.";
        return Err(Rejection::not_run(
            "route_unreadable",
            message,
            RETRY_AFTER_DEFAULT,
        ));
    }
    let max = Span::from(state.settings.bounds.configuration) * MAX_AGE_FRACTION;
    if state.table.lock().view.contact.is_unreachable()
        || accounts::data_age(state) > max
        || detour::is_behind(state)
    {
        // The route may exist in a newer configuration.
        let message = "No route leads there by the last configuration that this host could read.";
        return Err(Rejection::not_run(
            "configuration_old",
            message,
            RETRY_AFTER_DEFAULT,
        ));
    }
    state.log.metrics.record_outcome(&"none".into(), "no_route");
    state.log.rate_limited(|| {
        info!(target: "request", event = "refused", reason = "no_route", host, path = head.uri.path(), version = routes.version, "no route matches")
    });
    Err(Rejection::client_error(
        StatusCode::NOT_FOUND,
        "no_route",
        format!("No route of configuration {} leads there.", routes.version),
    ))
}

/// Reads a complete request. After a failure the rest of its body is unread.
pub(super) async fn call(
    state: &State,
    mut head: request::Parts,
    body: &mut Incoming,
    arrived: Time,
) -> Result<Call, Rejection> {
    let routes = state.table.lock().routes.clone();
    let routes = &*routes.ok_or_else(|| {
        let message = "This host has no configuration yet.";
        Rejection::not_run("no_configuration", message, RETRY_AFTER_DEFAULT)
    })?;
    let route = route(state, routes, &head)?;
    let uri = origin_form(head.uri.clone())?;
    let host = host(&head.uri, &head.headers);
    let caller = accounts::authenticate(state, routes, &route, &mut head.headers)?;
    let timeout = ingress::parse(&head.headers).timeout;
    let timeout = timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + Span::from(timeout);
    let max = routes.limits.body_bytes;
    let (body, memory) = super::body::read(state, body, max, deadline).await?;
    let parts = Parts {
        host,
        method: head.method,
        uri,
        headers: head.headers,
        body,
        arrived,
        deadline,
    };
    let mut call = new_call(routes, route, caller, parts)?;
    call.permits.extend(memory);
    Ok(call)
}

/// Parts of a client's request.
pub struct Parts {
    /// Host that the client named.
    pub host: String,
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// When its head arrived.
    pub arrived: Time,
    /// When the client stops waiting for the answer.
    pub deadline: Time,
}

/// Makes a call for one of the services of its route.
pub fn new_call(
    routes: &Routes,
    route: Arc<Route>,
    caller: Caller,
    parts: Parts,
) -> Result<Call, Rejection> {
    let metadata = ingress::parse(&parts.headers);
    let id = metadata.id.clone().unwrap_or_else(|| "-".into());
    let hash = rendezvous::hash(id.as_bytes());
    let service = route::routing::pick_weighted(&route.services, hash);
    let service = service.cloned().ok_or_else(|| {
        Rejection::not_run(
            "no_service",
            "The route leads to no service.",
            RETRY_AFTER_DEFAULT,
        )
    })?;
    Ok(Call {
        id,
        host: parts.host,
        service,
        priority: routes.rank(caller.account.as_ref(), &route),
        caller,
        route,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body: parts.body,
        permits: Vec::new(),
        metadata,
        arrived: parts.arrived,
        deadline: parts.deadline,
        fingerprint: OnceLock::new(),
        standing: Mutex::new(Standing::Timely),
        exceeds_share: OnceLock::new(),
        passed_on_by: None,
        attempted_before: Vec::new(),
        detours: Mutex::default(),
        sends: AtomicU32::new(0),
        run: OnceLock::new(),
        trial: OnceLock::new(),
        has_begun: AtomicBool::new(false),
        has_sound_segments: AtomicBool::new(false),
    })
}

/// Target in origin form: path and query, without the host. An empty path is `/`.
fn origin_form(uri: Uri) -> Result<Uri, Rejection> {
    let Some(target) = uri.path_and_query().map(|target| target.as_str()) else {
        return Ok(uri);
    };
    let root = if target.starts_with('?') { "/" } else { "" };
    let target = format!("{root}{target}").parse();
    target.map_err(|why| {
        let message = format!("The target of the request cannot be read: {why}.");
        Rejection::client_error(StatusCode::BAD_REQUEST, "bad_target", message)
    })
}
