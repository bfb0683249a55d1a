//! Clock of one daemon, used for all ages and deadlines.
//!
//! It keeps running while the host is suspended or the process is stopped, unlike the runtime's timers, which use the
//! monotonic clock. Waits on this clock are re-evaluated after such a pause.

use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use unit::{Span, Time, clock};

/// First time that the clock shows, in microseconds, so that times before its start can be represented.
const FIRST: u64 = 3_600_000_000;

/// Gap between two readings beyond which the process is taken to have been stopped, or its host suspended. A task
/// reads the clock every 100 ms, and planning for a large fleet blocks for less than this.
const SUSPENSION_THRESHOLD: Span = Span::from_ms(700);

/// Clock that starts at a small positive time.
#[derive(Debug)]
pub struct Clock {
    start: Span,
    /// Last reading, in microseconds.
    last_seen: AtomicU64,
    /// Number of pauses of the process detected so far.
    resumes: watch::Sender<u64>,
    /// Suspension simulated by tests, in microseconds.
    suspended: AtomicU64,
}

/// The deadline passed before the awaited work finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// Starts a clock.
pub fn start() -> Clock {
    Clock {
        start: clock::since_boot(),
        last_seen: AtomicU64::new(FIRST),
        resumes: watch::Sender::new(0),
        suspended: AtomicU64::new(0),
    }
}

impl Clock {
    pub fn now(&self) -> Time {
        let passed = clock::since_boot().saturating_sub(self.start);
        let now = FIRST + passed.0 + self.suspended.load(Ordering::Relaxed);
        let last_seen = self.last_seen.fetch_max(now, Ordering::Relaxed);
        if now.saturating_sub(last_seen) > SUSPENSION_THRESHOLD.0 {
            self.resumes.send_modify(|resumes| *resumes += 1);
        }
        Time(now)
    }

    /// Number of pauses of the process detected so far. Anything queued across a pause is as old as the pause.
    pub fn resume_count(&self) -> u64 {
        *self.resumes.borrow()
    }

    pub async fn sleep_until(&self, time: Time) {
        let mut resumes = self.resumes.subscribe();
        loop {
            let now = self.now();
            if now >= time {
                return;
            }
            let instant = Instant::now() + time.since(now).std();
            tokio::select! {
                () = sleep_until(instant) => {}
                // The sender lives as long as this clock.
                _ = resumes.changed() => {}
            }
        }
    }

    /// Waits for `work` until `time` at the latest.
    pub async fn timeout_at<F: Future>(&self, time: Time, work: F) -> Result<F::Output, Elapsed> {
        let mut work = pin!(work);
        tokio::select! {
            biased;
            done = work.as_mut() => Ok(done),
            () = self.sleep_until(time) => Err(Elapsed),
        }
    }

    /// Simulates a suspension of the host, during which its monotonic clock stood still.
    pub fn simulate_suspend(&self, span: Span) {
        self.suspended.fetch_add(span.0, Ordering::Relaxed);
    }
}
