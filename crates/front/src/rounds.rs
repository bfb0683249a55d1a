//! Intervals at which hosts report to the leader and the leader sends its digests, and the ages that depend on them.
//!
//! What a host knows from the leader stays valid until rounds that would have renewed it are missing, so that its
//! validity follows the interval of the fleet's size.

use std::time::Duration;
use unit::Span;

/// Maximum number of hosts that exchange loads directly; larger fleets rely on the leader's digests.
pub const MAX_DIRECT_HOSTS: usize = 16;

/// Interval of rounds in a fleet with direct exchange.
const DIRECT_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum interval of rounds in larger fleets.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Interval per host that keeps the work of a leader with a small part of a core constant.
const INTERVAL_PER_HOST: Duration = Duration::from_micros(1_500);

/// Interval up to which it grows by [`INTERVAL_PER_HOST`].
const TARGET_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest interval per host, beyond [`TARGET_INTERVAL`]: 2,000 reports per second for the leader.
const MIN_INTERVAL_PER_HOST: Duration = Duration::from_micros(500);

/// Least age at which information of a round expires.
const MIN_MAX_AGE: Span = Span::from_ms(3_000);

/// Rounds after which information expires.
const MAX_AGE_ROUNDS: f64 = 3.0;

/// Interval of rounds in a fleet of this many hosts.
pub fn interval(hosts: usize) -> Duration {
    if hosts <= MAX_DIRECT_HOSTS {
        return DIRECT_INTERVAL;
    }
    let hosts = hosts as u32;
    let target = (INTERVAL_PER_HOST * hosts).clamp(MIN_INTERVAL, TARGET_INTERVAL);
    target.max(MIN_INTERVAL_PER_HOST * hosts)
}

/// Age at which information that each round renews expires.
pub fn max_age(hosts: usize) -> Span {
    at_least_rounds(MIN_MAX_AGE, MAX_AGE_ROUNDS, hosts)
}

/// The longer of a time and of a number of rounds.
pub fn at_least_rounds(time: Span, rounds: f64, hosts: usize) -> Span {
    time.max(Span::from(interval(hosts)) * rounds)
}
