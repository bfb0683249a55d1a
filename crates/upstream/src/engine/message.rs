//! JSON messages and paths of the engine protocol.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::borrow::Cow;
use unit::Name;
pub use unit::engine::*;

/// Path to start or resume a request.
pub const RUN_PATH: &str = "/v1/run";
/// Path to cancel a request.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path of the load report.
pub const REPORT_PATH: &str = "/v1/report";
/// Path of orders.
pub const ORDER_PATH: &str = "/v1/order";
/// Path of cache events.
pub const CACHE_PATH: &str = "/v1/cache";

/// Attempt at a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// ID of the request.
    #[serde(rename = "r")]
    pub request: Name,
    /// Number of the attempt, counted from 1.
    #[serde(rename = "a")]
    pub number: u32,
}

/// Request to run or resume a generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Attempt that this is.
    pub attempt: Attempt,
    /// Model to run.
    pub model: Name,
    /// Version of the model; none for any.
    pub version: Option<Name>,
    /// Adapter of the model.
    pub adapter: Option<Name>,
    /// Prompt; the engine continues after `given`, if that is not empty.
    pub prompt: Name,
    /// Text that another engine has generated so far.
    #[serde(default)]
    pub given: String,
    /// Number of tokens in `given`, which is the offset of the first new token.
    #[serde(default)]
    pub given_tokens: u32,
    /// Offset at which the stream of this attempt is resumed, instead of starting a run.
    pub resume_at: Option<u32>,
    /// Maximum number of tokens to generate in total.
    pub max_tokens: u32,
    /// Priority; higher values run first.
    pub priority: u8,
    /// Sampling parameters of the caller's request, unchanged.
    #[serde(default)]
    pub sampling: Map<String, Value>,
}

/// Event of a stream, one per line; its text borrows from the line if possible.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event<'a> {
    /// ID of its request.
    #[serde(rename = "r", borrow)]
    pub request: Cow<'a, str>,
    /// Number of its attempt.
    #[serde(rename = "a")]
    pub number: u32,
    /// Offset of its first token.
    #[serde(rename = "o")]
    pub offset: u32,
    /// Text.
    #[serde(rename = "t", borrow, default)]
    pub text: Cow<'a, str>,
    /// Number of tokens.
    #[serde(rename = "n")]
    pub tokens: u32,
    /// End marker, in the last event.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub end: Option<End>,
}

impl Event<'_> {
    /// Whether the event belongs to `attempt`.
    pub fn is_of(&self, attempt: &Attempt) -> bool {
        self.request == *attempt.request && self.number == attempt.number
    }
}

/// End of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Finish reason, such as `stop` or `length`.
    pub finish: Name,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Load of the engine at the end.
    pub load: Load,
}

/// Refusal of a request, which guarantees that the engine did not and will not run the attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Attempt that was refused.
    pub attempt: Attempt,
    /// Reason of the refusal.
    pub refused: RefusalReason,
}

/// Change of an engine's prefix cache. Events may be lost, so they are hints only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap means that events were lost.
    pub number: u64,
    /// Model.
    pub model: Name,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was cached; otherwise it was evicted.
    pub held: bool,
}
