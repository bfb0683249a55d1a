//! Stand-in of a plain service: it counts what it ran.

use crate::web::{self, Body, MOST_CONNECTIONS};
use conn::{Abort, Server};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use upstream::service::REQUEST_HEADER;

/// Fault of the next call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It closes before it runs anything.
    CloseBefore,
    /// It runs the call, then closes without an answer.
    CloseAfter,
    /// It runs the call and answers this much later.
    Late(Duration),
    /// It answers another request's answer.
    Crossed,
    /// It refuses with status 503 and runs nothing.
    Refuse,
}

/// Call that was run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ran {
    /// Request id.
    pub request: String,
    /// Method and path.
    pub route: String,
    /// Body.
    pub body: String,
}

#[derive(Default)]
struct State {
    faults: VecDeque<Fault>,
    ran: Vec<Ran>,
}

/// Running stand-in.
#[derive(Clone)]
pub struct Service {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    server: Arc<Server>,
}

/// Starts a service.
pub async fn bind() -> io::Result<Service> {
    let listener = web::listen(None).await?;
    let state: Arc<Mutex<State>> = Arc::default();
    let shared = state.clone();
    let server = conn::serve(listener, MOST_CONNECTIONS, move |r| {
        handle(shared.clone(), r)
    })?;
    Ok(Service {
        addr: server.addr,
        state,
        server: Arc::new(server),
    })
}

impl Service {
    /// Adds a fault for a call to come.
    pub fn push_fault(&self, fault: Fault) {
        self.state.lock().faults.push_back(fault);
    }

    /// Calls that were run.
    pub fn ran(&self) -> Vec<Ran> {
        self.state.lock().ran.clone()
    }

    /// Ends it, as a killed process would.
    pub fn kill(&self) {
        self.server.abort();
    }

    /// Cuts its connections, kept ones too, and goes on listening.
    pub fn cut_connections(&self) {
        self.server.abort_connections();
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Abort> {
    let fault = state.lock().faults.pop_front();
    if fault == Some(Fault::CloseBefore) {
        return Err(Abort);
    }
    let header = request.headers().get(REQUEST_HEADER).cloned();
    let id = header
        .as_ref()
        .and_then(|v| v.to_str().ok())
        .unwrap_or("")
        .to_owned();
    let route = format!("{} {}", request.method(), request.uri());
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_| Abort)?
        .to_bytes();
    let body = String::from_utf8_lossy(&body).into_owned();
    if fault == Some(Fault::Refuse) {
        let mut response = Response::new(web::full("busy"));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        return Ok(response);
    }
    state.lock().ran.push(Ran {
        request: id.clone(),
        route: route.clone(),
        body: body.clone(),
    });
    match fault {
        Some(Fault::CloseAfter) => return Err(Abort),
        Some(Fault::Late(by)) => sleep(by).await,
        _ => {}
    }
    let echo = match fault {
        Some(Fault::Crossed) => "somebody-else".to_owned(),
        _ => id,
    };
    let mut response = Response::new(web::full(format!("{route} ran: {body}")));
    if let Ok(value) = echo.parse() {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    Ok(response)
}
