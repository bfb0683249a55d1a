//! Clients with persistent connections, and the outcomes of their requests.

use crate::accounts::Caller;
use crate::resumption::Stream;
use crate::segments;
use crate::signals;
use conn::{Connection, Reply};
use hyper::Request;
use hyper::header::HeaderValue;
use parking_lot::Mutex;
use platform::{names, response};
use platform_standin::replica;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Deadline that clients send with each request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Time past the deadline after which a response counts as late.
pub const TIMEOUT_TOLERANCE: Duration = Duration::from_millis(1_000);

/// Accounts that requests are drawn from; half of them are for the steady account.
const CALLER_MIX: [Caller; 6] = [
    Caller::Steady,
    Caller::Steady,
    Caller::Steady,
    Caller::Intermittent,
    Caller::Limited,
    Caller::Limited,
];

/// Number of events in a complete stream.
pub const EVENTS_PER_STREAM: u64 = 5;

/// Share of the new connections that the favored host gets, if there is one.
const FAVORED_SHARE: f64 = 7.0 / 8.0;

/// Kind of request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Stream that may not be resumed.
    Stream,
    /// Stream that may be resumed.
    Resume,
    /// Plain request that is not idempotent.
    Once,
    /// Plain request that is not idempotent, on a route that allows one attempt.
    Single,
    /// Plain request that is idempotent.
    Again,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Kind::Stream => "/stream/x",
            Kind::Resume => "/resume/x",
            Kind::Once => "/once/x",
            Kind::Single => "/single/x",
            Kind::Again => "/again/x",
        }
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::Resume)
    }

    /// Whether it may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Kind::Resume | Kind::Again)
    }
}

/// Outcome of one request, as its client saw it.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Request ID.
    pub id: String,
    pub kind: Kind,
    pub caller: Caller,
    /// Index of the host.
    pub host: usize,
    pub sent: Instant,
    /// Time until the response ended or the request failed.
    pub elapsed: Duration,
    /// HTTP status; 0 if the connection failed.
    pub status: u16,
    /// Whether a connection was open.
    pub connected: bool,
    /// How a successful response differs from the expected one.
    pub mismatch: Option<String>,
}

/// State that all clients share.
pub struct Workload {
    /// Caller addresses of the hosts.
    pub hosts: Vec<SocketAddr>,
    pub outcomes: Mutex<Vec<Outcome>>,
    /// Streams of the clients that take up broken ones.
    pub streams: Mutex<Vec<Stream>>,
    /// Host that the balancer hands most new connections to.
    pub favored: Mutex<Option<usize>>,
    /// Clients that press for places stop when this is false.
    pub pressing: AtomicBool,
    /// Clients stop when this is false.
    pub running: AtomicBool,
    next_id: AtomicU64,
}

pub fn workload(hosts: Vec<SocketAddr>) -> Arc<Workload> {
    Arc::new(Workload {
        hosts,
        outcomes: Mutex::default(),
        streams: Mutex::default(),
        favored: Mutex::default(),
        pressing: AtomicBool::new(true),
        running: AtomicBool::new(true),
        next_id: AtomicU64::new(1),
    })
}

impl Workload {
    /// Host of a new connection.
    pub fn host(&self, rng: &mut SmallRng) -> usize {
        let favored = self
            .favored
            .lock()
            .filter(|_| rng.random_bool(FAVORED_SHARE));
        favored.unwrap_or_else(|| rng.random_range(0..self.hosts.len()))
    }

    /// Next request ID.
    pub fn next_id(&self) -> String {
        // Other soaks on the machine may reach replicas of this one, whose addresses are given out anew.
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        format!("s{}-{number}", std::process::id())
    }
}

/// Sends requests one after the other until the workload is stopped.
pub async fn run(workload: Arc<Workload>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut prompt_rng = SmallRng::seed_from_u64(!seed);
    let mut connection: Option<(usize, Connection)> = None;
    while workload.running.load(Ordering::Relaxed) {
        let kind = [Kind::Stream, Kind::Resume, Kind::Once, Kind::Again][rng.random_range(0..4)];
        let caller = CALLER_MIX[rng.random_range(0..CALLER_MIX.len())];
        let model = ["m1", "m2", "m3"][rng.random_range(0..3)];
        let host = match &connection {
            Some((host, _)) if rng.random_bool(0.8) => *host,
            _ => workload.host(&mut rng),
        };
        let reusable = connection
            .take()
            .filter(|(at, c)| *at == host && c.is_reusable());
        let prompt = segments::prompt(&mut prompt_rng, None);
        connection = send(
            &workload,
            (kind, caller),
            (model, prompt),
            host,
            reusable.map(|(_, c)| c),
        )
        .await;
        let pause = rng.random_range(5..40);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Body of a request that crashes each plain replica that starts to run it.
pub const FATAL_BODY: &str = "fatal";

/// Pause between two fatal requests.
const FATAL_INTERVAL: Duration = Duration::from_millis(400);

/// Sends the fatal request to random hosts, each time with a new request ID, until the workload is stopped.
pub async fn send_fatal_requests(workload: Arc<Workload>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while workload.running.load(Ordering::Relaxed) {
        let host = workload.hosts[rng.random_range(0..workload.hosts.len())];
        let id = workload.next_id();
        let mut request = request(Kind::Once, Caller::Steady, "", &id);
        *request.body_mut() = conn::Body::new(FATAL_BODY.into());
        if let Ok(mut connection) = Connection::open(host, REQUEST_TIMEOUT).await {
            // The response does not matter; the check counts crashes of replicas.
            let _ = connection.exchange(request, REQUEST_TIMEOUT, 1 << 20).await;
        }
        tokio::time::sleep(FATAL_INTERVAL).await;
    }
}

/// Sends one request; returns the connection if it can be reused.
pub async fn send(
    workload: &Workload,
    (kind, caller): (Kind, Caller),
    (model, prompt): (&str, HeaderValue),
    host: usize,
    reusable: Option<Connection>,
) -> Option<(usize, Connection)> {
    let id = workload.next_id();
    let sent = Instant::now();
    let mut request = request(kind, caller, model, &id);
    let sender = signals::host_header(workload.hosts[host]);
    request.headers_mut().insert(replica::HOST_HEADER, sender);
    if kind.is_stream() {
        request.headers_mut().insert(names::PROMPT_PREFIX, prompt);
    }
    let opened = match reusable {
        Some(connection) => Ok(connection),
        None => Connection::open(workload.hosts[host], Duration::from_secs(1)).await,
    };
    let (connected, reply, connection) = match opened {
        Ok(mut connection) => {
            let limit = REQUEST_TIMEOUT + TIMEOUT_TOLERANCE * 2;
            let reply = connection.exchange(request, limit, 1 << 20).await;
            (true, reply.ok(), Some(connection))
        }
        Err(_) => (false, None, None),
    };
    let outcome = Outcome {
        mismatch: reply.as_ref().and_then(|r| mismatch(kind, &id, r)),
        status: reply.as_ref().map_or(0, |r| r.status.as_u16()),
        elapsed: sent.elapsed(),
        id,
        kind,
        caller,
        host,
        sent,
        connected,
    };
    let keep_alive = reply.is_some_and(|r| response::parse(r.status, &r.headers).keep_alive);
    workload.outcomes.lock().push(outcome);
    connection
        .filter(|_| keep_alive)
        .map(|connection| (host, connection))
}

/// Status of a request to `path`; `None` if there is no response.
pub async fn probe(host: SocketAddr, path: &str) -> Option<u16> {
    let mut connection = Connection::open(host, REQUEST_TIMEOUT).await.ok()?;
    let mut request = request(Kind::Again, Caller::Steady, "", "probe");
    *request.uri_mut() = path.parse().ok()?;
    let reply = connection
        .exchange(request, REQUEST_TIMEOUT, 1 << 20)
        .await
        .ok()?;
    Some(reply.status.as_u16())
}

/// Builds a request.
pub fn request(kind: Kind, caller: Caller, model: &str, id: &str) -> Request<conn::Body> {
    let mut builder = Request::builder()
        .method("POST")
        .uri(kind.path())
        .header("host", "a.example")
        .header("authorization", format!("Token {}", caller.key()))
        .header(names::REQUEST_ID, id)
        .header(names::DEADLINE_MS, REQUEST_TIMEOUT.as_millis().to_string());
    if kind.is_stream() {
        builder = builder
            .header(names::MODEL, model)
            .header(names::TOKEN_USAGE, "100,20");
    }
    builder
        .body(conn::Body::new(id.to_owned().into()))
        .expect("the method, URI and headers are valid")
}

/// How a successful response differs from the expected one.
fn mismatch(kind: Kind, id: &str, reply: &Reply) -> Option<String> {
    if !reply.status.is_success() {
        return None;
    }
    if !response::parse(reply.status, &reply.headers).signed {
        return Some("a success response without a signature".into());
    }
    let text = String::from_utf8_lossy(&reply.body);
    if !kind.is_stream() {
        let is_own = text.contains(&format!(" answers {id} at {}", kind.path()));
        return (!is_own).then(|| format!("the response to another request: {text}"));
    }
    let versions: BTreeSet<&str> = text
        .lines()
        .filter_map(|l| Some(l.rsplit_once(" by ")?.1))
        .collect();
    if versions.len() > 1 {
        return Some(format!("a stream with events of versions {versions:?}"));
    }
    let ids = text.lines().filter_map(|l| l.strip_prefix("id: "));
    let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
    let expected: Vec<u64> = (1..=EVENTS_PER_STREAM).collect();
    (ids != expected)
        .then(|| format!("a stream that ended normally with events {ids:?}, expected {expected:?}"))
}
