//! `check_request` finds each kind of violation, and only those.

use rstest::rstest;
use soak::accounts::Caller;
use soak::check::check_request;
use soak::client::{Kind, Outcome, REQUEST_TIMEOUT, TIMEOUT_TOLERANCE};
use std::time::Duration;
use tokio::time::Instant;

fn outcome(kind: Kind, status: u16) -> Outcome {
    Outcome {
        id: "s-1".into(),
        kind,
        caller: Caller::Steady,
        host: 0,
        sent: Instant::now(),
        elapsed: Duration::from_millis(20),
        status,
        connected: true,
        mismatch: None,
    }
}

#[rstest]
#[case::complete(outcome(Kind::Once, 200), 1, 0)]
#[case::not_run(outcome(Kind::Once, 503), 0, 0)]
#[case::ran_despite_503(outcome(Kind::Again, 503), 1, 1)]
#[case::ran_despite_429(outcome(Kind::Again, 429), 1, 1)]
#[case::ran_despite_401(outcome(Kind::Again, 401), 1, 1)]
#[case::idempotent_twice(outcome(Kind::Again, 200), 2, 0)]
#[case::twice(outcome(Kind::Once, 200), 2, 1)]
#[case::twice_streamed(outcome(Kind::Stream, 200), 2, 1)]
fn finds_runs_that_break_a_promise(
    #[case] outcome: Outcome,
    #[case] ran: u32,
    #[case] violations: usize,
) {
    let found = check_request(&outcome, ran, Duration::ZERO);
    assert_eq!(found.len(), violations, "{found:?}");
}

#[test]
fn finds_a_wrong_answer() {
    let mut answer = outcome(Kind::Again, 200);
    answer.mismatch = Some("another's answer".into());
    assert_eq!(check_request(&answer, 1, Duration::ZERO).len(), 1);
}

/// Guards against reporting a late response whose host was paused for as long as it was late.
#[test]
fn excuses_only_the_time_for_which_the_host_was_paused() {
    let mut late = outcome(Kind::Stream, 504);
    late.elapsed = REQUEST_TIMEOUT + TIMEOUT_TOLERANCE + Duration::from_millis(200);
    assert_eq!(check_request(&late, 1, Duration::ZERO).len(), 1);
    assert_eq!(check_request(&late, 1, Duration::from_millis(100)).len(), 1);
    assert!(check_request(&late, 1, Duration::from_millis(300)).is_empty());
}
