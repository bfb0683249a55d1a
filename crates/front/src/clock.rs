//! Time of one daemon, by which it reckons all ages.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;
use unit::{Span, Time};

/// First time a clock shows, so that "long ago" is before it.
const FIRST: u64 = 3_600_000_000;

/// Clock that starts a little above zero at its making.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    /// Time for which tests let the host be suspended, in microseconds.
    suspended: AtomicU64,
}

/// Starts a clock.
pub fn start() -> Clock {
    Clock {
        start: Instant::now(),
        suspended: AtomicU64::new(0),
    }
}

impl Clock {
    /// Time now.
    pub fn now(&self) -> Time {
        Time(FIRST + self.start.elapsed().as_micros() as u64)
    }

    /// The runtime's instant of a time.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + Duration::from_micros(time.0.saturating_sub(FIRST))
    }

    /// Lets the host seem suspended for a time, in which its steady clock stood still.
    pub fn suspend(&self, span: Span) {
        self.suspended.fetch_add(span.0, Ordering::Relaxed);
    }
}
