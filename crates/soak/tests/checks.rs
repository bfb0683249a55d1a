//! The checks of single requests find what they are for.

use rstest::rstest;
use soak::accounts::Caller;
use soak::check::request;
use soak::client::{HELD, Kind, PATIENCE, Told};
use std::time::Duration;
use tokio::time::Instant;

fn told(kind: Kind, status: u16) -> Told {
    Told {
        id: "s-1".into(),
        kind,
        caller: Caller::Steady,
        host: 0,
        sent: Instant::now(),
        took: Duration::from_millis(20),
        status,
        connected: true,
        wrong: None,
    }
}

#[rstest]
#[case::whole(told(Kind::Once, 200), 1, 0)]
#[case::not_run(told(Kind::Once, 503), 0, 0)]
#[case::untrue(told(Kind::Again, 503), 1, 1)]
#[case::untrue_over_the_limit(told(Kind::Again, 429), 1, 1)]
#[case::untrue_without_a_key(told(Kind::Again, 401), 1, 1)]
#[case::repeated(told(Kind::Again, 200), 2, 0)]
#[case::twice(told(Kind::Once, 200), 2, 1)]
#[case::twice_streamed(told(Kind::Stream, 200), 2, 1)]
fn runs(#[case] told: Told, #[case] ran: u32, #[case] violations: usize) {
    let found = request(&told, ran, Duration::ZERO);
    assert_eq!(found.len(), violations, "{found:?}");
}

#[test]
fn a_wrong_answer_is_found() {
    let mut wrong = told(Kind::Again, 200);
    wrong.wrong = Some("another's answer".into());
    assert_eq!(request(&wrong, 1, Duration::ZERO).len(), 1);
}

/// Seed 110: two requests were held for 4.2 s on a host that stood still for 1.2 s.
#[test]
fn only_the_time_in_which_a_host_was_paused_excuses_it() {
    let mut held = told(Kind::Stream, 504);
    held.took = PATIENCE + HELD + Duration::from_millis(200);
    assert_eq!(request(&held, 1, Duration::ZERO).len(), 1);
    assert_eq!(request(&held, 1, Duration::from_millis(100)).len(), 1);
    assert!(request(&held, 1, Duration::from_millis(300)).is_empty());
}
