//! Starts, drains and stops a daemon.

mod gauges;

use crate::accounts;
use crate::detour;
use crate::dispatch;
use crate::error::{Error, ListenSnafu, RuntimeSnafu};
use crate::grace;
use crate::peers::{self, Peers};
use crate::quarantine::Reports;
use crate::settings::{self, Mode, Settings};
use crate::state::{self, PlacementRequests, State};
use crate::{follow, leader, log, planner, probe, queue, readers, respond, serve, startup};
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

/// Timeout of a store call beyond the time that it waits for a change. The store may take several hundred
/// milliseconds.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Time after a stop signal for which connections are still accepted: the balancer checks readiness once a second and
/// stops sending requests after the second failed check.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2_400);

/// Maximum [`ACCEPT_AFTER_STOP`] as a fraction of the grace period.
const ACCEPT_FRACTION: f64 = 0.4;

/// Descriptors reserved for files, listeners and internal calls.
const RESERVED_DESCRIPTORS: usize = 300;

/// Idle timeout of client connections. The platform's clients reuse a connection for at most 80% of the configured
/// limit, which is not known before the first configuration.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Longest request head, in bytes; slightly above the platform's limit for clients.
const MAX_HEAD_BYTES: usize = 24 * 1_024;

/// Maximum connections of the balancer and of metrics collectors.
const OTHER_CONNECTIONS: usize = 32;

/// Maximum connections of other hosts that poll this one for store changes.
const HOST_CONNECTIONS: usize = 64;

/// Interval at which the settings file is checked for changes.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// Interval of the upkeep of connections, metrics and logs.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which missing replicas are checked while there are any; it delays the detection that a replica is
/// gone.
const MISSING_POLL: Duration = Duration::from_millis(50);

/// Interval at which a daemon that drains checks whether requests are left.
const IN_FLIGHT_POLL: Duration = Duration::from_millis(20);

pub struct Daemon {
    state: Arc<State>,
    peers: Arc<Peers>,
    callers: Server,
    _readiness: Server,
    _metrics: Server,
    _polls: Server,
    _tasks: JoinSet<()>,
}

/// Runs a daemon until it is told to stop.
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
    let mut current = (modified(path), settings);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(path, &mut current, "signal"),
            _ = tokio::time::sleep(SETTINGS_POLL) => {
                if modified(path) != current.0 {
                    reload(path, &mut current, "file");
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

/// Reads the settings again. Changes are logged only; they need a restart.
fn reload(path: &Path, current: &mut (Option<SystemTime>, Settings), cause: &str) {
    current.0 = modified(path);
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(why) => {
            error!(target: "settings", event = "unreadable", cause, why = %why, "cannot read the settings file; the current settings stay in force");
            return;
        }
    };
    match settings::read(&path.display().to_string(), &text) {
        Ok(new) if new == current.1 => {
            info!(target: "settings", event = "unchanged", cause, "settings read again")
        }
        Ok(new) => {
            warn!(target: "settings", event = "changed", cause, "settings changed; they take effect at the next start");
            current.1 = new;
        }
        Err(problems) => {
            let count = problems.len();
            let first = problems.first().map(ToString::to_string);
            error!(target: "settings", event = "wrong", cause, count, first, "invalid settings; the current ones stay in force");
        }
    }
}

/// Starts a daemon and returns once it listens.
pub async fn spawn(settings: Settings) -> Result<Daemon, Error> {
    let callers = listen(settings.callers).await?;
    let readiness = listen(settings.readiness).await?;
    let metrics = listen(settings.metrics).await?;
    let polls = listen(settings.peers).await?;
    let addr = settings.peers;
    let socket = UdpSocket::bind(addr).await.context(ListenSnafu { addr })?;
    let log = log::open(settings.log.sample);
    let (state, placement_requests, reports) = state::open(settings, log, STORE_CALL_TIMEOUT);
    let peers = peers::open(state.clone(), socket);
    let context = serve::Context {
        state: state.clone(),
        peers: peers.clone(),
        queues: Arc::default(),
    };
    let daemon = Daemon {
        callers: serve_callers(&context, callers)?,
        _readiness: serve_readiness(&state, readiness)?,
        _metrics: serve_metrics(&context, metrics)?,
        _polls: serve_hosts(&context, polls)?,
        _tasks: spawn_tasks(&context, &peers, placement_requests, reports),
        state,
        peers,
    };
    let settings = &daemon.state.settings;
    info!(target: "daemon", event = "started", name = &*settings.name, hall = &*settings.hall, callers = %settings.callers, sample = settings.log.sample, version = env!("CARGO_PKG_VERSION"), "daemon started");
    Ok(daemon)
}

fn spawn_tasks(
    context: &serve::Context,
    peers: &Arc<Peers>,
    placement_requests: PlacementRequests,
    reports: Reports,
) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let state = &context.state;
    tasks.spawn(queue::run(state.clone(), context.queues.clone()));
    tasks.spawn(peers.clone().send_loads());
    tasks.spawn(follow::run(state.clone()));
    tasks.spawn(peers.clone().receive());
    tasks.spawn(peers.clone().send_reports());
    tasks.spawn(peers.clone().forward_placement_requests(placement_requests));
    tasks.spawn(peers.clone().forward_quarantine_reports(reports));
    tasks.spawn(peers.clone().send_limit_changes());
    tasks.spawn(peers.clone().send_departures());
    tasks.spawn(peers.clone().send_runs());
    tasks.spawn(upkeep(state.clone()));
    tasks.spawn(expire_missing(state.clone()));
    tasks.spawn(probe::run(state.clone()));
    tasks.spawn(dispatch::run(state.clone(), peers.clone()));
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

fn serve_callers(context: &serve::Context, listener: TcpListener) -> Result<Server, Error> {
    let limits = context.state.settings.limits;
    let bounds = Bounds {
        // Half of the descriptors, since each request also needs a connection to a replica.
        max_connections: limits.descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2,
        head_timeout: IDLE_TIMEOUT,
        max_head_bytes: MAX_HEAD_BYTES,
    };
    let is_off = context.state.settings.scheduling.shedding == Mode::Off;
    let shedding = (!is_off).then(|| context.state.shedding.clone());
    let context = context.clone();
    let respond = move |request| {
        let context = context.clone();
        async move { Ok(serve::handle(context, request).await) }
    };
    conn::serve_with_bounds(listener, bounds, shedding, respond).context(RuntimeSnafu)
}

fn serve_readiness(state: &Arc<State>, listener: TcpListener) -> Result<Server, Error> {
    let state = state.clone();
    let respond = move |request: Request<Incoming>| {
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
    conn::serve(listener, OTHER_CONNECTIONS, respond).context(RuntimeSnafu)
}

fn serve_metrics(context: &serve::Context, listener: TcpListener) -> Result<Server, Error> {
    let context = context.clone();
    let respond = move |_: Request<Incoming>| {
        let held = context.queues.lock().held();
        gauges::update(&context.state, &context.peers, held);
        let text = context.state.log.metrics.render();
        async move { Ok(Response::new(respond::full_body(text.into()))) }
    };
    conn::serve(listener, OTHER_CONNECTIONS, respond).context(RuntimeSnafu)
}

/// Answers polls of other hosts for store changes, and the requests that they pass on.
fn serve_hosts(context: &serve::Context, listener: TcpListener) -> Result<Server, Error> {
    let limits = context.state.settings.limits;
    let max_connections = HOST_CONNECTIONS + 2 * detour::max_taken(&limits);
    let context = context.clone();
    let respond = move |request: Request<Incoming>| {
        let context = context.clone();
        async move {
            Ok(match request.uri().path() {
                detour::PATH => detour::respond(&context, request).await,
                _ => readers::respond(context.state, request).await,
            })
        }
    };
    conn::serve(listener, max_connections, respond).context(RuntimeSnafu)
}

/// Closes idle connections, expires replica states, and logs how many lines were suppressed.
async fn upkeep(state: Arc<State>) {
    let mut closed = 0;
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        log_shedding(&state, &mut closed);
        startup::log_waiting(&state);
        expire_due(&state);
        state.table.lock().record_software(state.now());
        state.pool.close_expired(state.now());
        state.log.metrics.run_upkeep();
        state.log.log_omitted();
    }
}

/// Logs how many connections were closed unread since the last call; `closed` counts those before.
fn log_shedding(state: &State, closed: &mut u64) {
    let status = state.shedding.status();
    let count = status.closed - std::mem::replace(closed, status.closed);
    if count > 0 {
        let delay_ms = status.delay.ms();
        state.log.rate_limited(|| {
            warn!(target: "daemon", event = "shedding", count, accepted_share = status.accepted_share, delay_ms, "new connections are closed unread, since the processor is busy; delay_ms is the time that accepted ones wait for it")
        });
    }
}

/// Removes replicas whose entries vanished as soon as the entries can no longer come back.
async fn expire_missing(state: Arc<State>) {
    loop {
        state.entry_missing.notified().await;
        while state.table.lock().view.has_missing() {
            tokio::time::sleep(MISSING_POLL).await;
            expire_due(&state);
        }
    }
}

/// Expires backoffs and missing replicas.
fn expire_due(state: &State) {
    let now = state.now();
    let recovered = state.table.lock().expire_backoffs(now);
    for replica in recovered {
        let labels = [("replica", &*replica)];
        let metrics = &state.log.metrics;
        metrics
            .gauge("coveford_replica_rest_seconds", &labels)
            .set(0.0);
        state.log.rate_limited(|| {
            info!(target: "replica", event = "rested", replica = &*replica, "the backoff from a replica has ended, and so has the ramp-up after it");
        });
    }
    let updates = {
        let mut table = state.table.lock();
        let updates = table.view.expire(now);
        table.apply(&updates);
        updates
    };
    follow::report_updates(state, updates, 0);
}

impl Daemon {
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Address of the listener for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.addr
    }

    /// Shuts down gracefully: readiness fails, connections are accepted until the balancer has noticed, and then
    /// requests in flight get the rest of the grace period to finish.
    pub async fn drain(self) {
        let state = &self.state;
        let period = state.settings.bounds.grace;
        state.start_drain();
        let in_flight = state.in_flight();
        info!(target: "daemon", event = "draining", in_flight, "draining: readiness fails, connections are accepted a while longer");
        let stopped_at = state.now();
        let accepting = ACCEPT_AFTER_STOP.min(period.mul_f64(ACCEPT_FRACTION));
        state
            .clock
            .sleep_until(stopped_at + Span::from(accepting))
            .await;
        let exit_at = stopped_at + Span::from(period.mul_f64(grace::EXIT_FRACTION));
        let remaining = exit_at.since(state.now()).std();
        let drained = state
            .clock
            .timeout_at(exit_at, self.callers.drain(remaining))
            .await;
        let cut = drained.unwrap_or_else(|_| self.callers.connection_count());
        // Requests of other hosts come by another listener.
        while state.in_flight() > 0 && state.now() < exit_at {
            tokio::time::sleep(IN_FLIGHT_POLL).await;
        }
        self.peers.hand_over_runs().await;
        info!(target: "daemon", event = "stopped", cut, "daemon stopped");
    }
}
