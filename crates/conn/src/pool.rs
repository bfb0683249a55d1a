//! Pool of idle connections by address.

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

/// Whether a request may use a pooled connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Use a pooled connection if there is one; the request must be safe to retry if the connection fails.
    Pooled,
    /// Always open a new connection.
    Fresh,
}

/// Maximum number of idle connections per address; more are closed.
const MAX_IDLE_PER_ADDR: usize = 64;

/// Idle time after which a connection is not reused, unless set otherwise.
const IDLE_TIMEOUT: Span = Span::from_secs(15);

/// Maximum time to open a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Idle connection.
struct Idle {
    connection: Connection,
    /// Time since boot at which it was released.
    since: Span,
}

/// Pool of connections; clones share it.
#[derive(Clone)]
pub struct Pool {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
    idle_timeout: Span,
}

impl Default for Pool {
    fn default() -> Pool {
        Pool::with_idle_timeout(IDLE_TIMEOUT)
    }
}

impl Pool {
    /// Creates a pool that reuses no connection that has been idle for this long.
    pub fn with_idle_timeout(idle_timeout: Span) -> Pool {
        Pool {
            idle: Arc::default(),
            idle_timeout,
        }
    }

    /// Takes a pooled connection, if allowed, or opens a new one.
    pub async fn acquire(&self, addr: SocketAddr, reuse: Reuse) -> Result<Connection, Error> {
        if reuse == Reuse::Pooled
            && let Some(connection) = self.take(addr)
        {
            return Ok(connection);
        }
        Connection::open(addr, CONNECT_TIMEOUT).await
    }

    fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&addr)?;
        while let Some(candidate) = connections.pop() {
            if candidate.connection.is_reusable()
                && clock::since_boot().saturating_sub(candidate.since) < self.idle_timeout
            {
                return Some(candidate.connection);
            }
        }
        idle.remove(&addr);
        None
    }

    /// Returns a connection to the pool; its last response must have been read completely.
    pub fn release(&self, addr: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock();
        let connections = idle.entry(addr).or_default();
        if connections.len() < MAX_IDLE_PER_ADDR {
            connections.push(Idle {
                connection,
                since: clock::since_boot(),
            });
        }
    }

    /// Sends a request and reads the complete response.
    ///
    /// If a pooled connection fails before any byte was written, the request is sent once more over a new connection.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        request: Request<Body>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Reply, Error> {
        let copy = clone(&request);
        let first = self
            .attempt(addr, Reuse::Pooled, request, limit, max_bytes)
            .await;
        match first {
            Err(Error::Unsent { .. }) => {
                self.attempt(addr, Reuse::Fresh, copy, limit, max_bytes)
                    .await
            }
            other => other,
        }
    }

    async fn attempt(
        &self,
        addr: SocketAddr,
        reuse: Reuse,
        request: Request<Body>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Reply, Error> {
        let mut connection = self.acquire(addr, reuse).await?;
        let reply = connection.exchange(request, limit, max_bytes).await?;
        self.release(addr, connection);
        Ok(reply)
    }

    /// Sends a POST with a JSON body, or a GET if there is none, and parses the response as JSON, whatever its status.
    pub async fn json<Q: Serialize, A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        payload: Option<&Q>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<A, Error> {
        let request = json_request(addr, path, payload)?;
        let reply = self.exchange(addr, request, limit, max_bytes).await?;
        read_json(addr, &reply)
    }
}

/// Builds a POST with a JSON body, or a GET if there is none.
pub fn json_request<Q: Serialize>(
    addr: SocketAddr,
    path: &str,
    payload: Option<&Q>,
) -> Result<Request<Body>, Error> {
    let malformed = |reason: String| Error::Malformed { addr, reason };
    let body = match payload {
        Some(payload) => serde_json::to_vec(payload).map_err(|e| malformed(e.to_string()))?,
        None => Vec::new(),
    };
    let method = match payload {
        Some(_) => Method::POST,
        None => Method::GET,
    };
    Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, addr.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Body::new(Bytes::from(body)))
        .map_err(|e| malformed(e.to_string()))
}

/// Parses a response as JSON, whatever its status.
pub fn read_json<A: DeserializeOwned>(addr: SocketAddr, reply: &Reply) -> Result<A, Error> {
    serde_json::from_slice(&reply.body).map_err(|e| Error::Malformed {
        addr,
        reason: format!("status {}, {e}", reply.status),
    })
}

/// Copies a request, so that it can be sent again.
pub(crate) fn clone(request: &Request<Body>) -> Request<Body> {
    let mut copy = Request::new(request.body().clone());
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    copy
}
