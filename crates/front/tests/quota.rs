//! What client accounts may use over all hosts: the surplus is turned away, and nobody else feels it.

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

/// Each request of the site's model service uses 120 tokens at the most, and may use 500 a second.
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

/// Sends one request after the other for a time; gives how many ran and the last refusal's status and wait.
async fn press(daemon: &Daemon, key: &str, time: Duration) -> (u32, Option<(u16, f64)>) {
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
async fn what_is_over_the_limit_is_turned_away_with_a_time() {
    let store = store_with_limits().await;
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    sleep(Duration::from_millis(1_500)).await;
    let (ran, refusal) = press(&daemon, "k-1", Duration::from_secs(2)).await;
    // 500 at once, 500 that may be overdrawn, and 500 a second: 2,000 tokens of 120 each.
    assert!((10..=17).contains(&ran), "{ran} ran");
    let (status, wait) = refusal.unwrap();
    assert_eq!(status, 429);
    assert!((0.1..=10.0).contains(&wait), "come back after {wait} s");
    let (ran, refusal) = press(&daemon, "k-3", Duration::from_millis(500)).await;
    assert!(ran > 5, "another account is not touched: {ran} ran");
    assert_eq!(refusal, None);
}

/// Two hosts, one limit: both together have it, not each.
#[tokio::test]
async fn a_limit_holds_over_all_hosts() {
    let store = store_with_limits().await;
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let hosts = [daemon(&store, "d1").await, daemon(&store, "d2").await];
    until(|| hosts[1].state().leader.lock().is_some()).await;
    sleep(Duration::from_millis(1_500)).await;
    let time = Duration::from_secs(2);
    let (first, second) =
        tokio::join!(press(&hosts[0], "k-1", time), press(&hosts[1], "k-1", time));
    let ran = first.0 + second.0;
    assert!((10..=17).contains(&ran), "{ran} ran");
}

/// The host that gives out ends; the other one goes on by its share, and no more than that.
#[tokio::test]
async fn a_host_goes_on_by_its_share_while_nobody_gives_out() {
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
    let (usual, _) = press(&second, "k-1", Duration::from_secs(2)).await;
    drop(first);
    let (alone, refusal) = press(&second, "k-1", Duration::from_secs(1)).await;
    assert!(alone > 0, "it goes on by its share; usual were {usual}");
    assert!(refusal.is_none_or(|(status, _)| status == 503));
    // An account that had nothing here lately has no share here.
    let (ran, refusal) = press(&second, "k-2", Duration::from_millis(300)).await;
    assert_eq!(ran, 0);
    assert_eq!(refusal.unwrap().0, 503);
    until(|| second.state().leads()).await;
    sleep(Duration::from_millis(500)).await;
    let (ran, _) = press(&second, "k-2", Duration::from_millis(500)).await;
    assert!(ran > 0, "the next one gives out");
}

/// Replicas refuse all: what did not run is given back, so that the account is not used up by it.
#[tokio::test]
async fn what_did_not_run_is_given_back() {
    let store = store_with_limits().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    sleep(Duration::from_millis(1_500)).await;
    replica.set_fault(Fault::Sheds);
    let (ran, refusal) = press(&daemon, "k-1", Duration::from_secs(1)).await;
    assert_eq!((ran, refusal.unwrap().0), (0, 503));
    replica.set_fault(Fault::None);
    let (ran, _) = press(&daemon, "k-1", Duration::from_millis(600)).await;
    assert!(ran >= 5, "{ran} ran");
}

#[tokio::test]
async fn a_lower_limit_binds() {
    let store = store_with_limits().await;
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    let lower = [
        limited("mine", "k-1", (130.0, 130.0)),
        account("other", &["k-3"]),
    ];
    store.put("op/config", &with_accounts(2, &lower));
    until(|| daemon.state().table.lock().routes.as_ref().unwrap().version == 2).await;
    let (_, _) = press(&daemon, "k-1", Duration::from_secs(1)).await;
    let (ran, _) = press(&daemon, "k-1", Duration::from_secs(2)).await;
    assert!((1..=4).contains(&ran), "{ran} ran");
}

/// Numbers that cannot be counted, from whoever: they are not answered with units, and take none.
#[tokio::test]
async fn a_question_with_odd_numbers_takes_nothing() {
    let store = store_with_limits().await;
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    sleep(Duration::from_millis(1_500)).await;
    let stranger = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for units in [f32::NAN, f32::INFINITY, -1.0] {
        let question = QuotaRequest {
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
        stranger.send_to(&bytes, to).await.unwrap();
        let bytes = encode(&Message::QuotaRequest(question));
        stranger.send_to(&bytes, to).await.unwrap();
        let mut buffer = [0; 1_400];
        let received = timeout(Duration::from_secs(5), stranger.recv(&mut buffer));
        let length = received.await.unwrap().unwrap();
        let answer = decode(&buffer[..length]).unwrap();
        assert!(matches!(
            answer,
            Message::QuotaResponse(7, QuotaResponse::NotLeader)
        ));
    }
    let (ran, _) = press(&daemon, "k-1", Duration::from_millis(300)).await;
    assert!(ran > 0);
}
