//! What a caller is told when an engine fails in each of the ways engines fail.

mod common;

use common::{small, user};
use rstest::rstest;
use standin::caller::{Ask, Caller};
use standin::engine::{Fault, text};
use standin::fleet::KEY_ONE;
use std::time::Duration;

const TOKENS: u32 = 12;

/// Sends one request through a small system whose next run has a fault; gives what the caller
/// was told, its text against its own whole answer, and how often the prompt ran.
async fn one(fault: Option<Fault>, ask: Ask) -> (String, bool, usize) {
    let fleet = small().await;
    if let Some(fault) = fault {
        fleet.engines[0].1.push_fault(fault);
    }
    let caller = Caller::new(fleet.daemons[0].callers(), KEY_ONE);
    let got = caller.chat(&ask).await;
    let prompt = user(&ask.prompt);
    let own = got.text == text("judge-00", &prompt, TOKENS) && got.whole;
    let ran = common::runs(&fleet, &prompt);
    (got.outcome, own, ran)
}

#[rstest]
#[case::closes_before(Fault::CloseBefore, "complete", 1)]
#[case::closes_after(Fault::CloseAfter, "complete", 1)]
#[case::closes_mid_stream(Fault::CloseAt(3), "complete", 1)]
#[case::dies_mid_stream(Fault::DieAt(3), "complete", 2)]
#[case::ends_without_marker(Fault::NoEndAt(3), "complete", 1)]
#[case::crossed(Fault::Crossed, "complete", 1)]
#[case::doubled(Fault::Doubled, "complete", 1)]
#[case::gap(Fault::Gap, "complete", 1)]
#[case::refuses(Fault::Refuse, "complete", 1)]
#[case::garbage(Fault::Garbage, "complete", 1)]
#[case::late(Fault::Late(Duration::from_millis(300)), "complete", 1)]
#[tokio::test]
async fn a_repeatable_request_is_answered_whole(
    #[case] fault: Fault,
    #[case] outcome: &str,
    #[case] runs: usize,
    #[values(false, true)] stream: bool,
) {
    let mut ask = Ask::new("judge-00", "does panel 7 pass?", TOKENS);
    ask.stream = stream;
    assert_eq!(one(Some(fault), ask).await, (outcome.into(), true, runs));
}

#[rstest]
#[case::closes_before(Fault::CloseBefore, "unknown", 0)]
#[case::closes_after(Fault::CloseAfter, "complete", 1)]
#[case::closes_mid_stream(Fault::CloseAt(3), "complete", 1)]
#[case::dies_mid_stream(Fault::DieAt(3), "unknown", 1)]
#[case::ends_without_marker(Fault::NoEndAt(3), "complete", 1)]
#[case::crossed(Fault::Crossed, "complete", 1)]
#[case::doubled(Fault::Doubled, "complete", 1)]
#[case::gap(Fault::Gap, "complete", 1)]
#[case::refuses(Fault::Refuse, "complete", 1)]
#[case::garbage(Fault::Garbage, "complete", 1)]
#[case::late(Fault::Late(Duration::from_millis(300)), "complete", 1)]
#[tokio::test]
async fn an_unrepeatable_request_runs_at_most_once(
    #[case] fault: Fault,
    #[case] outcome: &str,
    #[case] runs: usize,
    #[values(false, true)] stream: bool,
) {
    let mut ask = Ask::new("judge-00", "print the label of panel 7", TOKENS).unrepeatable(None);
    ask.stream = stream;
    let whole = outcome == "complete";
    assert_eq!(one(Some(fault), ask).await, (outcome.into(), whole, runs));
}

#[rstest]
#[tokio::test]
async fn engines_that_refuse_connections_leave_not_run(#[values(false, true)] unrepeatable: bool) {
    let fleet = small().await;
    for (_, engine) in &fleet.engines {
        engine.kill();
    }
    let caller = Caller::new(fleet.daemons[0].callers(), KEY_ONE);
    let mut ask = Ask::new("judge-00", "anyone there?", TOKENS);
    ask.unrepeatable = unrepeatable;
    let got = caller.chat(&ask).await;
    assert_eq!((got.status, got.outcome.as_str()), (503, "not-run"));
    assert!(
        got.retry_after.is_some(),
        "a caller is told when to come back"
    );
}

#[tokio::test]
async fn a_frozen_engine_is_left_for_another() {
    let fleet = small().await;
    fleet.engines[0].1.set_frozen(true);
    let caller = Caller::new(fleet.daemons[0].callers(), KEY_ONE);
    for i in 0..4 {
        let ask = Ask::new("judge-00", &format!("panel {i}"), TOKENS);
        let got = caller.chat(&ask).await;
        assert_eq!(got.outcome, "complete", "{}", got.message);
        assert_eq!(got.text, text("judge-00", &user(&ask.prompt), TOKENS));
    }
}

#[tokio::test]
async fn a_kept_connection_that_died_idle_costs_nothing() {
    let fleet = small().await;
    let caller = Caller::new(fleet.daemons[0].callers(), KEY_ONE);
    for round in 0..6 {
        for (_, engine) in &fleet.engines {
            engine.cut_connections();
        }
        let ask = Ask::new("judge-00", &format!("round {round}"), TOKENS);
        let got = caller.chat(&ask).await;
        assert_eq!(got.outcome, "complete", "{}", got.message);
        assert_eq!(common::runs(&fleet, &user(&ask.prompt)), 1);
    }
}

#[tokio::test]
async fn a_caller_that_vanishes_cancels_upstream() {
    let fleet = small().await;
    let mut caller = Caller::new(fleet.daemons[0].callers(), KEY_ONE);
    caller.patience = Duration::from_millis(300);
    let ask = Ask::new("judge-00", "a very long story", 50_000).streamed();
    let got = caller.chat(&ask).await;
    assert!(!got.whole);
    let cancelled = || {
        fleet
            .engines
            .iter()
            .map(|(_, e)| e.cancelled())
            .sum::<u64>()
            == 1
    };
    assert!(fleet.eventually(common::PATIENCE, cancelled).await);
    let idle = || fleet.daemons[0].core().in_flight() == 0;
    assert!(fleet.eventually(common::PATIENCE, idle).await);
}
