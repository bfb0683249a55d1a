//! Stand-in of the host list, with a lag.

use crate::web::{self, Body, MOST_CONNECTIONS};
use conn::{Cut, Server};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use platform::hosts::Host;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

struct State {
    lag: Duration,
    down: bool,
    /// Lists by the time from which they are true, oldest first.
    lists: VecDeque<(Instant, Vec<Host>)>,
}

/// Running stand-in.
#[derive(Clone)]
pub struct Hosts {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    _server: Arc<Server>,
}

/// Starts a list that shows each change after `lag`.
pub async fn bind(lag: Duration) -> io::Result<Hosts> {
    let listener = web::listen(None).await?;
    let state = Arc::new(Mutex::new(State {
        lag,
        down: false,
        lists: VecDeque::new(),
    }));
    let shared = state.clone();
    let answer = move |request| handle(shared.clone(), request);
    let server = conn::serve(listener, MOST_CONNECTIONS, answer)?;
    Ok(Hosts {
        addr: server.addr,
        state,
        _server: Arc::new(server),
    })
}

impl Hosts {
    /// Changes the list.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Host>)) {
        let mut state = self.state.lock();
        let mut list = state
            .lists
            .back()
            .map(|(_, l)| l.clone())
            .unwrap_or_default();
        change(&mut list);
        state.lists.push_back((Instant::now(), list));
    }

    /// Adds a host, or replaces the one of that name.
    pub fn put(&self, host: Host) {
        self.change(|list| {
            list.retain(|h| h.name != host.name);
            list.push(host);
        });
    }

    /// Marks a host as leaving.
    pub fn leave(&self, name: &str) {
        self.change(|list| {
            for host in list.iter_mut().filter(|h| &*h.name == name) {
                host.leaving = true;
            }
        });
    }

    /// Takes a host out.
    pub fn remove(&self, name: &str) {
        self.change(|list| list.retain(|h| &*h.name != name));
    }

    /// Switches an outage.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// The list as it is, without the lag.
    pub fn list(&self) -> Vec<Host> {
        let state = self.state.lock();
        state
            .lists
            .back()
            .map(|(_, l)| l.clone())
            .unwrap_or_default()
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let mut state = state.lock();
    if state.down {
        return Err(Cut);
    }
    if request.uri().path() != platform::hosts::PATH {
        return Ok(web::not_found());
    }
    let shown = Instant::now().checked_sub(state.lag);
    let is_shown = |at: &Instant| shown.is_some_and(|shown| *at <= shown);
    while state.lists.len() > 1 && is_shown(&state.lists[1].0) {
        state.lists.pop_front();
    }
    let first = state.lists.front();
    let list = first.map(|(_, list)| list.clone()).unwrap_or_default();
    Ok(web::json(StatusCode::OK, &list))
}
