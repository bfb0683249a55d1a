//! Client connection.

use crate::Body;
use crate::counting_stream::CountingStream;
use crate::error::Error;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use unit::{Span, clock};

/// Time without acknowledgements after which a connection fails (`TCP_USER_TIMEOUT`): a host that lost power sends no
/// reset.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Most bytes that are read ahead on one connection, and longest head of a response: peers may send without end.
const MAX_READ_BUFFER: usize = 64 * 1_024;

/// Open HTTP/1.1 connection, which carries one request at a time.
pub struct Connection {
    addr: SocketAddr,
    /// Local port.
    port: u16,
    sender: SendRequest<Body>,
    written: Arc<AtomicU64>,
    /// Time since boot before it was opened.
    opened: Span,
    /// Number of requests that were sent over it.
    requests: u64,
}

/// Complete response.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Header.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Connection {
    /// Opens a connection; fails if it is not open within `limit`.
    pub async fn open(addr: SocketAddr, limit: Duration) -> Result<Connection, Error> {
        let ms = limit.as_millis() as u64;
        let opened = clock::since_boot();
        let stream = timeout(limit, TcpStream::connect(addr))
            .await
            .map_err(|_| Error::ConnectTimeout { addr, ms })?
            .map_err(|source| Error::Connect { addr, source })?;
        let port = stream.local_addr().map_or(0, |local| local.port());
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
        let written = Arc::new(AtomicU64::new(0));
        let io = TokioIo::new(CountingStream::new(stream, written.clone()));
        let (sender, task) = http1::Builder::new()
            .max_buf_size(MAX_READ_BUFFER)
            .handshake(io)
            .await
            .map_err(|_| Error::Unsent { addr })?;
        tokio::spawn(task);
        Ok(Connection {
            addr,
            port,
            sender,
            written,
            opened,
            requests: 0,
        })
    }

    /// Local port, by which logs of both ends tell connections apart; 0 if it is not known.
    pub fn port(&self) -> u16 {
        self.port
    }

    /// Time since before the connection was opened: its peer was running at some time since then.
    pub fn age(&self) -> Span {
        clock::since_boot().saturating_sub(self.opened)
    }

    /// Number of requests that were sent over it.
    pub fn request_count(&self) -> u64 {
        self.requests
    }

    /// Whether another request may be sent over this connection.
    pub fn is_reusable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and waits up to `limit` for the head of the response.
    ///
    /// Fails with [`Error::Unsent`] if nothing of the request was written to the socket.
    pub async fn send(
        &mut self,
        request: Request<Body>,
        limit: Duration,
    ) -> Result<Response<Incoming>, Error> {
        self.requests += 1;
        let addr = self.addr;
        let before = self.written.load(Ordering::SeqCst);
        let is_sent = || self.written.load(Ordering::SeqCst) > before;
        let ready = timeout(limit, self.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return Err(Error::Unsent { addr });
        }
        match timeout(limit, self.sender.send_request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(_)) if !is_sent() => Err(Error::Unsent { addr }),
            Ok(Err(source)) => Err(Error::Broken { addr, source }),
            Err(_) => Err(Error::Timeout {
                addr,
                ms: limit.as_millis() as u64,
            }),
        }
    }

    /// Sends a request and reads the complete response, with `limit` for its head and again for its body, which may have
    /// up to `max_bytes`.
    pub async fn exchange(
        &mut self,
        request: Request<Body>,
        limit: Duration,
        max_bytes: usize,
    ) -> Result<Reply, Error> {
        let response = self.send(request, limit).await?;
        collect(self.addr, response, limit, max_bytes).await
    }
}

/// Reads the body of a response, which may have up to `max_bytes`, within `limit`.
pub(crate) async fn collect(
    addr: SocketAddr,
    response: Response<Incoming>,
    limit: Duration,
    max_bytes: usize,
) -> Result<Reply, Error> {
    let (head, body) = response.into_parts();
    let body = timeout(limit, Limited::new(body, max_bytes).collect())
        .await
        .map_err(|_| Error::Timeout {
            addr,
            ms: limit.as_millis() as u64,
        })?
        .map_err(|error| body_error(addr, max_bytes, error))?;
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}

/// Distinguishes a body that broke off from one that is too long.
fn body_error(
    addr: SocketAddr,
    limit: usize,
    error: Box<dyn std::error::Error + Send + Sync>,
) -> Error {
    match error.downcast::<hyper::Error>() {
        Ok(source) => Error::Broken {
            addr,
            source: *source,
        },
        Err(_) => Error::Oversized { addr, limit },
    }
}
