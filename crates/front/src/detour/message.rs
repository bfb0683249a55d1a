//! Messages between the two hosts of a request: MessagePack over HTTP. An answer of a replica is passed back as it is.

use crate::respond::Rejection;
use crate::routes::Edition;
use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use platform::account::Key;
use route::streams::Run;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use unit::{Name, Span};

/// Path of the endpoint.
pub const PATH: &str = "/requests";

/// Header field that says what a response is: [`ANSWERED`] or [`REJECTED`].
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("coveford-detour");

/// Header field that names the run that began the answered stream, as JSON.
pub(super) const RUN: HeaderName = HeaderName::from_static("coveford-run");

/// Header field that names the configuration by which the request was handled, as JSON.
pub(super) const EDITION: HeaderName = HeaderName::from_static("coveford-configuration");

/// The response is that of a replica.
pub(super) const ANSWERED: &str = "answered";

/// The body is a [`Refusal`].
pub(super) const REJECTED: &str = "rejected";

/// Longest [`Refusal`], in bytes.
pub(super) const MAX_REFUSAL: usize = 64 * 1_024;

/// Longest request beside its body, in bytes.
pub(super) const MAX_HEAD: usize = 64 * 1_024;

/// Request of a client with what the first host knows of it.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Envelope {
    /// Host that the client asked.
    pub(super) host: Name,
    pub(super) method: String,
    /// Path and query.
    pub(super) uri: String,
    /// Host that the client named.
    pub(super) authority: String,
    /// Header fields, without the key.
    pub(super) headers: Vec<(String, Bytes)>,
    pub(super) body: Bytes,
    /// Key of the client, which the first host has accepted.
    pub(super) key: Option<Key>,
    /// Time since the request arrived, in milliseconds.
    pub(super) elapsed_ms: u32,
    /// Time until its deadline, in milliseconds.
    pub(super) left_ms: u32,
    /// Newest configuration that its sender knows to be in force; the receiver may not use an older one.
    pub(super) edition: Edition,
    /// Last event that the client has of a stream.
    pub(super) last_event: Option<u64>,
    /// Replicas that it was sent to.
    pub(super) attempted: Vec<Name>,
    /// Those that may have run it.
    pub(super) may_have_run: Vec<Name>,
    /// Runs at replicas that are not known by name.
    pub(super) unnamed_runs: u32,
    /// Runs that the receiver must leave to the sender.
    pub(super) reserved_runs: u32,
    /// Run that began the stream, if it is to go on.
    pub(super) run: Option<Run>,
}

/// Rejection of a request by the second host.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Refusal {
    pub(super) status: u16,
    pub(super) reason: String,
    pub(super) message: String,
    /// Time after which the client may return, if the request has not run.
    pub(super) retry_after_ms: Option<u32>,
    /// Replicas that it was sent to, also before.
    pub(super) attempted: Vec<Name>,
    /// Those that may have run it, also before.
    pub(super) may_have_run: Vec<Name>,
    /// Whether another host may take it.
    pub(super) may_go_elsewhere: bool,
}

impl Refusal {
    pub(super) fn new(rejection: Rejection, may_go_elsewhere: bool) -> Refusal {
        Refusal {
            status: rejection.status.as_u16(),
            reason: rejection.reason.into(),
            message: rejection.message,
            retry_after_ms: rejection.retry_after.map(|wait| wait.ms().ceil() as u32),
            attempted: Vec::new(),
            may_have_run: Vec::new(),
            may_go_elsewhere,
        }
    }

    /// Rejection for the client.
    pub(super) fn rejection(&self) -> Rejection {
        let status = StatusCode::from_u16(self.status);
        Rejection {
            status: status.unwrap_or(StatusCode::BAD_GATEWAY),
            reason: known_reason(&self.reason),
            message: self.message.clone(),
            retry_after: self.retry_after_ms.map(|ms| Span::from_ms(u64::from(ms))),
        }
    }
}

/// Inserts a value as JSON, if there is one.
pub(super) fn insert_json<T: Serialize>(
    headers: &mut HeaderMap,
    name: HeaderName,
    value: Option<&T>,
) {
    let text = value.and_then(|value| serde_json::to_string(value).ok());
    if let Some(value) = text.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(name, value);
    }
}

/// Removes a value that was inserted by [`insert_json`].
pub(super) fn take_json<T: DeserializeOwned>(
    headers: &mut HeaderMap,
    name: &HeaderName,
) -> Option<T> {
    let value = headers.remove(name)?;
    serde_json::from_slice(value.as_bytes()).ok()
}

/// Reasons of rejections that keep their series in the metrics.
const REASONS: [&str; 17] = [
    "overloaded",
    "no_model",
    "model_loading",
    "no_adapter",
    "resting",
    "limited",
    "leaving",
    "no_replica",
    "unreachable",
    "refused_by_replicas",
    "key_withdrawn",
    "key_unconfirmed",
    "kept_out",
    "suspected",
    "lost",
    "late",
    "other_software",
];

/// Reason under which a rejection by another host is counted.
fn known_reason(reason: &str) -> &'static str {
    let known = REASONS.into_iter().find(|known| *known == reason);
    known.unwrap_or("other_host")
}
