//! A host that is suspended for seconds: its steady clock stands still, and all that rests on an age must count the
//! time in which it was away.

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

/// Time for which a host is suspended: longer than each bound of the site.
const AWAY: Span = Span::from_secs(6);

/// Time in which a host that is back must have noticed.
const NOTICED: Duration = Duration::from_millis(300);

fn suspend(host: &Daemon) {
    host.state().clock.simulate_suspend(AWAY);
}

/// Another host may lead by now: it gives no order in the old term.
#[tokio::test]
async fn its_lease_is_over() {
    let store = store().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let host = daemon(&store, "d1").await;
    until(|| host.state().leads()).await;
    let term = host.state().leader.lock().as_ref().map(|l| l.term);
    store.end_leases();
    suspend(&host);
    let orders = replica.orders().len();
    sleep(NOTICED).await;
    let known = host.state().leader.lock().as_ref().map(|l| l.term);
    assert_ne!(known, term, "the old term goes on");
    assert_eq!(replica.orders().len(), orders);
}

/// Keys may have been taken away meanwhile: it rests on none until the store has told it.
#[tokio::test]
async fn it_rests_on_no_key_that_it_knew() {
    let store = store().await;
    store.put(
        "op/config",
        &with_accounts(2, &[account("a", &["key-of-a"])]),
    );
    let _web = web(&store, "i-1").await;
    let (host, way) = daemon_behind_proxy(&store, "d1").await;
    assert_eq!(
        ask_with(&host, "key-of-a", "/again/x", None)
            .await
            .1
            .status(),
        200
    );
    way.set(Mode::DeafTarget);
    isolate(&host);
    suspend(&host);
    assert_eq!(
        ask_with(&host, "key-of-a", "/again/x", None)
            .await
            .1
            .status(),
        503
    );
    way.set(Mode::Pass);
    let end = Instant::now() + Duration::from_secs(5);
    while ask_with(&host, "key-of-a", "/again/x", None)
        .await
        .1
        .status()
        != 200
    {
        assert!(Instant::now() < end, "the key is not confirmed again");
        sleep(Duration::from_millis(50)).await;
    }
}

/// A route that it does not know may stand in a configuration that is in force by now: the bound on that has passed since
/// it last heard, though the store is not taken for away yet.
#[tokio::test]
async fn it_denies_no_route_by_news_older_than_the_bound() {
    let store = store().await;
    let _web = web(&store, "i-1").await;
    let (host, way) = daemon_behind_proxy(&store, "d1").await;
    assert_eq!(ask(&host, "/nowhere/x", None).await.1.status(), 404);
    way.set(Mode::DeafTarget);
    isolate(&host);
    let bound = host.state().settings.bounds.configuration;
    host.state().clock.simulate_suspend(bound.into());
    assert_eq!(ask(&host, "/nowhere/x", None).await.1.status(), 503);
}

/// What an account may use has come back meanwhile.
#[tokio::test]
async fn quotas_have_refilled() {
    let store = store().await;
    let limited = platform_standin::Account {
        // A request counts 200: without the time away the next one comes after four seconds.
        tokens: Some((50.0, 400.0)),
        ..account("a", &["key-of-a"])
    };
    store.put("op/config", &with_accounts(2, &[limited]));
    let _web = web(&store, "i-1").await;
    let host = daemon(&store, "d1").await;
    let asked = async || {
        ask_with(&host, "key-of-a", "/again/x", None)
            .await
            .1
            .status()
    };
    let end = Instant::now() + Duration::from_secs(5);
    while asked().await != 429 {
        assert!(Instant::now() < end, "the account is never over its limit");
    }
    suspend(&host);
    // Its keys must be confirmed again first.
    until_status(200, asked).await;
}

async fn until_status(status: u16, asked: impl AsyncFn() -> u16) {
    let end = Instant::now() + Duration::from_millis(900);
    while asked().await != status {
        assert!(Instant::now() < end, "status {status} does not come");
        sleep(Duration::from_millis(20)).await;
    }
}

/// An entry that vanished while the store was away is gone: its time to come back is over.
#[tokio::test]
async fn entries_that_were_missing_are_gone() {
    let store = store().await;
    let gone = web(&store, "i-1").await;
    let _stays = web(&store, "i-2").await;
    let host = daemon(&store, "d1").await;
    until(|| host.state().table.lock().view.all().count() == 2).await;
    store.set_mode(platform_standin::store::Mode::Silent);
    sleep(Duration::from_millis(3_000)).await;
    gone.vanish();
    store.set_mode(platform_standin::store::Mode::Up);
    until(|| host.state().table.lock().view.has_missing()).await;
    suspend(&host);
    sleep(NOTICED).await;
    assert!(!host.state().table.lock().view.has_missing());
}

/// Its deadline has passed: the client gets its answer at the return, not so much later.
#[tokio::test]
async fn a_request_whose_time_ran_out_is_answered_at_the_return() {
    let store = store().await;
    let replica = web(&store, "i-1").await;
    let host = daemon(&store, "d1").await;
    replica.set_fault(Fault::Hangs);
    let asking = ask(&host, "/once/x", None);
    let suspending = async {
        until(|| replica.arrivals() == 1).await;
        suspend(&host);
    };
    let asked = Instant::now();
    let answers = async { tokio::join!(asking, suspending).0 };
    let answer = timeout(Duration::from_secs(2), answers).await;
    let (_, answer): (String, Answer) = answer.expect("it is answered at the return");
    assert_eq!(answer.status(), 504);
    assert!(asked.elapsed() < Duration::from_secs(1));
}

/// A request whose body comes after its deadline has passed is sent to nobody.
#[tokio::test]
async fn what_came_whole_behind_its_deadline_is_sent_to_nobody() {
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
    assert!(read.is_ok(), "it is not answered");
    assert_eq!(replica.seen("r-late").arrived, 0);
}

/// The replica has closed its kept connections long since: what may not be repeated goes over a new one.
#[tokio::test]
async fn kept_connections_are_as_old_as_they_are() {
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

/// What other hosts told while it was suspended is as old as its absence: datagrams that waited for it are dropped.
#[tokio::test]
async fn datagrams_that_waited_for_it_are_not_taken_as_new() {
    let store = store().await;
    let _web = web(&store, "i-1").await;
    let host = daemon(&store, "d1").await;
    until(|| host.state().leads()).await;
    let other = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let sums = front::message::LoadReport {
        host: "other".into(),
        hall: "a".into(),
        round: 1,
        ..Default::default()
    };
    let bytes = front::message::encode(&front::message::Message::Report(sums));
    let hosts = host.state().table.lock().host_count;
    suspend(&host);
    other.send_to(&bytes, host.state().settings.peers).unwrap();
    sleep(NOTICED).await;
    assert_eq!(host.state().table.lock().host_count, hosts);
}
