//! HTTP API for callers: models and plain services.

mod error;
mod generation;
mod idempotency;
mod render;
mod request;
mod respond;
mod serve;
mod service;

pub use error::ApiError;
pub use request::{Completion, Endpoint};
pub use serve::handle;

/// Response header with the request id.
pub const REQUEST_HEADER: &str = "coveford-request";

/// Response header with the outcome: `complete`, `not-run`, `unknown`, or `streaming`.
///
/// A stream states its outcome at its end: `[DONE]` follows only a complete
/// response.
pub const OUTCOME_HEADER: &str = "coveford-outcome";

/// Request header that marks a request as unrepeatable, so that it is not retried once it may
/// have run. It cannot make an unrepeatable model or service repeatable.
pub const UNREPEATABLE_HEADER: &str = "coveford-unrepeatable";

/// Request header that selects one of the caller's classes.
pub const CLASS_HEADER: &str = "coveford-class";

/// Request header with the key that identifies resends of an unrepeatable request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
