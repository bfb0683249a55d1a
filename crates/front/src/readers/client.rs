//! Polls a reader for changes of the store.

use super::message::{ChangesRequest, ChangesResponse, MAX_RESPONSE, PATH, Payload};
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

/// Time for which the reader may hold a request until there is a change, as a fraction of the propagation bound.
const WAIT_FRACTION: f64 = 0.12;

/// Additional time for the response; hosts are milliseconds apart.
const RESPONSE_MARGIN: Duration = Duration::from_millis(250);

/// Timeout of a snapshot: about a megabyte for thousands of replicas, over the link of a slow host.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Maximum age of a reader's data, as a fraction of the propagation bound. It allows for the pause and the watch of a
/// root (one sixth each), the wait of the reader that polls it ([`WAIT_FRACTION`]), a slow store, and the time of the
/// request.
const MAX_AGE_FRACTION: f64 = 0.75;

/// Response of a reader.
#[derive(Debug)]
pub enum StoreUpdate {
    /// Changes after the requested revision.
    Changes(Listing<Change>),
    /// Snapshot of the store.
    Snapshot(Listing<Item>),
}

/// Why a reader's response cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection failed.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// Cause.
        source: conn::Error,
    },
    /// The reader did not respond in time.
    #[snafu(display("no response within {limit:?}"))]
    TimedOut {
        /// Timeout.
        limit: Duration,
    },
    /// The reader has not heard from the store for too long.
    #[snafu(display("its data is {age} old"))]
    Stale {
        /// Age of its data.
        age: Span,
    },
    /// The reader's revision is not newer than this host's, and it no longer has the changes in between.
    #[snafu(display("it is at revision {revision}, this host at {after}"))]
    Behind {
        /// Revision of the reader.
        revision: u64,
        /// Revision of this host.
        after: u64,
    },
    /// The response is malformed.
    #[snafu(display("malformed response: {why}"))]
    Malformed {
        /// What is wrong with it.
        why: String,
    },
}

/// Polls a reader for the changes after a revision, and records them to serve them to others.
///
/// `bound` is the propagation bound. After an error the changes must be read from another source.
pub async fn poll(
    state: &State,
    reader: SocketAddr,
    after: u64,
    bound: Duration,
) -> Result<StoreUpdate, Error> {
    let wait = bound.mul_f64(WAIT_FRACTION);
    let request = ChangesRequest {
        after,
        wait_ms: wait.as_millis() as u32,
    };
    let limit = match after {
        0 => SNAPSHOT_TIMEOUT,
        _ => wait + RESPONSE_MARGIN,
    };
    let sent_at = state.now();
    let pool = &state.readers.pool;
    let exchange = pool.exchange(reader, new_request(reader, &request), limit, MAX_RESPONSE);
    let reply = timeout(limit, exchange).await;
    let reply = reply.map_err(|_| Error::TimedOut { limit })??;
    let response = parse_reply(&reply)?;
    let age = Span::from_ms(u64::from(response.age_ms));
    if is_stale(age, bound) {
        return Err(Error::Stale { age });
    }
    // The reader's ages are as of when it responded; this host may have been paused since, which makes the data
    // older.
    let responded_at = sent_at + Span::from_ms(u64::from(response.held_ms));
    let confirmed = before(responded_at, age);
    follow::update_contact(state, state.now(), |contact| {
        contact.answered(confirmed, confirmed);
        if let Some(ages) = response.store_uptime {
            contact.merge(ages, responded_at);
        }
    });
    record(state, response, after, confirmed)
}

/// Whether data of this age is too old to be used.
pub(super) fn is_stale(age: Span, bound: Duration) -> bool {
    age > Span::from(bound) * MAX_AGE_FRACTION
}

/// Records a response, whose data was in the store at `confirmed`, and converts it.
fn record(
    state: &State,
    response: ChangesResponse,
    after: u64,
    confirmed: Time,
) -> Result<StoreUpdate, Error> {
    let revision = response.revision;
    match response.payload {
        Payload::Changes(changes) => {
            let found: Vec<Change> = changes.into_iter().map(Change::from).collect();
            record_changes(state, &found, revision, confirmed);
            Ok(StoreUpdate::Changes(Listing {
                items: found,
                revision,
            }))
        }
        Payload::Snapshot(_) if revision <= after => Err(Error::Behind { revision, after }),
        Payload::Snapshot(changes) => {
            let changes = changes.into_iter().map(Change::from);
            let found: Vec<Item> = changes.filter_map(written_item).collect();
            record_snapshot(state, &found, revision, confirmed);
            Ok(StoreUpdate::Snapshot(Listing {
                items: found,
                revision,
            }))
        }
    }
}

fn written_item(change: Change) -> Option<Item> {
    match change {
        Change::Written(item) => Some(item),
        Change::Removed { .. } => None,
    }
}

fn before(time: Time, span: Span) -> Time {
    Time(time.0.saturating_sub(span.0))
}

fn new_request(reader: SocketAddr, changes_request: &ChangesRequest) -> Request<conn::Body> {
    let body = rmp_serde::to_vec(changes_request).expect("a request is serializable");
    let mut request = Request::new(conn::Body::new(body.into()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = PATH.parse().expect("the path is valid");
    let host = reader
        .to_string()
        .parse()
        .expect("an address is a valid header value");
    request.headers_mut().insert(HOST, host);
    request
}

fn parse_reply(reply: &Reply) -> Result<ChangesResponse, Error> {
    if reply.status != StatusCode::OK {
        let why = format!("unexpected status {}", reply.status);
        return Err(Error::Malformed { why });
    }
    let response = rmp_serde::from_slice(&reply.body);
    response.map_err(|e: rmp_serde::decode::Error| Error::Malformed { why: e.to_string() })
}
