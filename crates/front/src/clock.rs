//! Time of one daemon, by which it reckons all ages and deadlines.
//!
//! It goes on while the host is suspended or the process stands still. Timers of the runtime do not: they count by
//! the steady clock. So whoever waits for a time waits by this clock, which wakes it at the return.

use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use unit::{Span, Time, clock};

/// First time a clock shows, so that "long ago" is before it.
const FIRST: u64 = 3_600_000_000;

/// Time between two looks at the clock from which the process has stood still, or its host was suspended: a task
/// looks each tenth of a second, and a plan of a large fleet takes less.
const STOOD_STILL: Span = Span::from_ms(700);

/// Clock that starts a little above zero at its making.
#[derive(Debug)]
pub struct Clock {
    start: Span,
    /// When it was looked at last.
    seen: AtomicU64,
    /// Times that the process has stood still so far.
    returns: watch::Sender<u64>,
    /// Time for which tests let the host be suspended, in microseconds.
    suspended: AtomicU64,
}

/// What a wait was for did not come before its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// Starts a clock.
pub fn start() -> Clock {
    Clock {
        start: clock::since_boot(),
        seen: AtomicU64::new(FIRST),
        returns: watch::Sender::new(0),
        suspended: AtomicU64::new(0),
    }
}

impl Clock {
    /// Time now.
    pub fn now(&self) -> Time {
        let passed = clock::since_boot().saturating_sub(self.start);
        let now = FIRST + passed.0 + self.suspended.load(Ordering::Relaxed);
        let seen = self.seen.fetch_max(now, Ordering::Relaxed);
        if now.saturating_sub(seen) > STOOD_STILL.0 {
            self.returns.send_modify(|returns| *returns += 1);
        }
        Time(now)
    }

    /// Times that the process has stood still so far: what waited for it meanwhile is as old as that.
    pub fn resume_count(&self) -> u64 {
        *self.returns.borrow()
    }

    /// Waits until a time.
    pub async fn sleep_until(&self, time: Time) {
        let mut returns = self.returns.subscribe();
        loop {
            let now = self.now();
            if now >= time {
                return;
            }
            let instant = Instant::now() + time.since(now).std();
            tokio::select! {
                () = sleep_until(instant) => {}
                // The sender lives as long as this clock.
                _ = returns.changed() => {}
            }
        }
    }

    /// Waits for something, but no longer than until a time.
    pub async fn timeout_at<F: Future>(&self, time: Time, work: F) -> Result<F::Output, Elapsed> {
        let mut work = pin!(work);
        tokio::select! {
            biased;
            done = work.as_mut() => Ok(done),
            () = self.sleep_until(time) => Err(Elapsed),
        }
    }

    /// Lets the host seem suspended for a time, in which its steady clock stood still.
    pub fn simulate_suspend(&self, span: Span) {
        self.suspended.fetch_add(span.0, Ordering::Relaxed);
    }
}
