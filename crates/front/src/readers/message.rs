//! Messages between a host and its reader: MessagePack over HTTP.

use crate::contact::Ages;
use bytes::Bytes;
use platform::store::{Change, Item};
use serde::{Deserialize, Serialize};
use unit::Name;

/// Path of the endpoint.
pub(super) const PATH: &str = "/changes";

/// Longest request, in bytes.
pub(super) const MAX_REQUEST: usize = 1 << 10;

/// Longest response, in bytes; holds the platform's largest value.
pub(super) const MAX_RESPONSE: usize = 8 << 20;

/// Request for the changes after a revision.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ChangesRequest {
    /// Revision of the store up to which the sender has the changes; 0 requests a snapshot.
    pub(super) after: u64,
    /// Time for which the response may wait for a change, in milliseconds.
    pub(super) wait_ms: u32,
}

/// Response of a reader.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ChangesResponse {
    /// Revision of the store that the response is current for.
    pub(super) revision: u64,
    /// Time since the data was requested from the store, in milliseconds.
    pub(super) age_ms: u32,
    /// Time for which the reader held the request, in milliseconds.
    pub(super) held_ms: u32,
    /// Period for which the reader has been in contact with the store, if it ever was.
    pub(super) store_uptime: Option<Ages>,
    pub(super) payload: Payload,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Payload {
    /// Changes after the requested revision.
    Changes(Vec<WireChange>),
    /// Snapshot of the store, as the reader no longer has all changes after that revision.
    #[serde(rename = "Whole")]
    Snapshot(Vec<WireChange>),
}

/// Change of one key.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct WireChange {
    key: Name,
    /// Revision of the change.
    revision: u64,
    /// Value, revision of creation, and lease; none if the key was removed.
    written: Option<(Bytes, u64, u64)>,
}

impl From<Change> for WireChange {
    fn from(change: Change) -> WireChange {
        match change {
            Change::Written(item) => WireChange {
                key: item.key,
                revision: item.revision,
                written: Some((item.value.into(), item.created, item.lease)),
            },
            Change::Removed { key, revision } => WireChange {
                key,
                revision,
                written: None,
            },
        }
    }
}

impl From<WireChange> for Change {
    fn from(change: WireChange) -> Change {
        let (key, revision) = (change.key, change.revision);
        match change.written {
            Some((value, created, lease)) => Change::Written(Item {
                key,
                value: value.into(),
                revision,
                created,
                lease,
            }),
            None => Change::Removed { key, revision },
        }
    }
}
