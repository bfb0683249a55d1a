//! Account quotas over all hosts: the excess is rejected, and other accounts are not affected.

mod site;

use front::Daemon;
use front::message::{Message, QuotaRequest, QuotaResponse, Refund, Subject, decode, encode};
use platform_standin::replica::Fault;
use platform_standin::store::Store;
use platform_standin::{Account, store};
use site::{account, ask_with, daemon, engine, until, with_accounts};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, timeout};

/// Rate and burst in tokens. A request to the test site's model service uses at most 120 tokens.
const LIMIT: (f64, f64) = (500.0, 500.0);

fn limited(name: &'static str, key: &'static str, tokens: (f64, f64)) -> Account {
    Account {
        tokens: Some(tokens),
        ..account(name, &[key])
    }
}

async fn store_with_limits() -> Store {
    let store = store::spawn().await.unwrap();
    let accounts = [limited("mine", "k-1", LIMIT), account("other", &["k-3"])];
    store.put("op/config", &with_accounts(1, &accounts));
    store
}

/// Sends requests one after the other for a time. Returns how many ran, and the last rejection's
/// status and Retry-After.
async fn send_for(daemon: &Daemon, key: &str, time: Duration) -> (u32, Option<(u16, f64)>) {
    let end = Instant::now() + time;
    let (mut ran, mut refusal) = (0, None);
    while Instant::now() < end {
        let (_, answer) = ask_with(daemon, key, "/stream/x", Some("m1")).await;
        match answer.status() {
            200 => ran += 1,
            status => {
                let wait = answer.header("retry-after").unwrap();
                refusal = Some((status, wait.parse().unwrap()));
            }
        }
    }
    (ran, refusal)
}

#[tokio::test]
async fn request_over_quota_is_rejected_with_retry_after() {
    let store = store_with_limits().await;
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    sleep(Duration::from_millis(1_500)).await;
    let (ran, refusal) = send_for(&daemon, "k-1", Duration::from_secs(2)).await;
    // A burst of 500, an overdraft of 500 and 500 per second: 2,000 tokens at 120 each.
    assert!((10..=17).contains(&ran), "{ran} ran");
    let (status, wait) = refusal.unwrap();
    assert_eq!(status, 429);
    assert!((0.1..=10.0).contains(&wait), "Retry-After of {wait} s");
    let (ran, refusal) = send_for(&daemon, "k-3", Duration::from_millis(500)).await;
    assert!(ran > 5, "another account must not be affected: {ran} ran");
    assert_eq!(refusal, None);
}

/// Two hosts share one quota.
#[tokio::test]
async fn quota_holds_across_hosts() {
    let store = store_with_limits().await;
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let hosts = [daemon(&store, "d1").await, daemon(&store, "d2").await];
    until(|| hosts[1].state().leader.lock().is_some()).await;
    sleep(Duration::from_millis(1_500)).await;
    let time = Duration::from_secs(2);
    let (first, second) = tokio::join!(
        send_for(&hosts[0], "k-1", time),
        send_for(&hosts[1], "k-1", time)
    );
    let ran = first.0 + second.0;
    assert!((10..=17).contains(&ran), "{ran} ran");
}

/// The leader with the limiter ends; the other host continues within its share.
#[tokio::test]
async fn host_falls_back_to_its_share_without_a_limiter() {
    let store = store::spawn().await.unwrap();
    let wide = (20_000.0, 20_000.0);
    let accounts = [limited("mine", "k-1", wide), limited("new", "k-2", wide)];
    store.put("op/config", &with_accounts(1, &accounts));
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let first = daemon(&store, "d1").await;
    until(|| first.state().leads()).await;
    let second = daemon(&store, "d2").await;
    until(|| second.state().leader.lock().is_some()).await;
    sleep(Duration::from_millis(1_500)).await;
    let (before, _) = send_for(&second, "k-1", Duration::from_secs(2)).await;
    drop(first);
    let (ran, refusal) = send_for(&second, "k-1", Duration::from_secs(1)).await;
    assert!(ran > 0, "none ran within the share; {before} ran before");
    assert!(refusal.is_none_or(|(status, _)| status == 503));
    // An account without recent grants has no share.
    let (ran, refusal) = send_for(&second, "k-2", Duration::from_millis(300)).await;
    assert_eq!(ran, 0);
    assert_eq!(refusal.unwrap().0, 503);
    until(|| second.state().leads()).await;
    sleep(Duration::from_millis(500)).await;
    let (ran, _) = send_for(&second, "k-2", Duration::from_millis(500)).await;
    assert!(ran > 0, "the next leader must grant units");
}

/// All replicas reject: units of requests that did not run must not use up the quota.
#[tokio::test]
async fn units_of_requests_that_did_not_run_are_refunded() {
    let store = store_with_limits().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    sleep(Duration::from_millis(1_500)).await;
    replica.set_fault(Fault::Shed);
    let (ran, refusal) = send_for(&daemon, "k-1", Duration::from_secs(1)).await;
    assert_eq!((ran, refusal.unwrap().0), (0, 503));
    replica.set_fault(Fault::None);
    let (ran, _) = send_for(&daemon, "k-1", Duration::from_millis(600)).await;
    assert!(ran >= 5, "{ran} ran");
}

#[tokio::test]
async fn lowered_quota_takes_effect() {
    let store = store_with_limits().await;
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    let lowered = [
        limited("mine", "k-1", (130.0, 130.0)),
        account("other", &["k-3"]),
    ];
    store.put("op/config", &with_accounts(2, &lowered));
    until(|| daemon.state().table.lock().routes.as_ref().unwrap().version == 2).await;
    let (_, _) = send_for(&daemon, "k-1", Duration::from_secs(1)).await;
    let (ran, _) = send_for(&daemon, "k-1", Duration::from_secs(2)).await;
    assert!((1..=4).contains(&ran), "{ran} ran");
}

/// NaN, infinite or negative units are not granted and take none.
#[tokio::test]
async fn malformed_quota_request_takes_no_units() {
    let store = store_with_limits().await;
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    sleep(Duration::from_millis(1_500)).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for units in [f32::NAN, f32::INFINITY, -1.0] {
        let request = QuotaRequest {
            number: 7,
            host: "h".into(),
            subject: Subject::Account("mine".into()),
            units,
            reserved: units,
            will_retry: true,
            local_use: units,
        };
        let refund = Refund {
            host: "h".into(),
            subject: Subject::Account("mine".into()),
            units,
            age_ms: 1,
        };
        let to = daemon.state().settings.peers;
        let bytes = encode(&Message::Refund(refund));
        socket.send_to(&bytes, to).await.unwrap();
        let bytes = encode(&Message::QuotaRequest(request));
        socket.send_to(&bytes, to).await.unwrap();
        let mut buffer = [0; 1_400];
        let received = timeout(Duration::from_secs(5), socket.recv(&mut buffer));
        let length = received.await.unwrap().unwrap();
        let answer = decode(&buffer[..length]).unwrap();
        assert!(matches!(
            answer,
            Message::QuotaResponse(7, QuotaResponse::NotLeader)
        ));
    }
    let (ran, _) = send_for(&daemon, "k-1", Duration::from_millis(300)).await;
    assert!(ran > 0);
}
