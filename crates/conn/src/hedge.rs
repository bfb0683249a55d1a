//! Exchanges that are sent again while their answer is awaited, for peers that lose answers.

use crate::error::Error;
use crate::pool::{Pool, Reuse, clone};
use crate::{Body, Connection, Reply, connection};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Limits of a hedged exchange.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time without the head of an answer after which the request is sent a second time, over a new connection. It doubles
    /// with each further time, so that a peer that is slow for all gets few more requests.
    pub delay: Duration,
    /// Time for the head, over all times that the request is sent, and again for the body.
    pub timeout: Duration,
    /// Maximum size of the body, in bytes.
    pub max_bytes: usize,
}

/// Connection with the head of an answer.
type Head = (Connection, Response<Incoming>);

/// Sends a request that may be repeated, sends it again while no head of an answer comes, and reads the answer whose head
/// comes first. Calls `on_send` each time that the request is sent.
pub async fn exchange(
    pool: &Pool,
    addr: SocketAddr,
    request: Request<Body>,
    limits: Limits,
    on_send: impl Fn(),
) -> Result<Reply, Error> {
    let (connection, response) = first_head(pool, addr, &request, limits, on_send).await?;
    let reply = connection::collect(addr, response, limits.timeout, limits.max_bytes).await?;
    pool.release(addr, connection);
    Ok(reply)
}

async fn first_head(
    pool: &Pool,
    addr: SocketAddr,
    request: &Request<Body>,
    limits: Limits,
    on_send: impl Fn(),
) -> Result<Head, Error> {
    let end = Instant::now() + limits.timeout;
    let send = |reuse| {
        on_send();
        head(pool, addr, clone(request), reuse, end)
    };
    let mut heads = FuturesUnordered::from_iter([send(Reuse::Pooled)]);
    let mut delay = limits.delay;
    let mut next = Instant::now() + delay;
    loop {
        tokio::select! {
            Some(result) = heads.next() => match result {
                Ok(head) => return Ok(head),
                // The peer may have closed that connection while it was idle, and answer on a new one.
                Err(Failure { is_idle_closed: true, .. }) => heads.push(send(Reuse::Fresh)),
                Err(failure) if heads.is_empty() => return Err(failure.error),
                Err(_) => {}
            },
            () = sleep_until(next), if next < end => {
                heads.push(send(Reuse::Fresh));
                delay *= 2;
                next += delay;
            }
        }
    }
}

/// Why no head came over one connection.
struct Failure {
    error: Error,
    /// Whether the connection was reused, and found closed.
    is_idle_closed: bool,
}

async fn head(
    pool: &Pool,
    addr: SocketAddr,
    request: Request<Body>,
    reuse: Reuse,
    end: Instant,
) -> Result<Head, Failure> {
    let opened = pool.acquire(addr, reuse).await;
    let mut connection = opened.map_err(|error| Failure {
        error,
        is_idle_closed: false,
    })?;
    let is_reused = connection.request_count() > 0;
    let remaining = end.saturating_duration_since(Instant::now());
    match connection.send(request, remaining).await {
        Ok(response) => Ok((connection, response)),
        Err(error) => Err(Failure {
            is_idle_closed: is_reused
                && matches!(error, Error::Unsent { .. } | Error::Broken { .. }),
            error,
        }),
    }
}
