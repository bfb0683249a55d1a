//! Serving of one client request, from its head to its answer.

mod admit;
mod body;
pub mod conclusion;
mod dispatched;
mod read;
mod report;
pub mod resumption;
mod room;
mod unavailable;

pub use body::reserve;
pub use dispatched::claim;
pub use read::{Parts, new_call};
pub use unavailable::{UNREACHABLE, request_adapter_beside};

use crate::attempt::{Call, Exchange, Failure, History, send};
use crate::detour;
use crate::grace;
use crate::peers::Peers;
use crate::quarantine;
use crate::queue::Queues;
use crate::quota;
use crate::relay;
use crate::respond::{Body, Rejection, close};
use crate::state::State;
use crate::table::Choice;
use hyper::body::Incoming;
use hyper::header::EXPECT;
use hyper::{Request, Response};
use parking_lot::Mutex;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tracing::info;
use unit::{Span, Time};

/// `Retry-After` for a client that found no configuration or no replica at all.
const RETRY_AFTER_DEFAULT: Span = Span::from_ms(1_000);

/// Least and greatest `Retry-After` for a refused client.
const RETRY_AFTER_RANGE: (Span, Span) = (Span::from_ms(200), Span::from_ms(3_000));

/// Pause before a request is placed again that could not be sent to the only replica there is for it.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Most sends of one request, including refused ones.
const MAX_SENDS: usize = 5;

/// What request handlers share.
#[derive(Clone)]
pub struct Context {
    /// State of the daemon.
    pub state: Arc<State>,
    pub peers: Arc<Peers>,
    /// Requests that wait for a replica.
    pub queues: Arc<Mutex<Queues>>,
}

/// Serves one request.
pub async fn handle(context: Context, request: Request<Incoming>) -> Response<Body> {
    let state = &context.state;
    let _in_flight = state.enter();
    let arrived = state.now();
    let mut response = match answer(&context, request, arrived).await {
        Ok(response) => response,
        Err(rejection) => rejection.response(),
    };
    if state.is_draining() {
        close(&mut response);
    }
    response
}

/// Reads a request, sends it to a replica, and logs its outcome.
async fn answer(
    context: &Context,
    request: Request<Incoming>,
    arrived: Time,
) -> Result<Response<Body>, Rejection> {
    let state = &context.state;
    let (head, mut body) = request.into_parts();
    // A client that waits for leave to send its body sends none after a rejection.
    let waits_for_leave = head.headers.contains_key(EXPECT);
    let mut call = match read::call(state, head, &mut body, arrived).await {
        Ok(call) => call,
        Err(rejection) => {
            if !waits_for_leave {
                body::discard(body);
            }
            return Err(rejection);
        }
    };
    let bound = resumption::bind(context, &mut call).await;
    let call = Arc::new(call);
    let result = match bound {
        Ok(()) => admit_and_send(context, &call).await,
        Err(rejection) => Err(rejection),
    };
    match &result {
        Ok(response) => report::answered(state, &call, response),
        Err(rejection) => report::rejected(state, &call, rejection),
    }
    result
}

/// Admits a request by quarantine and quota, and sends it. The quota is refunded if the request has
/// not run.
async fn admit_and_send(context: &Context, call: &Arc<Call>) -> Result<Response<Body>, Rejection> {
    let state = &context.state;
    quarantine::admit(state, &context.peers, call).await?;
    let grant = quota::admit(state, &context.peers, call).await?;
    record_arrival(state, call);
    let result = send_with_retries(context, call, History::default()).await;
    let result = result.map_err(|unanswered| unanswered.rejection);
    let has_not_run = result.as_ref().is_err_and(|f| f.retry_after.is_some());
    if let Some(grant) = grant.filter(|_| has_not_run) {
        grant.refund(state).await;
    }
    result
}

/// Counts a request in the demand and the retry budget of its service.
fn record_arrival(state: &State, call: &Call) {
    let bounds = &state.settings.bounds;
    let mut table = state.table.lock();
    table.record_arrival(&call.service, &call.metadata, bounds, call.arrived);
}

/// Request that got no answer.
pub struct Unanswered {
    pub rejection: Rejection,
    /// Replicas that it was sent to.
    pub history: History,
}

/// State of a request between sends.
struct Progress {
    /// Replicas that it was sent to.
    history: History,
    /// Failure of the last send.
    last_failure: Failure,
    /// Connections that could not be opened for it, those that timed out twice.
    unopened: u32,
    /// Whether there were other eligible replicas at the last choice.
    has_alternatives: bool,
    /// Rejection of the last placement, if that ended the retries.
    rejection: Option<Rejection>,
    /// Server error that a replica answered with; forwarded if no later send succeeds.
    answer: Option<Response<Body>>,
}

/// Connections that may fail to open before a request goes by way of another host, those that timed out twice.
const MAX_UNOPENED: u32 = 2;

/// Time from which a connection that could not be opened counts as timed out.
const OPENING_TIMED_OUT: Span = Span::from_ms(200);

/// Sends a request until it is answered or may not be retried. `history` is what another host did before.
pub async fn send_with_retries(
    context: &Context,
    call: &Arc<Call>,
    history: History,
) -> Result<Response<Body>, Unanswered> {
    let state = &context.state;
    let mut progress = Progress {
        history,
        unopened: 0,
        last_failure: Failure::Unsent("no replica was tried".into()),
        has_alternatives: true,
        rejection: None,
        answer: None,
    };
    for attempt in 0..MAX_SENDS {
        if !grace::allows_sends(state) {
            progress.rejection = Some(grace::rejection());
            break;
        }
        if attempt > 0 && !may_retry(state, call, &progress) {
            break;
        }
        let sent = match first_host(state, call, &progress) {
            Some(host) => send_by_host(context, call, host, &mut progress).await,
            None => send_to_replica(context, call, attempt, &mut progress).await,
        };
        let outcome = match sent {
            Ok(outcome) => outcome,
            Err(rejection) if attempt == 0 => {
                let history = progress.history;
                return Err(Unanswered { rejection, history });
            }
            Err(rejection) => {
                progress.rejection = Some(rejection);
                break;
            }
        };
        let failure = match outcome {
            Ok(response) if !progress.may_improve(call, &response) => return Ok(response),
            Ok(response) => {
                let failure = Failure::ServerError(response.status().as_u16());
                progress.answer = Some(response);
                failure
            }
            Err(failure) => failure,
        };
        progress.last_failure = failure;
    }
    if let Some(answer) = progress.answer {
        return Ok(answer);
    }
    let is_late = state.now() >= call.deadline;
    let Progress {
        history,
        last_failure,
        rejection,
        ..
    } = progress;
    let rejection = conclusion::rejection(&history, &last_failure, rejection, is_late);
    Err(Unanswered { rejection, history })
}

/// Result of one send: an answer for the client, or why there is none.
type Outcome = Result<Response<Body>, Failure>;

/// Host that the next send goes by way of, if this host's paths to the replicas are in doubt.
fn first_host(state: &State, call: &Call, progress: &Progress) -> Option<SocketAddr> {
    match progress.unopened >= MAX_UNOPENED {
        true => detour::choose_for_unreached(state, call),
        false => detour::choose(state, call),
    }
}

/// Sends a request to a replica; by way of another host if this one reaches none that could take it.
async fn send_to_replica(
    context: &Context,
    call: &Arc<Call>,
    attempt: usize,
    progress: &mut Progress,
) -> Result<Outcome, Rejection> {
    let state = &context.state;
    let has_alternatives = progress.has_alternatives;
    let placed = place(context, call, &progress.history, has_alternatives, attempt).await;
    let admit::Admission {
        choice,
        reservation,
        grant,
    } = match placed {
        Ok(admission) => admission,
        Err(rejection) if rejection.reason == unavailable::UNREACHABLE => {
            return match detour::choose_for_unreached(state, call) {
                Some(host) => send_by_host(context, call, host, progress).await,
                None => Err(rejection),
            };
        }
        Err(rejection) => return Err(rejection),
    };
    progress.has_alternatives = choice.candidate_count > 1;
    let sent_at = state.now();
    let last_event = call.metadata.last_event;
    let exchange = send(state, call, &choice, reservation, last_event);
    let exchange = grace::bound(state, exchange).await;
    if let (Some(grant), Err(failure)) = (grant, &exchange)
        && failure.proves_unsent()
    {
        grant.refund(state).await;
    }
    if let Err(Failure::Unsent(_)) = &exchange {
        let is_timeout = state.now().since(sent_at) >= OPENING_TIMED_OUT;
        progress.unopened += 1 + u32::from(is_timeout);
    }
    progress.history.record(&choice.replica, &exchange);
    let outcome = match exchange {
        Ok(exchange) => {
            grace::bound(state, forward(context, call, exchange, &progress.history)).await
        }
        Err(failure) => Err(failure),
    };
    match &outcome {
        Ok(response) if progress.may_improve(call, response) => {
            let failure = Failure::ServerError(response.status().as_u16());
            handle_failure(state, call, &choice, &failure);
        }
        Ok(_) => {}
        Err(failure) => handle_failure(state, call, &choice, failure),
    }
    Ok(outcome)
}

/// Passes a request on to another host.
async fn send_by_host(
    context: &Context,
    call: &Arc<Call>,
    host: SocketAddr,
    progress: &mut Progress,
) -> Result<Outcome, Rejection> {
    let state = &context.state;
    let last_event = call.metadata.last_event;
    let exchange = detour::send(state, call, host, &mut progress.history, last_event);
    Ok(match grace::bound(state, exchange).await {
        Ok(exchange) => {
            grace::bound(state, forward(context, call, exchange, &progress.history)).await
        }
        Err(failure) => {
            if matches!(failure, Failure::Lost(_)) && !progress.history.has_run() {
                // It was cut by the end of the grace period, before the other host told what it did.
                progress.history.unnamed_runs += 1;
            }
            Err(failure)
        }
    })
}

/// Places the next send of a request, at a replica that has not had it. All sends of a request carry the same identity, so a
/// second refusal by one replica could be a copy of the first, which proves nothing about the second send.
async fn place(
    context: &Context,
    call: &Arc<Call>,
    history: &History,
    has_alternatives: bool,
    attempt: usize,
) -> Result<admit::Admission, Rejection> {
    if attempt > 0 && !has_alternatives {
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    admit::place(context, call, &history.attempted, attempt).await
}

impl Progress {
    /// Whether a retry may replace this answer, which is a server error.
    fn may_improve(&self, call: &Call, response: &Response<Body>) -> bool {
        let is_idempotent = call.route.kind.is_idempotent();
        response.status().is_server_error() && is_idempotent && self.history.may_run_again(call)
    }
}

/// Forwards an answer whose head has arrived, as a stream or as a whole.
async fn forward(
    context: &Context,
    call: &Arc<Call>,
    exchange: Exchange,
    history: &History,
) -> Result<Response<Body>, Failure> {
    let state = &context.state;
    match is_event_stream(call, &exchange.response) {
        true => relay::open_stream(state, &context.peers, call, exchange, history.clone()).await,
        false => relay::read_whole(state, call, exchange).await,
    }
}

/// Whether an answer is an event stream.
fn is_event_stream<B>(call: &Call, response: &Response<B>) -> bool {
    call.route.kind.is_stream() && response.status().is_success()
}

/// Whether a request may be sent again after its last failure.
fn may_retry(state: &State, call: &Call, progress: &Progress) -> bool {
    let now = state.now();
    let last = &progress.last_failure;
    let allowed = match last {
        Failure::TimedOut
        | Failure::DeadlinePassed
        | Failure::Unauthorized(_)
        | Failure::Quarantined(_) => false,
        Failure::Lost(_) | Failure::ServerError(_) => {
            call.route.kind.is_idempotent()
                && progress.history.may_run_again(call)
                && quarantine::may_retry(state, call)
        }
        Failure::NotRun { .. } => progress.has_alternatives,
        Failure::Unsent(_) | Failure::Unavailable(_) => true,
        Failure::RejectedByHost {
            may_go_elsewhere, ..
        } => *may_go_elsewhere,
    };
    let is_free = matches!(
        last,
        Failure::Unsent(_) | Failure::Unavailable(_) | Failure::RejectedByHost { .. }
    );
    allowed
        && now < call.deadline
        && (is_free || state.table.lock().spend_retry(&call.service, now))
}

/// Logs a failed send, and corrects the table and the pool.
fn handle_failure(state: &State, call: &Call, choice: &Choice, failure: &Failure) {
    let send = call.sends.load(Ordering::Relaxed);
    state.log.rate_limited(|| {
        info!(target: "request", event = "failed", id = &*call.id, send, print = %call.fingerprint(), segments = call.metadata.segment_ids(), replica = &*choice.replica, addr = %choice.addr, entry = choice.revision, candidates = choice.candidate_count, why = %failure, "send failed")
    });
    let misdirected = matches!(
        failure,
        Failure::NotRun {
            misdirected: true,
            ..
        }
    );
    if let (true, Some(model), Some(adapter)) =
        (misdirected, &call.metadata.model, &call.metadata.adapter)
    {
        let mut table = state.table.lock();
        table.remove_adapter(&choice.replica, model, adapter);
    }
    let is_alive = matches!(
        failure,
        Failure::NotRun { .. } | Failure::ServerError(_) | Failure::Unavailable(_)
    );
    if !is_alive {
        state.pool.close_all(&choice.replica);
    }
}
