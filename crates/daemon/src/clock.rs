//! Clocks: the monotonic one follows tokio's time, which tests may pause.

use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use unit::Time;

/// Monotonic clock that shows one hour when it starts.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

/// Time at the start, in microseconds; above zero so that times before the start can be expressed.
const START_US: u64 = 3_600_000_000;

impl Clock {
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    pub fn now(&self) -> Time {
        Time(START_US + self.start.elapsed().as_micros() as u64)
    }

    /// Converts a time to tokio's instant.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + std::time::Duration::from_micros(time.0.saturating_sub(START_US))
    }
}

/// Wall clock in Unix milliseconds; not monotonic.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
