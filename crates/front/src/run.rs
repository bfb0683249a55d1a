//! Starting, draining and ending a daemon on a platform.

mod gauges;

use crate::accounts;
use crate::error::{Error, ListenSnafu, RuntimeSnafu};
use crate::peers::{self, Peers};
use crate::quarantine::Reports;
use crate::settings::{self, Settings};
use crate::state::{self, PlacementRequests, State};
use crate::{follow, leader, log, planner, queue, readers, respond, serve};
use conn::{Bounds, Server};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use platform::names;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;
use tracing::{error, info, warn};
use unit::Span;

/// Time for a call of the store beyond its waiting; the store answers in milliseconds, and in some
/// hundreds of them when it is slow.
const STORE_LIMIT: Duration = Duration::from_millis(700);

/// Time after a stop is asked for in which new connections are still taken: the balancer asks each
/// second and turns away at the second miss. What comes later has less than the grace to end.
const ACCEPTING: Duration = Duration::from_millis(2_400);

/// Part of the grace at whose end the process ends itself, before it is killed.
const GRACE_PART: f64 = 0.95;

/// Part of the grace up to which [`ACCEPTING`] may reach.
const ACCEPTING_PART: f64 = 0.4;

/// Descriptors kept for files, listeners and calls of coveford's own.
const OWN_DESCRIPTORS: usize = 300;

/// Time that a connection of a client may be idle; the platform's clients reuse one for at most
/// four fifths of the configured limit, which is not known before the first configuration.
const IDLE: Duration = Duration::from_secs(15);

/// Longest head of a request, in bytes; a little over what the platform allows clients.
const HEAD_BYTES: usize = 24 * 1_024;

/// Connections of the balancer and of collectors of metrics.
const OTHER_CONNECTIONS: usize = 32;

/// Connections of other hosts that hear of the store from this one.
const HOST_CONNECTIONS: usize = 64;

/// Pause between two looks at the settings file, which may change without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);

/// Pause between two upkeeps of connections, metrics and logs.
const UPKEEP: Duration = Duration::from_millis(500);

/// Pause between two looks at replicas whose entries are missing, while there are any: requests reach one that
/// is gone for this much longer.
const SETTLE: Duration = Duration::from_millis(50);

/// Running daemon.
pub struct Daemon {
    state: Arc<State>,
    callers: Server,
    _readiness: Server,
    _metrics: Server,
    _answers: Server,
    _tasks: JoinSet<()>,
}

/// Runs a daemon by its settings until it is told to stop.
pub fn run(path: &Path, settings: Settings) -> Result<(), Error> {
    let guard = log::init(&settings.name, &settings.log.level);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let ended = runtime.block_on(until_stopped(path, settings));
    drop(guard);
    ended
}

async fn until_stopped(path: &Path, settings: Settings) -> Result<(), Error> {
    let daemon = spawn(settings.clone()).await?;
    let mut term = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    let mut hangup = signal(SignalKind::hangup()).context(RuntimeSnafu)?;
    let mut known = (modified(path), settings);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(path, &mut known, "signal"),
            _ = tokio::time::sleep(SETTINGS_LOOK) => {
                if modified(path) != known.0 {
                    reload(path, &mut known, "file");
                }
            }
        }
    }
    daemon.drain().await;
    Ok(())
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|m| m.modified()).ok()
}

/// Reads the settings again. What a running daemon cannot change is told, not half applied.
fn reload(path: &Path, known: &mut (Option<SystemTime>, Settings), cause: &str) {
    known.0 = modified(path);
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(why) => {
            error!(target: "settings", event = "unreadable", cause, why = %why, "the settings in force stay");
            return;
        }
    };
    match settings::read(&path.display().to_string(), &text) {
        Ok(new) if new == known.1 => {
            info!(target: "settings", event = "unchanged", cause, "the settings were read again")
        }
        Ok(new) => {
            warn!(target: "settings", event = "changed", cause, "the settings have changed; they apply from the next start");
            known.1 = new;
        }
        Err(problems) => {
            let count = problems.len();
            let first = problems.first().map(ToString::to_string);
            error!(target: "settings", event = "wrong", cause, count, first, "the settings in force stay");
        }
    }
}

/// Starts a daemon and returns once it listens.
pub async fn spawn(settings: Settings) -> Result<Daemon, Error> {
    let callers = listen(settings.callers).await?;
    let readiness = listen(settings.readiness).await?;
    let metrics = listen(settings.metrics).await?;
    let answers = listen(settings.peers).await?;
    let addr = settings.peers;
    let socket = UdpSocket::bind(addr).await.context(ListenSnafu { addr })?;
    let log = log::open(settings.log.sample);
    let (state, wanted, reports) = state::open(settings, log, STORE_LIMIT);
    let peers = peers::open(state.clone(), socket);
    let entry = serve::Context {
        state: state.clone(),
        peers: peers.clone(),
        queues: Arc::default(),
    };
    let daemon = Daemon {
        callers: serve_callers(&entry, callers)?,
        _readiness: serve_readiness(&state, readiness)?,
        _metrics: serve_metrics(&state, &peers, metrics)?,
        _answers: serve_hosts(&state, answers)?,
        _tasks: tasks(&entry, &peers, wanted, reports),
        state,
    };
    let settings = &daemon.state.settings;
    info!(target: "daemon", event = "started", name = &*settings.name, hall = &*settings.hall, callers = %settings.callers, sample = settings.log.sample, version = env!("CARGO_PKG_VERSION"), "the daemon runs");
    Ok(daemon)
}

fn tasks(
    entry: &serve::Context,
    peers: &Arc<Peers>,
    wanted: PlacementRequests,
    reports: Reports,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let state = &entry.state;
    tasks.spawn(queue::run(state.clone(), entry.queues.clone()));
    tasks.spawn(peers.clone().send_loads());
    tasks.spawn(follow::run(state.clone()));
    tasks.spawn(peers.clone().receive());
    tasks.spawn(peers.clone().send_reports());
    tasks.spawn(peers.clone().forward_placement_requests(wanted));
    tasks.spawn(peers.clone().forward_quarantine_reports(reports));
    tasks.spawn(peers.clone().send_limit_changes());
    tasks.spawn(peers.clone().send_departures());
    tasks.spawn(upkeep(state.clone()));
    tasks.spawn(settle(state.clone()));
    let (state, peers) = (state.clone(), peers.clone());
    tasks.spawn(async move {
        let lead = |term| planner::run(state.clone(), peers.clone(), term);
        leader::run(state.clone(), lead).await;
    });
    tasks
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).await.context(ListenSnafu { addr })
}

fn serve_callers(entry: &serve::Context, listener: TcpListener) -> Result<Server, Error> {
    let limits = entry.state.settings.limits;
    let bounds = Bounds {
        // Half of the descriptors: a request needs a connection to a replica as well.
        connections: limits.descriptors.saturating_sub(OWN_DESCRIPTORS) / 2,
        head_time: IDLE,
        head_bytes: HEAD_BYTES,
    };
    let entry = entry.clone();
    let answer = move |request| {
        let entry = entry.clone();
        async move { Ok(serve::handle(entry, request).await) }
    };
    conn::serve_within(listener, bounds, answer).context(RuntimeSnafu)
}

fn serve_readiness(state: &Arc<State>, listener: TcpListener) -> Result<Server, Error> {
    let state = state.clone();
    let answer = move |request: Request<Incoming>| {
        let is_ready = state.is_ready() && accounts::can_authenticate(&state);
        let status = match (request.uri().path(), is_ready) {
            (names::READY, true) => StatusCode::OK,
            (names::READY, false) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        let mut response = Response::new(respond::full_body(bytes::Bytes::new()));
        *response.status_mut() = status;
        async move { Ok(response) }
    };
    conn::serve(listener, OTHER_CONNECTIONS, answer).context(RuntimeSnafu)
}

fn serve_metrics(
    state: &Arc<State>,
    peers: &Arc<Peers>,
    listener: TcpListener,
) -> Result<Server, Error> {
    let (state, peers) = (state.clone(), peers.clone());
    let answer = move |_: Request<Incoming>| {
        gauges::update(&state, &peers);
        let text = state.log.metrics.render();
        async move { Ok(Response::new(respond::full_body(text.into()))) }
    };
    conn::serve(listener, OTHER_CONNECTIONS, answer).context(RuntimeSnafu)
}

/// Answers other hosts that ask what has changed in the store.
fn serve_hosts(state: &Arc<State>, listener: TcpListener) -> Result<Server, Error> {
    let state = state.clone();
    let answer = move |request| {
        let state = state.clone();
        async move { Ok(readers::answer(state, request).await) }
    };
    conn::serve(listener, HOST_CONNECTIONS, answer).context(RuntimeSnafu)
}

/// Closes old connections, forgets old removals, and tells what the logs left out.
async fn upkeep(state: Arc<State>) {
    loop {
        tokio::time::sleep(UPKEEP).await;
        expire(&state);
        state.pool.close_expired(state.now());
        state.log.metrics.run_upkeep();
        state.log.log_omitted();
    }
}

/// Takes replicas as gone as soon as their entries, which vanished, can no longer come back.
async fn settle(state: Arc<State>) {
    loop {
        state.entry_missing.notified().await;
        while state.table.lock().view.has_missing() {
            tokio::time::sleep(SETTLE).await;
            expire(&state);
        }
    }
}

/// Takes as gone what is missing for too long.
fn expire(state: &State) {
    let now = state.now();
    let rested = state.table.lock().expire_backoffs(now);
    for replica in rested {
        let labels = [("replica", &*replica)];
        let metrics = &state.log.metrics;
        metrics
            .gauge("coveford_replica_rest_seconds", &labels)
            .set(0.0);
        state.log.rate_limited(|| {
            info!(target: "replica", event = "rested", replica = &*replica, "a replica's rest is over, and so is the return to it");
        });
    }
    let news = {
        let mut table = state.table.lock();
        let news = table.view.expire(now);
        table.apply(&news);
        news
    };
    follow::report_updates(state, news, 0);
}

impl Daemon {
    /// Its shared state.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Where it answers callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.addr
    }

    /// Ends without cutting a request: readiness fails, new connections are taken until the
    /// balancer has gone elsewhere, then what runs is ended.
    pub async fn drain(self) {
        let state = &self.state;
        let grace = state.settings.bounds.grace;
        state.start_drain();
        let in_flight = state.in_flight();
        info!(target: "daemon", event = "draining", in_flight, "readiness fails; connections are taken a while longer");
        let asked = state.now();
        let accepting = ACCEPTING.min(grace.mul_f64(ACCEPTING_PART));
        state.clock.sleep_until(asked + Span::from(accepting)).await;
        let end = asked + Span::from(grace.mul_f64(GRACE_PART));
        let left = end.since(state.now()).std();
        let drained = state.clock.timeout_at(end, self.callers.drain(left)).await;
        let cut = drained.unwrap_or_else(|_| self.callers.connections());
        info!(target: "daemon", event = "stopped", cut, "the daemon ends");
    }
}
