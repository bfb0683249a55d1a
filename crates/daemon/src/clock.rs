//! The process's monotonic clock; it follows the runtime's time, which tests may pause.

use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use unit::Time;

/// Clock that starts a little above zero at its making.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

/// First time a clock shows, so that "long ago" is before it.
const START_US: u64 = 3_600_000_000;

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        Clock {
            start: Instant::now(),
        }
    }

    /// Time now.
    pub fn now(&self) -> Time {
        Time(START_US + self.start.elapsed().as_micros() as u64)
    }

    /// The runtime's instant of a time.
    pub fn instant(&self, time: Time) -> Instant {
        self.start + std::time::Duration::from_micros(time.0.saturating_sub(START_US))
    }
}

/// Wall clock in milliseconds since 1970; for people and the spread lag only.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
