//! Messages of an engine.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::borrow::Cow;
use unit::Name;
pub use unit::engine::*;

/// Path that starts or resumes a request.
pub const RUN_PATH: &str = "/v1/run";
/// Path that cancels a request.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path of the load report.
pub const REPORT_PATH: &str = "/v1/report";
/// Path that takes orders.
pub const ORDER_PATH: &str = "/v1/order";
/// Path of cache events.
pub const CACHE_PATH: &str = "/v1/cache";

/// Identity of one attempt at one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The request.
    #[serde(rename = "r")]
    pub request: Name,
    /// Number of the attempt, from 1.
    #[serde(rename = "a")]
    pub number: u32,
}

/// Request to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Whose attempt this is.
    pub attempt: Attempt,
    /// Model that must answer.
    pub model: Name,
    /// Version of the model that the sender knows of; none for any.
    pub version: Option<Name>,
    /// Adapter on it.
    pub adapter: Option<Name>,
    /// Prompt; with `given`, the engine continues behind that text.
    pub prompt: Name,
    /// Text generated so far elsewhere.
    #[serde(default)]
    pub given: String,
    /// Tokens that `given` stands for; the first new token has this offset.
    #[serde(default)]
    pub given_tokens: u32,
    /// Resumes the attempt's own stream at this token instead of starting.
    pub resume_at: Option<u32>,
    /// Most tokens to generate in all.
    pub max_tokens: u32,
    /// Rank; a higher one goes first.
    pub priority: u8,
    /// Sampling fields of the caller's request, as they came.
    #[serde(default)]
    pub sampling: Map<String, Value>,
}

/// Line of an engine's stream; its text is borrowed from the line where it can be.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event<'a> {
    /// The request it belongs to.
    #[serde(rename = "r", borrow)]
    pub request: Cow<'a, str>,
    /// The attempt it belongs to.
    #[serde(rename = "a")]
    pub number: u32,
    /// Offset of its first token.
    #[serde(rename = "o")]
    pub offset: u32,
    /// Text of its tokens.
    #[serde(rename = "t", borrow, default)]
    pub text: Cow<'a, str>,
    /// Number of its tokens.
    #[serde(rename = "n")]
    pub tokens: u32,
    /// End of the whole answer.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub end: Option<End>,
}

impl Event<'_> {
    /// Whether the event belongs to an attempt.
    pub fn is_of(&self, attempt: &Attempt) -> bool {
        self.request == *attempt.request && self.number == attempt.number
    }
}

/// End marker of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// Why it ended, such as `stop` or `length`.
    pub finish: Name,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Load of the engine at the end.
    pub load: Load,
}

/// Documented refusal: the engine did not and will not run the attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whose attempt it was.
    pub attempt: Attempt,
    /// Why.
    pub refused: RefusalReason,
}

/// Cache event: a hint with gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cached {
    /// Number of the event, growing; a gap means that some were lost.
    pub number: u64,
    /// The model.
    pub model: Name,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it is held now; else it was dropped.
    pub held: bool,
}
