//! Stand-in of a model engine.
//!
//! Its answers are a function of model and prompt, so that a checker can tell
//! whether a caller got its own whole answer. A run goes on by itself, whoever
//! reads its stream, until it ends or is cancelled.

mod orders;
mod runs;
mod state;

pub use state::{Fault, Settings, Started, text};

use crate::web::{self, Body, MOST_CONNECTIONS};
use conn::{Cut, Server};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use parking_lot::Mutex;
use state::State;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use unit::Bytes;
use unit::engine::{OrderStatus, Report, Weights};
use upstream::engine::{Attempt, CACHE_PATH, CANCEL_PATH, ORDER_PATH, REPORT_PATH, RUN_PATH};

/// Running stand-in.
pub struct Engine {
    /// Where it listens.
    pub addr: SocketAddr,
    settings: Settings,
    state: Arc<State>,
    server: Mutex<Arc<Server>>,
}

/// Starts an engine.
pub async fn bind(settings: Settings) -> io::Result<Engine> {
    let state = Arc::new(State::new(&settings, 1));
    let server = serve(None, state.clone()).await?;
    Ok(Engine {
        addr: server.addr,
        settings,
        state,
        server: Mutex::new(Arc::new(server)),
    })
}

async fn serve(addr: Option<SocketAddr>, state: Arc<State>) -> io::Result<Server> {
    let listener = web::listen(addr).await?;
    conn::serve(listener, MOST_CONNECTIONS, move |request| {
        handle(state.clone(), request)
    })
}

impl Engine {
    /// Adds a fault for a run to come, here or at an engine that shares these settings' faults.
    pub fn push_fault(&self, fault: Fault) {
        self.settings.faults.lock().push_back(fault);
    }

    /// Freezes or thaws it: connections stay open, nothing moves.
    pub fn set_frozen(&self, frozen: bool) {
        self.state.frozen.send_replace(frozen);
    }

    /// Tells it to leave; `refuses` says whether it refuses new work itself.
    pub fn leave(&self, refuses: bool) {
        let mut inner = self.state.inner.lock();
        inner.leaving = true;
        inner.refuses_when_leaving = refuses;
    }

    /// Delays the next orders, or loses them when none.
    pub fn set_order_delay(&self, delay: Option<Duration>) {
        self.state.inner.lock().order_delay = delay;
    }

    /// Runs that were started, over all incarnations.
    pub fn started(&self) -> Vec<Started> {
        self.state.inner.lock().started.clone()
    }

    /// Runs that were cancelled.
    pub fn cancelled(&self) -> u64 {
        self.state.inner.lock().cancelled
    }

    /// Most memory that was ever taken at once.
    pub fn most_taken(&self) -> Bytes {
        self.state.inner.lock().most_taken
    }

    /// Orders that would have taken more memory than there is; the engine refused them.
    pub fn overcommitted(&self) -> u64 {
        self.state.inner.lock().overcommitted
    }

    /// True state, without the lag.
    pub fn report(&self) -> Report {
        self.state.inner.lock().report(false)
    }

    /// Loads weights at once, as an engine that was warm before coveford came.
    pub fn preload(&self, weights: Weights, bytes: Bytes) {
        self.state.inner.lock().preload(weights, bytes);
    }

    /// Ends it, as a killed process would: streams break, memory is gone.
    pub fn kill(&self) {
        self.server.lock().cut();
        self.state.inner.lock().die();
    }

    /// Starts it again at the same address, as another incarnation.
    pub async fn restart(&self) -> io::Result<()> {
        self.kill();
        self.state.inner.lock().revive(&self.settings);
        let mut tries = 0;
        let server = loop {
            match serve(Some(self.addr), self.state.clone()).await {
                Ok(server) => break server,
                Err(e) if tries >= 100 => return Err(e),
                Err(_) => tries += 1,
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        *self.server.lock() = Arc::new(server);
        Ok(())
    }

    /// Cuts its connections, kept ones and streams too, and goes on listening.
    pub fn cut_connections(&self) {
        self.server.lock().cut_connections();
    }

    /// Closes each new connection at once while `shut`.
    pub fn set_shut(&self, shut: bool) {
        self.server.lock().set_shut(shut);
    }
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
    state.thawed().await;
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, RUN_PATH) => runs::run(state, request).await,
        (&Method::POST, CANCEL_PATH) => {
            let attempt: Attempt = web::read(request).await.ok_or(Cut)?;
            runs::cancel(&state, &attempt);
            Ok(web::json(StatusCode::OK, &true))
        }
        (&Method::GET, REPORT_PATH) => {
            let report = state.inner.lock().report(true);
            Ok(web::json(StatusCode::OK, &report))
        }
        (&Method::POST, ORDER_PATH) => {
            let order = web::read(request).await.ok_or(Cut)?;
            let obeyed: OrderStatus = orders::take(&state, order).await?;
            Ok(web::json(StatusCode::OK, &obeyed))
        }
        (&Method::GET, CACHE_PATH) => {
            let query = request.uri().query().unwrap_or("");
            let after = query.strip_prefix("after=").and_then(|n| n.parse().ok());
            let events = state.inner.lock().cache_after(after.unwrap_or(0));
            Ok(web::json(StatusCode::OK, &events))
        }
        _ => Ok(web::not_found()),
    }
}
