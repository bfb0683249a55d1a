//! Processor time by thread name, memory, and percentiles.

use hdrhistogram::Histogram;
use std::fs;
use std::io;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};
use unit::Span;

/// Makes a runtime whose threads bear a name, so that their processor time can be told apart.
pub fn runtime(name: &str, threads: usize) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
}

/// Processor time that threads of a name have used, from the kernel's accounts.
pub fn processor(name: &str) -> Duration {
    let mut nanos = 0;
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    for task in tasks.flatten() {
        let path = task.path();
        let comm = fs::read_to_string(path.join("comm")).unwrap_or_default();
        if comm.trim() != name {
            continue;
        }
        let stat = fs::read_to_string(path.join("schedstat")).unwrap_or_default();
        let ran = stat
            .split_whitespace()
            .next()
            .and_then(|n| n.parse::<u64>().ok());
        nanos += ran.unwrap_or(0);
    }
    Duration::from_nanos(nanos)
}

/// Memory that is allocated and not freed, in bytes; the experiments' binary counts it.
pub fn allocated() -> usize {
    let stats = stats_alloc::INSTRUMENTED_SYSTEM.stats();
    stats.bytes_allocated - stats.bytes_deallocated
}

/// Latencies.
pub struct Latency(Histogram<u64>);

impl Latency {
    /// Starts with none.
    pub fn new() -> Latency {
        let bounds = Histogram::new_with_bounds(1, 600_000_000, 3);
        Latency(bounds.expect("the bounds are in order"))
    }

    /// Adds one.
    pub fn add(&mut self, latency: Duration) {
        self.0.saturating_record(latency.as_micros() as u64);
    }

    /// Value at a quantile.
    pub fn at(&self, quantile: f64) -> Span {
        Span(self.0.value_at_quantile(quantile))
    }

    /// How many were added.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}

/// Time spent on each point.
const EACH: Duration = Duration::from_millis(150);

/// Microseconds of one call, over many.
pub fn each(mut call: impl FnMut()) -> f64 {
    let start = Instant::now();
    let mut calls = 0u32;
    while start.elapsed() < EACH {
        call();
        calls += 1;
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}
