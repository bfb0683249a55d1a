//! Many callers, several daemons, seeded faults of every kind at once; one history; one checker.
//!
//! `COVEFORD_SEEDS=n` runs more seeds than CI does.

mod common;

use common::{quick, runs, system, user};
use futures::future::join_all;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin::caller::{Ask, Caller, Got};
use standin::engine::{Fault, text};
use standin::fleet::{Fleet, KEY_ONE, KEY_TWO, Plan};
use standin::kv::Faults;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::sleep;

/// Seeds in CI.
const SEEDS: u64 = 3;
/// Callers of one run.
const CALLERS: usize = 12;
/// Requests of each caller.
const REQUESTS: usize = 25;

/// Request with what its caller was told.
struct Told {
    ask: Ask,
    got: Got,
}

#[tokio::test(flavor = "multi_thread")]
async fn every_promise_holds_under_all_faults_at_once() {
    let more = std::env::var("COVEFORD_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok());
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    let mut injected: BTreeMap<&'static str, usize> = BTreeMap::new();
    for seed in 0..more.unwrap_or(SEEDS) {
        let fleet = system(Plan {
            halls: 3,
            engines: 2,
            seed,
            settings: quick(),
            ..Plan::default()
        })
        .await;
        let (told, faults) = tokio::join!(drive(&fleet, seed), disturb(&fleet, seed));
        for told in &told {
            *outcomes.entry(told.got.outcome.clone()).or_default() += 1;
        }
        for (kind, n) in faults {
            *injected.entry(kind).or_default() += n;
        }
        let broken = check(&fleet, &told);
        assert_eq!(broken, Vec::<String>::new(), "seed {seed}");
    }
    println!("outcomes: {outcomes:?}\nfaults: {injected:?}");
    assert!(
        outcomes["complete"] > outcomes.values().sum::<usize>() / 2,
        "{outcomes:?}"
    );
}

async fn drive(fleet: &Fleet, seed: u64) -> Vec<Told> {
    let callers = (0..CALLERS).map(|c| one_caller(fleet, seed, c));
    join_all(callers).await.into_iter().flatten().collect()
}

/// One caller: a request after the other, of every kind; keyed ones are sent twice.
async fn one_caller(fleet: &Fleet, seed: u64, c: usize) -> Vec<Told> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + c as u64);
    let mut told = Vec::new();
    for r in 0..REQUESTS {
        let prompt = format!("seed {seed} caller {c} request {r}");
        let mut ask = Ask::new("judge-00", &prompt, rng.random_range(5..60));
        ask.stream = rng.random_bool(0.5);
        ask.unrepeatable = rng.random_bool(0.5);
        if ask.unrepeatable && rng.random_bool(0.5) {
            ask.key = Some(format!("{c}-{r}"));
        }
        let sendings = if ask.key.is_some() { 2 } else { 1 };
        for _ in 0..sendings {
            let daemon = &fleet.daemons[rng.random_range(0..fleet.daemons.len())];
            let key = if c.is_multiple_of(2) {
                KEY_ONE
            } else {
                KEY_TWO
            };
            let mut caller = Caller::new(daemon.callers(), key);
            if rng.random_ratio(1, 15) {
                caller.patience = Duration::from_millis(20);
            }
            let got = caller.chat(&ask).await;
            told.push(Told {
                ask: ask.clone(),
                got,
            });
        }
    }
    told
}

/// Switches faults of engines, of the key-value service and of the host list, in a seeded order.
async fn disturb(fleet: &Fleet, seed: u64) -> BTreeMap<&'static str, usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfau64);
    let mut injected = BTreeMap::new();
    for _ in 0..60 {
        sleep(Duration::from_millis(rng.random_range(5..40))).await;
        let (name, engine) = &fleet.engines[rng.random_range(0..fleet.engines.len())];
        let mut count = |kind| *injected.entry(kind).or_default() += 1;
        match rng.random_range(0..9) {
            0..=3 => {
                let fault = [
                    Fault::CloseBefore,
                    Fault::CloseAfter,
                    Fault::CloseAt(3),
                    Fault::DieAt(4),
                    Fault::NoEndAt(2),
                    Fault::Crossed,
                    Fault::Doubled,
                    Fault::Gap,
                    Fault::Refuse,
                    Fault::Garbage,
                    Fault::Late(Duration::from_millis(50)),
                ][rng.random_range(0..11)];
                engine.push_fault(fault);
                count("engine's answer");
            }
            4 => {
                engine.cut_connections();
                count("connections cut");
            }
            5 => {
                engine.restart().await.expect("its port is free again");
                count("engine restarted");
            }
            6 => {
                engine.set_frozen(true);
                sleep(Duration::from_millis(60)).await;
                engine.set_frozen(false);
                count("engine frozen");
            }
            7 => {
                fleet.kv.set_faults(Faults {
                    down: rng.random_bool(0.3),
                    lose_answers: 20,
                    late_writes: 10,
                    late_by: Duration::from_millis(30),
                    slow: Duration::from_millis(rng.random_range(0..5)),
                    stale_reads: 0,
                    lost_reads: ("", 0),
                });
                count("key-value service");
            }
            _ => {
                engine.set_shut(true);
                sleep(Duration::from_millis(30)).await;
                engine.set_shut(false);
                count("connections refused");
                let _ = name;
            }
        }
    }
    fleet.kv.set_faults(Faults::default());
    injected
}

/// Goes over the history; gives each broken promise as a sentence.
fn check(fleet: &Fleet, told: &[Told]) -> Vec<String> {
    let mut broken = Vec::new();
    for Told { ask, got } in told {
        let prompt = user(&ask.prompt);
        let own = text("judge-00", &prompt, ask.tokens);
        let attempts = attempts(fleet, &got.request);
        let mut say = |what: &str| {
            broken.push(format!(
                "{}: {what} ({}): {got:?}",
                ask.prompt, ask.unrepeatable
            ))
        };
        if got.outcome == "complete" && got.whole && got.text != own {
            say("another answer than its own whole one");
        }
        if got.outcome == "complete" && ask.stream && !got.whole {
            say("called complete but not whole");
        }
        if !own.starts_with(&got.text) {
            say("was given text that is not its own");
        }
        if got.outcome == "not-run" && attempts > 0 {
            say("called not-run but ran");
        }
        if ask.unrepeatable && attempts > 1 {
            say("one sending ran more than once");
        }
        if ask.key.is_some() && runs(fleet, &prompt) > 1 {
            say("a keyed request ran more than once");
        }
    }
    for (name, engine) in &fleet.engines {
        if engine.overcommitted() > 0 {
            broken.push(format!("{name} was ordered beyond its memory"));
        }
    }
    broken
}

/// How often a request ran, over all engines.
fn attempts(fleet: &Fleet, request: &str) -> usize {
    let started = fleet.engines.iter().flat_map(|(_, e)| e.started());
    started
        .filter(|s| !request.is_empty() && &*s.attempt.request == request)
        .count()
}
