//! The clock by which hosts reckon ages.

use crate::Span;
use nix::time::{ClockId, clock_gettime};

/// Time since the machine was started, also that in which it was suspended.
///
/// The steady clock of the standard library stands still meanwhile: a lease, a key or a quota that it takes for
/// young may have ended long ago.
pub fn since_boot() -> Span {
    let now = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let now = now.expect("the system has a clock that counts suspensions");
    Span((now.tv_sec() as u64) * 1_000_000 + (now.tv_nsec() as u64) / 1_000)
}
