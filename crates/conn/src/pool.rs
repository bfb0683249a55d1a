//! Kept connections, by address.

use crate::error::Error;
use crate::{Body, Connection, Reply};
use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use unit::{Span, clock};

/// Whether a request may go over a connection that was used before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// A kept connection may serve; the request may be repeated if it dies.
    Pooled,
    /// Only a connection opened for this request.
    Fresh,
}

/// Idle connections kept for one address; more are closed.
const KEPT_PER_ADDR: usize = 64;

/// Idle time after which a kept connection is not trusted any more.
const KEPT_FOR: Span = Span::from_secs(15);

/// Time allowed to open a connection.
pub const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);

struct Idle {
    line: Connection,
    /// When it was given back, as time since the machine was started.
    since: Span,
}

/// Pool of connections; clones share it.
#[derive(Clone, Default)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

impl Pool {
    /// Takes a kept connection or opens one.
    pub async fn acquire(&self, addr: SocketAddr, reuse: Reuse) -> Result<Connection, Error> {
        if reuse == Reuse::Pooled
            && let Some(line) = self.take(addr)
        {
            return Ok(line);
        }
        Connection::open(addr, CONNECT_LIMIT).await
    }

    fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let lines = idle.get_mut(&addr)?;
        while let Some(kept) = lines.pop() {
            if kept.line.is_reusable() && clock::since_boot().saturating_sub(kept.since) < KEPT_FOR
            {
                return Some(kept.line);
            }
        }
        idle.remove(&addr);
        None
    }

    /// Gives a connection back once its answer was read whole.
    pub fn release(&self, addr: SocketAddr, line: Connection) {
        let mut idle = self.idle.lock();
        let lines = idle.entry(addr).or_default();
        if lines.len() < KEPT_PER_ADDR {
            lines.push(Idle {
                line,
                since: clock::since_boot(),
            });
        }
    }

    /// Sends a request and reads its whole answer.
    ///
    /// A kept connection that proves dead before a byte left is replaced by a
    /// fresh one.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        limit: Duration,
        most: usize,
    ) -> Result<Reply, Error> {
        let again = clone(&request);
        let first = self
            .attempt(addr, Reuse::Pooled, request, limit, most)
            .await;
        match first {
            Err(Error::Unsent { .. }) => self.attempt(addr, Reuse::Fresh, again, limit, most).await,
            other => other,
        }
    }

    async fn attempt(
        &self,
        addr: SocketAddr,
        reuse: Reuse,
        request: Request<Body>,
        limit: Duration,
        most: usize,
    ) -> Result<Reply, Error> {
        let mut line = self.acquire(addr, reuse).await?;
        let reply = line.exchange(request, limit, most).await?;
        self.release(addr, line);
        Ok(reply)
    }

    /// Sends JSON (or nothing) and reads JSON back, whatever the status.
    pub async fn json<Q: Serialize, A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        question: Option<&Q>,
        limit: Duration,
        most: usize,
    ) -> Result<A, Error> {
        let request = json_request(addr, path, question)?;
        let reply = self.exchange(addr, request, limit, most).await?;
        read_json(addr, &reply)
    }
}

/// Builds a POST of JSON, or a GET when there is nothing to send.
pub fn json_request<Q: Serialize>(
    addr: SocketAddr,
    path: &str,
    question: Option<&Q>,
) -> Result<Request<Body>, Error> {
    let unreadable = |reason: String| Error::Malformed { addr, reason };
    let body = match question {
        Some(question) => serde_json::to_vec(question).map_err(|e| unreadable(e.to_string()))?,
        None => Vec::new(),
    };
    let method = match question {
        Some(_) => Method::POST,
        None => Method::GET,
    };
    Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, addr.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Body::new(Bytes::from(body)))
        .map_err(|e| unreadable(e.to_string()))
}

/// Reads a whole answer as JSON.
pub fn read_json<A: DeserializeOwned>(addr: SocketAddr, reply: &Reply) -> Result<A, Error> {
    serde_json::from_slice(&reply.body).map_err(|e| Error::Malformed {
        addr,
        reason: format!("status {}, {e}", reply.status),
    })
}

fn clone(request: &Request<Body>) -> Request<Body> {
    let mut copy = Request::new(request.body().clone());
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    copy
}
