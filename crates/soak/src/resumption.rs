//! Clients that take up broken streams at other hosts, and the check of what they received.

use crate::accounts::Caller;
use crate::client::{EVENTS_PER_STREAM, Kind, REQUEST_TIMEOUT, Workload, request};
use conn::Connection;
use http_body_util::BodyExt;
use platform::names;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// Attempts to take up one stream.
const ATTEMPTS: usize = 4;

/// Versions of the software of replicas that run models.
pub const VERSIONS: [&str; 3] = ["v1", "v1.1", "v2"];

/// Stream as its client received it, over all attempts.
#[derive(Debug, Clone, Default)]
pub struct Stream {
    /// Attempt that brought the first event.
    pub first: String,
    /// Numbers of the events, in order.
    pub events: Vec<u64>,
    /// Versions of the software that wrote them.
    pub versions: BTreeSet<String>,
    /// Attempts that brought events.
    pub attempts: usize,
}

/// Sends streams one after the other and takes up those that break, until the workload is stopped.
pub async fn run(workload: Arc<Workload>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    while workload.running.load(Ordering::Relaxed) {
        let model = ["m1", "m2", "m3"][rng.random_range(0..3)];
        let mut stream = Stream::default();
        for _ in 0..ATTEMPTS {
            let host = workload.hosts[rng.random_range(0..workload.hosts.len())];
            let id = workload.next_id();
            if attempt(host, &id, model, &mut stream).await {
                break;
            }
            sleep(Duration::from_millis(rng.random_range(10..200))).await;
        }
        workload.streams.lock().push(stream);
        sleep(Duration::from_millis(rng.random_range(5..40))).await;
    }
}

/// Begins a stream, or takes it up after its last event; returns whether it ended properly.
async fn attempt(host: SocketAddr, id: &str, model: &str, stream: &mut Stream) -> bool {
    let mut request = request(Kind::Resume, Caller::Steady, model, id);
    let headers = request.headers_mut();
    if let Some(last) = stream.events.last() {
        headers.insert(names::LAST_EVENT_ID, (*last).into());
        let first = stream.first.parse();
        headers.insert(
            names::RESUMES,
            first.expect("an ID is a valid header value"),
        );
    }
    let Ok(mut line) = Connection::open(host, Duration::from_secs(1)).await else {
        return false;
    };
    let Ok(response) = line.send(request, REQUEST_TIMEOUT).await else {
        return false;
    };
    if !response.status().is_success() {
        return false;
    }
    let (mut body, mut text) = (response.into_body(), Vec::new());
    let end = Instant::now() + REQUEST_TIMEOUT;
    let ended = loop {
        match timeout_at(end, body.frame()).await {
            Ok(Some(Ok(frame))) => text.extend(frame.into_data().unwrap_or_default()),
            Ok(None) => break true,
            Ok(Some(Err(_))) | Err(_) => break false,
        }
    };
    stream.add(id, &String::from_utf8_lossy(&text));
    ended
}

impl Stream {
    /// Adds the complete events of an attempt.
    fn add(&mut self, id: &str, text: &str) {
        let events = text.split_inclusive("\n\n").filter(|e| e.ends_with("\n\n"));
        let before = self.events.len();
        for line in events.flat_map(str::lines) {
            let number = line
                .strip_prefix("id: ")
                .and_then(|n| n.parse::<u64>().ok());
            self.events.extend(number);
            let version = line.rsplit_once(" by ").map(|(_, v)| v.to_owned());
            self.versions.extend(version);
        }
        if before == 0 && !self.events.is_empty() {
            self.first = id.to_owned();
        }
        self.attempts += usize::from(self.events.len() > before);
    }
}

/// Streams that hold events of several versions, or lack or repeat some.
pub fn check(streams: &[Stream]) -> Vec<String> {
    let mut violations = Vec::new();
    for stream in streams {
        let Stream { first, events, .. } = stream;
        if stream.versions.len() > 1 {
            let (versions, attempts) = (&stream.versions, stream.attempts);
            violations.push(format!(
                "stream {first} holds events of {versions:?}, over {attempts} attempts"
            ));
        }
        let expected: Vec<u64> = (1..=events.len() as u64).collect();
        if *events != expected || events.len() as u64 > EVENTS_PER_STREAM {
            violations.push(format!("stream {first} holds events {events:?}"));
        }
    }
    violations
}
