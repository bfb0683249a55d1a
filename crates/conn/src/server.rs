//! A listener whose connections end gracefully.

use crate::write_timeout::Stall;
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

/// Bounds of a listener.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Connections open at once; more are closed unanswered.
    pub max_connections: usize,
    /// Time a peer has to send the head of a request, counted from the end of the last answer:
    /// it bounds how long a connection may be idle as well.
    pub head_timeout: Duration,
    /// Longest head of a request in bytes.
    pub max_head_bytes: usize,
}

impl Bounds {
    /// Bounds for at most that many connections of well-known peers.
    pub const fn with_max_connections(connections: usize) -> Bounds {
        Bounds {
            max_connections: connections,
            head_timeout: Duration::from_secs(10),
            max_head_bytes: 32 * 1024,
        }
    }
}

/// Time that a connection on which no request came yet has for its first, once the server drains.
const FIRST_REQUEST: Duration = Duration::from_millis(500);

/// Quiet after which no connection is left that was opened before the server drained, and the
/// bound on waiting for such quiet.
const QUIET: Duration = Duration::from_millis(10);
const QUIET_LIMIT: Duration = Duration::from_millis(200);

/// Answer that cuts the connection instead of being sent; stand-ins use it.
#[derive(Debug)]
pub struct Abort;

impl std::fmt::Display for Abort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection is cut instead of an answer")
    }
}

impl std::error::Error for Abort {}

/// Running listener and its connections.
pub struct Server {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<State>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    Open,
    Draining,
    Cut,
}

struct State {
    phase: watch::Sender<Phase>,
    /// Number of times that all connections were cut while listening went on.
    cuts: watch::Sender<u64>,
    shut: AtomicBool,
    /// Whether connections may still be accepted.
    accepting: AtomicBool,
    connections: AtomicUsize,
    ended: Notify,
}

/// Listens on `listener` and answers each request by `answer`, with at most `most` connections.
pub fn serve<F, R, B>(listener: TcpListener, most: usize, answer: F) -> std::io::Result<Server>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response<B>, Abort>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    serve_with_bounds(listener, Bounds::with_max_connections(most), answer)
}

/// Listens on `listener` within `bounds` and answers each request by `answer`.
pub fn serve_with_bounds<F, R, B>(
    listener: TcpListener,
    bounds: Bounds,
    answer: F,
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
        cuts: watch::Sender::new(0),
        shut: AtomicBool::new(false),
        accepting: AtomicBool::new(true),
        connections: AtomicUsize::new(0),
        ended: Notify::new(),
    });
    let accepting = state.clone();
    tokio::spawn(async move {
        accept(listener, bounds, answer, accepting.clone()).await;
        accepting.accepting.store(false, Ordering::SeqCst);
        accepting.ended.notify_waiters();
    });
    Ok(Server { addr, state })
}

async fn accept<F, R, B>(listener: TcpListener, bounds: Bounds, answer: F, state: Arc<State>)
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
            // Out of descriptors: wait for connections to end.
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        admit(stream, bounds, &answer, &state);
    }
    // Connections that the system holds for us already must not be reset.
    let until = Instant::now() + QUIET_LIMIT;
    while Instant::now() < until && *phase.borrow() == Phase::Draining {
        match timeout(QUIET, listener.accept()).await {
            Ok(Ok((stream, _))) => admit(stream, bounds, &answer, &state),
            _ => return,
        }
    }
}

/// Serves a connection, unless there are too many.
fn admit<F, R, B>(stream: TcpStream, bounds: Bounds, answer: &F, state: &Arc<State>)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response<B>, Abort>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let full = state.connections.load(Ordering::SeqCst) >= bounds.max_connections;
    if full || state.shut.load(Ordering::SeqCst) {
        return;
    }
    state.connections.fetch_add(1, Ordering::SeqCst);
    tokio::spawn(connection(stream, bounds, answer.clone(), state.clone()));
}

async fn connection<F, R, B>(stream: TcpStream, bounds: Bounds, answer: F, state: Arc<State>)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response<B>, Abort>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let _ = stream.set_nodelay(true);
    let asked = Arc::new(AtomicBool::new(false));
    let service = {
        let asked = asked.clone();
        service_fn(move |request| {
            asked.store(true, Ordering::SeqCst);
            answer(request)
        })
    };
    let mut phase = state.phase.subscribe();
    let mut cut = state.phase.subscribe();
    let mut cuts = state.cuts.subscribe();
    cuts.mark_unchanged();
    let mut conn = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(bounds.head_timeout)
            .max_buf_size(bounds.max_head_bytes)
            .serve_connection(TokioIo::new(Stall::new(stream)), service)
    );
    tokio::select! {
        _ = conn.as_mut() => {}
        _ = reached(&mut phase, Phase::Draining) => {
            let mut has_ended = false;
            if !asked.load(Ordering::SeqCst) {
                // Its caller may be sending its first request at this very moment.
                tokio::select! {
                    ended = timeout(FIRST_REQUEST, conn.as_mut()) => has_ended = ended.is_ok(),
                    _ = reached(&mut phase, Phase::Cut) => {}
                }
            }
            // One that ended by an answer's failure would end that answer as if it were whole.
            if !has_ended {
                conn.as_mut().graceful_shutdown();
                tokio::select! {
                    _ = conn.as_mut() => {}
                    _ = reached(&mut cut, Phase::Cut) => {}
                }
            }
        }
        _ = cuts.changed() => {}
    }
    state.connections.fetch_sub(1, Ordering::SeqCst);
    state.ended.notify_waiters();
}

/// Waits until the server has come to `phase`, or is gone.
async fn reached(now: &mut watch::Receiver<Phase>, phase: Phase) {
    let _ = now.wait_for(|p| *p >= phase).await;
}

impl Server {
    /// Connections open now.
    pub fn connection_count(&self) -> usize {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Stops listening and waits until requests in flight have ended.
    ///
    /// Returns the connections still open when `limit` ran out.
    pub async fn drain(&self, limit: Duration) -> usize {
        let _ = self.state.phase.send_replace(Phase::Draining);
        let _ = timeout(limit, self.emptied()).await;
        self.connection_count()
    }

    async fn emptied(&self) {
        loop {
            let ended = self.state.ended.notified();
            let accepting = self.state.accepting.load(Ordering::SeqCst);
            if !accepting && self.connection_count() == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Cuts every connection but goes on listening.
    pub fn abort_connections(&self) {
        self.state.cuts.send_modify(|cuts| *cuts += 1);
    }

    /// Closes each new connection unanswered while `shut`.
    pub fn set_refusing(&self, shut: bool) {
        self.state.shut.store(shut, Ordering::SeqCst);
    }

    /// Cuts every connection at once, as a killed process would.
    pub fn abort(&self) {
        let _ = self.state.phase.send_replace(Phase::Cut);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.abort();
    }
}
