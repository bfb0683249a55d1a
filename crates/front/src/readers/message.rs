//! What stands in the questions and answers between a host and its reader, as MessagePack over HTTP.

use crate::contact::Ages;
use bytes::Bytes;
use platform::store::{Change, Item};
use serde::{Deserialize, Serialize};
use unit::Name;

/// Path under which a host answers what has changed in the store.
pub(super) const PATH: &str = "/changes";

/// Longest question, in bytes.
pub(super) const MOST_QUESTION: usize = 1 << 10;

/// Longest answer, in bytes: a configuration of the platform's largest value.
pub(super) const MOST_ANSWER: usize = 8 << 20;

/// Question of a host: what has changed after a revision.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Question {
    /// Revision of the store up to which the host has heard; 0 when it knows nothing.
    pub(super) after: u64,
    /// Time for which the answer may wait for a change, in milliseconds.
    pub(super) wait_ms: u32,
}

/// Answer of a reader.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Answer {
    /// Revision of the store up to which it has heard.
    pub(super) revision: u64,
    /// Time since the store was asked for that, in milliseconds.
    pub(super) age_ms: u32,
    /// Time for which the reader held the question, in milliseconds.
    pub(super) held_ms: u32,
    /// Time through which the reader heard from the store, if it ever did.
    pub(super) store: Option<Ages>,
    /// What the host does not know yet.
    pub(super) news: News,
}

/// What a reader tells of the store.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum News {
    /// Changes after the revision of the question.
    Changes(Vec<Row>),
    /// All that stands in the store: some change after that revision may not be known any more.
    Whole(Vec<Row>),
}

/// Change of one key, as hosts tell it each other.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Row {
    /// The key.
    key: Name,
    /// Revision of the store at which it changed.
    revision: u64,
    /// Value, revision of the creation, and lease; none when the key was removed.
    written: Option<(Bytes, u64, u64)>,
}

impl From<Change> for Row {
    fn from(change: Change) -> Row {
        match change {
            Change::Written(item) => Row {
                key: item.key,
                revision: item.revision,
                written: Some((item.value.into(), item.created, item.lease)),
            },
            Change::Removed { key, revision } => Row {
                key,
                revision,
                written: None,
            },
        }
    }
}

impl From<Row> for Change {
    fn from(row: Row) -> Change {
        let (key, revision) = (row.key, row.revision);
        match row.written {
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
