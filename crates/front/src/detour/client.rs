//! Passes a request on to another host, and takes what comes back.

use super::message::{
    ANSWERED, EDITION, Envelope, MAX_REFUSAL, OUTCOME, PATH, REJECTED, RUN, Refusal, take_json,
};
use super::newest_edition;
use crate::attempt::{Call, Exchange, Failure, History, Origin, Verdict, verdict};
use crate::clock::Elapsed;
use crate::pool::Line;
use crate::quarantine;
use crate::state::State;
use bytes::Bytes;
use conn::{Body, Connection, Error, Reuse};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use platform::response;
use route::streams::Run;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};
use tracing::info;
use unit::Time;

/// Time to open a connection to a host; hosts are milliseconds apart.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time to receive the rest of a refusal, which is written at once.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which the list of hosts is checked while one does not answer.
const PRESENCE_INTERVAL: Duration = Duration::from_millis(250);

/// Host that a request was passed on to.
pub struct Hop {
    state: Arc<State>,
    addr: SocketAddr,
    /// Run that began the answered stream, as the host says.
    pub run: Option<Run>,
}

impl Hop {
    /// Whether the leader lists the host.
    pub fn is_present(&self) -> bool {
        let now = self.state.now();
        self.state.detours.hosts.lock().0.is_listed(self.addr, now)
    }

    /// Records a complete answer.
    pub fn record_answer(&self) {
        self.state.detours.hosts.lock().0.record_answer(self.addr);
    }

    /// Records that the connection to the host broke, or that it took none.
    pub fn record_failure(&self) {
        let now = self.state.now();
        let hosts = &mut self.state.detours.hosts.lock().0;
        hosts.record_failure(self.addr, now);
    }

    /// Returns the connection to the pool after a complete answer.
    pub fn return_connection(&self, line: Connection) {
        self.state.detours.pool.release(self.addr, line);
    }

    /// Waits until the leader lists the host no more.
    async fn gone(&self) {
        while self.is_present() {
            sleep(PRESENCE_INTERVAL).await;
        }
    }
}

/// Passes a request on to another host and waits for the head of the answer. Adds to the history what the other host
/// did, as far as it tells.
pub async fn send(
    state: &Arc<State>,
    call: &Call,
    addr: SocketAddr,
    history: &mut History,
    last_event: Option<u64>,
) -> Result<Exchange, Failure> {
    quarantine::check(state, call)
        .await
        .map_err(Failure::Quarantined)?;
    let hop = Hop {
        state: state.clone(),
        addr,
        run: None,
    };
    let result = exchange(call, hop, history, last_event).await;
    let outcome = match &result {
        Ok(exchange) => format!("status {}", exchange.response.status()),
        Err(failure) => failure.to_string(),
    };
    let labels = [(
        "outcome",
        if result.is_ok() { "answered" } else { "failed" },
    )];
    state
        .log
        .metrics
        .counter("coveford_detours_total", &labels)
        .increment(1);
    state.log.sampled(&call.id, || {
        let ms = state.now().since(call.arrived).ms();
        info!(target: "request", event = "passed_on", id = &*call.id, route = &*call.route.name, host_addr = %addr, last_event, outcome, ms, "request passed on to another host, since this one does not reach the replicas")
    });
    result
}

async fn exchange(
    call: &Call,
    hop: Hop,
    history: &mut History,
    last_event: Option<u64>,
) -> Result<Exchange, Failure> {
    let state = hop.state.clone();
    let mut line = open(call, &hop).await?;
    let now = state.now();
    let remaining = call.remaining(now);
    if remaining.is_zero() {
        return Err(Failure::DeadlinePassed);
    }
    let runs = history.runs_for_detour(call.route.attempt_limit);
    let request = request(&state, call, &hop, history, last_event, now);
    let answer = state
        .clock
        .timeout_at(call.deadline, line.send(request, remaining));
    let is_idempotent = call.route.kind.is_idempotent();
    let answered = tokio::select! {
        biased;
        answered = answer => answered,
        () = hop.gone(), if is_idempotent => {
            history.unnamed_runs += runs;
            hop.record_failure();
            return Err(Failure::Lost("the host that it was passed on to is gone".into()));
        }
    };
    let response = match answered {
        Ok(Ok(response)) => response,
        Err(Elapsed) | Ok(Err(Error::Timeout { .. })) => {
            history.unnamed_runs += runs;
            return Err(Failure::TimedOut);
        }
        Ok(Err(error)) if error.proves_unsent() => {
            hop.record_failure();
            return Err(Failure::Unsent(error.to_string()));
        }
        Ok(Err(error)) => {
            history.unnamed_runs += runs;
            hop.record_failure();
            return Err(Failure::Lost(error.to_string()));
        }
    };
    classify(call, hop, line, response, history, runs).await
}

/// Opens a connection to the host, or takes an idle one for a request that may be repeated.
async fn open(call: &Call, hop: &Hop) -> Result<Connection, Failure> {
    let reuse = match call.route.kind.is_idempotent() {
        true => Reuse::Pooled,
        false => Reuse::Fresh,
    };
    let opened = timeout(
        CONNECT_TIMEOUT,
        hop.state.detours.pool.acquire(hop.addr, reuse),
    );
    let failure = match opened.await {
        Ok(Ok(line)) => return Ok(line),
        Ok(Err(error)) => error.to_string(),
        Err(_) => format!("no connection to host {} was open in time", hop.addr),
    };
    hop.record_failure();
    Err(Failure::Unsent(failure))
}

/// Separates the answer of a replica from a rejection by the host.
async fn classify(
    call: &Call,
    mut hop: Hop,
    line: Connection,
    mut response: Response<Incoming>,
    history: &mut History,
    runs: u32,
) -> Result<Exchange, Failure> {
    let outcome = response.headers_mut().remove(&OUTCOME);
    if let Some(edition) = take_json(response.headers_mut(), &EDITION) {
        hop.state.detours.record_used(edition);
    }
    hop.run = take_json(response.headers_mut(), &RUN);
    let outcome = outcome.as_ref().and_then(|value| value.to_str().ok());
    let feedback = response::parse(response.status(), response.headers());
    match outcome {
        Some(ANSWERED) if verdict::judge(&feedback, &call.id, true) == Verdict::Answered => {
            history.unnamed_runs += runs;
            Ok(Exchange {
                origin: Origin::Host(hop),
                line: Line::new(line),
                response,
                feedback,
            })
        }
        Some(REJECTED) => match read_refusal(call, &hop, response).await {
            Some(refusal) => {
                hop.return_connection(line);
                Err(failure(&hop, refusal, history))
            }
            None => {
                history.unnamed_runs += runs;
                hop.record_failure();
                Err(Failure::Lost(
                    "the rejection of another host broke off".into(),
                ))
            }
        },
        _ => {
            history.unnamed_runs += runs;
            let status = response.status();
            let why = format!("another host answered with status {status} and no outcome");
            Err(Failure::Lost(why))
        }
    }
}

/// Reads the rejection by a host; `None` if it breaks off, is malformed or does not end in time.
async fn read_refusal(call: &Call, hop: &Hop, response: Response<Incoming>) -> Option<Refusal> {
    let body = Limited::new(response.into_body(), MAX_REFUSAL).collect();
    let limit = call.remaining(hop.state.now()).min(REFUSAL_TIMEOUT);
    let body = timeout(limit, body).await.ok()?;
    rmp_serde::from_slice(&body.ok()?.to_bytes()).ok()
}

/// Failure that a rejection by another host stands for.
fn failure(hop: &Hop, refusal: Refusal, history: &mut History) -> Failure {
    history.merge(&refusal.attempted, &refusal.may_have_run);
    if refusal.may_go_elsewhere {
        let now = hop.state.now();
        hop.state.detours.hosts.lock().0.record_full(hop.addr, now);
    }
    let rejection = refusal.rejection();
    match rejection.status {
        StatusCode::BAD_GATEWAY => Failure::Lost(rejection.message),
        StatusCode::GATEWAY_TIMEOUT => Failure::TimedOut,
        _ => Failure::RejectedByHost {
            rejection,
            may_go_elsewhere: refusal.may_go_elsewhere,
        },
    }
}

/// Builds the request for the host.
fn request(
    state: &State,
    call: &Call,
    hop: &Hop,
    history: &History,
    last_event: Option<u64>,
    now: Time,
) -> Request<Body> {
    let headers = call.headers.iter();
    let headers = headers.map(|(name, value)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.as_str().to_owned(), value)
    });
    let limit = call.route.attempt_limit;
    let used = history.may_have_run.len() as u32 + history.unnamed_runs;
    let envelope = Envelope {
        host: state.settings.name.clone(),
        method: call.method.as_str().to_owned(),
        uri: call.uri.to_string(),
        authority: call.host.clone(),
        headers: headers.collect(),
        body: call.body.clone(),
        key: call.caller.key.clone(),
        elapsed_ms: now.since(call.arrived).ms() as u32,
        left_ms: call.remaining(now).as_millis() as u32,
        edition: newest_edition(state),
        last_event,
        attempted: history.attempted.clone(),
        may_have_run: history.may_have_run.clone(),
        unnamed_runs: history.unnamed_runs,
        run: call.run.get().cloned().flatten(),
        reserved_runs: limit.saturating_sub(used + history.runs_for_detour(limit)),
    };
    let body = rmp_serde::to_vec(&envelope).expect("a request is serializable");
    let mut request = Request::new(Body::new(body.into()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = PATH.parse().expect("the path is a valid target");
    let host = hop.addr.to_string().parse();
    let host = host.expect("an address is a valid header value");
    request.headers_mut().insert(HOST, host);
    request
}
