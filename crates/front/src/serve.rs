//! One request of a client, from its head to its answer.

mod admit;
mod read;
mod report;
mod unavailable;

use crate::attempt::{Call, Exchange, Failure, History, send};
use crate::peers::Peers;
use crate::quarantine;
use crate::queue::Queues;
use crate::quota;
use crate::relay;
use crate::respond::{Body, Rejection, close};
use crate::state::State;
use crate::table::Choice;
use hyper::body::Incoming;
use hyper::{Request, Response};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tracing::info;
use unit::{Span, Time};

/// When a client may come back that found no configuration or no replica at all.
const RETURN_LATER: Span = Span::from_ms(1_000);

/// Least and longest time after which a refused client is asked to come back.
const RETURN_RANGE: (Span, Span) = (Span::from_ms(200), Span::from_ms(3_000));

/// Pause before a request goes once more to a replica that turned it away.
const AGAIN_PAUSE: Duration = Duration::from_millis(40);

/// Sendings of one request, the refused ones included.
const MOST_SENDINGS: usize = 5;

/// Where requests come in.
#[derive(Clone)]
pub struct Context {
    /// What the parts of the daemon share.
    pub state: Arc<State>,
    /// Other hosts.
    pub peers: Arc<Peers>,
    /// Requests that wait for a replica.
    pub queues: Arc<Mutex<Queues>>,
}

/// Answers a request; the answer is given at once when the request is given up.
pub async fn handle(entry: Context, request: Request<Incoming>) -> Response<Body> {
    let state = &entry.state;
    let _in_flight = state.enter();
    let arrived = state.now();
    let mut response = match answer(&entry, request, arrived).await {
        Ok(response) => response,
        Err(fault) => fault.response(),
    };
    if state.is_draining() {
        close(&mut response);
    }
    response
}

/// Reads a request, sends it, and tells how it ended.
async fn answer(
    entry: &Context,
    request: Request<Incoming>,
    arrived: Time,
) -> Result<Response<Body>, Rejection> {
    let state = &entry.state;
    let routes = state.table.lock().routes.clone();
    let routes = routes.ok_or_else(|| {
        let message = "This host has no configuration yet.";
        Rejection::not_run("no_configuration", message, RETURN_LATER)
    })?;
    let route = read::route(state, &routes, &request)?;
    let call = Arc::new(read::call(state, &routes, route, request, arrived).await?);
    let answered = let_in(entry, &call).await;
    match &answered {
        Ok(response) => report::answered(state, &call, response),
        Err(fault) => report::failed(state, &call, fault),
    }
    answered
}

/// Sends a request, if its account may have it run.
async fn let_in(entry: &Context, call: &Arc<Call>) -> Result<Response<Body>, Rejection> {
    let state = &entry.state;
    quarantine::admit(state, &entry.peers, call).await?;
    let grant = quota::admit(state, &entry.peers, call).await?;
    note_arrival(state, call);
    let answered = attempts(entry, call).await;
    let has_not_run = answered.as_ref().is_err_and(|f| f.retry_after.is_some());
    if let Some(grant) = grant.filter(|_| has_not_run) {
        grant.refund(state).await;
    }
    answered
}

/// Counts a request in the demand and in the retry budget of its service.
fn note_arrival(state: &State, call: &Call) {
    let bounds = &state.settings.bounds;
    let mut table = state.table.lock();
    table.record_arrival(&call.service, &call.ask, bounds, call.arrived);
}

/// What was done for a request so far.
struct Progress {
    /// Replicas that it was sent to.
    tried: History,
    /// Why the last sending brought no answer.
    last: Failure,
    /// Whether another replica could have taken it when the last one was chosen.
    others: bool,
    /// What it was told when no replica was found for a further sending.
    refusal: Option<Rejection>,
    /// A replica's answer that tells of its own failure; it is passed on if no better one comes.
    answer: Option<Response<Body>>,
}

/// Sends a request until it is answered, or nothing more may be done for it.
async fn attempts(entry: &Context, call: &Arc<Call>) -> Result<Response<Body>, Rejection> {
    let state = &entry.state;
    let mut progress = Progress {
        tried: History::default(),
        last: Failure::Unsent("no replica was tried".into()),
        others: true,
        refusal: None,
        answer: None,
    };
    for sending in 0..MOST_SENDINGS {
        if sending > 0 && !may_go_on(state, call, &progress) {
            break;
        }
        let admit::Placed {
            choice,
            place,
            grant,
        } = match place(entry, call, &progress.tried, progress.others, sending).await {
            Ok(placed) => placed,
            Err(fault) if sending == 0 => return Err(fault),
            Err(fault) => {
                progress.refusal = Some(fault);
                break;
            }
        };
        progress.others = choice.candidates > 1;
        let sent = send(state, call, &choice, place, call.ask.last_event).await;
        if let (Some(grant), Err(failed)) = (grant, &sent)
            && failed.proves_unsent()
        {
            grant.refund(state).await;
        }
        progress.tried.note(&choice.replica, &sent);
        let passed = match sent {
            Ok(sent) => pass_on(entry, call, sent, &progress.tried).await,
            Err(failed) => Err(failed),
        };
        let failed = match passed {
            Ok(response) if !progress.may_better(call, &response) => return Ok(response),
            Ok(response) => {
                let failed = Failure::ServerError(response.status().as_u16());
                progress.answer = Some(response);
                failed
            }
            Err(failed) => failed,
        };
        after_failure(state, call, &choice, &failed);
        progress.last = failed;
    }
    match progress.answer {
        Some(answer) => Ok(answer),
        None => Err(give_up(state, call, progress)),
    }
}

/// Finds a replica for the next sending of a request: another one, if there are `others`, or else, after a pause, one that
/// turned it away unrun.
async fn place(
    entry: &Context,
    call: &Arc<Call>,
    tried: &History,
    others: bool,
    sending: usize,
) -> Result<admit::Placed, Rejection> {
    if others {
        let placed = admit::place(entry, call, &tried.replicas, sending).await;
        if placed.is_ok() || sending == 0 {
            return placed;
        }
    }
    tokio::time::sleep(AGAIN_PAUSE).await;
    admit::place(entry, call, &tried.may_have_run, sending).await
}

impl Progress {
    /// Whether another replica may give a better answer than this one, which a replica made whole.
    fn may_better(&self, call: &Call, response: &Response<Body>) -> bool {
        let is_repeatable = call.route.kind.is_repeatable();
        response.status().is_server_error() && is_repeatable && self.tried.may_run(call)
    }
}

/// Passes an answer on whose head has come: event by event, or whole.
async fn pass_on(
    entry: &Context,
    call: &Arc<Call>,
    sent: Exchange,
    tried: &History,
) -> Result<Response<Body>, Failure> {
    let state = &entry.state;
    match is_events(call, &sent.response) {
        true => relay::open_stream(state, &entry.peers, call, sent, tried.clone()).await,
        false => relay::read_whole(state, call, sent).await,
    }
}

/// Whether an answer is a stream of events.
fn is_events<B>(call: &Call, response: &Response<B>) -> bool {
    call.route.kind.is_stream() && response.status().is_success()
}

/// Whether a request may be sent once more after a failure.
fn may_go_on(state: &State, call: &Call, progress: &Progress) -> bool {
    let now = state.now();
    let last = &progress.last;
    let allowed = match last {
        Failure::TimedOut
        | Failure::DeadlinePassed
        | Failure::Unauthorized(_)
        | Failure::Quarantined(_) => false,
        Failure::Lost(_) | Failure::ServerError(_) => {
            call.route.kind.is_repeatable()
                && progress.tried.may_run(call)
                && quarantine::may_retry(state, call)
        }
        Failure::NotRun { .. } | Failure::Unsent(_) | Failure::Unavailable(_) => true,
    };
    let free = matches!(last, Failure::Unsent(_) | Failure::Unavailable(_));
    allowed && now < call.deadline && (free || state.table.lock().spend_retry(&call.service, now))
}

/// Tells of a failed sending, and corrects what the table believed.
fn after_failure(state: &State, call: &Call, choice: &Choice, failed: &Failure) {
    state.log.rate_limited(|| {
        info!(target: "request", event = "failed", id = &*call.id, print = %call.fingerprint(), replica = &*choice.replica, addr = %choice.addr, entry = choice.revision, candidates = choice.candidates, why = %failed, "a sending brought no answer")
    });
    let misdirected = matches!(
        failed,
        Failure::NotRun {
            misdirected: true,
            ..
        }
    );
    if let (true, Some(model), Some(adapter)) = (misdirected, &call.ask.model, &call.ask.adapter) {
        let mut table = state.table.lock();
        table.remove_adapter(&choice.replica, model, adapter);
    }
    let sound = matches!(
        failed,
        Failure::NotRun { .. } | Failure::ServerError(_) | Failure::Unavailable(_)
    );
    if !sound {
        state.pool.close_all(&choice.replica);
    }
}

/// Answer to a request that is given up.
fn give_up(state: &State, call: &Call, progress: Progress) -> Rejection {
    let may_have_run = !progress.tried.may_have_run.is_empty();
    let last = &progress.last;
    match last {
        Failure::Unauthorized(refusal) if !may_have_run => return refusal.fault(),
        Failure::Quarantined(fault) if !may_have_run => return fault.clone(),
        _ => {}
    }
    if !may_have_run {
        let message = format!("No replica took the request ({last}).");
        let refused = Rejection::not_run("refused_by_replicas", message, RETURN_RANGE.0);
        return progress.refusal.unwrap_or(refused);
    }
    match state.now() >= call.deadline || *last == Failure::TimedOut {
        true => Rejection::timed_out("The replica did not answer in time."),
        false => Rejection::lost("lost", format!("The answer could not be had ({last}).")),
    }
}
