//! Client of plain services, to which requests are forwarded unchanged.

use conn::{Body, Error, Pool, Reply, Reuse};
use hyper::Request;
use std::net::SocketAddr;
use std::time::Duration;

/// Header field with the request ID.
pub const REQUEST_HEADER: &str = "coveford-request";

/// Header field in which a service may echo the request ID. A response with another ID belongs to another request, and one
/// without an ID may belong to any that its connection has carried.
pub const ECHO_HEADER: &str = "coveford-request";

/// Why a call to a service failed.
#[derive(Debug)]
pub enum Failure {
    /// Nothing was sent, so the request did not run.
    Unsent(Error),
    /// The service refused the request with the status that guarantees that it did not run.
    Refused(Reply),
    /// The request may have run; holds the reason.
    Lost(String),
}

/// Options of a call.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Whether the call may use a pooled connection.
    pub reuse: Reuse,
    /// Status with which the service guarantees that the request did not run.
    pub refusal_status: Option<u16>,
    /// Timeout of the head of the response, and again of its body.
    pub timeout: Duration,
    /// Maximum size of the response body, in bytes.
    pub max_bytes: usize,
}

/// Sends a request to a service and reads the complete response; `id` is the request ID.
pub async fn call(
    pool: &Pool,
    addr: SocketAddr,
    id: &str,
    request: Request<Body>,
    options: Options,
) -> Result<Reply, Failure> {
    let mut connection = pool
        .acquire(addr, options.reuse)
        .await
        .map_err(Failure::Unsent)?;
    let reply = match connection
        .exchange(request, options.timeout, options.max_bytes)
        .await
    {
        Ok(reply) => reply,
        Err(e) if e.proves_unsent() => return Err(Failure::Unsent(e)),
        Err(e) => return Err(Failure::Lost(e.to_string())),
    };
    let echo = reply.headers.get(ECHO_HEADER);
    match echo {
        Some(echo) if echo.as_bytes() != id.as_bytes() => {
            let why = "the answer echoes another request's id";
            return Err(Failure::Lost(why.into()));
        }
        None if connection.request_count() > 1 => {
            let why = "the answer echoes no id, and its connection has carried another request";
            return Err(Failure::Lost(why.into()));
        }
        _ => {}
    }
    if options.refusal_status == Some(reply.status.as_u16()) {
        // A late copy of the refusal would pass for the answer to the next call on this connection.
        return Err(Failure::Refused(reply));
    }
    if echo.is_some() {
        pool.release(addr, connection);
    }
    Ok(reply)
}
