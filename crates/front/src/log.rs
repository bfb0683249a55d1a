//! Logs: JSON lines on standard output, written by a dedicated thread that callers never wait for.
//!
//! Routine decisions are logged for one request in `sample`, chosen by the hash of its id, so that all hosts log the
//! same requests. Other lines are rate limited. Lines that exceed the rate limit or the buffer are counted.

use crate::metrics::Metrics;
use parking_lot::Mutex;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// What a rate-limited line is about. Each topic has a limit of its own, so that thousands of replicas that are listed
/// at once leave room for other lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Topic {
    General,
    /// Changes of the replicas that the store lists.
    Replicas,
    /// Replicas that the planner takes up and reports that it asks for.
    Planner,
    /// Answers by which a request counts as not run, or that are not believed.
    Verdicts,
}

/// Rate limit of a topic, in lines per second. A line costs about 20 µs.
const LINES_PER_SECOND: f64 = 40.0;

/// Lines that may be logged at once.
const BURST: f64 = 200.0;

/// Lines buffered for the writer thread; further lines are dropped and counted.
const BUFFERED_LINES: usize = 2_048;

pub struct Log {
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// One request in this many is logged.
    sample: u64,
    /// By topic.
    buckets: [Mutex<TokenBucket>; 4],
    omitted: AtomicU64,
}

struct TokenBucket {
    tokens: f64,
    refilled: Instant,
}

/// Opens the logs of a daemon that logs one request in `sample`.
pub fn open(sample: u64) -> Log {
    Log {
        metrics: crate::metrics::open(),
        sample,
        buckets: std::array::from_fn(|_| {
            Mutex::new(TokenBucket {
                tokens: BURST,
                refilled: Instant::now(),
            })
        }),
        omitted: AtomicU64::new(0),
    }
}

/// Installs the subscriber, which adds the host's name to each line. Lines are flushed when the guard is dropped.
pub fn init(host: &str, level: &str) -> WorkerGuard {
    let (lines, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let prefix = format!("{{\"host\":{},", serde_json::Value::from(host));
    let prefix: Arc<[u8]> = prefix.into_bytes().into();
    let writer = move || HostWriter {
        prefix: prefix.clone(),
        lines: lines.clone(),
    };
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(EnvFilter::new(level))
        .with_writer(writer)
        .try_init();
    guard
}

/// Writer that adds the host's name to each line.
struct HostWriter {
    prefix: Arc<[u8]>,
    lines: NonBlocking,
}

impl Write for HostWriter {
    /// Expects one whole line, a JSON object.
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let fields = line.strip_prefix(b"{").unwrap_or(line);
        let mut whole = Vec::with_capacity(self.prefix.len() + fields.len());
        whole.extend_from_slice(&self.prefix);
        whole.extend_from_slice(fields);
        self.lines.write_all(&whole)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.lines.flush()
    }
}

impl Log {
    /// Logs a routine decision about a request if the request is in the sample.
    pub fn sampled(&self, id: &str, log: impl FnOnce()) {
        if unit::rendezvous::hash(id.as_bytes()).is_multiple_of(self.sample) {
            log();
        }
    }

    /// Logs a line unless the rate limit is exceeded.
    pub fn rate_limited(&self, log: impl FnOnce()) {
        self.rate_limited_by(Topic::General, log);
    }

    /// Logs a line unless the rate limit of its topic is exceeded.
    pub fn rate_limited_by(&self, topic: Topic, log: impl FnOnce()) {
        if self.take_token(topic) {
            log();
            return;
        }
        self.omitted.fetch_add(1, Ordering::Relaxed);
        self.metrics
            .counter("coveford_log_lines_left_out_total", &[])
            .increment(1);
    }

    fn take_token(&self, topic: Topic) -> bool {
        let mut bucket = self.buckets[topic as usize].lock();
        let elapsed = bucket.refilled.elapsed().as_secs_f64();
        bucket.refilled = Instant::now();
        bucket.tokens = (bucket.tokens + elapsed * LINES_PER_SECOND).min(BURST);
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Logs how many lines the rate limit suppressed since the last call.
    pub fn log_omitted(&self) {
        let lines = self.omitted.swap(0, Ordering::Relaxed);
        if lines > 0 {
            tracing::warn!(target: "log", event = "left_out", lines, "the rate limit suppressed log lines");
        }
    }
}
