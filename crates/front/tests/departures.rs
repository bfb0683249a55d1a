//! Replicas announce their departure in answers: a host that received one sends no new requests,
//! whatever the store lists.

mod site;

use front::Daemon;
use front::message::{Departures, MAX_DATAGRAM, Message, departures, encode};
use platform_standin::proxy;
use platform_standin::replica::{self, Options, Replica, Signal, Signals};
use platform_standin::store::{Mode, Store};
use rstest::rstest;
use site::{
    ask, daemon, daemon_behind_proxy, engine, hosts, isolate, send_load, settings, store, until,
    web,
};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use unit::Span;

/// Time after the announcement within which hosts must stop sending new requests.
const BOUND: Duration = Duration::from_millis(2_000);

/// Time for which load continues after the bound.
const AFTER: Duration = Duration::from_millis(1_500);

/// Streams that are resumable or not, and requests that are repeatable or not.
const ALL: &[&str] = &["/stream/x", "/resume/x", "/once/x", "/again/x"];

fn announce_departure(replica: &Replica) {
    replica.set_signals(Signals {
        leaving: true,
        backoff: None,
    });
}

/// Requests from a host that arrived after the bound, counted from the first answer that announced
/// the departure to it.
fn late_requests(replica: &Replica, host: &str) -> usize {
    let announcements = replica.sent_signals();
    let mut to_host = announcements
        .iter()
        .filter(|a| a.host == host && a.signal == Signal::Departure);
    let Some(first) = to_host.next() else {
        return 0;
    };
    let arrivals = replica.arrivals_from(host);
    arrivals.iter().filter(|at| **at > first.at + BOUND).count()
}

/// Late requests from all hosts.
fn late_requests_from_all(replica: &Replica, hosts: &[Daemon]) -> usize {
    let each = hosts
        .iter()
        .map(|host| late_requests(replica, &host.callers().to_string()));
    each.sum()
}

/// Two replicas of each of two services.
async fn replicas(store: &Store) -> [Replica; 4] {
    [
        engine(store, "i-1", &["m1"]).await,
        engine(store, "i-2", &["m1"]).await,
        web(store, "w-1").await,
        web(store, "w-2").await,
    ]
}

/// Guards against new requests to a leaving replica whose entry does not show its departure yet.
#[tokio::test]
async fn a_leaving_replica_gets_no_new_requests() {
    let store = store().await;
    let [engine, _engine, web, _web] = replicas(&store).await;
    let hosts = hosts(&store, 3).await;
    send_load(&hosts, ALL, Duration::from_millis(500)).await;
    announce_departure(&engine);
    announce_departure(&web);
    let statuses = send_load(&hosts, ALL, BOUND + AFTER).await;
    assert_eq!(late_requests_from_all(&engine, &hosts), 0, "streams");
    assert_eq!(late_requests_from_all(&web, &hosts), 0, "plain requests");
    assert!(
        statuses.iter().all(|s| *s == 200),
        "the other replicas serve all: {statuses:?}"
    );
}

/// Guards against the same while the store is unreachable.
#[tokio::test]
async fn a_leaving_replica_gets_no_new_requests_during_a_store_outage() {
    let store = store().await;
    let [engine, _engine, web, _web] = replicas(&store).await;
    let hosts = hosts(&store, 3).await;
    send_load(&hosts, ALL, Duration::from_millis(500)).await;
    store.set_mode(Mode::Silent);
    announce_departure(&engine);
    announce_departure(&web);
    send_load(&hosts, ALL, BOUND + AFTER).await;
    assert_eq!(late_requests_from_all(&engine, &hosts), 0, "streams");
    assert_eq!(late_requests_from_all(&web, &hosts), 0, "plain requests");
}

/// Guards against a departure that is applied to the next incarnation.
#[tokio::test]
async fn a_replica_that_restarts_after_its_departure_is_used() {
    let store = store().await;
    let replica = web(&store, "w-1").await;
    let host = daemon(&store, "d1").await;
    announce_departure(&replica);
    assert_eq!(ask(&host, "/again/x", None).await.1.status(), 200);
    let (_, refusal) = ask(&host, "/again/x", None).await;
    assert_eq!(refusal.status(), 503, "there is no other replica");
    assert!(refusal.header("retry-after").is_some());
    replica.restart();
    let restarted_at = Instant::now();
    while ask(&host, "/again/x", None).await.1.status() != 200 {
        assert!(
            restarted_at.elapsed() < Duration::from_secs(2),
            "the replica is not used"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a departure that is forgotten when the entry is removed, returns or is
/// overwritten.
#[tokio::test]
async fn a_departure_outlives_changes_of_the_entry() {
    let store = store().await;
    let [engine, _engine, web, _web] = replicas(&store).await;
    let hosts = hosts(&store, 3).await;
    send_load(&hosts, ALL, Duration::from_millis(500)).await;
    announce_departure(&engine);
    announce_departure(&web);
    send_load(&hosts, ALL, Duration::from_millis(800)).await;
    for replica in [&engine, &web] {
        store.put_bytes(&replica.key(), b"not an entry");
        replica.write_entry();
    }
    send_load(&hosts, ALL, Duration::from_millis(500)).await;
    engine.remove_entry();
    web.remove_entry();
    sleep(Duration::from_millis(500)).await;
    engine.write_entry();
    web.write_entry();
    send_load(&hosts, ALL, BOUND + AFTER).await;
    assert_eq!(late_requests_from_all(&engine, &hosts), 0, "streams");
    assert_eq!(late_requests_from_all(&web, &hosts), 0, "plain requests");
}

/// Guards against a departure that is forgotten by a host that is suspended, or has lost the
/// leader, the store and the other hosts.
#[tokio::test]
async fn a_departure_is_kept_by_a_suspended_and_isolated_host() {
    let store = store().await;
    let [engine, _engine, web, _web] = replicas(&store).await;
    let (host, proxy_handle) = daemon_behind_proxy(&store, "d1").await;
    let hosts = [host];
    send_load(&hosts, ALL, Duration::from_millis(500)).await;
    announce_departure(&engine);
    announce_departure(&web);
    send_load(&hosts, ALL, Duration::from_millis(300)).await;
    proxy_handle.set(proxy::Mode::DropFromTarget);
    isolate(&hosts[0]);
    hosts[0].state().clock.simulate_suspend(Span::from_secs(6));
    send_load(&hosts, ALL, BOUND + AFTER).await;
    assert_eq!(late_requests_from_all(&engine, &hosts), 0, "streams");
    assert_eq!(late_requests_from_all(&web, &hosts), 0, "plain requests");
}

/// Replica that takes a second for a stream of five events.
async fn slow_engine(store: &Store) -> Replica {
    let options = Options {
        delay: Duration::from_millis(200),
        ..Options::default()
    };
    replica::spawn(store, options).await.unwrap()
}

/// Whether a host knows that the replica `i-1` leaves.
fn knows_departure(host: &Daemon) -> bool {
    let table = host.state().table.lock();
    table.view.get("i-1").is_some_and(|s| s.entry.leaving)
}

/// Guards against aborting requests that run at a leaving replica. The leader in the host may hear of the departure
/// before the request comes, in the replica's report: then the request is refused, and reaches no replica.
#[tokio::test]
async fn running_requests_at_a_leaving_replica_complete() {
    let store = store().await;
    let slow = slow_engine(&store).await;
    let host = daemon(&store, "d1").await;
    announce_departure(&slow);
    let (id, answer) = ask(&host, "/stream/x", Some("m1")).await;
    if slow.arrivals() == 0 {
        assert!(knows_departure(&host), "{}", answer.text());
        assert_eq!(answer.status(), 503);
        assert!(answer.text().contains("leaving"), "{}", answer.text());
        assert!(answer.header("retry-after").is_some());
        return;
    }
    assert_eq!(answer.events(), [1, 2, 3, 4, 5]);
    assert_eq!(slow.request_log(&id).runs, 1);
}

/// Guards against aborting a stream whose own head announces the departure of its replica.
#[tokio::test]
async fn a_stream_whose_head_announces_the_departure_completes() {
    let store = store().await;
    let slow = slow_engine(&store).await;
    let host = daemon(&store, "d1").await;
    slow.depart_in_answers();
    let (id, answer) = ask(&host, "/stream/x", Some("m1")).await;
    assert!(knows_departure(&host));
    assert_eq!(answer.events(), [1, 2, 3, 4, 5]);
    assert_eq!(slow.request_log(&id).runs, 1);
}

/// Guards against aborting a stream that runs before the departure is announced, by a report or an answer to another
/// request.
#[tokio::test]
async fn a_stream_that_runs_before_the_departure_completes() {
    let store = store().await;
    let slow = slow_engine(&store).await;
    let host = daemon(&store, "d1").await;
    let running = ask(&host, "/stream/x", Some("m1"));
    let leaving = async {
        until(|| slow.arrivals() == 1).await;
        announce_departure(&slow);
    };
    let ((id, answer), ()) = tokio::join!(running, leaving);
    assert_eq!(answer.events(), [1, 2, 3, 4, 5]);
    assert_eq!(slow.request_log(&id).runs, 1);
}

/// A request that comes once the host knows of the departure is refused and has not run.
#[tokio::test]
async fn a_request_after_a_known_departure_is_refused_unrun() {
    let store = store().await;
    let leaving = engine(&store, "i-1", &["m1"]).await;
    let host = daemon(&store, "d1").await;
    announce_departure(&leaving);
    let knows = || {
        let table = host.state().table.lock();
        table.view.get("i-1").is_some_and(|s| s.entry.leaving)
    };
    while !knows() {
        // The leader asks for a report, or a request hears of it.
        ask(&host, "/stream/x", Some("m1")).await;
    }
    let (id, answer) = ask(&host, "/stream/x", Some("m1")).await;
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.events(), [0; 0]);
    assert_eq!(leaving.request_log(&id).runs, 0);
}

/// Guards against further orders to a replica that announced its departure in the answer to an
/// order.
#[tokio::test]
async fn an_answer_to_an_order_announces_a_departure() {
    let store = store().await;
    let leaving = engine(&store, "i-1", &[]).await;
    let host = daemon(&store, "d1").await;
    announce_departure(&leaving);
    let leaves = || {
        let table = host.state().table.lock();
        table.view.get("i-1").is_some_and(|s| s.entry.leaving)
    };
    // The leader asks each replica for a report before its first order, and loads a model that no
    // replica holds.
    let _ = ask(&host, "/stream/x", Some("m1")).await;
    until(leaves).await;
    let orders = leaving.orders().len();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(leaving.orders().len(), orders);
}

/// Guards against each host having to learn of a departure by a request of its own.
#[rstest]
#[case::store_up(None)]
#[case::store_silent(Some(Mode::Silent))]
#[tokio::test]
async fn a_departure_reaches_all_hosts(#[case] away: Option<Mode>) {
    let store = store().await;
    let leaving = web(&store, "w-1").await;
    let hosts = hosts(&store, 3).await;
    let knows = |host: &Daemon| {
        let table = host.state().table.lock();
        table.view.get("w-1").is_some_and(|s| s.entry.leaving)
    };
    if let Some(mode) = away {
        store.set_mode(mode);
    }
    announce_departure(&leaving);
    assert_eq!(ask(&hosts[2], "/again/x", None).await.1.status(), 200);
    let announced_at = Instant::now();
    while !hosts.iter().all(knows) {
        assert!(
            announced_at.elapsed() < Duration::from_millis(500),
            "not all hosts know"
        );
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(leaving.arrivals(), 1);
}

/// Guards against a new host or a new leader that does not learn of an earlier departure.
#[tokio::test]
async fn a_new_host_learns_of_a_departure_after_the_leader_died() {
    let store = store().await;
    let leaving = web(&store, "w-1").await;
    let mut hosts = hosts(&store, 3).await;
    announce_departure(&leaving);
    assert_eq!(ask(&hosts[0], "/again/x", None).await.1.status(), 200);
    let knows = |host: &Daemon| {
        let table = host.state().table.lock();
        table.view.get("w-1").is_some_and(|s| s.entry.leaving)
    };
    until(|| hosts.iter().all(knows)).await;
    let leads = |host: &Daemon| host.state().leads();
    let leader = hosts.iter().position(leads).unwrap();
    drop(hosts.remove(leader));
    hosts.push(daemon(&store, "late").await);
    until(|| hosts.iter().all(knows)).await;
    assert_eq!(leaving.arrivals(), 1);
}

/// Guards against a departure that is lost with the host that heard of it: the next leader had not started then, and the
/// other hosts know of it by the last leader only.
#[tokio::test]
async fn a_new_leader_learns_of_a_departure_from_hosts_that_were_told() {
    let store = store().await;
    let leaving = web(&store, "i-1").await;
    let first = daemon(&store, "d1").await;
    until(|| first.state().leads()).await;
    let (told, proxy) = daemon_behind_proxy(&store, "d2").await;
    announce_departure(&leaving);
    assert_eq!(ask(&first, "/again/x", None).await.1.status(), 200);
    until(|| knows_departure(&told)).await;
    // The host that was told cannot become the leader.
    proxy.set(proxy::Mode::DropToTarget);
    drop(first);
    store.end_leases();
    let late = front::spawn(settings(&store, "late")).await.unwrap();
    until(|| late.state().leads()).await;
    proxy.set(proxy::Mode::Pass);
    until(|| knows_departure(&late)).await;
    assert_eq!(leaving.arrivals(), 1);
}

/// Guards against orders to a replica whose report announces its departure while its entry does
/// not.
#[tokio::test]
async fn a_report_announces_a_departure() {
    let store = store().await;
    let leaving = engine(&store, "i-1", &["m1"]).await;
    leaving.depart_unannounced();
    let host = daemon(&store, "d1").await;
    let leaves = || {
        let table = host.state().table.lock();
        table.view.get("i-1").is_some_and(|s| s.entry.leaving)
    };
    until(leaves).await;
    assert_eq!(leaving.orders().len(), 0);
}

#[test]
fn departures_fit_a_datagram() {
    let row = ("i-0123456789abcdef0123456789abcdef".into(), Some(u64::MAX));
    let message = Message::Departures(Departures {
        host: "a-host-with-a-name-of-some-sixty-signs-as-platforms-give-them".into(),
        replicas: vec![row; departures::MAX_DEPARTURES],
    });
    assert!(encode(&message).len() <= MAX_DATAGRAM);
}
