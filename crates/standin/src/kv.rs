//! Stand-in of the key-value service.

use crate::web::{self, Body, MOST_CONNECTIONS};
use backing::kv::{Answer, Call, MAX_VALUE_BYTES, MAX_WATCH, Versioned};
use conn::{Abort, Server};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout_at};
use unit::Name;

/// Faults of the service.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// It refuses every call.
    pub down: bool,
    /// It takes this long for each call.
    pub slow: Duration,
    /// Writes in a hundred that take effect and whose answer is lost.
    pub lose_answers: u32,
    /// Writes in a hundred whose answer is lost and that take effect this much later, if at all.
    pub late_writes: u32,
    /// Delay of such writes.
    pub late_by: Duration,
    /// Reads give what stood this many writes ago.
    pub stale_reads: usize,
    /// Prefix of keys, and the number of their next reads whose answers are lost.
    pub lost_reads: (&'static str, usize),
}

/// Calls a second that the service takes; none for no bound.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rates {
    /// Reads, waiting watches counted as one.
    pub reads: Option<u32>,
    /// Writes.
    pub writes: Option<u32>,
}

/// Write that took effect, for history checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wrote {
    /// Its key.
    pub key: Name,
    /// Revision it expected.
    pub expected: u64,
    /// Its value.
    pub value: Option<Name>,
    /// Its revision.
    pub revision: u64,
}

#[derive(Clone)]
struct Value {
    text: Name,
    revision: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

struct State {
    revision: u64,
    values: BTreeMap<Name, Value>,
    leases: BTreeMap<u64, Lease>,
    faults: Faults,
    rates: Rates,
    window: (Instant, u32, u32),
    rng: ChaCha8Rng,
    wrote: Vec<Wrote>,
    calls: u64,
}

/// Running stand-in.
#[derive(Clone)]
pub struct Kv {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    server: Arc<Server>,
}

/// Starts a service with seeded faults.
pub async fn bind(seed: u64, rates: Rates) -> io::Result<Kv> {
    let listener = web::listen(None).await?;
    let state = Arc::new(Mutex::new(State {
        revision: 0,
        values: BTreeMap::new(),
        leases: BTreeMap::new(),
        faults: Faults::default(),
        rates,
        window: (Instant::now(), 0, 0),
        rng: ChaCha8Rng::seed_from_u64(seed),
        wrote: Vec::new(),
        calls: 0,
    }));
    let changed = Arc::new(Notify::new());
    let server = {
        let (state, changed) = (state.clone(), changed.clone());
        conn::serve(listener, MOST_CONNECTIONS, move |request| {
            handle(state.clone(), changed.clone(), request)
        })?
    };
    Ok(Kv {
        addr: server.addr,
        state,
        changed,
        server: Arc::new(server),
    })
}

impl Kv {
    /// Switches faults.
    pub fn set_faults(&self, faults: Faults) {
        let down = faults.down;
        self.state.lock().faults = faults;
        self.changed.notify_waiters();
        if down {
            self.server.abort_connections();
        }
    }

    /// Writes that took effect so far.
    pub fn wrote(&self) -> Vec<Wrote> {
        self.state.lock().wrote.clone()
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }

    /// Value that stands at a key.
    pub fn value(&self, key: &str) -> Option<Name> {
        self.state.lock().values.get(key).map(|v| v.text.clone())
    }
}

async fn handle(
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Abort> {
    let faults = state.lock().faults.clone();
    if faults.down {
        return Err(Abort);
    }
    if request.uri().path() != backing::kv::PATH {
        return Ok(web::not_found());
    }
    let Some(call) = web::read::<Call>(request).await else {
        return Ok(web::json(StatusCode::BAD_REQUEST, &refused("unreadable")));
    };
    sleep(faults.slow).await;
    if !state.lock().admit(&call) {
        return Ok(web::json(
            StatusCode::TOO_MANY_REQUESTS,
            &refused("over its rate"),
        ));
    }
    let answer = match call {
        Call::Watch {
            key,
            after,
            wait_ms,
        } => {
            watch(
                &state,
                &changed,
                &key,
                after,
                Duration::from_millis(wait_ms),
            )
            .await
        }
        Call::Swap { .. } => return swap(&state, &changed, call, &faults).await,
        Call::Get { key } if state.lock().loses_read(&key) => return Err(Abort),
        call => state.lock().answer(&call),
    };
    if state.lock().faults.down {
        return Err(Abort);
    }
    Ok(web::json(StatusCode::OK, &answer))
}

fn refused(reason: &str) -> Answer {
    Answer::Refused {
        reason: reason.into(),
    }
}

async fn swap(
    state: &Arc<Mutex<State>>,
    changed: &Arc<Notify>,
    call: Call,
    faults: &Faults,
) -> Result<Response<Body>, Abort> {
    let dice = state.lock().rng.random_range(0..100);
    if dice < faults.late_writes {
        let (state, changed, by) = (state.clone(), changed.clone(), faults.late_by);
        tokio::spawn(async move {
            sleep(by).await;
            state.lock().answer(&call);
            changed.notify_waiters();
        });
        return Err(Abort);
    }
    let answer = state.lock().answer(&call);
    changed.notify_waiters();
    match dice < faults.late_writes + faults.lose_answers {
        true => Err(Abort),
        false => Ok(web::json(StatusCode::OK, &answer)),
    }
}

async fn watch(
    state: &Arc<Mutex<State>>,
    changed: &Arc<Notify>,
    key: &Name,
    after: u64,
    wait: Duration,
) -> Answer {
    let until = Instant::now() + wait.min(MAX_WATCH);
    loop {
        let notified = changed.notified();
        {
            let mut state = state.lock();
            if state.faults.down {
                return refused("down");
            }
            if let Some(found) = state.get(key).filter(|found| found.revision > after) {
                return Answer::Value { found: Some(found) };
            }
        }
        if timeout_at(until, notified).await.is_err() {
            return Answer::Value { found: None };
        }
    }
}

impl State {
    /// Counts a call; tells whether it is within the rates.
    fn admit(&mut self, call: &Call) -> bool {
        self.calls += 1;
        let now = Instant::now();
        if now.duration_since(self.window.0) >= Duration::from_secs(1) {
            self.window = (now, 0, 0);
        }
        let write = !matches!(
            call,
            Call::Get { .. } | Call::List { .. } | Call::Watch { .. }
        );
        let (count, most) = match write {
            true => (&mut self.window.2, self.rates.writes),
            false => (&mut self.window.1, self.rates.reads),
        };
        *count += 1;
        most.is_none_or(|most| *count <= most)
    }

    /// Whether the answer to a read of a key is lost.
    fn loses_read(&mut self, key: &Name) -> bool {
        let (prefix, left) = &mut self.faults.lost_reads;
        let is_lost = *left > 0 && key.starts_with(*prefix);
        *left -= usize::from(is_lost);
        is_lost
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let lapsed: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in lapsed {
            self.end(lease);
        }
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        self.values.retain(|_, value| value.lease != Some(lease));
    }

    fn get(&mut self, key: &Name) -> Option<Versioned> {
        self.expire();
        let stale = self.faults.stale_reads;
        let value = self.values.get(key)?;
        let now = Versioned {
            key: key.clone(),
            value: value.text.clone(),
            revision: value.revision,
        };
        if stale == 0 {
            return Some(now);
        }
        let mut of_key = self.wrote.iter().rev().filter(|w| w.key == *key);
        let old = of_key.nth(stale)?;
        Some(Versioned {
            key: key.clone(),
            value: old.value.clone()?,
            revision: old.revision,
        })
    }

    fn answer(&mut self, call: &Call) -> Answer {
        self.expire();
        match call {
            Call::Get { key } => Answer::Value {
                found: self.get(key),
            },
            Call::List { prefix } => Answer::Values {
                found: self.list(prefix),
            },
            Call::Swap {
                key,
                expected,
                value,
                lease,
            } => self.swap(key, *expected, value.clone(), *lease),
            Call::Watch { .. } => refused("a watch waits elsewhere"),
            Call::Grant { ttl_ms } => {
                self.revision += 1;
                let ttl = Duration::from_millis(*ttl_ms);
                let until = Instant::now() + ttl;
                self.leases.insert(self.revision, Lease { ttl, until });
                Answer::Leased {
                    lease: self.revision,
                }
            }
            Call::Renew { lease } => match self.leases.get_mut(lease) {
                Some(found) => {
                    found.until = Instant::now() + found.ttl;
                    Answer::Leased { lease: *lease }
                }
                None => Answer::Lapsed,
            },
            Call::Revoke { lease } => {
                self.end(*lease);
                Answer::Leased { lease: *lease }
            }
        }
    }

    fn list(&self, prefix: &Name) -> Vec<Versioned> {
        let found = self.values.range(prefix.clone()..);
        let found = found.take_while(|(key, _)| key.starts_with(&**prefix));
        let versioned = found.map(|(key, value)| Versioned {
            key: key.clone(),
            value: value.text.clone(),
            revision: value.revision,
        });
        versioned.collect()
    }

    fn swap(
        &mut self,
        key: &Name,
        expected: u64,
        value: Option<Name>,
        lease: Option<u64>,
    ) -> Answer {
        if value.as_ref().is_some_and(|v| v.len() > MAX_VALUE_BYTES) {
            return refused("the value is over a megabyte");
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Answer::Lapsed;
        }
        let current = self.values.get(key).map_or(0, |v| v.revision);
        if current != expected {
            return Answer::Conflict {
                found: self.values.get(key).map(|v| Versioned {
                    key: key.clone(),
                    value: v.text.clone(),
                    revision: v.revision,
                }),
            };
        }
        self.revision += 1;
        let revision = self.revision;
        self.wrote.push(Wrote {
            key: key.clone(),
            expected,
            value: value.clone(),
            revision,
        });
        match value {
            Some(text) => {
                let value = Value {
                    text,
                    revision,
                    lease,
                };
                self.values.insert(key.clone(), value);
            }
            None => {
                self.values.remove(key);
            }
        }
        Answer::Written { revision }
    }
}
