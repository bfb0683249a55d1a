//! One sending of a request to one replica, up to the head of its answer.

mod call;
mod history;
mod reservation;

pub use call::Call;
pub use history::History;
pub use reservation::Reservation;

use crate::accounts::{self, Refusal};
use crate::clock::Elapsed;
use crate::feedback;
use crate::quarantine;
use crate::rate_limit;
use crate::respond::Rejection;
use crate::state::State;
use crate::table::{Choice, Permit, Unavailable};
use conn::{Body, Error, Line};
use hyper::body::Incoming;
use hyper::{Request, Response};
use platform::answer::{self, Said};
use platform::ingress;
use std::sync::Arc;
use std::time::Duration;
use unit::{Name, Span};

/// Answer of a replica whose head has come.
pub struct Exchange {
    /// Place of the request there.
    pub place: Reservation,
    /// Connection that carries the answer.
    pub line: Line,
    /// Head, and the body yet to be read.
    pub response: Response<Incoming>,
    /// What the head says of the replica.
    pub said: Said,
}

/// Why a sending brought no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was handed to a connection.
    Unsent(String),
    /// The replica states that it did not run the request.
    NotRun {
        /// Status of its answer.
        status: u16,
        /// Whether it says that the request is meant for another replica, model or adapter.
        misdirected: bool,
    },
    /// It was sent, and no good answer came; it may have run.
    Lost(String),
    /// The replica ran it, and answered with that status, which tells of its own failure.
    ServerError(u16),
    /// Its time ran out; it may have run.
    TimedOut,
    /// Its time had run out before it was handed to a connection.
    DeadlinePassed,
    /// The replica wants none by its own word; nothing was handed to a connection.
    Unavailable(Unavailable),
    /// Its key does not let it go on; nothing was handed to a connection.
    Unauthorized(Refusal),
    /// It may end what runs it, and gets this answer; nothing was handed to a connection.
    Quarantined(Rejection),
}

impl Failure {
    /// Whether it is proven that nothing of the request reached the replica.
    pub fn proves_unsent(&self) -> bool {
        self.proves_not_run() && !matches!(self, Failure::NotRun { .. })
    }

    /// Whether it is proven that the request did not run there and will not.
    pub fn proves_not_run(&self) -> bool {
        matches!(
            self,
            Failure::Unsent(_)
                | Failure::NotRun { .. }
                | Failure::DeadlinePassed
                | Failure::Unavailable(_)
                | Failure::Unauthorized(_)
                | Failure::Quarantined(_)
        )
    }
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Unsent(why) => write!(f, "not sent: {why}"),
            Failure::NotRun { status, .. } => write!(f, "refused unrun with status {status}"),
            Failure::Lost(why) => write!(f, "lost: {why}"),
            Failure::ServerError(status) => write!(f, "the replica failed it with status {status}"),
            Failure::TimedOut => f.write_str("its time ran out"),
            Failure::DeadlinePassed => f.write_str("not sent: its time had run out"),
            Failure::Unavailable(Unavailable::Leaving) => {
                f.write_str("not sent: the replica leaves")
            }
            Failure::Unavailable(Unavailable::BackingOff(left)) => {
                write!(f, "not sent: the replica wants nothing for {left}")
            }
            Failure::Unauthorized(why) => write!(f, "not let on: {why}"),
            Failure::Quarantined(fault) => write!(f, "not let on: {}", fault.message),
        }
    }
}

/// Sends a request to a chosen replica and waits for the head of its answer.
pub async fn send(
    state: &Arc<State>,
    call: &Call,
    choice: &Choice,
    place: Reservation,
    last_event: Option<u64>,
) -> Result<Exchange, Failure> {
    let repeatable = call.route.kind.is_repeatable();
    let kept = state.pool.take(&choice.replica, repeatable, state.now());
    let is_kept = kept.is_some();
    let mut line = match kept {
        Some(line) => line,
        None => open(state, call, choice, &place).await?,
    };
    // At the last moment before each sending: the key may have gone since the one before.
    let account = accounts::reauthenticate(state, call).map_err(Failure::Unauthorized)?;
    quarantine::check(state, call).map_err(Failure::Quarantined)?;
    let account = account.as_ref().map(|a| &*a.name);
    let permit = feedback::permit(state, call, &place).map_err(Failure::Unavailable)?;
    let mut request = request(state, call, choice, permit, last_event, account);
    feedback::observe_informational(state, &mut request, place.source(call));
    let left = call.remaining(state.now());
    if left.is_zero() {
        return Err(Failure::DeadlinePassed);
    }
    rate_limit::record_send(state, call, &choice.replica, last_event);
    let answered = state
        .clock
        .timeout_at(call.deadline, line.send(request, left));
    let response = match answered.await {
        Ok(Ok(response)) => response,
        Err(Elapsed) | Ok(Err(Error::Timeout { .. })) => {
            place.failed();
            return Err(Failure::TimedOut);
        }
        Ok(Err(e)) if e.proves_unsent() => {
            // A kept connection that was closed meanwhile says nothing of the replica.
            if !is_kept {
                place.unreachable();
            }
            return Err(Failure::Unsent(e.to_string()));
        }
        Ok(Err(e)) => {
            let failed = Failure::Lost(e.to_string());
            place.ended(call, &failed);
            return Err(failed);
        }
    };
    judge(state, call, place, line, response).await
}

/// Opens a connection to a chosen replica.
async fn open(
    state: &Arc<State>,
    call: &Call,
    choice: &Choice,
    place: &Reservation,
) -> Result<Line, Failure> {
    let opened = state
        .pool
        .open(choice.addr, call.remaining(state.now()))
        .await;
    state
        .log
        .metrics
        .counter("coveford_connections_opened_total", &[])
        .increment(1);
    opened.map_err(|e| {
        place.failed();
        place.unreachable();
        Failure::Unsent(e.to_string())
    })
}

/// Tells an answer to this request from a refusal and from what belongs to another.
async fn judge(
    state: &Arc<State>,
    call: &Call,
    place: Reservation,
    line: Line,
    response: Response<Incoming>,
) -> Result<Exchange, Failure> {
    let said = answer::read(response.status(), response.headers());
    feedback::apply(state, &place.source(call), &said);
    if !said.answers(&call.id) {
        place.failed();
        return Err(Failure::Lost("an answer to another request came".into()));
    }
    if said.not_run {
        place.failed();
        give_back(state, &place.replica, line, &said, response).await;
        return Err(Failure::NotRun {
            status: said.status,
            misdirected: said.misdirected,
        });
    }
    if !said.signed {
        place.failed();
        return Err(Failure::Lost(format!(
            "an answer with status {} without signature came",
            said.status
        )));
    }
    Ok(Exchange {
        place,
        line,
        response,
        said,
    })
}

/// Longest refusal that is read to keep its connection, in bytes.
const MOST_REFUSAL: usize = 64 * 1024;

/// Time in which a refusal's body must have come for its connection to be kept.
const REFUSAL_LIMIT: Duration = Duration::from_millis(50);

/// Reads what is left of a refusal and keeps its connection, if that may be kept.
async fn give_back(
    state: &State,
    replica: &Name,
    line: Line,
    said: &Said,
    response: Response<Incoming>,
) {
    use http_body_util::{BodyExt, Limited};
    if !said.keeps_connection {
        return;
    }
    let read = Limited::new(response.into_body(), MOST_REFUSAL).collect();
    if matches!(tokio::time::timeout(REFUSAL_LIMIT, read).await, Ok(Ok(_))) {
        state.pool.give(replica, line, said.keeps_for, state.now());
    }
}

/// Time taken off what is left, for the way back of the answer.
const WAY_BACK: Span = Span::from_ms(5);

/// Request as it goes to the replica, which needs the permit for it.
fn request(
    state: &State,
    call: &Call,
    choice: &Choice,
    _: Permit,
    last_event: Option<u64>,
    account: Option<&str>,
) -> Request<Body> {
    let left = Span::from(call.remaining(state.now())).saturating_sub(WAY_BACK);
    let mut request = Request::new(Body::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    let direction = ingress::Direction {
        replica: &choice.replica,
        left: left.std(),
        priority: call.priority,
        last_event,
        account,
    };
    *request.headers_mut() = ingress::forwarded(&call.headers, &direction);
    request
}
