//! Errors as callers see them.

use hyper::StatusCode;
use route::retry::Outcome;
use serde_json::json;
use unit::Span;

/// Error that ends a request.
#[derive(Debug, Clone)]
pub struct Fault {
    /// HTTP status.
    pub status: StatusCode,
    /// What is known of the request.
    pub outcome: Outcome,
    /// Machine-readable code.
    pub code: &'static str,
    /// Full sentence for people.
    pub message: String,
    /// When to come back, where that helps.
    pub retry_after: Option<Span>,
}

impl Fault {
    /// Request that was refused before dispatch for what it is.
    pub fn refused(status: StatusCode, code: &'static str, message: impl Into<String>) -> Fault {
        Fault {
            status,
            outcome: Outcome::NotRun,
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Bad request.
    pub fn bad(code: &'static str, message: impl Into<String>) -> Fault {
        Fault::refused(StatusCode::BAD_REQUEST, code, message)
    }

    /// Request that was not run for want of room; it may come again.
    pub fn busy(code: &'static str, message: impl Into<String>, retry_after: Span) -> Fault {
        Fault {
            retry_after: Some(retry_after),
            ..Fault::refused(StatusCode::SERVICE_UNAVAILABLE, code, message)
        }
    }

    /// Request whose answer is lost.
    pub fn lost(outcome: Outcome, message: impl Into<String>) -> Fault {
        let (status, code) = match outcome {
            Outcome::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "upstream_not_reached"),
            _ => (StatusCode::BAD_GATEWAY, "outcome_unknown"),
        };
        let retry_after = (outcome == Outcome::NotRun).then_some(Span::from_secs(1));
        Fault {
            status,
            outcome,
            code,
            message: message.into(),
            retry_after,
        }
    }

    /// The error in the usual JSON form.
    pub fn body(&self) -> Vec<u8> {
        let kind = match self.status {
            StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => "authentication_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        };
        let error = json!({
            "error": {
                "message": self.message,
                "type": kind,
                "code": self.code,
                "outcome": self.outcome.as_str(),
            }
        });
        error.to_string().into_bytes()
    }
}
