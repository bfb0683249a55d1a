//! What the tests of whole systems share.

#![allow(dead_code, reason = "each test file uses its own part")]

use standin::fleet::{self, Fleet, Plan, QUICK};
use std::time::Duration;

/// Time after which a test gives up waiting for something that must happen.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Settings of a system whose silence is noticed soon.
pub fn quick() -> String {
    format!("{QUICK}[limits]\nstall = 1s\n")
}

/// Bundle of one model on every engine of a hall, and the label service.
pub fn one_model(least: usize) -> String {
    let sample = fleet::sample(1, 0);
    sample.replace("least = 2", &format!("least = {least}"))
}

/// One daemon, two engines that both hold the only model, one service.
pub async fn small() -> Fleet {
    system(Plan {
        halls: 1,
        settings: quick(),
        ..Plan::default()
    })
    .await
}

/// A system with one model on every engine of its halls, ready.
pub async fn system(plan: Plan) -> Fleet {
    let engines = plan.engines * plan.halls;
    let fleet = fleet::bind(plan)
        .await
        .expect("loopback can be listened on");
    let head = fleet
        .roll(&one_model(engines))
        .await
        .expect("the sample can be rolled");
    assert!(
        fleet.ready(head.sequence).await,
        "the model is ready in time"
    );
    let everywhere = || {
        let holds = |e: &standin::engine::Engine| !e.report().resident.is_empty();
        fleet.engines.iter().all(|(_, e)| holds(e))
    };
    assert!(fleet.eventually(PATIENCE, everywhere).await);
    let seen = || {
        fleet.daemons.iter().all(|d| {
            let entries = d.core().fleet.entries();
            let ready = |e: &&daemon::fleet::Entry| {
                let resident = e.report.as_ref().map(|r| &r.resident);
                resident.is_some_and(|r| r.iter().any(|w| w.state == unit::engine::State::Ready))
            };
            entries.iter().filter(ready).count() == fleet.engines.len()
        })
    };
    assert!(fleet.eventually(PATIENCE, seen).await);
    fleet
}

/// Prompt as engines see it.
pub fn user(content: &str) -> String {
    format!("user: {content}\n")
}

/// How often a prompt ran, over all engines; a continuation counts as another run.
pub fn runs(fleet: &Fleet, prompt: &str) -> usize {
    let started = fleet.engines.iter().flat_map(|(_, e)| e.started());
    started.filter(|s| &*s.prompt == prompt).count()
}
