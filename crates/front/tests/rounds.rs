//! Intervals of rounds, and the ages that must outlast them at any size of the fleet.

use front::rounds::{at_least_rounds, interval, max_age};
use rstest::rstest;
use unit::Span;

#[rstest]
fn information_outlasts_a_lost_round(
    #[values(1, 16, 17, 100, 333, 985, 1_000, 2_000, 4_000)] hosts: usize,
) {
    let interval = Span::from(interval(hosts));
    assert!(max_age(hosts) >= interval * 3.0, "{hosts} hosts");
    assert!(max_age(hosts) >= Span::from_ms(3_000));
    assert!(at_least_rounds(Span::from_ms(600), 1.5, hosts) > interval);
}

#[rstest]
fn the_leader_gets_a_bounded_number_of_reports(
    #[values(17, 100, 333, 985, 1_000, 2_000, 4_000)] hosts: usize,
) {
    let per_second = hosts as f64 / interval(hosts).as_secs_f64();
    assert!(
        per_second < 2_001.0,
        "{per_second} reports per second from {hosts} hosts"
    );
}
