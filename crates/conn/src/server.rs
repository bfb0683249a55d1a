//! HTTP/1.1 server with graceful shutdown.

use crate::shedding::Shedding;
use crate::write_timeout::WriteTimeout;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::{Instant, timeout};
use unit::Time;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of open connections; more are closed without a response.
    pub max_connections: usize,
    /// Maximum time to receive the head of a request, counted from the end of the previous response: it limits the idle
    /// time of a connection as well.
    pub head_timeout: Duration,
    /// Maximum size of the head of a request, in bytes.
    pub max_head_bytes: usize,
}

impl Bounds {
    /// Limits for trusted peers with up to `max_connections` connections.
    pub const fn with_max_connections(max_connections: usize) -> Bounds {
        Bounds {
            max_connections,
            head_timeout: Duration::from_secs(10),
            max_head_bytes: 32 * 1024,
        }
    }
}

/// Time to receive the first request of a connection that has not received one when the server starts to drain.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a new connection after which the accept queue counts as empty when the server drains.
const ACCEPT_IDLE: Duration = Duration::from_millis(10);
/// Maximum time to empty the accept queue.
const ACCEPT_LIMIT: Duration = Duration::from_millis(200);

/// Error of a handler that aborts the connection without a response; test doubles return it.
#[derive(Debug)]
pub struct Abort;

impl std::fmt::Display for Abort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection aborted without a response")
    }
}

impl std::error::Error for Abort {}

/// Running server; dropping it aborts all connections.
pub struct Server {
    /// Address that it listens on.
    pub addr: SocketAddr,
    state: Arc<State>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Open,
    Draining,
    Aborted,
}

struct State {
    phase: watch::Sender<Phase>,
    /// Number of calls of [`Server::abort_connections`].
    aborts: watch::Sender<u64>,
    /// Whether new connections are closed at once.
    refusing: AtomicBool,
    /// Whether connections may still be accepted.
    accepting: AtomicBool,
    connections: AtomicUsize,
    ended: Notify,
    /// Which new connections are closed unread, if any are.
    shedding: Option<Arc<Shedding>>,
}

/// Serves requests on `listener` with `handler`, and with up to `max_connections` connections.
pub fn serve<F, R, B>(
    listener: TcpListener,
    max_connections: usize,
    handler: F,
) -> std::io::Result<Server>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response<B>, Abort>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    serve_with_bounds(
        listener,
        Bounds::with_max_connections(max_connections),
        None,
        handler,
    )
}

/// Serves requests on `listener` with `handler`, within `bounds`. New connections that `shedding` does not accept are closed
/// unread.
pub fn serve_with_bounds<F, R, B>(
    listener: TcpListener,
    bounds: Bounds,
    shedding: Option<Arc<Shedding>>,
    handler: F,
) -> std::io::Result<Server>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response<B>, Abort>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let addr = listener.local_addr()?;
    let state = Arc::new(State {
        phase: watch::Sender::new(Phase::Open),
        aborts: watch::Sender::new(0),
        refusing: AtomicBool::new(false),
        accepting: AtomicBool::new(true),
        connections: AtomicUsize::new(0),
        ended: Notify::new(),
        shedding,
    });
    let accepting = state.clone();
    tokio::spawn(async move {
        accept(listener, bounds, handler, accepting.clone()).await;
        accepting.accepting.store(false, Ordering::SeqCst);
        accepting.ended.notify_waiters();
    });
    Ok(Server { addr, state })
}

async fn accept<F, R, B>(listener: TcpListener, bounds: Bounds, handler: F, state: Arc<State>)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response<B>, Abort>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut phase = state.phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = reached(&mut phase, Phase::Draining) => break,
        };
        let Ok((stream, _)) = accepted else {
            // Out of file descriptors: wait for connections to end.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        admit(stream, bounds, &handler, &state);
    }
    // Connections in the kernel's accept queue must not be reset.
    let until = Instant::now() + ACCEPT_LIMIT;
    while Instant::now() < until && *phase.borrow() == Phase::Draining {
        match timeout(ACCEPT_IDLE, listener.accept()).await {
            Ok(Ok((stream, _))) => admit(stream, bounds, &handler, &state),
            _ => return,
        }
    }
}

/// Serves a connection, or closes it if there are too many, the process is short of processor time, or the server refuses
/// connections.
fn admit<F, R, B>(stream: TcpStream, bounds: Bounds, handler: &F, state: &Arc<State>)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response<B>, Abort>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let is_full = state.connections.load(Ordering::SeqCst) >= bounds.max_connections;
    if is_full || state.refusing.load(Ordering::SeqCst) {
        return;
    }
    let shedding = state.shedding.as_ref();
    let accepted_at = match shedding.map(|shedding| shedding.accept()) {
        Some(None) if *state.phase.borrow() == Phase::Open => return,
        accepted_at => accepted_at.flatten(),
    };
    tokio::spawn(serve_connection(
        stream,
        bounds,
        handler.clone(),
        Counted::new(state.clone()),
        accepted_at,
    ));
}

/// Counts a connection until it is dropped, also if its handler panics.
struct Counted {
    state: Arc<State>,
}

impl Counted {
    fn new(state: Arc<State>) -> Counted {
        state.connections.fetch_add(1, Ordering::SeqCst);
        Counted { state }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.state.connections.fetch_sub(1, Ordering::SeqCst);
        self.state.ended.notify_waiters();
    }
}

async fn serve_connection<F, R, B>(
    stream: TcpStream,
    bounds: Bounds,
    handler: F,
    counted: Counted,
    accepted_at: Option<Time>,
) where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response<B>, Abort>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let state = &counted.state;
    if let (Some(shedding), Some(accepted_at)) = (&state.shedding, accepted_at) {
        shedding.record_start(accepted_at);
    }
    let _ = stream.set_nodelay(true);
    let has_request = Arc::new(AtomicBool::new(false));
    let service = {
        let has_request = has_request.clone();
        service_fn(move |request| {
            has_request.store(true, Ordering::SeqCst);
            handler(request)
        })
    };
    let mut phase = state.phase.subscribe();
    let mut aborted = state.phase.subscribe();
    let mut aborts = state.aborts.subscribe();
    aborts.mark_unchanged();
    let mut conn = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(bounds.head_timeout)
            .max_buf_size(bounds.max_head_bytes)
            .serve_connection(TokioIo::new(WriteTimeout::new(stream)), service)
    );
    tokio::select! {
        _ = conn.as_mut() => {}
        _ = reached(&mut phase, Phase::Draining) => {
            let mut has_ended = false;
            if !has_request.load(Ordering::SeqCst) {
                // The peer may be sending its first request right now.
                tokio::select! {
                    ended = timeout(FIRST_REQUEST_TIMEOUT, conn.as_mut()) => has_ended = ended.is_ok(),
                    _ = reached(&mut phase, Phase::Aborted) => {}
                }
            }
            // Polling a connection that failed within a response would terminate that response as if it were complete.
            if !has_ended {
                conn.as_mut().graceful_shutdown();
                tokio::select! {
                    _ = conn.as_mut() => {}
                    _ = reached(&mut aborted, Phase::Aborted) => {}
                }
            }
        }
        _ = aborts.changed() => {}
    }
}

/// Waits until the server has reached `phase` or was dropped.
async fn reached(current: &mut watch::Receiver<Phase>, phase: Phase) {
    let _ = current.wait_for(|p| *p >= phase).await;
}

impl Server {
    /// Number of open connections.
    pub fn connection_count(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Stops listening and waits up to `limit` until all requests in flight have ended.
    ///
    /// Returns the number of connections that are still open.
    pub async fn drain(&self, limit: Duration) -> usize {
        let _ = self.state.phase.send_replace(Phase::Draining);
        let _ = timeout(limit, self.closed()).await;
        self.connection_count()
    }

    async fn closed(&self) {
        loop {
            let ended = self.state.ended.notified();
            let accepting = self.state.accepting.load(Ordering::SeqCst);
            if !accepting && self.connection_count() == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Aborts all connections and continues to listen.
    pub fn abort_connections(&self) {
        self.state.aborts.send_modify(|aborts| *aborts += 1);
    }

    /// Sets whether new connections are closed without a response.
    pub fn set_refusing(&self, refusing: bool) {
        self.state.refusing.store(refusing, Ordering::SeqCst);
    }

    /// Stops listening and aborts all connections, as if the process were killed.
    pub fn abort(&self) {
        let _ = self.state.phase.send_replace(Phase::Aborted);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.abort();
    }
}
