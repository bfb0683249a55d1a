//! Authentication by key, what is forwarded to replicas, and revoked keys.

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

/// Store with a configuration of two accounts.
async fn store_with_accounts() -> Store {
    let store = store::spawn().await.unwrap();
    store.put("op/config", &two_accounts(1));
    store
}

fn two_accounts(version: u64) -> Value {
    let accounts = [account("mine", &["k-1", "k-2"]), account("other", &["k-3"])];
    with_accounts(version, &accounts)
}

async fn until_in_force(daemon: &Daemon, version: u64) {
    let current = || {
        let table = daemon.state().table.lock();
        table.routes.as_ref().unwrap().version
    };
    until(|| current() == version).await;
}

#[tokio::test]
async fn replica_gets_the_account_but_never_the_key() {
    let store = store_with_accounts().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let (id, mut request) = request("/again/x", None);
    let headers = request.headers_mut();
    headers.insert("authorization", "Token k-3".parse().unwrap());
    headers.append("tenant", "mine".parse().unwrap());
    let (id, answer) = send(&daemon, (id, request)).await;
    assert_eq!(answer.status(), 200);
    let seen = replica.request_log(&id);
    assert_eq!(seen.account.as_deref(), Some("other"));
    assert!(!seen.had_key);
}

#[rstest]
#[case::none(None)]
#[case::unknown(Some("Token k-9"))]
#[case::other_scheme(Some("Bearer k-1"))]
#[tokio::test]
async fn request_without_valid_key_does_not_run(#[case] key: Option<&'static str>) {
    let store = store_with_accounts().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let (id, mut request) = request("/again/x", None);
    if let Some(key) = key {
        request
            .headers_mut()
            .insert("authorization", key.parse().unwrap());
    }
    let (id, answer) = send(&daemon, (id, request)).await;
    assert_eq!(answer.status(), 401);
    assert!(answer.header("www-authenticate").is_some());
    assert!(
        !answer.text().contains("k-9"),
        "the answer must not contain the key"
    );
    assert_eq!(replica.request_log(&id).arrivals, 0);
}

#[tokio::test]
async fn public_route_needs_no_key_and_forwards_none() {
    let store = store_with_accounts().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let (id, answer) = ask(&daemon, "/open/x", None).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(replica.request_log(&id).account, None);
    let (id, answer) = ask_with(&daemon, "k-9", "/open/x", None).await;
    assert_eq!(answer.status(), 200);
    assert!(!replica.request_log(&id).had_key);
    let (id, answer) = ask_with(&daemon, "k-1", "/open/x", None).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(replica.request_log(&id).account.as_deref(), Some("mine"));
}

/// Requests with a key of two accounts could be attributed to the wrong one.
#[tokio::test]
async fn key_of_two_accounts_is_invalid() {
    let store = store_with_accounts().await;
    let _replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let shared = [account("mine", &["k-1", "k-2"]), account("other", &["k-1"])];
    store.put("op/config", &with_accounts(2, &shared));
    until_in_force(&daemon, 2).await;
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
async fn account_priority_outranks_route_priority() {
    let store = store_with_accounts().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    let ranked = |name, keys, priority| Account {
        priority: Some(priority),
        ..account(name, keys)
    };
    let accounts = [ranked("mine", &["k-1"], 3), ranked("other", &["k-3"], 1)];
    store.put("op/config", &with_accounts(2, &accounts));
    until_in_force(&daemon, 2).await;
    let mut ranks = Vec::new();
    for (key, path) in [
        ("k-3", "/stream/x"),
        ("k-3", "/later/x"),
        ("k-1", "/stream/x"),
        ("k-1", "/later/x"),
    ] {
        let (id, answer) = ask_with(&daemon, key, path, Some("m1")).await;
        assert_eq!(answer.status(), 200);
        ranks.push(replica.request_log(&id).priority.unwrap());
    }
    assert!(ranks.is_sorted_by(|a, b| a < b), "{ranks:?}");
}

/// With equal account priorities, the routes' ranks are the same as without accounts.
#[tokio::test]
async fn route_priority_decides_among_equal_accounts() {
    let store = store_with_accounts().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    let ranked = Account {
        priority: Some(1),
        ..account("mine", &["k-1"])
    };
    store.put("op/config", &with_accounts(2, &[ranked]));
    until_in_force(&daemon, 2).await;
    for (path, rank) in [("/stream/x", 1), ("/later/x", 2)] {
        let (id, _) = ask_with(&daemon, "k-1", path, Some("m1")).await;
        assert_eq!(replica.request_log(&id).priority, Some(rank));
    }
}

#[tokio::test]
async fn configuration_without_accounts_requires_no_key() {
    let store = site::store().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let (id, answer) = ask(&daemon, "/again/x", None).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(replica.request_log(&id).account, None);
}

#[tokio::test]
async fn revoked_key_is_rejected() {
    let store = store_with_accounts().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    assert_eq!(
        ask_with(&daemon, "k-3", "/again/x", None).await.1.status(),
        200
    );
    let remaining = [account("mine", &["k-1", "k-2"]), account("other", &[])];
    store.put("op/config", &with_accounts(2, &remaining));
    until_in_force(&daemon, 2).await;
    let (id, answer) = ask_with(&daemon, "k-3", "/again/x", None).await;
    assert_eq!(
        (answer.status(), replica.request_log(&id).arrivals),
        (401, 0)
    );
    assert_eq!(
        ask_with(&daemon, "k-1", "/again/x", None).await.1.status(),
        200
    );
}

/// The key is revoked while the request waits for its model, and must be checked again before it is
/// sent.
#[tokio::test]
async fn key_revoked_while_a_request_waits_is_rejected() {
    let store = store_with_accounts().await;
    let options = Options {
        models: vec!["m2".into()],
        on_disk: vec!["m1".into()],
        load_time: Duration::from_millis(700),
        ..Options::default()
    };
    let replica = replica::spawn(&store, options).await.unwrap();
    let daemon = daemon(&store, "d1").await;
    let waiting = async {
        loop {
            let (id, answer) = ask_with(&daemon, "k-3", "/stream/x", Some("m1")).await;
            // Until the load is in progress, the host cannot know that the model arrives in time.
            if answer.status() != 503 {
                return (id, answer);
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    let revocation = async {
        sleep(Duration::from_millis(100)).await;
        store.put("op/config", &with_accounts(2, &[account("mine", &["k-1"])]));
    };
    let ((id, answer), ()) = tokio::join!(waiting, revocation);
    assert_eq!((answer.status(), replica.request_log(&id).runs), (401, 0));
}

/// A replica rejects the request, and the key is revoked before the next attempt.
#[tokio::test]
async fn key_is_checked_before_each_attempt() {
    let store = store_with_accounts().await;
    let replicas = [web(&store, "i-1").await, web(&store, "i-2").await];
    let daemon = daemon(&store, "d1").await;
    for replica in &replicas {
        replica.set_fault(Fault::Shed);
    }
    store.put("op/config", &with_accounts(2, &[account("mine", &["k-1"])]));
    // Requests continue while the change takes effect: each fails without running, for one reason
    // or the other.
    let end = Instant::now() + Duration::from_secs(2);
    while Instant::now() < end {
        let (_, answer) = ask_with(&daemon, "k-3", "/again/x", None).await;
        assert!([401, 503].contains(&answer.status()), "{}", answer.status());
    }
    let arrivals: u32 = replicas.iter().map(|r| r.arrivals()).sum();
    let (_, answer) = ask_with(&daemon, "k-3", "/again/x", None).await;
    assert_eq!(answer.status(), 401);
    assert_eq!(arrivals, replicas.iter().map(|r| r.arrivals()).sum::<u32>());
}

/// With the store silent or failing, a host accepts keys for part of the bound only. Then it
/// answers 503 with Retry-After and tells the balancer, but serves public routes. It recovers with
/// the store.
#[rstest]
#[case::busy(Mode::Busy)]
#[case::silent(Mode::Silent)]
#[case::reset(Mode::Reset)]
#[tokio::test]
async fn host_with_stale_keys_rejects_requests(#[case] mode: Mode) {
    let store = store_with_accounts().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let bound = bounds().withdrawal.unwrap();
    let outage_start = Instant::now();
    store.set_mode(mode);
    assert_eq!(
        ask_with(&daemon, "k-1", "/again/x", None).await.1.status(),
        200
    );
    until(|| !front::accounts::can_authenticate(daemon.state())).await;
    assert!(
        outage_start.elapsed() < bound,
        "{:?}",
        outage_start.elapsed()
    );
    let before = replica.arrivals();
    let (_, answer) = ask_with(&daemon, "k-1", "/again/x", None).await;
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    // A key that was added in the meantime would be unknown here, so the answer is not final.
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

/// Age counted from the answer would make data that waited in a long poll look fresh.
#[tokio::test]
async fn data_age_counts_from_the_request_to_the_store() {
    let store = store_with_accounts().await;
    let daemon = daemon(&store, "d1").await;
    // Nothing changes, so a watch is answered only at its timeout.
    let mut oldest = unit::Span::ZERO;
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        oldest = oldest.max(front::accounts::data_age(daemon.state()));
        sleep(Duration::from_millis(5)).await;
    }
    let max_age = front::accounts::max_age(&bounds()).unwrap();
    assert!(oldest > unit::Span::from_ms(500), "{oldest}");
    assert!(oldest < max_age, "{oldest}");
}

#[tokio::test]
async fn accounts_can_be_added_and_removed() {
    let store = site::store().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    store.put("op/config", &two_accounts(2));
    until_in_force(&daemon, 2).await;
    assert_eq!(ask(&daemon, "/again/x", None).await.1.status(), 401);
    store.put("op/config", &configuration(3));
    until_in_force(&daemon, 3).await;
    let (id, answer) = ask(&daemon, "/again/x", None).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(replica.request_log(&id).runs, 1);
}
