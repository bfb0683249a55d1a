//! Plain services, passed through by path.

use super::REQUEST_HEADER;
use super::ask::Asker;
use super::fault::Fault;
use crate::core::Core;
use crate::fleet::{Placeless, Target};
use crate::metrics::record;
use crate::teller::Decision;
use conn::{HOP_BY_HOP, Reply, Reuse};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Method, Request};
use route::choose;
use route::queue::Rejection;
use route::retry::{self, Action, Context, Outcome};
use std::sync::Arc;
use unit::{Name, Span, rendezvous};
use upstream::service::{self, Failure, Rules};

/// Header that tells a service which caller asks.
const CALLER_HEADER: &str = "coveford-caller";

/// When a shed caller may come back.
const RETRY_AFTER: Span = Span::from_secs(2);

/// Longest answer of a service, in bytes.
const MOST_ANSWER: usize = 16_000_000;

/// Request to a service.
pub struct Call {
    /// Who asks.
    pub asker: Asker,
    /// The service.
    pub service: Name,
    /// HTTP method.
    pub method: Method,
    /// Path and query below the service's prefix.
    pub path: String,
    /// Header fields.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: bytes::Bytes,
    /// Status by which the service states that it ran nothing.
    pub refusal_status: Option<u16>,
}

/// Carries a request to a service and brings its whole answer.
pub async fn call(core: &Arc<Core>, call: &Call) -> Result<Reply, Fault> {
    let _in_flight = core.enter();
    let metrics = core
        .metrics
        .class(&call.asker.caller, &call.asker.class_name);
    let answered = attempts(core, call).await;
    let took = core.now().since(call.asker.arrived);
    let request = &call.asker.request;
    match &answered {
        Ok(reply) => {
            record(&metrics.first_token, took);
            metrics.outcome(Outcome::Complete);
            match took <= call.asker.class.first_token {
                true => metrics.attained.increment(1),
                false => metrics.missed.increment(1),
            }
            let percent = call.asker.bundle.intent.limits.retry_percent;
            core.earn(&call.asker.caller, percent);
            let reason = format!("The service answered with status {}.", reply.status);
            core.teller.ended(request, Outcome::Complete, &reason);
        }
        Err(fault) => {
            metrics.outcome(fault.outcome);
            metrics.missed.increment(1);
            core.teller.ended(request, fault.outcome, &fault.message);
        }
    }
    answered
}

async fn attempts(core: &Arc<Core>, call: &Call) -> Result<Reply, Fault> {
    let mut attempts = 0;
    let mut may_have_run = false;
    let mut avoid = None;
    loop {
        let placed = place(core, call, avoid, may_have_run).await?;
        attempts += 1;
        avoid = Some(rendezvous::hash(placed.upstream.as_bytes()));
        core.teller.decided(
            &call.asker.request,
            Decision {
                after: core.now().since(call.asker.arrived),
                attempt: attempts,
                upstream: placed.upstream.clone(),
                weighed: placed.weighed.clone(),
                ended: String::new(),
            },
        );
        let left = call.asker.deadline().since(core.now());
        let rules = Rules {
            reuse: match call.asker.repeatable {
                true => Reuse::Kept,
                false => Reuse::Fresh,
            },
            refusal_status: call.refusal_status,
            limit: left.std(),
            most: MOST_ANSWER,
        };
        let request = request(call, placed.addr);
        let id = &call.asker.request;
        let (end, text) = match service::call(&core.pool, placed.addr, id, request, rules).await {
            Ok(reply) => {
                let took = core.now().since(placed.at);
                placed.answered(took, call.asker.class.first_token);
                placed.ended(Span::ZERO, took, None);
                core.teller.attempt_ended(id, "whole.");
                return Ok(reply);
            }
            Err(Failure::Unsent(e)) => {
                placed.failed();
                (retry::Failure::NotRun, format!("not run: {e}"))
            }
            Err(Failure::Refused(reply)) => {
                placed.refused(upstream::engine::RefusalReason::Full);
                (
                    retry::Failure::NotRun,
                    format!("not run: the service refused with status {}", reply.status),
                )
            }
            Err(Failure::Lost(why)) => {
                placed.failed();
                (retry::Failure::Lost, format!("lost: {why}"))
            }
        };
        drop(placed);
        core.teller.attempt_ended(id, &text);
        may_have_run |= end == retry::Failure::Lost;
        let known = Context {
            repeatable: call.asker.repeatable,
            attempts,
            resumes: u32::MAX,
            may_have_run,
            deadline: call.asker.deadline(),
        };
        match retry::decide(&known, end, core.now()) {
            Action::Retry if core.spend(&call.asker.caller) => {}
            Action::GiveUp(outcome) => return Err(lost(outcome, &text)),
            _ => return Err(lost(Outcome::without_answer(may_have_run), &text)),
        }
    }
}

fn lost(outcome: Outcome, text: &str) -> Fault {
    Fault::lost(
        outcome,
        format!("The service's answer could not be had ({text})."),
    )
}

async fn place(
    core: &Arc<Core>,
    call: &Call,
    avoid: Option<u64>,
    may_have_run: bool,
) -> Result<crate::fleet::Placed, Fault> {
    let asker = &call.asker;
    let target = Target::Service(call.service.clone());
    let want = asker.want(
        target,
        choose::Request {
            prefix: None,
            prefill: Span::ZERO,
            avoid,
        },
    );
    let most = asker.bundle.intent.limits.queue as usize;
    let placed = core.fleet.acquire(want, most).await;
    placed.map_err(|placeless| {
        let message = match placeless {
            Placeless::Shed(Rejection::Full) => {
                "The queue is full of requests that go before this one."
            }
            Placeless::Shed(Rejection::Expired) => {
                "The request cannot be answered before its deadline."
            }
            Placeless::Absent => "No upstream of this service is there at the moment.",
        };
        match Outcome::without_answer(may_have_run) {
            Outcome::NotRun => Fault::busy("overloaded", message, RETRY_AFTER),
            outcome => Fault::lost(outcome, message),
        }
    })
}

/// The request as the service gets it: without the caller's key, with its name.
fn request(call: &Call, addr: std::net::SocketAddr) -> Request<conn::Body> {
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
    set(REQUEST_HEADER, &call.asker.request);
    set(CALLER_HEADER, &call.asker.caller);
    *request.headers_mut() = headers;
    request
}

/// Header fields of a service's answer that go on to the caller.
pub fn answer_headers(reply: &Reply) -> HeaderMap {
    let mut headers = reply.headers.clone();
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(REQUEST_HEADER);
    headers
}
