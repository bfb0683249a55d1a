//! Plain services: a request is passed through as it came.

use conn::{Body, Error, Pool, Reply, Reuse};
use hyper::Request;
use std::net::SocketAddr;
use std::time::Duration;

/// Header that carries the request id to a service.
pub const REQUEST_HEADER: &str = "coveford-request";

/// Header by which a service may echo the request id; a wrong echo is another's answer.
pub const ECHO_HEADER: &str = "coveford-request";

/// How a call to a service failed.
#[derive(Debug)]
pub enum Failure {
    /// Proven not to have run: nothing was sent.
    Unsent(Error),
    /// Proven not to have run: the status by which the service documents it.
    Refused(Reply),
    /// It may have run.
    Lost(String),
}

/// What a call needs besides its request.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Which connections may serve.
    pub reuse: Reuse,
    /// Status by which the service states that it ran nothing.
    pub refusal_status: Option<u16>,
    /// Time for the whole answer.
    pub timeout: Duration,
    /// Longest answer in bytes.
    pub max_bytes: usize,
}

/// Passes a request to a service and reads its whole answer.
pub async fn call(
    pool: &Pool,
    addr: SocketAddr,
    id: &str,
    request: Request<Body>,
    rules: Options,
) -> Result<Reply, Failure> {
    let mut line = pool
        .acquire(addr, rules.reuse)
        .await
        .map_err(Failure::Unsent)?;
    let reply = match line.exchange(request, rules.timeout, rules.max_bytes).await {
        Ok(reply) => reply,
        Err(e) if e.proves_unsent() => return Err(Failure::Unsent(e)),
        Err(e) => return Err(Failure::Lost(e.to_string())),
    };
    if let Some(echo) = reply.headers.get(ECHO_HEADER)
        && echo.as_bytes() != id.as_bytes()
    {
        return Err(Failure::Lost(
            "the answer echoes another request's id".into(),
        ));
    }
    pool.release(addr, line);
    if rules.refusal_status == Some(reply.status.as_u16()) {
        return Err(Failure::Refused(reply));
    }
    Ok(reply)
}
