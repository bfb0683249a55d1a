//! Answers of coveford's own.
//!
//! 429, 503 and 408 are given only where it is proven that the request has not run and will not;
//! everything else that could not be answered is 502 or 504.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::io;
use unit::Span;

/// Body of an answer: whole, or a stream that may fail.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// A request that coveford answers itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rejection {
    /// Status of the answer.
    pub status: StatusCode,
    /// One word for logs and metrics.
    pub reason: &'static str,
    /// What happened, for the client.
    pub message: String,
    /// When to come back, if the request has not run.
    pub retry_after: Option<Span>,
}

impl Rejection {
    /// The request has not run and will not; the client may come back.
    pub fn not_run(
        reason: &'static str,
        message: impl Into<String>,
        retry_after: Span,
    ) -> Rejection {
        Rejection {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            message: message.into(),
            retry_after: Some(retry_after),
        }
    }

    /// The request may have run, and its answer is lost.
    pub fn lost(reason: &'static str, message: impl Into<String>) -> Rejection {
        Rejection {
            status: StatusCode::BAD_GATEWAY,
            reason,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Its time ran out at a replica.
    pub fn timed_out(message: impl Into<String>) -> Rejection {
        Rejection {
            status: StatusCode::GATEWAY_TIMEOUT,
            reason: "late",
            message: message.into(),
            retry_after: None,
        }
    }

    /// The request itself is at fault.
    pub fn client_error(
        status: StatusCode,
        reason: &'static str,
        message: impl Into<String>,
    ) -> Rejection {
        Rejection {
            status,
            reason,
            message: message.into(),
            retry_after: None,
        }
    }

    /// The answer that tells the client.
    pub fn response(&self) -> Response<Body> {
        let text = serde_json::json!({"error": self.reason, "message": self.message});
        let mut response = Response::new(full_body(text.to_string().into()));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if self.status == StatusCode::UNAUTHORIZED {
            let (name, scheme) = platform::account::challenge();
            headers.insert(name, scheme);
        }
        if let Some(wait) = self.retry_after {
            headers.insert(RETRY_AFTER, platform::ingress::retry_after(wait.std()));
        }
        response
    }
}

/// Body that is there whole.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Asks the client to close the connection behind this answer.
pub fn close(response: &mut Response<Body>) {
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
