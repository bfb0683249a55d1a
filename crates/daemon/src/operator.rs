//! What a daemon answers to operators, collectors and other daemons.

mod status;

pub use status::{Model, Replica, Status, Upstream};

use crate::core::Core;
use crate::spread;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;
use tracing::warn;

/// Connections of operators, collectors and daemons at once.
pub const MOST_CONNECTIONS: usize = 4_096;

/// Time for a whole frame to arrive.
const FRAME_LIMIT: Duration = Duration::from_secs(10);

/// Newest requests listed.
const NEWEST: usize = 50;

/// Answers one request.
pub async fn handle(core: Arc<Core>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    if request.method() == Method::POST && path == wire::PATH {
        return frame(&core, request).await;
    }
    if request.method() != Method::GET {
        return text(
            StatusCode::METHOD_NOT_ALLOWED,
            "Only GET is allowed here.\n",
        );
    }
    match path.as_str() {
        "/healthz" => text(StatusCode::OK, "ok\n"),
        "/readyz" => readiness(&core),
        "/metrics" => text(StatusCode::OK, metrics(&core)),
        "/status" => json(&status::status(&core)),
        "/requests" => json(&core.teller.newest(NEWEST)),
        "/planner" => json(&core.planned.state()),
        path => match path.strip_prefix("/why/request/") {
            Some(id) => match core.teller.find(id) {
                Some(record) => json(&record),
                None => text(
                    StatusCode::NOT_FOUND,
                    "This host keeps no record of that request; records end with the host and with newer requests.\n",
                ),
            },
            None => text(StatusCode::NOT_FOUND, "There is nothing at this path.\n"),
        },
    }
}

fn readiness(core: &Core) -> Response<Full<Bytes>> {
    let refuse = |why| text(StatusCode::SERVICE_UNAVAILABLE, why);
    if core.is_draining() {
        return refuse("draining\n");
    }
    if core.force.sequence() == 0 {
        return refuse("no bundle in force yet\n");
    }
    match core.confirmed.is_confirmed(core.now()) {
        true => text(StatusCode::OK, "ready\n"),
        // Still serving: an old bundle is better than none.
        false => text(
            StatusCode::OK,
            "ready, but neither the key-value service nor a peer confirms the bundle\n",
        ),
    }
}

fn metrics(core: &Core) -> String {
    use std::sync::atomic::Ordering::Relaxed;
    let calls = core.kv.calls();
    let gauge = |name, value: f64| core.metrics.gauge(name, &[]).set(value);
    let kv = |kind, n: u64| {
        core.metrics
            .counter("coveford_kv_calls_total", &[("kind", kind)])
            .absolute(n)
    };
    kv("read", calls.reads.load(Relaxed));
    kv("write", calls.writes.load(Relaxed));
    kv("lease", calls.leases.load(Relaxed));
    gauge("coveford_in_flight", core.in_flight() as f64);
    gauge("coveford_bundle_sequence", core.force.sequence() as f64);
    let waiting: usize = core.fleet.waiting().iter().map(|(_, n)| n).sum();
    gauge("coveford_waiting", waiting as f64);
    core.metrics.render()
}

async fn frame(core: &Arc<Core>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), wire::MAX_MESSAGE_BYTES).collect();
    let message = match timeout(FRAME_LIMIT, body).await {
        Ok(Ok(whole)) => whole.to_bytes(),
        Ok(Err(_)) => {
            return text(
                StatusCode::PAYLOAD_TOO_LARGE,
                "The message is too long or broke off.\n",
            );
        }
        Err(_) => {
            return text(
                StatusCode::REQUEST_TIMEOUT,
                "The message came too slowly.\n",
            );
        }
    };
    let key = &core.settings.wire_key;
    let question = match wire::decode(key, &[], &message) {
        Ok(question) => question,
        Err(e) => {
            core.metrics
                .counter("coveford_frames_refused_total", &[])
                .increment(1);
            warn!(target: "wire", "a message was refused: {e}");
            return text(StatusCode::FORBIDDEN, format!("{e}\n"));
        }
    };
    let answer = spread::answer(core, question).await;
    match wire::encode(key, &message, &answer) {
        Ok(sealed) => Response::new(Full::new(sealed.into())),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, format!("{e}\n")),
    }
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let plain = hyper::header::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

fn json<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("it can always be written");
    let mut response = Response::new(Full::new(body.into()));
    let kind = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
