//! Proxies requests to plain services, which are selected by path.

use super::REQUEST_HEADER;
use super::error::ApiError;
use super::request::Metadata;
use crate::core::Core;
use crate::fleet::{AcquireError, Target};
use crate::metrics::record;
use crate::request_log::Decision;
use conn::{HOP_BY_HOP, Reply, Reuse};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Method, Request};
use route::choose;
use route::queue::Rejection;
use route::retry::{self, Action, Context, Outcome};
use std::sync::Arc;
use unit::{Name, Span, rendezvous};
use upstream::service::{self, Failure, Options};

/// Request header with the caller's name, sent to the service.
const CALLER_HEADER: &str = "coveford-caller";

/// `Retry-After` of requests that could not be placed.
const RETRY_AFTER: Span = Span::from_secs(2);

const MAX_RESPONSE_BYTES: usize = 16_000_000;

/// Request to a service.
pub struct Call {
    pub meta: Metadata,
    pub service: Name,
    pub method: Method,
    /// Path and query, without the service's prefix.
    pub path: String,
    pub headers: HeaderMap,
    pub body: bytes::Bytes,
    /// Status by which the service states that it did not run the request.
    pub refusal_status: Option<u16>,
}

/// Forwards a request to a service, with retries, and returns its complete response.
pub async fn call(core: &Arc<Core>, call: &Call) -> Result<Reply, ApiError> {
    let _in_flight = core.track_request();
    let metrics = core.metrics.class(&call.meta.caller, &call.meta.class_name);
    let result = run_attempts(core, call).await;
    let elapsed = core.now().since(call.meta.arrived);
    let id = &call.meta.id;
    match &result {
        Ok(reply) => {
            record(&metrics.ttft, elapsed);
            metrics.record_outcome(Outcome::Complete);
            match elapsed <= call.meta.class.first_token {
                true => metrics.attained.increment(1),
                false => metrics.missed.increment(1),
            }
            let percent = call.meta.bundle.intent.limits.retry_percent;
            core.earn_retry(&call.meta.caller, percent);
            let reason = format!("The service answered with status {}.", reply.status);
            core.request_log
                .record_outcome(id, Outcome::Complete, &reason);
        }
        Err(error) => {
            metrics.record_outcome(error.outcome);
            metrics.missed.increment(1);
            core.request_log
                .record_outcome(id, error.outcome, &error.message);
        }
    }
    result
}

async fn run_attempts(core: &Arc<Core>, call: &Call) -> Result<Reply, ApiError> {
    let mut attempts = 0;
    let mut may_have_run = false;
    let mut avoid = None;
    loop {
        let reservation = place(core, call, avoid, may_have_run).await?;
        attempts += 1;
        avoid = Some(rendezvous::hash(reservation.upstream.as_bytes()));
        core.request_log.record_decision(
            &call.meta.id,
            Decision {
                after: core.now().since(call.meta.arrived),
                attempt: attempts,
                upstream: reservation.upstream.clone(),
                weighed: reservation.evaluations.clone(),
                ended: String::new(),
            },
        );
        let remaining = call.meta.deadline().since(core.now());
        let options = Options {
            reuse: match call.meta.repeatable {
                true => Reuse::Pooled,
                false => Reuse::Fresh,
            },
            refusal_status: call.refusal_status,
            timeout: remaining.std(),
            max_bytes: MAX_RESPONSE_BYTES,
        };
        let request = upstream_request(call, reservation.addr);
        let id = &call.meta.id;
        let (failure, text) =
            match service::call(&core.pool, reservation.addr, id, request, options).await {
                Ok(reply) => {
                    let elapsed = core.now().since(reservation.reserved_at);
                    reservation.record_first_response(elapsed, call.meta.class.first_token);
                    reservation.record_completion(Span::ZERO, elapsed, None);
                    core.request_log.record_attempt_end(id, "whole.");
                    return Ok(reply);
                }
                Err(Failure::Unsent(e)) => {
                    reservation.record_failure();
                    (retry::Failure::NotRun, format!("not run: {e}"))
                }
                Err(Failure::Refused(reply)) => {
                    reservation.record_refusal(upstream::engine::RefusalReason::Full);
                    (
                        retry::Failure::NotRun,
                        format!("not run: the service refused with status {}", reply.status),
                    )
                }
                Err(Failure::Lost(reason)) => {
                    reservation.record_failure();
                    (retry::Failure::Lost, format!("lost: {reason}"))
                }
            };
        drop(reservation);
        core.request_log.record_attempt_end(id, &text);
        may_have_run |= failure == retry::Failure::Lost;
        let context = Context {
            repeatable: call.meta.repeatable,
            attempts,
            resumes: u32::MAX,
            may_have_run,
            deadline: call.meta.deadline(),
        };
        match retry::decide(&context, failure, core.now()) {
            Action::Retry if core.spend_retry(&call.meta.caller) => {}
            Action::GiveUp(outcome) => return Err(upstream_failure(outcome, &text)),
            _ => {
                return Err(upstream_failure(
                    Outcome::without_answer(may_have_run),
                    &text,
                ));
            }
        }
    }
}

fn upstream_failure(outcome: Outcome, text: &str) -> ApiError {
    ApiError::upstream_failure(
        outcome,
        format!("The service's answer could not be had ({text})."),
    )
}

async fn place(
    core: &Arc<Core>,
    call: &Call,
    avoid: Option<u64>,
    may_have_run: bool,
) -> Result<crate::fleet::Reservation, ApiError> {
    let meta = &call.meta;
    let target = Target::Service(call.service.clone());
    let fleet_request = meta.fleet_request(
        target,
        choose::Request {
            prefix: None,
            prefill: Span::ZERO,
            avoid,
        },
    );
    let max_queued = meta.bundle.intent.limits.queue as usize;
    let reservation = core.fleet.acquire(fleet_request, max_queued).await;
    reservation.map_err(|error| {
        let message = match error {
            AcquireError::Rejected(Rejection::Full) => {
                "The queue is full of requests that go before this one."
            }
            AcquireError::Rejected(Rejection::Expired) => {
                "The request cannot be answered before its deadline."
            }
            AcquireError::Unavailable => "No upstream of this service is there at the moment.",
        };
        match Outcome::without_answer(may_have_run) {
            Outcome::NotRun => ApiError::unavailable("overloaded", message, RETRY_AFTER),
            outcome => ApiError::upstream_failure(outcome, message),
        }
    })
}

/// Builds the request for the service: without the caller's API key, with its name.
fn upstream_request(call: &Call, addr: std::net::SocketAddr) -> Request<conn::Body> {
    let mut request = Request::new(conn::Body::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    if let Ok(uri) = call.path.parse() {
        *request.uri_mut() = uri;
    }
    let mut headers = call.headers.clone();
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let mut set = |name: &'static str, value: &str| {
        if let Ok(value) = value.parse() {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    set("host", &addr.to_string());
    set(REQUEST_HEADER, &call.meta.id);
    set(CALLER_HEADER, &call.meta.caller);
    *request.headers_mut() = headers;
    request
}

/// Headers of a service's response that are forwarded to the caller.
pub fn response_headers(reply: &Reply) -> HeaderMap {
    let mut headers = reply.headers.clone();
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(REQUEST_HEADER);
    headers
}
