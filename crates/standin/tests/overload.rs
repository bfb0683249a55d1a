//! More than can be served: bounded queues, the lowest priority shed first, with a retry hint.

mod common;

use common::{quick, user};
use futures::future::join_all;
use standin::caller::{Ask, Caller, Got};
use standin::engine::{self, text};
use standin::fleet::{self, Fleet, KEY_ONE, KEY_TWO, Plan};
use std::time::Duration;

/// One slow engine with one slot, and a queue of ten.
async fn narrow() -> Fleet {
    let fleet = fleet::bind(Plan {
        halls: 1,
        engines: 1,
        engine: engine::Settings {
            batch: 1,
            token: Duration::from_millis(10),
            ..engine::Settings::default()
        },
        settings: quick(),
        ..Plan::default()
    })
    .await
    .unwrap();
    let bundle = fleet::sample(3, 0)
        .replace("least = 2", "least = 1")
        .replace("[upstreams]", "[limits]\nqueue = 10\n[upstreams]");
    let head = fleet.roll(&bundle).await.unwrap();
    assert!(fleet.ready(head.sequence).await);
    fleet
}

async fn flood(fleet: &Fleet, key: &str, model: &str, n: usize) -> Vec<(Ask, Got)> {
    let sent = (0..n).map(|i| {
        let caller = Caller::new(fleet.daemons[0].callers(), key);
        let ask = Ask::new(model, &format!("{key} {model} {i}"), 10);
        async move {
            let got = caller.chat(&ask).await;
            (ask, got)
        }
    });
    join_all(sent).await
}

fn shed(told: &[(Ask, Got)]) -> usize {
    told.iter()
        .filter(|(_, got)| got.outcome == "not-run")
        .count()
}

#[tokio::test]
async fn what_is_shed_is_not_run_and_told_when_to_come_back() {
    let fleet = narrow().await;
    let told = flood(&fleet, KEY_ONE, "judge-00", 60).await;
    assert!(shed(&told) >= 20, "{} shed", shed(&told));
    for (ask, got) in &told {
        let prompt = user(&ask.prompt);
        let ran = common::runs(&fleet, &prompt);
        match got.outcome.as_str() {
            "complete" => assert_eq!(got.text, text("judge-00", &prompt, 10)),
            "not-run" => {
                assert_eq!((ran, got.status), (0, 503));
                assert!(got.retry_after.is_some());
            }
            other => panic!("{other}: {}", got.message),
        }
    }
}

#[tokio::test]
async fn defect_reports_go_before_summaries() {
    let fleet = narrow().await;
    // judge-00 is of class defect, judge-02 of class summary; they share the engine's slot.
    let (defects, summaries) = tokio::join!(
        flood(&fleet, KEY_ONE, "judge-00", 8),
        flood(&fleet, KEY_ONE, "judge-02", 8)
    );
    let last = |told: &[(Ask, Got)]| told.iter().map(|(_, got)| got.first).max().unwrap();
    assert_eq!((shed(&defects), shed(&summaries)), (0, 0));
    let before = summaries
        .iter()
        .filter(|(_, got)| got.first > last(&defects))
        .count();
    assert!(
        before >= 4,
        "only {before} of 8 summaries came after the last defect report"
    );
}

#[tokio::test]
async fn a_full_queue_sheds_the_lower_of_two_callers_classes() {
    let fleet = narrow().await;
    let bundle = fleet::sample(3, 0)
        .replace("least = 2", "least = 1")
        .replace("[upstreams]", "[limits]\nqueue = 10\n[upstreams]")
        .replace("title = sample", "title = again");
    fleet.roll(&bundle).await.unwrap();
    let (one, two) = tokio::join!(
        flood(&fleet, KEY_ONE, "judge-00", 30),
        flood(&fleet, KEY_TWO, "judge-00", 30)
    );
    let served = |told: &[(Ask, Got)]| told.len() - shed(told);
    // Nyabarongo's weight is three times the other's; both are served.
    assert!(served(&one) > 0 && served(&two) > 0);
}
