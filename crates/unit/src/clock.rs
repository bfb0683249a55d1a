//! Monotonic clock for ages and timeouts.

use crate::Span;
use nix::time::{ClockId, clock_gettime};

/// Time since boot, including time spent suspended (`CLOCK_BOOTTIME`).
///
/// `std::time::Instant` does not advance while the machine is suspended, so a lease or cached key that has long
/// expired would still look valid after a resume.
pub fn since_boot() -> Span {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let now = now.expect("CLOCK_BOOTTIME is available on Linux");
    Span((now.tv_sec() as u64) * 1_000_000 + (now.tv_nsec() as u64) / 1_000)
}
