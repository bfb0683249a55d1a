//! Clients that keep their connections, and what each was told.

use crate::accounts::Caller;
use crate::signals;
use conn::{Connection, Reply};
use hyper::Request;
use parking_lot::Mutex;
use platform::{names, response};
use platform_standin::replica;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Time that a client gives its requests.
pub const PATIENCE: Duration = Duration::from_secs(3);

/// Time beyond it after which a request was held too long: the process may have been paused.
pub const HELD: Duration = Duration::from_millis(1_000);

/// Whose requests clients send: half of them of the account that has its key always.
const CALLERS: [Caller; 6] = [
    Caller::Steady,
    Caller::Steady,
    Caller::Steady,
    Caller::Going,
    Caller::Limited,
    Caller::Limited,
];

/// Events of a whole stream.
pub const EVENTS: u64 = 5;

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A stream that may not be resumed.
    Stream,
    /// A stream that may be resumed.
    Resume,
    /// A plain request that may not be repeated.
    Once,
    /// A plain request that may be repeated.
    Again,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Kind::Stream => "/stream/x",
            Kind::Resume => "/resume/x",
            Kind::Once => "/once/x",
            Kind::Again => "/again/x",
        }
    }

    /// Whether it is answered by events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::Resume)
    }

    /// Whether it may run more than once.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Resume | Kind::Again)
    }
}

/// What a client was told of one request.
#[derive(Debug, Clone)]
pub struct Told {
    /// Identity.
    pub id: String,
    /// What was asked for.
    pub kind: Kind,
    /// Whose request it was.
    pub caller: Caller,
    /// Host, by index.
    pub host: usize,
    /// When it was sent.
    pub sent: Instant,
    /// How long the answer took.
    pub took: Duration,
    /// Status; 0 when the connection broke, or never opened.
    pub status: u16,
    /// Whether a connection was there to be broken.
    pub connected: bool,
    /// What is wrong with the answer, if anything.
    pub wrong: Option<String>,
}

/// Where clients find the hosts, and where they write down what they are told.
pub struct Book {
    /// Hosts.
    pub hosts: Vec<SocketAddr>,
    /// What was told.
    pub told: Mutex<Vec<Told>>,
    /// Whether clients go on.
    pub goes_on: AtomicBool,
    next: AtomicU64,
}

/// Makes an empty book.
pub fn book(hosts: Vec<SocketAddr>) -> Arc<Book> {
    Arc::new(Book {
        hosts,
        told: Mutex::default(),
        goes_on: AtomicBool::new(true),
        next: AtomicU64::new(1),
    })
}

/// Asks one request after the other until the book says no more.
pub async fn run(book: Arc<Book>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut line: Option<(usize, Connection)> = None;
    while book.goes_on.load(Ordering::Relaxed) {
        let kind = [Kind::Stream, Kind::Resume, Kind::Once, Kind::Again][rng.random_range(0..4)];
        let caller = CALLERS[rng.random_range(0..CALLERS.len())];
        let model = ["m1", "m2", "m3"][rng.random_range(0..3)];
        let host = match &line {
            Some((host, _)) if rng.random_bool(0.8) => *host,
            _ => rng.random_range(0..book.hosts.len()),
        };
        let kept = line.take().filter(|(at, l)| *at == host && l.is_reusable());
        line = ask(&book, (kind, caller), model, host, kept.map(|(_, l)| l)).await;
        let pause = rng.random_range(5..40);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
}

/// Body of a request that ends each plain replica that begins to run it.
pub const FATAL: &str = "fatal";

/// Pause between two comings of that request.
const INSISTS: Duration = Duration::from_millis(400);

/// Sends a request that ends replicas, each time with another identity and to any host, until the book says no more.
pub async fn insist(book: Arc<Book>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while book.goes_on.load(Ordering::Relaxed) {
        let host = book.hosts[rng.random_range(0..book.hosts.len())];
        let id = format!("s-{}", book.next.fetch_add(1, Ordering::Relaxed));
        let mut request = request(Kind::Once, Caller::Steady, "", &id);
        *request.body_mut() = conn::Body::new(FATAL.into());
        if let Ok(mut line) = Connection::open(host, PATIENCE).await {
            // Whatever it is told: what counts is whether replicas fall.
            let _ = line.exchange(request, PATIENCE, 1 << 20).await;
        }
        tokio::time::sleep(INSISTS).await;
    }
}

/// Asks one request; gives the connection back if it may carry another.
async fn ask(
    book: &Book,
    (kind, caller): (Kind, Caller),
    model: &str,
    host: usize,
    kept: Option<Connection>,
) -> Option<(usize, Connection)> {
    let id = format!("s-{}", book.next.fetch_add(1, Ordering::Relaxed));
    let sent = Instant::now();
    let mut request = request(kind, caller, model, &id);
    let from = signals::field(book.hosts[host]);
    request.headers_mut().insert(replica::HOST_HEADER, from);
    let opened = match kept {
        Some(line) => Ok(line),
        None => Connection::open(book.hosts[host], Duration::from_secs(1)).await,
    };
    let (connected, reply, line) = match opened {
        Ok(mut line) => {
            let limit = PATIENCE + HELD * 2;
            let reply = line.exchange(request, limit, 1 << 20).await;
            (true, reply.ok(), Some(line))
        }
        Err(_) => (false, None, None),
    };
    let told = Told {
        wrong: reply.as_ref().and_then(|r| wrong(kind, &id, r)),
        status: reply.as_ref().map_or(0, |r| r.status.as_u16()),
        took: sent.elapsed(),
        id,
        kind,
        caller,
        host,
        sent,
        connected,
    };
    let keeps = reply.is_some_and(|r| response::parse(r.status, &r.headers).keep_alive);
    book.told.lock().push(told);
    line.filter(|_| keeps).map(|line| (host, line))
}

/// Status of one request to a path; none when there is no answer.
pub async fn probe(host: SocketAddr, path: &str) -> Option<u16> {
    let mut line = Connection::open(host, PATIENCE).await.ok()?;
    let mut request = request(Kind::Again, Caller::Steady, "", "probe");
    *request.uri_mut() = path.parse().ok()?;
    let reply = line.exchange(request, PATIENCE, 1 << 20).await.ok()?;
    Some(reply.status.as_u16())
}

fn request(kind: Kind, caller: Caller, model: &str, id: &str) -> Request<conn::Body> {
    let mut builder = Request::builder()
        .method("POST")
        .uri(kind.path())
        .header("host", "a.example")
        .header("authorization", format!("Token {}", caller.key()))
        .header(names::REQUEST_ID, id)
        .header(names::DEADLINE_MS, PATIENCE.as_millis().to_string());
    if kind.is_stream() {
        builder = builder
            .header(names::MODEL, model)
            .header(names::TOKEN_USAGE, "100,20");
    }
    builder
        .body(conn::Body::new(id.to_owned().into()))
        .expect("a request of plain values")
}

/// What is wrong with an answer that says that it is whole.
fn wrong(kind: Kind, id: &str, reply: &Reply) -> Option<String> {
    if !reply.status.is_success() {
        return None;
    }
    if !response::parse(reply.status, &reply.headers).signed {
        return Some("a success without a signature".into());
    }
    let text = String::from_utf8_lossy(&reply.body);
    if matches!(kind, Kind::Once | Kind::Again) {
        let own = text.contains(&format!(" answers {id} at {}", kind.path()));
        return (!own).then(|| format!("another's answer: {text}"));
    }
    let ids = text.lines().filter_map(|l| l.strip_prefix("id: "));
    let ids: Vec<u64> = ids.filter_map(|id| id.parse().ok()).collect();
    let whole: Vec<u64> = (1..=EVENTS).collect();
    (ids != whole).then(|| format!("a whole stream of events {ids:?}"))
}
