//! Error responses to callers.

use hyper::StatusCode;
use route::retry::Outcome;
use serde_json::json;
use unit::Span;

/// Error response that ends a request.
#[derive(Debug, Clone)]
pub struct ApiError {
    pub status: StatusCode,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Machine-readable code.
    pub code: &'static str,
    /// Human-readable message: a full sentence.
    pub message: String,
    /// Value of `Retry-After`, if a retry may succeed.
    pub retry_after: Option<Span>,
}

impl ApiError {
    /// Rejects an invalid request before dispatch.
    pub fn client_error(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> ApiError {
        ApiError {
            status,
            outcome: Outcome::NotRun,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Rejects a request with status 400.
    pub fn bad_request(code: &'static str, message: impl Into<String>) -> ApiError {
        ApiError::client_error(StatusCode::BAD_REQUEST, code, message)
    }

    /// Rejects a request that was not run for lack of capacity (status 503).
    pub fn unavailable(
        code: &'static str,
        message: impl Into<String>,
        retry_after: Span,
    ) -> ApiError {
        ApiError {
            retry_after: Some(retry_after),
            ..ApiError::client_error(StatusCode::SERVICE_UNAVAILABLE, code, message)
        }
    }

    /// Reports a request without a response from its upstream: status 503 if it did not run,
    /// else 502.
    pub fn upstream_failure(outcome: Outcome, message: impl Into<String>) -> ApiError {
        let (status, code) = match outcome {
            Outcome::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "upstream_not_reached"),
            _ => (StatusCode::BAD_GATEWAY, "outcome_unknown"),
        };
        let retry_after = (outcome == Outcome::NotRun).then_some(Span::from_secs(1));
        ApiError {
            status,
            outcome,
            code,
            message: message.into(),
            retry_after,
        }
    }

    /// Encodes the error as the OpenAI API does, with the outcome added.
    pub fn to_json(&self) -> Vec<u8> {
        let error_type = match self.status {
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => "authentication_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        };
        let error = json!({
            "error": {
                "message": self.message,
                "type": error_type,
                "code": self.code,
                "outcome": self.outcome.as_str(),
            }
        });
        error.to_string().into_bytes()
    }
}
