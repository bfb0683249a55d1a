//! Prompts with a segment that crashes replicas, beside sound ones that share all their other segments.

use crate::accounts::Caller;
use crate::client::{Kind, REQUEST_TIMEOUT, Workload, request};
use conn::Connection;
use hyper::header::HeaderValue;
use platform::names;
use platform_standin::replica::Replica;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// IDs of the segments that crash replicas. Their requests come one after the other, and then together.
pub const FATAL: [&str; 2] = ["e1", "e2"];

/// Segments that prompts share, of which the first ones are more common.
const SHARED: [&str; 6] = ["a1", "a1", "a1", "a1,b1", "c1", "c1,b1"];

/// Mean pause between two requests with a fatal segment.
const INTERVAL: Duration = Duration::from_millis(300);

/// Time after which the second segment comes too.
const SECOND_AFTER: Duration = Duration::from_secs(5);

/// Crashes from which requests with a segment are to be stopped.
const MAX_CRASHES: usize = 5;

/// Most of its requests that reach replicas later, while the hosts are undisturbed.
const MAX_LATE: usize = 3;

/// Prompt of a request: shared segments, perhaps a fatal one, and one of its own.
pub fn prompt(rng: &mut SmallRng, fatal: Option<&str>) -> HeaderValue {
    let shared = SHARED[rng.random_range(0..SHARED.len())].split(',');
    let own = format!("{:x}", rng.random::<u32>());
    let ids = shared.chain(fatal).chain([&*own]);
    let segments: Vec<String> = ids.map(|id| format!("{id}:25")).collect();
    let prompt = segments.join(",");
    prompt.parse().expect("a prompt is a valid header value")
}

/// Sends requests with fatal segments to random hosts, no two alike, until the workload is stopped.
pub async fn send_fatal(workload: Arc<Workload>, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    while workload.running.load(Ordering::Relaxed) {
        let known = if start.elapsed() < SECOND_AFTER {
            1
        } else {
            FATAL.len()
        };
        let fatal = FATAL[rng.random_range(0..known)];
        let host = workload.hosts[rng.random_range(0..workload.hosts.len())];
        let model = ["m1", "m2", "m3"][rng.random_range(0..3)];
        let mut request = request(Kind::Stream, Caller::Steady, model, &workload.next_id());
        let headers = request.headers_mut();
        headers.insert(names::PROMPT_PREFIX, prompt(&mut rng, Some(fatal)));
        if let Ok(mut connection) = Connection::open(host, REQUEST_TIMEOUT).await {
            // The response does not matter; the check counts arrivals at replicas.
            let _ = connection.exchange(request, REQUEST_TIMEOUT, 1 << 20).await;
        }
        sleep(INTERVAL.mul_f64(rng.random_range(0.2..1.8))).await;
    }
}

/// Reports segments of which too many requests reached replicas later than `quiet` after they had crashed
/// [`MAX_CRASHES`], with no disturbance in the `quiet` time before.
pub fn check(replicas: &[Replica], disturbances: &[Instant], quiet: Duration) -> Vec<String> {
    let mut arrivals: HashMap<String, Vec<Instant>> = HashMap::new();
    for (at, id) in replicas.iter().flat_map(Replica::fatal_arrivals) {
        arrivals.entry(id).or_default().push(at);
    }
    let is_disturbed = |at: Instant| {
        let from = at.checked_sub(quiet).unwrap_or(at);
        disturbances.iter().any(|d| (from..=at).contains(d))
    };
    let mut violations = Vec::new();
    for (id, mut times) in arrivals {
        times.sort();
        // Each arrival ends its replica, together with those that are there at the same time.
        let Some(last) = times.get(MAX_CRASHES - 1).copied() else {
            continue;
        };
        let late = times
            .iter()
            .filter(|at| **at > last + quiet && !is_disturbed(**at));
        let late = late.count();
        if late > MAX_LATE {
            let all = times.len();
            violations.push(format!("{late} requests with segment {id} reached replicas after it had crashed {MAX_CRASHES}, {all} in all"));
        }
    }
    violations
}
