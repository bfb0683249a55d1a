//! Leaving upstreams get no new work; planned stops cut nothing.

mod common;

use common::{quick, system, user};
use futures::future::join_all;
use rstest::rstest;
use standin::caller::{Ask, Caller};
use standin::engine::text;
use standin::fleet::{KEY_ONE, Plan};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time from the first sign after which a leaving upstream must get nothing new.
const SIGN: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy)]
enum Sign {
    List,
    Refusal,
    Gone,
}

#[rstest]
#[case::the_list_says_so(Sign::List)]
#[case::it_refuses(Sign::Refusal)]
#[case::the_list_has_it_no_more(Sign::Gone)]
#[tokio::test]
async fn a_leaving_engine_gets_no_new_work(#[case] sign: Sign) {
    let fleet = system(Plan {
        halls: 2,
        engines: 1,
        settings: quick(),
        ..Plan::default()
    })
    .await;
    let (name, engine) = (&fleet.engines[0].0, &fleet.engines[0].1);
    match sign {
        Sign::List => fleet.hosts.leave(name),
        Sign::Refusal => engine.leave(true),
        Sign::Gone => fleet.hosts.remove(name),
    }
    if !matches!(sign, Sign::Refusal) {
        // It would take work: what keeps it away must be the list.
        engine.leave(false);
    }
    let from = Instant::now();
    while from.elapsed() < SIGN + Duration::from_millis(500) {
        let asks: Vec<Ask> = (0..8)
            .map(|i| Ask::new("judge-00", &format!("{i}"), 4))
            .collect();
        let got = join_all(asks.iter().enumerate().map(|(i, ask)| {
            let caller = Caller::new(fleet.daemons[i % 2].callers(), KEY_ONE);
            async move { caller.chat(ask).await }
        }))
        .await;
        for got in got {
            assert_eq!(got.outcome, "complete", "{}", got.message);
        }
    }
    let late = engine
        .started()
        .into_iter()
        .filter(|s| s.at > from + SIGN)
        .count();
    assert_eq!(late, 0, "runs started after the sign had time to be seen");
}

#[tokio::test]
async fn daemons_stopped_in_turn_under_load_cut_nothing() {
    let mut fleet = system(Plan {
        halls: 3,
        engines: 1,
        settings: quick(),
        ..Plan::default()
    })
    .await;
    let over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (i, daemon) in fleet.daemons.iter().enumerate() {
        for j in 0..6 {
            let caller = Caller::new(daemon.callers(), KEY_ONE);
            let over = over.clone();
            callers.push(tokio::spawn(load(caller, format!("{i}.{j}"), over)));
        }
    }
    sleep(Duration::from_millis(200)).await;
    while fleet.daemons.len() > 1 {
        let daemon = fleet.daemons.remove(0);
        daemon.drain().await.expect("nothing is cut");
    }
    sleep(Duration::from_millis(200)).await;
    over.store(true, Ordering::SeqCst);
    for caller in callers {
        let (served, cut) = caller.await.unwrap();
        assert_eq!(cut, Vec::<String>::new());
        assert!(served > 0);
    }
}

/// Streams requests until the daemon refuses connections; gives how many were whole, and
/// what was cut.
async fn load(caller: Caller, name: String, over: Arc<AtomicBool>) -> (usize, Vec<String>) {
    let mut served = 0;
    let mut cut = Vec::new();
    for round in 0.. {
        if over.load(Ordering::SeqCst) {
            break;
        }
        let tokens = 40 + round % 60;
        let ask = Ask::new("judge-00", &format!("{name} round {round}"), tokens).streamed();
        let got = caller.chat(&ask).await;
        if got.status == 0 && got.message.contains("No connection") {
            break;
        }
        match got.whole && got.text == text("judge-00", &user(&ask.prompt), tokens) {
            true => served += 1,
            false => cut.push(format!("{} {}", got.outcome, got.message)),
        }
    }
    (served, cut)
}

#[tokio::test]
async fn a_connection_opened_before_the_stop_still_has_its_request_answered() {
    let mut fleet = system(Plan {
        halls: 1,
        engines: 1,
        settings: quick(),
        ..Plan::default()
    })
    .await;
    let daemon = fleet.daemons.remove(0);
    let addr = daemon.callers();
    let mut line = conn::Connection::open(addr, common::PATIENCE)
        .await
        .unwrap();
    let drained = tokio::spawn(daemon.drain());
    // Past the grace of 100 ms, when the daemon has begun to close what is idle.
    sleep(Duration::from_millis(250)).await;
    let request = hyper::Request::get("/v1/models")
        .header("host", "x")
        .header("authorization", format!("Bearer {KEY_ONE}"))
        .body(conn::Body::default())
        .unwrap();
    let reply = line
        .exchange(request, common::PATIENCE, 100_000)
        .await
        .unwrap();
    assert_eq!(reply.status.as_u16(), 200);
    drained.await.unwrap().expect("nothing is cut");
}

#[tokio::test]
async fn a_long_stream_outlives_the_stop_of_its_daemon() {
    let mut fleet = system(Plan {
        halls: 1,
        engines: 1,
        settings: quick(),
        ..Plan::default()
    })
    .await;
    let daemon = fleet.daemons.remove(0);
    let caller = Caller::new(daemon.callers(), KEY_ONE);
    let ask = Ask::new("judge-00", "a long story", 1_500).streamed();
    let prompt = user(&ask.prompt);
    let telling = tokio::spawn(async move { caller.chat(&ask).await });
    assert!(
        fleet
            .eventually(common::PATIENCE, || common::runs(&fleet, &prompt) == 1)
            .await
    );
    let ready = daemon.operator();
    let drained = tokio::spawn(daemon.drain());
    sleep(Duration::from_millis(30)).await;
    let reply = fleet
        .tool
        .get(ready, "/readyz")
        .await
        .expect("operators are answered while draining");
    assert_eq!(reply.status.as_u16(), 503);
    let got = telling.await.unwrap();
    assert!(got.whole && got.text == text("judge-00", &prompt, 1_500));
    drained.await.unwrap().expect("nothing is cut");
}
