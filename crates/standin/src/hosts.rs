//! Stand-in of the host list, with a lag.

use crate::web::{self, Body, MOST_CONNECTIONS};
use backing::hosts::{Changes, Host};
use conn::{Abort, Server};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

struct State {
    lag: Duration,
    down: bool,
    /// Lists by the time from which they are true, oldest first; the first has version `first`.
    lists: VecDeque<(Instant, Vec<Host>)>,
    first: u64,
}

/// Lists kept for telling what changed.
const KEPT: usize = 64;

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
        first: 1,
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
        while state.lists.len() > KEPT {
            state.lists.pop_front();
            state.first += 1;
        }
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
) -> Result<Response<Body>, Abort> {
    let state = state.lock();
    if state.down {
        return Err(Abort);
    }
    if request.uri().path() != backing::hosts::PATH {
        return Ok(web::not_found());
    }
    let query = request.uri().query().unwrap_or("");
    let after = query.strip_prefix("after=").and_then(|n| n.parse().ok());
    Ok(web::json(
        StatusCode::OK,
        &state.changes(after.unwrap_or(0)),
    ))
}

impl State {
    /// What is shown by now, against the version that the asker has.
    fn changes(&self, after: u64) -> Changes {
        let until = Instant::now().checked_sub(self.lag);
        let is_shown = |(at, _): &&(Instant, Vec<Host>)| until.is_some_and(|until| *at <= until);
        // Before anything has come of age the first list is shown.
        let shown = self
            .lists
            .iter()
            .take_while(is_shown)
            .count()
            .saturating_sub(1);
        let now = self.lists.get(shown).map_or(&[][..], |(_, list)| list);
        let version = self.first + shown as u64;
        let old = after.checked_sub(self.first);
        let old = old
            .and_then(|i| self.lists.get(i as usize))
            .filter(|_| after <= version);
        let Some((_, old)) = old else {
            return Changes {
                version,
                whole: true,
                changed: now.to_vec(),
                gone: Vec::new(),
            };
        };
        let gone = old.iter().filter(|o| !now.iter().any(|n| n.name == o.name));
        Changes {
            version,
            whole: false,
            changed: now.iter().filter(|n| !old.contains(n)).cloned().collect(),
            gone: gone.map(|o| o.name.clone()).collect(),
        }
    }
}
