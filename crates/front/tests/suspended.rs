//! A host that is suspended for seconds: its monotonic clock stops, but every age must include the
//! time of the suspension.

mod site;

use front::Daemon;
use platform_standin::proxy::Mode;
use platform_standin::replica::Fault;
use site::{
    Answer, account, ask, ask_with, daemon, daemon_behind_proxy, engine, isolate, store, until,
    web, with_accounts,
};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};
use unit::Span;

/// Duration of the suspension, longer than any bound of the test site.
const SUSPENSION: Span = Span::from_secs(6);

/// Time in which a resumed host must have noticed.
const NOTICE_TIME: Duration = Duration::from_millis(300);

fn suspend(host: &Daemon) {
    host.state().clock.simulate_suspend(SUSPENSION);
}

/// Another host may lead by now, so no order may be sent in the old term.
#[tokio::test]
async fn leader_loses_its_lease() {
    let store = store().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let host = daemon(&store, "d1").await;
    until(|| host.state().leads()).await;
    let term = host.state().leader.lock().as_ref().map(|l| l.term);
    store.end_leases();
    suspend(&host);
    let orders = replica.orders().len();
    sleep(NOTICE_TIME).await;
    let known = host.state().leader.lock().as_ref().map(|l| l.term);
    assert_ne!(known, term, "the old term is still in force");
    assert_eq!(replica.orders().len(), orders);
}

/// Keys may have been revoked meanwhile, so none is accepted until the store has answered.
#[tokio::test]
async fn keys_are_stale_after_suspension() {
    let store = store().await;
    store.put(
        "op/config",
        &with_accounts(2, &[account("a", &["key-of-a"])]),
    );
    let _web = web(&store, "i-1").await;
    let (host, proxy) = daemon_behind_proxy(&store, "d1").await;
    assert_eq!(
        ask_with(&host, "key-of-a", "/again/x", None)
            .await
            .1
            .status(),
        200
    );
    proxy.set(Mode::DropToTarget);
    isolate(&host);
    suspend(&host);
    assert_eq!(
        ask_with(&host, "key-of-a", "/again/x", None)
            .await
            .1
            .status(),
        503
    );
    proxy.set(Mode::Pass);
    let end = Instant::now() + Duration::from_secs(5);
    while ask_with(&host, "key-of-a", "/again/x", None)
        .await
        .1
        .status()
        != 200
    {
        assert!(Instant::now() < end, "the key is not accepted again");
        sleep(Duration::from_millis(50)).await;
    }
}

/// The unknown route may be in a newer configuration: the bound has passed, though the store does
/// not count as unreachable yet.
#[tokio::test]
async fn stale_configuration_answers_503_instead_of_404() {
    let store = store().await;
    let _web = web(&store, "i-1").await;
    let (host, proxy) = daemon_behind_proxy(&store, "d1").await;
    assert_eq!(ask(&host, "/nowhere/x", None).await.1.status(), 404);
    proxy.set(Mode::DropToTarget);
    isolate(&host);
    let bound = host.state().settings.bounds.configuration;
    host.state().clock.simulate_suspend(bound.into());
    assert_eq!(ask(&host, "/nowhere/x", None).await.1.status(), 503);
}

/// Buckets refill during the suspension.
#[tokio::test]
async fn quotas_refill_during_suspension() {
    let store = store().await;
    let limited = platform_standin::Account {
        // A request costs 200: without the suspension the next one is admitted after four seconds.
        tokens: Some((50.0, 400.0)),
        ..account("a", &["key-of-a"])
    };
    store.put("op/config", &with_accounts(2, &[limited]));
    let _web = web(&store, "i-1").await;
    let host = daemon(&store, "d1").await;
    let status = async || {
        ask_with(&host, "key-of-a", "/again/x", None)
            .await
            .1
            .status()
    };
    let end = Instant::now() + Duration::from_secs(5);
    while status().await != 429 {
        assert!(Instant::now() < end, "the account is never over its quota");
    }
    suspend(&host);
    // Its keys must be confirmed first.
    until_status(200, status).await;
}

async fn until_status(status: u16, current: impl AsyncFn() -> u16) {
    let end = Instant::now() + Duration::from_millis(900);
    while current().await != status {
        assert!(Instant::now() < end, "status {status} was not returned");
        sleep(Duration::from_millis(20)).await;
    }
}

/// An entry that vanished during a store outage can no longer reappear.
#[tokio::test]
async fn missing_entries_are_removed() {
    let store = store().await;
    let departed = web(&store, "i-1").await;
    let _stays = web(&store, "i-2").await;
    let host = daemon(&store, "d1").await;
    until(|| host.state().table.lock().view.all().count() == 2).await;
    store.set_mode(platform_standin::store::Mode::Silent);
    sleep(Duration::from_millis(3_000)).await;
    departed.remove_entry();
    store.set_mode(platform_standin::store::Mode::Up);
    until(|| host.state().table.lock().view.has_missing()).await;
    suspend(&host);
    sleep(NOTICE_TIME).await;
    assert!(!host.state().table.lock().view.has_missing());
}

/// The client gets its answer on resume, not after the rest of the deadline.
#[tokio::test]
async fn request_past_its_deadline_is_answered_on_resume() {
    let store = store().await;
    let replica = web(&store, "i-1").await;
    let host = daemon(&store, "d1").await;
    replica.set_fault(Fault::Hang);
    let request = ask(&host, "/once/x", None);
    let suspending = async {
        until(|| replica.arrivals() == 1).await;
        suspend(&host);
    };
    let start = Instant::now();
    let answers = async { tokio::join!(request, suspending).0 };
    let answer = timeout(Duration::from_secs(2), answers).await;
    let (_, answer): (String, Answer) = answer.expect("must be answered on resume");
    assert_eq!(answer.status(), 504);
    assert!(start.elapsed() < Duration::from_secs(1));
}

/// A request whose body arrives after its deadline is not sent.
#[tokio::test]
async fn request_completed_after_its_deadline_is_not_sent() {
    let store = store().await;
    let replica = web(&store, "i-1").await;
    let host = daemon(&store, "d1").await;
    let mut client = TcpStream::connect(host.callers()).await.unwrap();
    let head = "POST /once/x HTTP/1.1\r\nhost: a.example\r\nrequest-id: r-late\r\n\
                deadline-ms: 3000\r\ncontent-length: 4\r\n\r\n";
    client.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    suspend(&host);
    client.write_all(b"body").await.unwrap();
    let mut answer = [0; 12];
    let read = timeout(Duration::from_secs(1), client.read_exact(&mut answer)).await;
    assert!(read.is_ok(), "not answered");
    assert_eq!(replica.request_log("r-late").arrivals, 0);
}

/// The replica has closed its idle connections: an unrepeatable request must go over a new one.
#[tokio::test]
async fn pooled_connections_age_during_suspension() {
    let store = store().await;
    let _web = web(&store, "i-1").await;
    let host = daemon(&store, "d1").await;
    let opened = || {
        let text = host.state().log.metrics.render();
        let line = text
            .lines()
            .find(|l| l.starts_with("coveford_connections_opened_total"));
        line.and_then(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
    };
    assert_eq!(ask(&host, "/once/x", None).await.1.status(), 200);
    assert_eq!(ask(&host, "/once/x", None).await.1.status(), 200);
    assert_eq!(opened(), Some(1.0));
    suspend(&host);
    assert_eq!(ask(&host, "/once/x", None).await.1.status(), 200);
    assert_eq!(opened(), Some(2.0));
}

/// Datagrams that queued during the suspension are as old as it, and are dropped.
#[tokio::test]
async fn queued_datagrams_are_dropped_on_resume() {
    let store = store().await;
    let _web = web(&store, "i-1").await;
    let host = daemon(&store, "d1").await;
    until(|| host.state().leads()).await;
    let other = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let report = front::message::LoadReport {
        host: "other".into(),
        hall: "a".into(),
        round: 1,
        ..Default::default()
    };
    let bytes = front::message::encode(&front::message::Message::Report(report));
    let hosts = host.state().table.lock().host_count;
    suspend(&host);
    other.send_to(&bytes, host.state().settings.peers).unwrap();
    sleep(NOTICE_TIME).await;
    assert_eq!(host.state().table.lock().host_count, hosts);
}
