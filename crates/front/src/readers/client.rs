//! Asking a reader what has changed in the store.

use super::message::{Answer, MOST_ANSWER, News, PATH, Question};
use super::{record_changes, record_snapshot};
use crate::follow;
use crate::state::State;
use conn::Reply;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use platform::store::{Change, Item, Listing};
use snafu::Snafu;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;
use unit::{Span, Time};

/// Time that a reader holds a question while nothing changes, as a part of the shortest bound on
/// following the store.
const HELD_PART: f64 = 0.12;

/// Time beyond that in which an answer must have come; hosts of a hall are within milliseconds.
const ANSWER_LIMIT: Duration = Duration::from_millis(250);

/// Time in which all that stands must have come: a megabyte for some thousands of replicas, over the link
/// of a weak host.
const WHOLE_LIMIT: Duration = Duration::from_millis(4_000);

/// Age of a reader's own news at which a host no longer rests on it, as a part of the shortest
/// bound: a head pauses and waits for a sixth of it each, the reader that asks the head waits for
/// [`HELD_PART`], the store may be slow, and news are as old as the question that brought them.
const OLD_PART: f64 = 0.75;

/// What a reader told.
#[derive(Debug)]
pub enum StoreUpdate {
    /// Changes after the revision that this host had heard of.
    Changes(Listing<Change>),
    /// All that stands in the store.
    Snapshot(Listing<Item>),
}

/// Why a reader's answer cannot be rested on.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It could not be reached, or broke off.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// What went wrong.
        source: conn::Error,
    },
    /// It did not answer in time.
    #[snafu(display("it gave no answer for {limit:?}"))]
    Silent {
        /// Time that it had.
        limit: Duration,
    },
    /// It has itself not heard from the store for too long.
    #[snafu(display("its own news are {age} old"))]
    Old {
        /// Age of its news.
        age: Span,
    },
    /// It has not heard of as much as this host, and cannot tell what lies between.
    #[snafu(display("it stands at revision {revision}, this host at {after}"))]
    Behind {
        /// Its revision.
        revision: u64,
        /// This host's.
        after: u64,
    },
    /// Its answer is not one of ours.
    #[snafu(display("its answer cannot be read: {why}"))]
    Malformed {
        /// What is wrong with it.
        why: String,
    },
}

/// Asks a reader what has changed after a revision, and keeps that to pass it on.
///
/// `bound` is the shortest time within which the store must be followed. An error says why this host
/// must hear of the changes in another way.
pub async fn ask(
    state: &State,
    reader: SocketAddr,
    after: u64,
    bound: Duration,
) -> Result<StoreUpdate, Error> {
    let wait = bound.mul_f64(HELD_PART);
    let question = Question {
        after,
        wait_ms: wait.as_millis() as u32,
    };
    let limit = match after {
        0 => WHOLE_LIMIT,
        _ => wait + ANSWER_LIMIT,
    };
    let asked = state.now();
    let pool = &state.readers.pool;
    let exchange = pool.exchange(reader, request(reader, &question), limit, MOST_ANSWER);
    let reply = timeout(limit, exchange).await;
    let reply = reply.map_err(|_| Error::Silent { limit })??;
    let answer = read(&reply)?;
    let age = Span::from_ms(u64::from(answer.age_ms));
    if is_old(age, bound) {
        return Err(Error::Old { age });
    }
    // What the answer waited for this host, which may have stood still, makes it older.
    let answered = asked + Span::from_ms(u64::from(answer.held_ms));
    let confirmed = before(answered, age);
    follow::update_contact(state, state.now(), |contact| {
        contact.answered(confirmed, confirmed);
        if let Some(word) = answer.store {
            contact.merge(word, answered);
        }
    });
    take(state, answer, after, confirmed)
}

/// Whether news of that age are no longer rested on.
pub(super) fn is_old(age: Span, bound: Duration) -> bool {
    age > Span::from(bound) * OLD_PART
}

/// Keeps what a reader told, which stood in the store at `confirmed`, to pass it on, and gives it to this
/// host.
fn take(state: &State, answer: Answer, after: u64, confirmed: Time) -> Result<StoreUpdate, Error> {
    let revision = answer.revision;
    match answer.news {
        News::Changes(rows) => {
            let found: Vec<Change> = rows.into_iter().map(Change::from).collect();
            record_changes(state, &found, revision, confirmed);
            Ok(StoreUpdate::Changes(Listing { found, revision }))
        }
        News::Whole(_) if revision <= after => Err(Error::Behind { revision, after }),
        News::Whole(rows) => {
            let changes = rows.into_iter().map(Change::from);
            let found: Vec<Item> = changes.filter_map(written).collect();
            record_snapshot(state, &found, revision, confirmed);
            Ok(StoreUpdate::Snapshot(Listing { found, revision }))
        }
    }
}

/// The item of a change that wrote one.
fn written(change: Change) -> Option<Item> {
    match change {
        Change::Written(item) => Some(item),
        Change::Removed { .. } => None,
    }
}

/// The time so long before another.
fn before(time: Time, span: Span) -> Time {
    Time(time.0.saturating_sub(span.0))
}

/// The question as a request to a reader.
fn request(reader: SocketAddr, question: &Question) -> Request<conn::Body> {
    let body = rmp_serde::to_vec(question).expect("a question is plain data");
    let mut request = Request::new(conn::Body::new(body.into()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = PATH.parse().expect("it is a path");
    let host = reader.to_string().parse().expect("an address is a host");
    request.headers_mut().insert(HOST, host);
    request
}

/// Reads a reader's reply.
fn read(reply: &Reply) -> Result<Answer, Error> {
    if reply.status != StatusCode::OK {
        let why = format!("it has status {}", reply.status);
        return Err(Error::Malformed { why });
    }
    let read = rmp_serde::from_slice(&reply.body);
    read.map_err(|e: rmp_serde::decode::Error| Error::Malformed { why: e.to_string() })
}
