//! Requests with keys: whose they are, what goes on to replicas, and what a key that was taken away does.

mod site;

use front::Daemon;
use platform_standin::replica::{self, Fault, Options};
use platform_standin::store::{Mode, Store};
use platform_standin::{Account, store};
use rstest::rstest;
use serde_json::Value;
use site::{
    account, ask, ask_with, bounds, configuration, daemon, engine, request, send, until, web,
    with_accounts,
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Store whose configuration has two accounts.
async fn store_with_accounts() -> Store {
    let store = store::spawn().await.unwrap();
    store.put("op/config", &two_accounts(1));
    store
}

fn two_accounts(version: u64) -> Value {
    let accounts = [account("mine", &["k-1", "k-2"]), account("other", &["k-3"])];
    with_accounts(version, &accounts)
}

async fn in_force(daemon: &Daemon, version: u64) {
    let current = || {
        let table = daemon.state().table.lock();
        table.routes.as_ref().unwrap().version
    };
    until(|| current() == version).await;
}

#[tokio::test]
async fn a_replica_is_told_the_account_and_never_the_key() {
    let store = store_with_accounts().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let (id, mut asked) = request("/again/x", None);
    let headers = asked.headers_mut();
    headers.insert("authorization", "Token k-3".parse().unwrap());
    headers.append("tenant", "mine".parse().unwrap());
    let (id, answer) = send(&daemon, (id, asked)).await;
    assert_eq!(answer.status(), 200);
    let seen = replica.seen(&id);
    assert_eq!(seen.account.as_deref(), Some("other"));
    assert!(!seen.had_key);
}

#[rstest]
#[case::none(None)]
#[case::unknown(Some("Token k-9"))]
#[case::other_scheme(Some("Bearer k-1"))]
#[tokio::test]
async fn without_a_known_key_nothing_runs(#[case] key: Option<&'static str>) {
    let store = store_with_accounts().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let (id, mut asked) = request("/again/x", None);
    if let Some(key) = key {
        asked
            .headers_mut()
            .insert("authorization", key.parse().unwrap());
    }
    let (id, answer) = send(&daemon, (id, asked)).await;
    assert_eq!(answer.status(), 401);
    assert!(answer.header("www-authenticate").is_some());
    assert!(!answer.text().contains("k-9"), "an answer tells no key");
    assert_eq!(replica.seen(&id).arrived, 0);
}

#[tokio::test]
async fn a_public_route_needs_no_key_and_passes_none_on() {
    let store = store_with_accounts().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let (id, answer) = ask(&daemon, "/open/x", None).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(replica.seen(&id).account, None);
    let (id, answer) = ask_with(&daemon, "k-9", "/open/x", None).await;
    assert_eq!(answer.status(), 200);
    assert!(!replica.seen(&id).had_key);
    let (id, answer) = ask_with(&daemon, "k-1", "/open/x", None).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(replica.seen(&id).account.as_deref(), Some("mine"));
}

/// Two accounts that hold one key: nobody could say whose request it is.
#[tokio::test]
async fn a_key_of_two_accounts_stands_for_neither() {
    let store = store_with_accounts().await;
    let _replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let shared = [account("mine", &["k-1", "k-2"]), account("other", &["k-1"])];
    store.put("op/config", &with_accounts(2, &shared));
    in_force(&daemon, 2).await;
    assert_eq!(
        ask_with(&daemon, "k-1", "/again/x", None).await.1.status(),
        401
    );
    assert_eq!(
        ask_with(&daemon, "k-2", "/again/x", None).await.1.status(),
        200
    );
}

#[tokio::test]
async fn an_account_s_rank_goes_before_its_route_s() {
    let store = store_with_accounts().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    let ranked = |name, keys, priority| Account {
        priority: Some(priority),
        ..account(name, keys)
    };
    let accounts = [ranked("mine", &["k-1"], 3), ranked("other", &["k-3"], 1)];
    store.put("op/config", &with_accounts(2, &accounts));
    in_force(&daemon, 2).await;
    let mut ranks = Vec::new();
    for (key, path) in [
        ("k-3", "/stream/x"),
        ("k-3", "/later/x"),
        ("k-1", "/stream/x"),
        ("k-1", "/later/x"),
    ] {
        let (id, answer) = ask_with(&daemon, key, path, Some("m1")).await;
        assert_eq!(answer.status(), 200);
        ranks.push(replica.seen(&id).rank.unwrap());
    }
    assert!(ranks.is_sorted_by(|a, b| a < b), "{ranks:?}");
}

/// Accounts of one rank: the routes' ranks stand as they would without accounts.
#[tokio::test]
async fn a_route_s_rank_decides_among_accounts_of_one_rank() {
    let store = store_with_accounts().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    let ranked = Account {
        priority: Some(1),
        ..account("mine", &["k-1"])
    };
    store.put("op/config", &with_accounts(2, &[ranked]));
    in_force(&daemon, 2).await;
    for (path, rank) in [("/stream/x", 1), ("/later/x", 2)] {
        let (id, _) = ask_with(&daemon, "k-1", path, Some("m1")).await;
        assert_eq!(replica.seen(&id).rank, Some(rank));
    }
}

#[tokio::test]
async fn a_configuration_without_accounts_asks_for_no_key() {
    let store = site::store().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let (id, answer) = ask(&daemon, "/again/x", None).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(replica.seen(&id).account, None);
}

#[tokio::test]
async fn a_key_that_was_taken_away_runs_nothing_more() {
    let store = store_with_accounts().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    assert_eq!(
        ask_with(&daemon, "k-3", "/again/x", None).await.1.status(),
        200
    );
    let rest = [account("mine", &["k-1", "k-2"]), account("other", &[])];
    store.put("op/config", &with_accounts(2, &rest));
    in_force(&daemon, 2).await;
    let (id, answer) = ask_with(&daemon, "k-3", "/again/x", None).await;
    assert_eq!((answer.status(), replica.seen(&id).arrived), (401, 0));
    assert_eq!(
        ask_with(&daemon, "k-1", "/again/x", None).await.1.status(),
        200
    );
}

/// The key goes while the request waits for its model: it is judged again before it is sent.
#[tokio::test]
async fn a_key_is_judged_again_when_a_waiting_request_is_sent() {
    let store = store_with_accounts().await;
    let options = Options {
        models: vec!["m2".into()],
        on_disk: vec!["m1".into()],
        load: Duration::from_millis(700),
        ..Options::default()
    };
    let replica = replica::spawn(&store, options).await.unwrap();
    let daemon = daemon(&store, "d1").await;
    let waiting = async {
        loop {
            let (id, answer) = ask_with(&daemon, "k-3", "/stream/x", Some("m1")).await;
            // Until the load is under way a host cannot know that the model comes in time.
            if answer.status() != 503 {
                return (id, answer);
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    let withdrawal = async {
        sleep(Duration::from_millis(100)).await;
        store.put("op/config", &with_accounts(2, &[account("mine", &["k-1"])]));
    };
    let ((id, answer), ()) = tokio::join!(waiting, withdrawal);
    assert_eq!((answer.status(), replica.seen(&id).ran), (401, 0));
}

/// A replica sheds the request, and the key goes before the next sending.
#[tokio::test]
async fn a_key_is_judged_before_each_sending() {
    let store = store_with_accounts().await;
    let replicas = [web(&store, "i-1").await, web(&store, "i-2").await];
    let daemon = daemon(&store, "d1").await;
    for replica in &replicas {
        replica.set_fault(Fault::Sheds);
    }
    store.put("op/config", &with_accounts(2, &[account("mine", &["k-1"])]));
    // Requests go on while the change comes into force: each ends as not run, by one reason or the other.
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        let (_, answer) = ask_with(&daemon, "k-3", "/again/x", None).await;
        assert!([401, 503].contains(&answer.status()), "{}", answer.status());
    }
    let runs: u32 = replicas.iter().map(|r| r.arrivals()).sum();
    let (_, answer) = ask_with(&daemon, "k-3", "/again/x", None).await;
    assert_eq!(answer.status(), 401);
    assert_eq!(runs, replicas.iter().map(|r| r.arrivals()).sum::<u32>());
}

/// The store falls silent or refuses: a host rests on what it knows for a part of the bound, then says
/// 503 with a time, and the balancer is told; public routes go on. It serves again with the store.
#[rstest]
#[case::busy(Mode::Busy)]
#[case::silent(Mode::Silent)]
#[case::reset(Mode::Reset)]
#[tokio::test]
async fn a_host_that_cannot_confirm_keys_does_not_rest_on_them(#[case] mode: Mode) {
    let store = store_with_accounts().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let bound = bounds().withdrawal.unwrap();
    let away = Instant::now();
    store.set_mode(mode);
    assert_eq!(
        ask_with(&daemon, "k-1", "/again/x", None).await.1.status(),
        200
    );
    until(|| !front::accounts::can_authenticate(daemon.state())).await;
    assert!(away.elapsed() < bound, "{:?}", away.elapsed());
    let before = replica.arrivals();
    let (_, answer) = ask_with(&daemon, "k-1", "/again/x", None).await;
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    // A key that came in the meantime would be unknown here: that is not final.
    let (_, answer) = ask_with(&daemon, "k-9", "/again/x", None).await;
    assert_eq!(answer.status(), 503);
    assert_eq!(replica.arrivals(), before);
    assert_eq!(ask(&daemon, "/open/x", None).await.1.status(), 200);
    store.set_mode(Mode::Up);
    until(|| front::accounts::can_authenticate(daemon.state())).await;
    assert_eq!(
        ask_with(&daemon, "k-1", "/again/x", None).await.1.status(),
        200
    );
}

/// What a host knows is as old as its question, not as the answer: the answer may have waited.
#[tokio::test]
async fn knowledge_is_as_old_as_the_question() {
    let store = store_with_accounts().await;
    let daemon = daemon(&store, "d1").await;
    // Nothing changes, so that a watch is answered only when its time is over.
    let mut oldest = unit::Span::ZERO;
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        oldest = oldest.max(front::accounts::data_age(daemon.state()));
        sleep(Duration::from_millis(5)).await;
    }
    let most = front::accounts::max_age(&bounds()).unwrap();
    assert!(oldest > unit::Span::from_ms(500), "{oldest}");
    assert!(oldest < most, "{oldest}");
}

#[tokio::test]
async fn accounts_may_come_and_go_with_a_configuration() {
    let store = site::store().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    store.put("op/config", &two_accounts(2));
    in_force(&daemon, 2).await;
    assert_eq!(ask(&daemon, "/again/x", None).await.1.status(), 401);
    store.put("op/config", &configuration(3));
    in_force(&daemon, 3).await;
    let (id, answer) = ask(&daemon, "/again/x", None).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(replica.seen(&id).ran, 1);
}
