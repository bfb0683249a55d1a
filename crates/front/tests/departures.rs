//! Replicas say in their answers that they leave: a host that has passed one on sends that replica nothing new,
//! whatever the store tells.

mod site;

use front::Daemon;
use front::message::{Departures, MAX_DATAGRAM, Message, departures, encode};
use platform_standin::proxy;
use platform_standin::replica::{self, Options, Replica, Word, Words};
use platform_standin::store::{Mode, Store};
use rstest::rstest;
use site::{
    ask, daemon, daemon_behind_proxy, engine, hosts, isolate, send_load, store, until, web,
};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use unit::Span;

/// Time after such an answer from which nothing new may come.
const BOUND: Duration = Duration::from_millis(2_000);

/// Time for which requests go on after the bound.
const AFTER: Duration = Duration::from_millis(1_500);

/// All kinds of requests: streams that may be resumed or not, unrepeatable and repeatable ones.
const ALL: &[&str] = &["/stream/x", "/resume/x", "/once/x", "/again/x"];

fn leave_by_word(replica: &Replica) {
    replica.set_words(Words {
        leaves: true,
        rest: None,
    });
}

/// Requests that came to a replica from a host later than the bound after an answer told it that the replica leaves.
fn late(replica: &Replica, host: &str) -> usize {
    let said = replica.said();
    let mut told = said
        .iter()
        .filter(|a| a.host == host && a.word == Word::Leaves);
    let Some(told) = told.next() else { return 0 };
    let arrivals = replica.arrived_from(host);
    arrivals.iter().filter(|at| **at > told.at + BOUND).count()
}

/// Late requests from all hosts, each of which must have been told.
fn late_from_all(replica: &Replica, hosts: &[Daemon]) -> usize {
    let each = hosts
        .iter()
        .map(|host| late(replica, &host.callers().to_string()));
    each.sum()
}

/// Four replicas, two of each service.
async fn replicas(store: &Store) -> [Replica; 4] {
    [
        engine(store, "i-1", &["m1"]).await,
        engine(store, "i-2", &["m1"]).await,
        web(store, "w-1").await,
        web(store, "w-2").await,
    ]
}

/// Guards against a leaving replica that gets new work while the store has not told of it: 25 to 31 requests a host came.
#[tokio::test]
async fn a_replica_that_says_it_leaves_gets_nothing_new() {
    let store = store().await;
    let [engine, _engine, web, _web] = replicas(&store).await;
    let hosts = hosts(&store, 3).await;
    send_load(&hosts, ALL, Duration::from_millis(500)).await;
    leave_by_word(&engine);
    leave_by_word(&web);
    let statuses = send_load(&hosts, ALL, BOUND + AFTER).await;
    assert_eq!(late_from_all(&engine, &hosts), 0, "streams");
    assert_eq!(late_from_all(&web, &hosts), 0, "plain requests");
    assert!(
        statuses.iter().all(|s| *s == 200),
        "the others serve all: {statuses:?}"
    );
}

/// Guards against the same while the store is away, which is when answers alone tell.
#[tokio::test]
async fn a_replica_that_says_it_leaves_gets_nothing_new_with_the_store_away() {
    let store = store().await;
    let [engine, _engine, web, _web] = replicas(&store).await;
    let hosts = hosts(&store, 3).await;
    send_load(&hosts, ALL, Duration::from_millis(500)).await;
    store.set_mode(Mode::Silent);
    leave_by_word(&engine);
    leave_by_word(&web);
    send_load(&hosts, ALL, BOUND + AFTER).await;
    assert_eq!(late_from_all(&engine, &hosts), 0, "streams");
    assert_eq!(late_from_all(&web, &hosts), 0, "plain requests");
}

/// Guards against a word that outlives its replica: another incarnation under the same identity is used at once.
#[tokio::test]
async fn a_replica_that_starts_again_after_its_word_is_used() {
    let store = store().await;
    let replica = web(&store, "w-1").await;
    let host = daemon(&store, "d1").await;
    leave_by_word(&replica);
    assert_eq!(ask(&host, "/again/x", None).await.1.status(), 200);
    let (_, refused) = ask(&host, "/again/x", None).await;
    assert_eq!(refused.status(), 503, "no other replica is there");
    assert!(refused.header("retry-after").is_some());
    replica.restart();
    let starts = Instant::now();
    while ask(&host, "/again/x", None).await.1.status() != 200 {
        assert!(starts.elapsed() < Duration::from_secs(2), "it is not used");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a word that is lost with the entry: it is removed, comes back, and is overwritten by another writer.
#[tokio::test]
async fn a_word_holds_whatever_becomes_of_the_entry() {
    let store = store().await;
    let [engine, _engine, web, _web] = replicas(&store).await;
    let hosts = hosts(&store, 3).await;
    send_load(&hosts, ALL, Duration::from_millis(500)).await;
    leave_by_word(&engine);
    leave_by_word(&web);
    send_load(&hosts, ALL, Duration::from_millis(800)).await;
    for replica in [&engine, &web] {
        store.put_bytes(&replica.key(), b"not an entry");
        replica.beat();
    }
    send_load(&hosts, ALL, Duration::from_millis(500)).await;
    engine.vanish();
    web.vanish();
    sleep(Duration::from_millis(500)).await;
    engine.beat();
    web.beat();
    send_load(&hosts, ALL, BOUND + AFTER).await;
    assert_eq!(late_from_all(&engine, &hosts), 0, "streams");
    assert_eq!(late_from_all(&web, &hosts), 0, "plain requests");
}

/// Guards against a host that forgets the word while it is suspended, or behind a cut: it holds without the leader, the
/// store and the other hosts.
#[tokio::test]
async fn a_word_holds_at_a_host_that_was_suspended_and_cut_off() {
    let store = store().await;
    let [engine, _engine, web, _web] = replicas(&store).await;
    let (host, way) = daemon_behind_proxy(&store, "d1").await;
    let hosts = [host];
    send_load(&hosts, ALL, Duration::from_millis(500)).await;
    leave_by_word(&engine);
    leave_by_word(&web);
    send_load(&hosts, ALL, Duration::from_millis(300)).await;
    way.set(proxy::Mode::MuteTarget);
    isolate(&hosts[0]);
    hosts[0].state().clock.simulate_suspend(Span::from_secs(6));
    send_load(&hosts, ALL, BOUND + AFTER).await;
    assert_eq!(late_from_all(&engine, &hosts), 0, "streams");
    assert_eq!(late_from_all(&web, &hosts), 0, "plain requests");
}

/// Guards against a run that is cut because its replica has said that it leaves: what runs there ends well.
#[tokio::test]
async fn what_runs_at_a_leaving_replica_goes_on() {
    let store = store().await;
    let options = Options {
        pace: Duration::from_millis(200),
        ..Options::default()
    };
    let slow = replica::spawn(&store, options).await.unwrap();
    let host = daemon(&store, "d1").await;
    leave_by_word(&slow);
    let (id, answer) = ask(&host, "/stream/x", Some("m1")).await;
    assert_eq!(answer.events(), [1, 2, 3, 4, 5]);
    assert_eq!(slow.seen(&id).ran, 1);
}

/// Guards against orders that go on to a replica which has told only in its answer to one that it leaves.
#[tokio::test]
async fn an_answer_to_an_order_tells_as_well() {
    let store = store().await;
    let leaving = engine(&store, "i-1", &[]).await;
    let host = daemon(&store, "d1").await;
    leave_by_word(&leaving);
    let leaves = || {
        let table = host.state().table.lock();
        table.view.get("i-1").is_some_and(|s| s.entry.leaving)
    };
    // The leader asks each replica for a report before its first order, and loads a model that is on none.
    let _ = ask(&host, "/stream/x", Some("m1")).await;
    until(leaves).await;
    let orders = leaving.orders().len();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(leaving.orders().len(), orders);
}

/// Guards against hosts that learn of a departure each by a request of its own: a fleet of some hundreds would send a leaving
/// replica its whole share until it ends.
#[rstest]
#[case::store_there(None)]
#[case::store_away(Some(Mode::Silent))]
#[tokio::test]
async fn the_word_to_one_host_goes_to_all(#[case] away: Option<Mode>) {
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
    leave_by_word(&leaving);
    assert_eq!(ask(&hosts[2], "/again/x", None).await.1.status(), 200);
    let told = Instant::now();
    while !hosts.iter().all(knows) {
        assert!(told.elapsed() < Duration::from_millis(500), "not all know");
        sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(leaving.arrivals(), 1);
}

/// Guards against a host that begins later and a leader that begins later, which heard nothing of the departure.
#[tokio::test]
async fn a_host_that_begins_later_is_told_also_after_the_leader_s_death() {
    let store = store().await;
    let leaving = web(&store, "w-1").await;
    let mut hosts = hosts(&store, 3).await;
    leave_by_word(&leaving);
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

/// Guards against orders that go on to a replica whose report says that it leaves, while its entry does not.
#[tokio::test]
async fn a_report_tells_as_well() {
    let store = store().await;
    let leaving = engine(&store, "i-1", &["m1"]).await;
    leaving.leave_untold();
    let host = daemon(&store, "d1").await;
    let leaves = || {
        let table = host.state().table.lock();
        table.view.get("i-1").is_some_and(|s| s.entry.leaving)
    };
    until(leaves).await;
    assert_eq!(leaving.orders().len(), 0);
}

#[test]
fn what_is_told_of_departures_fits_a_datagram() {
    let row = ("i-0123456789abcdef0123456789abcdef".into(), Some(u64::MAX));
    let message = Message::Departures(Departures {
        host: "a-host-with-a-name-of-some-sixty-signs-as-platforms-give-them".into(),
        replicas: vec![row; departures::ROWS],
    });
    assert!(encode(&message).len() <= MAX_DATAGRAM);
}
