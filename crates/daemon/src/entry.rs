//! Entry: takes callers' requests and carries their answers.

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

/// Header that carries the request id to the caller.
pub const REQUEST_HEADER: &str = "coveford-request";

/// Header that carries the outcome: `complete`, `not-run`, `unknown`, or `streaming`.
///
/// A stream states its outcome at its end: `[DONE]` stands behind a complete
/// one only.
pub const OUTCOME_HEADER: &str = "coveford-outcome";

/// Header by which a caller marks a request as unrepeatable; it can only make it stricter.
pub const UNREPEATABLE_HEADER: &str = "coveford-unrepeatable";

/// Header by which a caller names one of its classes.
pub const CLASS_HEADER: &str = "coveford-class";

/// Header that makes resends of an unrepeatable request known as such.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
