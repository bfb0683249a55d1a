//! Logs: JSON lines on standard output, written by a thread of their own that is never waited for.
//!
//! Routine decisions are told for one request in so many, chosen by its identity, so that every host
//! tells the same requests whole. What is out of the ordinary is told up to a rate. Lines
//! that were left out or did not fit the buffer are counted.

use crate::metrics::Metrics;
use parking_lot::Mutex;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines out of the ordinary that may be told a second; each costs some 20 µs.
const LINES_PER_SECOND: f64 = 40.0;

/// Lines that may be told at once after a quiet time.
const BURST: f64 = 200.0;

/// Lines that wait for the writing thread; more are dropped and counted.
const BUFFERED_LINES: usize = 2_048;

/// Logs and metrics of one daemon.
pub struct Log {
    /// Its metrics.
    pub metrics: Metrics,
    /// One request in that many is told whole.
    sample: u64,
    bucket: Mutex<Bucket>,
    left_out: AtomicU64,
}

struct Bucket {
    lines: f64,
    filled: Instant,
}

/// Makes the logs of a daemon that tells one request in `sample` whole.
pub fn open(sample: u64) -> Log {
    Log {
        metrics: crate::metrics::open(),
        sample,
        bucket: Mutex::new(Bucket {
            lines: BURST,
            filled: Instant::now(),
        }),
        left_out: AtomicU64::new(0),
    }
}

/// Starts writing lines in the name of a host; they are flushed when the guard is dropped.
pub fn init(host: &str, level: &str) -> WorkerGuard {
    let (lines, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let start = format!("{{\"host\":{},", serde_json::Value::from(host));
    let start: Arc<[u8]> = start.into_bytes().into();
    let writer = move || Named {
        start: start.clone(),
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

/// Writer that puts the host's name in front of the other fields of a line.
struct Named {
    start: Arc<[u8]>,
    lines: NonBlocking,
}

impl Write for Named {
    /// A line comes whole, as one object.
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let fields = line.strip_prefix(b"{").unwrap_or(line);
        let mut named = Vec::with_capacity(self.start.len() + fields.len());
        named.extend_from_slice(&self.start);
        named.extend_from_slice(fields);
        self.lines.write_all(&named)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.lines.flush()
    }
}

impl Log {
    /// Tells a routine decision about a request, if the request is one of the sample.
    pub fn sampled(&self, id: &str, tell: impl FnOnce()) {
        if unit::rendezvous::hash(id.as_bytes()).is_multiple_of(self.sample) {
            tell();
        }
    }

    /// Tells something out of the ordinary, within the rate.
    pub fn rate_limited(&self, tell: impl FnOnce()) {
        if self.has_room() {
            tell();
            return;
        }
        self.left_out.fetch_add(1, Ordering::Relaxed);
        self.metrics
            .counter("coveford_log_lines_left_out_total", &[])
            .increment(1);
    }

    fn has_room(&self) -> bool {
        let mut bucket = self.bucket.lock();
        let passed = bucket.filled.elapsed().as_secs_f64();
        bucket.filled = Instant::now();
        bucket.lines = (bucket.lines + passed * LINES_PER_SECOND).min(BURST);
        if bucket.lines < 1.0 {
            return false;
        }
        bucket.lines -= 1.0;
        true
    }

    /// Tells how many lines were left out since the last call.
    pub fn log_omitted(&self) {
        let lines = self.left_out.swap(0, Ordering::Relaxed);
        if lines > 0 {
            tracing::warn!(target: "log", event = "left_out", lines, "lines were left out to keep within the rate");
        }
    }
}
