//! One request of a client, from its head to its answer.

mod admit;
mod lacking;
mod read;
mod tell;

use crate::attempt::{Call, Failed, Sent, send};
use crate::peers::Peers;
use crate::quarantine;
use crate::quota;
use crate::relay;
use crate::respond::{Body, Fault, close};
use crate::state::State;
use crate::table::Choice;
use crate::waiting::Waiting;
use hyper::body::Incoming;
use hyper::{Request, Response};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tracing::info;
use unit::{Name, Span, Time};

/// When a client may come back that found no configuration or no replica at all.
const RETURN_LATER: Span = Span::from_ms(1_000);

/// Least and longest time after which a refused client is asked to come back.
const RETURN_RANGE: (Span, Span) = (Span::from_ms(200), Span::from_ms(3_000));

/// Pause before a request goes once more to the only replica that may have it.
const AGAIN_PAUSE: Duration = Duration::from_millis(40);

/// Sendings of one request, the refused ones included.
const MOST_SENDINGS: usize = 5;

/// Where requests come in.
#[derive(Clone)]
pub struct Entry {
    /// What the parts of the daemon share.
    pub state: Arc<State>,
    /// Other hosts.
    pub peers: Arc<Peers>,
    /// Requests that wait for a replica.
    pub waiting: Arc<Mutex<Waiting>>,
}

/// Answers a request; the answer is given at once when the request is given up.
pub async fn handle(entry: Entry, request: Request<Incoming>) -> Response<Body> {
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
    entry: &Entry,
    request: Request<Incoming>,
    arrived: Time,
) -> Result<Response<Body>, Fault> {
    let state = &entry.state;
    let routes = state.table.lock().routes.clone();
    let routes = routes.ok_or_else(|| {
        let message = "This host has no configuration yet.";
        Fault::not_run("no_configuration", message, RETURN_LATER)
    })?;
    let route = read::route(state, &routes, &request)?;
    let call = Arc::new(read::call(state, &routes, route, request, arrived).await?);
    let answered = let_in(entry, &call).await;
    match &answered {
        Ok(response) => tell::answered(state, &call, response),
        Err(fault) => tell::failed(state, &call, fault),
    }
    answered
}

/// Sends a request, if its account may have it run.
async fn let_in(entry: &Entry, call: &Arc<Call>) -> Result<Response<Body>, Fault> {
    let state = &entry.state;
    quarantine::admit(state, &entry.peers, call).await?;
    let grant = quota::admit(state, &entry.peers, call).await?;
    note_arrival(state, call);
    let answered = attempts(entry, call).await;
    let has_not_run = answered.as_ref().is_err_and(|f| f.retry_after.is_some());
    if let Some(grant) = grant.filter(|_| has_not_run) {
        grant.give_back(state).await;
    }
    answered
}

/// Counts a request in the demand and in the retry budget of its service.
fn note_arrival(state: &State, call: &Call) {
    let bounds = &state.settings.bounds;
    let mut table = state.table.lock();
    table.arrived(&call.service, &call.ask, bounds, call.arrived);
}

/// What was done for a request so far.
struct Progress {
    /// Replicas that it was sent to.
    tried: Vec<Name>,
    /// Whether it may have run at one of them.
    may_have_run: bool,
    /// Why the last sending brought no answer.
    last: Failed,
    /// A replica's answer that tells of its own failure; it is passed on if no better one comes.
    answer: Option<Response<Body>>,
}

/// Sends a request until it is answered, or nothing more may be done for it.
async fn attempts(entry: &Entry, call: &Arc<Call>) -> Result<Response<Body>, Fault> {
    let state = &entry.state;
    let mut progress = Progress {
        tried: Vec::new(),
        may_have_run: false,
        last: Failed::Unsent("no replica was tried".into()),
        answer: None,
    };
    for sending in 0..MOST_SENDINGS {
        let only = progress.only(call);
        if sending > 0 && !may_go_on(state, call, &progress.last, only.is_some()) {
            break;
        }
        if only.is_some() {
            tokio::time::sleep(AGAIN_PAUSE).await;
        }
        let avoid: &[Name] = match only {
            Some(_) => &[],
            None => &progress.tried,
        };
        let admit::Placed {
            choice,
            place,
            grant,
        } = match admit::place(entry, call, avoid, only.as_ref(), sending).await {
            Ok(placed) => placed,
            Err(_) if sending > 0 => break,
            Err(fault) => return Err(fault),
        };
        let sent = send(state, call, &choice, place, call.ask.last_event).await;
        if let (Some(grant), Err(failed)) = (grant, &sent)
            && failed.proves_unsent()
        {
            grant.give_back(state).await;
        }
        let was_sent = !matches!(
            sent,
            Err(Failed::Unsent(_) | Failed::Overdue | Failed::KeptBack(_))
        );
        if was_sent && !progress.tried.contains(&choice.replica) {
            progress.tried.push(choice.replica.clone());
        }
        let passed = match sent {
            Ok(sent) => pass_on(entry, call, sent, &progress.tried).await,
            Err(failed) => Err(failed),
        };
        let failed = match passed {
            Ok(response) if !progress.may_better(call, &response) => return Ok(response),
            Ok(response) => {
                let failed = Failed::Failing(response.status().as_u16());
                progress.answer = Some(response);
                failed
            }
            Err(failed) => failed,
        };
        progress.may_have_run |= !failed.proves_not_run();
        after_failure(state, call, &choice, &failed);
        progress.last = failed;
    }
    match progress.answer {
        Some(answer) => Ok(answer),
        None => Err(give_up(state, call, &progress.last, progress.may_have_run)),
    }
}

impl Progress {
    /// Whether another replica may give a better answer than this one, which a replica made whole.
    fn may_better(&self, call: &Call, response: &Response<Body>) -> bool {
        let left = (self.tried.len() as u32) < call.route.attempts;
        response.status().is_server_error() && call.route.kind.is_repeatable() && left
    }

    /// The only replica that may have the request, once it has used all attempts.
    fn only(&self, call: &Call) -> Option<Name> {
        let used = self.tried.len() as u32;
        self.tried
            .last()
            .filter(|_| used >= call.route.attempts)
            .cloned()
    }
}

/// Passes an answer on whose head has come: event by event, or whole.
async fn pass_on(
    entry: &Entry,
    call: &Arc<Call>,
    sent: Sent,
    tried: &[Name],
) -> Result<Response<Body>, Failed> {
    let state = &entry.state;
    match is_events(call, &sent.response) {
        true => relay::open_stream(state, &entry.peers, call, sent, tried.to_vec()).await,
        false => relay::read_whole(state, call, sent).await,
    }
}

/// Whether an answer is a stream of events.
fn is_events<B>(call: &Call, response: &Response<B>) -> bool {
    call.route.kind.is_stream() && response.status().is_success()
}

/// Whether a request may be sent once more after a failure.
fn may_go_on(state: &State, call: &Call, last: &Failed, same: bool) -> bool {
    let now = state.now();
    let allowed = match last {
        Failed::Late | Failed::Overdue | Failed::Barred(_) | Failed::Held(_) => false,
        Failed::Lost(_) | Failed::Failing(_) => {
            call.route.kind.is_repeatable() && !same && quarantine::may_repeat(state, call)
        }
        Failed::NotRun { .. } | Failed::Unsent(_) | Failed::KeptBack(_) => true,
    };
    let free = matches!(last, Failed::Unsent(_) | Failed::KeptBack(_));
    allowed && now < call.deadline && (free || state.table.lock().spend(&call.service, now))
}

/// Tells of a failed sending, and corrects what the table believed.
fn after_failure(state: &State, call: &Call, choice: &Choice, failed: &Failed) {
    state.log.notable(|| {
        info!(target: "request", event = "failed", id = &*call.id, print = %call.fingerprint(), replica = &*choice.replica, addr = %choice.addr, entry = choice.revision, candidates = choice.candidates, why = %failed, "a sending brought no answer")
    });
    let misdirected = matches!(
        failed,
        Failed::NotRun {
            misdirected: true,
            ..
        }
    );
    if let (true, Some(model), Some(adapter)) = (misdirected, &call.ask.model, &call.ask.adapter) {
        let mut table = state.table.lock();
        table.drop_adapter(&choice.replica, model, adapter);
    }
    let sound = matches!(
        failed,
        Failed::NotRun { .. } | Failed::Failing(_) | Failed::KeptBack(_)
    );
    if !sound {
        state.pool.forget(&choice.replica);
    }
}

/// Answer to a request that is given up.
fn give_up(state: &State, call: &Call, last: &Failed, may_have_run: bool) -> Fault {
    match last {
        Failed::Barred(refusal) if !may_have_run => return refusal.fault(),
        Failed::Held(fault) if !may_have_run => return fault.clone(),
        _ => {}
    }
    if !may_have_run {
        let wait = RETURN_RANGE.0;
        return Fault::not_run(
            "refused_by_replicas",
            format!("No replica took the request ({last})."),
            wait,
        );
    }
    match state.now() >= call.deadline || *last == Failed::Late {
        true => Fault::late("The replica did not answer in time."),
        false => Fault::lost("lost", format!("The answer could not be had ({last}).")),
    }
}
