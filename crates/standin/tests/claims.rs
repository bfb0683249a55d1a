//! Resends of an unrepeatable request under one idempotency key, through any daemon.

mod common;

use common::{quick, runs, system, user};
use futures::future::join_all;
use standin::caller::{Ask, Caller, Got};
use standin::engine::{Fault, text};
use standin::fleet::{Fleet, KEY_ONE, KEY_TWO, Plan};
use standin::kv::Faults;
use std::time::Duration;

const TOKENS: u32 = 10;

async fn three() -> Fleet {
    system(Plan {
        halls: 3,
        engines: 1,
        settings: quick(),
        ..Plan::default()
    })
    .await
}

fn verdict(i: usize) -> Ask {
    Ask::new("judge-00", &format!("verdict on panel {i}"), TOKENS)
        .unrepeatable(Some(&format!("panel-{i}")))
}

async fn send(fleet: &Fleet, daemon: usize, ask: &Ask) -> Got {
    Caller::new(fleet.daemons[daemon].callers(), KEY_ONE)
        .chat(ask)
        .await
}

fn own(ask: &Ask) -> String {
    text("judge-00", &user(&ask.prompt), TOKENS)
}

#[tokio::test]
async fn a_resend_gets_the_firsts_answer() {
    let fleet = three().await;
    let ask = verdict(1);
    let first = send(&fleet, 0, &ask).await;
    assert_eq!(first.outcome, "complete", "{}", first.message);
    // The claim is settled behind the answer; until then a resend is told to come back.
    let mut second = send(&fleet, 1, &ask).await;
    while second.code == "in_progress" {
        assert_eq!((second.status, second.retry_after), (409, Some(1)));
        second = send(&fleet, 1, &ask).await;
    }
    assert_eq!(
        (second.outcome.as_str(), second.text),
        ("complete", own(&ask))
    );
    let streamed = send(&fleet, 2, &ask.clone().streamed()).await;
    // The form of the answer is part of what was asked.
    assert_eq!(
        (streamed.status, streamed.code.as_str()),
        (422, "idempotency_key_reused")
    );
    assert_eq!(runs(&fleet, &user(&ask.prompt)), 1);
}

#[tokio::test]
async fn resends_at_once_through_three_daemons_run_once() {
    let fleet = three().await;
    for round in 0..10 {
        let ask = verdict(round);
        let got = join_all((0..9).map(|i| send(&fleet, i % 3, &ask))).await;
        assert_eq!(runs(&fleet, &user(&ask.prompt)), 1, "round {round}");
        let complete = got.iter().filter(|g| g.outcome == "complete").count();
        assert!(complete >= 1, "round {round}: one of them must be answered");
        for got in got.iter().filter(|g| g.outcome == "complete") {
            assert_eq!(got.text, own(&ask));
        }
    }
}

#[tokio::test]
async fn keys_of_two_callers_are_apart() {
    let fleet = three().await;
    let ask = verdict(1);
    send(&fleet, 0, &ask).await;
    let other = Caller::new(fleet.daemons[0].callers(), KEY_TWO)
        .chat(&ask)
        .await;
    assert_eq!(other.outcome, "complete", "{}", other.message);
    assert_eq!(runs(&fleet, &user(&ask.prompt)), 2);
}

#[tokio::test]
async fn a_key_is_not_taken_for_another_request() {
    let fleet = three().await;
    let ask = verdict(1);
    send(&fleet, 0, &ask).await;
    let mut other = verdict(2);
    other.key.clone_from(&ask.key);
    let got = send(&fleet, 1, &other).await;
    assert!(["idempotency_key_reused", "in_progress"].contains(&got.code.as_str()));
    assert_eq!(runs(&fleet, &user(&other.prompt)), 0);
}

#[tokio::test]
async fn while_the_service_is_down_a_keyed_request_is_not_run() {
    let fleet = three().await;
    fleet.kv.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let ask = verdict(1);
    let got = send(&fleet, 0, &ask).await;
    assert_eq!((got.status, got.outcome.as_str()), (503, "not-run"));
    assert!(got.retry_after.is_some());
    assert_eq!(runs(&fleet, &user(&ask.prompt)), 0);
    let plain = Ask::new("judge-00", "no key", TOKENS);
    assert_eq!(
        send(&fleet, 0, &plain).await.outcome,
        "complete",
        "routing goes on"
    );
    fleet.kv.set_faults(Faults::default());
    let again = send(&fleet, 1, &ask).await;
    assert_eq!(
        again.outcome, "complete",
        "what was not run may run: {}",
        again.message
    );
    assert_eq!(runs(&fleet, &user(&ask.prompt)), 1);
}

#[tokio::test]
async fn lost_and_late_writes_never_run_it_twice() {
    let fleet = three().await;
    fleet.kv.set_faults(Faults {
        lose_answers: 30,
        late_writes: 20,
        late_by: Duration::from_millis(60),
        ..Faults::default()
    });
    for round in 0..12 {
        let ask = verdict(round);
        join_all((0..6).map(|i| send(&fleet, i % 3, &ask))).await;
        let later = send(&fleet, round % 3, &ask).await;
        let ran = runs(&fleet, &user(&ask.prompt));
        assert!(ran <= 1, "round {round} ran {ran} times");
        if later.outcome == "complete" {
            assert_eq!(later.text, own(&ask));
        }
    }
}

#[tokio::test]
async fn a_daemon_killed_while_it_runs_leaves_unknown_never_a_second_run() {
    let mut fleet = three().await;
    let mut ask = verdict(1);
    ask.tokens = 20_000;
    let caller = Caller::new(fleet.daemons[0].callers(), KEY_ONE);
    let first = tokio::spawn({
        let ask = ask.clone();
        async move { caller.chat(&ask).await }
    });
    let prompt = user(&ask.prompt);
    assert!(
        fleet
            .eventually(common::PATIENCE, || runs(&fleet, &prompt) == 1)
            .await
    );
    fleet.daemons.remove(0).kill();
    let first = first.await.unwrap();
    assert!(!first.whole);
    let second = send(&fleet, 1, &ask).await;
    assert_eq!((second.status, second.outcome.as_str()), (409, "unknown"));
    assert_eq!(runs(&fleet, &prompt), 1);
}

#[tokio::test]
async fn a_request_proven_not_run_may_be_sent_again_under_its_key() {
    let fleet = three().await;
    for _ in 0..8 {
        fleet.engines[0].1.push_fault(Fault::Refuse);
    }
    let ask = verdict(1);
    let first = send(&fleet, 0, &ask).await;
    assert_eq!(first.outcome, "not-run", "{}", first.message);
    let mut again = send(&fleet, 1, &ask).await;
    while again.outcome != "complete" {
        assert!(
            ["in_progress", "upstream_not_reached"].contains(&again.code.as_str()),
            "{}",
            again.code
        );
        again = send(&fleet, 1, &ask).await;
    }
    assert_eq!(again.text, own(&ask));
    assert_eq!(runs(&fleet, &user(&ask.prompt)), 1);
}
