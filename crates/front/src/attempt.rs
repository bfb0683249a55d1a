//! One send of a request to one replica, up to the head of its answer.

mod call;
mod history;
mod origin;
mod reservation;
pub mod verdict;

pub use call::Call;
pub use history::History;
pub use origin::Origin;
pub use reservation::Reservation;
pub use verdict::Verdict;

use crate::accounts::{self, Refusal};
use crate::clock::Elapsed;
use crate::feedback::{self, Source};
use crate::log::Topic;
use crate::paths;
use crate::pool::{Line, Scope};
use crate::quarantine;
use crate::rate_limit;
use crate::respond::Rejection;
use crate::state::State;
use crate::table::{Choice, Permit, Unavailable};
use conn::{Body, Connection, Error};
use hyper::body::Incoming;
use hyper::{Request, Response};
use platform::ingress;
use platform::response::{self, Feedback};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tracing::info;
use unit::{Name, Span};

/// Exchange with a replica or another host whose answer has begun.
pub struct Exchange {
    pub origin: Origin,
    pub line: Line,
    /// Head of the answer, with the body still to be read.
    pub response: Response<Incoming>,
    /// What the head says about the replica.
    pub feedback: Feedback,
}

/// Why a send failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was written to a connection.
    Unsent(String),
    /// The replica refused the request without running it.
    NotRun {
        /// Status of the answer.
        status: u16,
        /// Whether it says that the request was meant for another replica, model or adapter.
        misdirected: bool,
    },
    /// The request was sent and its answer is lost; it may have run.
    Lost(String),
    /// The replica answered with this status and may have run the request: a server error, or one that would tell a caller
    /// that the request has not run, which the replica does not state.
    ServerError(u16),
    /// The deadline passed after the request was sent; it may have run.
    TimedOut,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
    /// The replica takes no requests now; nothing was sent.
    Unavailable(Unavailable),
    /// The client's key is no longer accepted; nothing was sent.
    Unauthorized(Refusal),
    /// The request is quarantined and answered with this rejection; nothing was sent.
    Quarantined(Rejection),
    /// Another host rejected the request, and says that it has not run there.
    RejectedByHost {
        rejection: Rejection,
        /// Whether another host may take it.
        may_go_elsewhere: bool,
    },
}

impl Failure {
    /// Whether the failure proves that the replica received nothing of the request.
    pub fn proves_unsent(&self) -> bool {
        self.proves_not_run() && !matches!(self, Failure::NotRun { .. })
    }

    /// Whether the failure proves that the replica did not and will not run the request.
    pub fn proves_not_run(&self) -> bool {
        matches!(
            self,
            Failure::Unsent(_)
                | Failure::NotRun { .. }
                | Failure::DeadlinePassed
                | Failure::Unavailable(_)
                | Failure::Unauthorized(_)
                | Failure::Quarantined(_)
                | Failure::RejectedByHost { .. }
        )
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Unsent(why) => write!(f, "not sent: {why}"),
            Failure::NotRun { status, .. } => {
                write!(f, "refused unrun with status {status}")
            }
            Failure::Lost(why) => write!(f, "lost: {why}"),
            Failure::ServerError(status) => {
                write!(
                    f,
                    "the replica answered with status {status} and may have run it"
                )
            }
            Failure::TimedOut => f.write_str("its time ran out"),
            Failure::DeadlinePassed => f.write_str("not sent: its time had run out"),
            Failure::Unavailable(Unavailable::Leaving) => {
                f.write_str("not sent: the replica leaves")
            }
            Failure::Unavailable(Unavailable::BackingOff(remaining)) => {
                write!(f, "not sent: the replica wants nothing for {remaining}")
            }
            Failure::Unauthorized(why) => write!(f, "not let on: {why}"),
            Failure::Quarantined(rejection) => write!(f, "not let on: {}", rejection.message),
            Failure::RejectedByHost { rejection, .. } => {
                write!(f, "not taken by another host: {}", rejection.message)
            }
        }
    }
}

/// Sends a request to a chosen replica and waits for the head of the answer.
pub async fn send(
    state: &Arc<State>,
    call: &Call,
    choice: &Choice,
    mut reservation: Reservation,
    last_event: Option<u64>,
) -> Result<Exchange, Failure> {
    let kept = kept(state, call, choice);
    let is_kept = kept.is_some();
    let mut line = match kept {
        Some(line) => line,
        None => Line::new(open(state, call, choice, &mut reservation).await?),
    };
    let now = state.now();
    reservation.connected_at = Some(now - line.connection.age());
    // Directly before each send, since the key may have been revoked after the last one.
    let account = accounts::reauthenticate(state, call).map_err(Failure::Unauthorized)?;
    quarantine::check(state, call)
        .await
        .map_err(Failure::Quarantined)?;
    let account = account.as_ref().map(|a| &*a.name);
    let permit = feedback::permit(state, call, &reservation).map_err(Failure::Unavailable)?;
    let mut request = request(state, call, choice, permit, last_event, account);
    let source = reservation.source(call);
    let excess = feedback::observe_informational(state, &mut request, source);
    let remaining = call.remaining(state.now());
    if remaining.is_zero() {
        return Err(Failure::DeadlinePassed);
    }
    rate_limit::record_send(state, call, &choice.replica, last_event);
    call.begin_send();
    let answer = state
        .clock
        .timeout_at(call.deadline, line.connection.send(request, remaining));
    let answered = tokio::select! {
        biased;
        answered = answer => answered,
        () = excess.notified() => {
            let failure = Failure::Lost("it sent informational answers without end".into());
            reservation.record_failure(call, &failure);
            return Err(failure);
        }
        () = paths::lost(state), if call.route.kind.is_idempotent() => {
            reservation.record_bad_answer();
            return Err(Failure::Lost("this host reaches no replica any more".into()));
        }
    };
    if !matches!(answered, Ok(Ok(_))) {
        count_failure(state, is_kept);
    }
    let response = match answered {
        Ok(Ok(response)) => response,
        Err(Elapsed) | Ok(Err(Error::Timeout { .. })) => {
            reservation.record_bad_answer();
            return Err(Failure::TimedOut);
        }
        Ok(Err(error)) if error.proves_unsent() => {
            // A kept connection that closed while idle is no sign of an unreachable replica.
            if !is_kept {
                reservation.record_unreachable();
            }
            return Err(Failure::Unsent(error.to_string()));
        }
        Ok(Err(error)) => {
            let failure = Failure::Lost(error.to_string());
            reservation.record_failure(call, &failure);
            return Err(failure);
        }
    };
    classify(state, call, reservation, line, response).await
}

/// Counts a send that got no answer, by whether its connection had carried another request before.
fn count_failure(state: &State, is_kept: bool) {
    let connection = if is_kept { "kept" } else { "new" };
    let labels = [("connection", connection)];
    let metrics = &state.log.metrics;
    metrics
        .counter("coveford_sends_unanswered_total", &labels)
        .increment(1);
}

/// An idle connection to the replica that may carry the request.
///
/// A trial takes none: an idle connection may belong to a process that has crashed already, and a trial that breaks
/// has to prove that the replica crashed after it began. Nor does a request that may run only once while refusals that
/// name no request are expected: only on a connection of its own can it be sent again after one.
fn kept(state: &State, call: &Call, choice: &Choice) -> Option<Line> {
    let is_idempotent = call.route.kind.is_idempotent();
    let now = state.now();
    let pool = &state.pool;
    let is_unnamed = pool.answers_unnamed(&call.service, &choice.replica, now);
    if call.trial.get().is_some() || is_unnamed && !is_idempotent {
        return None;
    }
    pool.take(&choice.replica, &call.id, is_idempotent, now)
}

async fn open(
    state: &Arc<State>,
    call: &Call,
    choice: &Choice,
    reservation: &mut Reservation,
) -> Result<Connection, Failure> {
    let opened = state
        .pool
        .open(choice.addr, call.remaining(state.now()))
        .await;
    state
        .log
        .metrics
        .counter("coveford_connections_opened_total", &[])
        .increment(1);
    opened.map_err(|error| {
        reservation.record_bad_answer();
        reservation.record_unreachable();
        Failure::Unsent(error.to_string())
    })
}

/// Separates an answer to this request from refusals and from answers to other requests.
async fn classify(
    state: &Arc<State>,
    call: &Call,
    mut reservation: Reservation,
    line: Line,
    response: Response<Incoming>,
) -> Result<Exchange, Failure> {
    let feedback = response::parse(response.status(), response.headers());
    let verdict = verdict::judge(&feedback, &call.id, line.is_first());
    let is_foreign = matches!(verdict, Verdict::Foreign(_));
    let source = reservation.source(call);
    record_head(state, call, &source, &line, &feedback, verdict);
    if feedback.request_id().is_none() {
        let scope = match line.is_first() {
            true => Scope::Service(call.service.clone()),
            false => Scope::Replica(reservation.replica.clone()),
        };
        state.pool.record_unnamed(scope, state.now());
    }
    let is_copy = is_foreign && feedback.request_id().is_some_and(|id| line.has_carried(id));
    if !is_copy {
        feedback::apply(state, &source, &feedback, !is_foreign);
    }
    if let Verdict::Foreign(why) = verdict {
        reservation.record_bad_answer();
        return Err(Failure::Lost(why.into()));
    }
    if verdict == Verdict::NotRun {
        reservation.record_bad_answer();
        reservation.record_turned_away();
        drain_refusal(state, call, &reservation.replica, line, &feedback, response).await;
        return Err(Failure::NotRun {
            status: feedback.status,
            misdirected: feedback.misdirected,
        });
    }
    if verdict == Verdict::Unproven {
        reservation.record_bad_answer();
        drain_refusal(state, call, &reservation.replica, line, &feedback, response).await;
        return Err(Failure::ServerError(feedback.status));
    }
    if !feedback.signed {
        reservation.record_bad_answer();
        return Err(Failure::Lost(format!(
            "an answer with status {} without signature came",
            feedback.status
        )));
    }
    Ok(Exchange {
        origin: Origin::Replica(Box::new(reservation)),
        line,
        response,
        feedback,
    })
}

/// Counts an answer by the request that it names and by whether its connection had carried another. Logs an answer to
/// another request and one whose status says, or seems to say, that the request has not run.
fn record_head(
    state: &State,
    call: &Call,
    source: &Source,
    line: &Line,
    feedback: &Feedback,
    verdict: Verdict,
) {
    let named = feedback.request_id();
    let id = match named {
        None => "none",
        Some(_) if feedback.matches_request(&source.subject) => "own",
        Some(_) => "other",
    };
    let executed = match feedback.not_executed {
        true => "no",
        false if feedback.claims_not_run() => "unproven",
        false => "yes",
    };
    let connection = if line.is_first() { "new" } else { "kept" };
    let labels = [
        ("id", id),
        ("executed", executed),
        ("connection", connection),
    ];
    let metrics = &state.log.metrics;
    metrics
        .counter("coveford_replica_answers_total", &labels)
        .increment(1);
    if id == "own" && executed == "yes" {
        return;
    }
    let (status, last) = (feedback.status, line.last.as_deref());
    let (not_executed, signed) = (feedback.not_executed, feedback.signed);
    let (send, port) = (call.sends.load(Ordering::Relaxed), line.connection.port());
    let verdict = verdict.label();
    state.log.rate_limited_by(Topic::Verdicts, || {
        info!(target: "request", event = "turned_away", id = &*source.subject, replica = &*source.replica, send, port, connection, verdict, status, named, not_executed, signed, last, "the replica refused the request, answered another one, or gave the status of a refusal; port is the local one of the connection, last the request that it carried before")
    });
}

/// Longest body of a refusal, in bytes, that is read to reuse the connection.
const MAX_REFUSAL: usize = 64 * 1024;

/// Time within which the body of a refusal must arrive to reuse the connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);

/// Reads the rest of a refusal and returns the connection to the pool, if the replica keeps it
/// open.
async fn drain_refusal(
    state: &State,
    call: &Call,
    replica: &Name,
    line: Line,
    feedback: &Feedback,
    response: Response<Incoming>,
) {
    use http_body_util::{BodyExt, Limited};
    if !may_keep_connection(feedback) {
        return;
    }
    let read = Limited::new(response.into_body(), MAX_REFUSAL).collect();
    if matches!(tokio::time::timeout(REFUSAL_TIMEOUT, read).await, Ok(Ok(_))) {
        keep_connection(state, call, replica, line, feedback);
    }
}

/// Whether a connection may carry another request once this answer was read. A late copy of an answer that names no request
/// would pass for the answer to any.
fn may_keep_connection(feedback: &Feedback) -> bool {
    feedback.keep_alive && feedback.request_id().is_some()
}

/// Returns a connection to the pool after the request's answer was read completely, if it may carry another.
fn keep_connection(
    state: &State,
    call: &Call,
    replica: &Name,
    mut line: Line,
    feedback: &Feedback,
) {
    if !may_keep_connection(feedback) {
        return;
    }
    line.record(&call.id, feedback.not_executed);
    let keeps_for = feedback.keep_alive_timeout;
    state.pool.give(replica, line, keeps_for, state.now());
}

/// Time reserved for the way back of the answer.
const RETURN_LATENCY: Span = Span::from_ms(5);

/// Builds the request for the replica. The permit proves that it may be sent.
fn request(
    state: &State,
    call: &Call,
    choice: &Choice,
    _: Permit,
    last_event: Option<u64>,
    account: Option<&str>,
) -> Request<Body> {
    let remaining = Span::from(call.remaining(state.now())).saturating_sub(RETURN_LATENCY);
    let mut request = Request::new(Body::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let overrides = ingress::Overrides {
        replica: &choice.replica,
        remaining: remaining.std(),
        priority: call.replica_priority(),
        last_event,
        account,
    };
    *request.headers_mut() = ingress::request_headers(&call.headers, &overrides);
    request
}
