//! What may cause the crash of a replica.

use serde::{Deserialize, Serialize};
use std::fmt;
use unit::Fingerprint;

/// Possible cause of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// A request, in each of its repetitions.
    #[serde(rename = "r")]
    Request(Fingerprint),
    /// Segment of a prompt, by its ID, in any request.
    #[serde(rename = "s")]
    Segment(u64),
}

impl Cause {
    /// Fingerprint, if it is a request.
    pub fn request(&self) -> Option<Fingerprint> {
        match self {
            Cause::Request(fingerprint) => Some(*fingerprint),
            Cause::Segment(_) => None,
        }
    }

    /// ID, if it is a segment.
    pub fn segment(&self) -> Option<u64> {
        match self {
            Cause::Request(_) => None,
            Cause::Segment(id) => Some(*id),
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Request(fingerprint) => write!(f, "request {fingerprint}"),
            Cause::Segment(id) => write!(f, "segment {id:x}"),
        }
    }
}

/// Names several causes.
pub fn join(causes: &[Cause]) -> String {
    let names: Vec<String> = causes.iter().map(Cause::to_string).collect();
    names.join(", ")
}
