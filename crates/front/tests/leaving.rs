//! Replicas say in their answers that they leave: a host that has passed one on sends that replica nothing new,
//! whatever the store tells.

mod site;

use front::Daemon;
use platform_standin::replica::{Replica, Word, Words};
use platform_standin::store::{Mode, Store};
use site::{engine, hosts, press, store, web};
use std::time::Duration;

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
    let [engine, _, web, _] = replicas(&store).await;
    let hosts = hosts(&store, 3).await;
    press(&hosts, ALL, Duration::from_millis(500)).await;
    leave_by_word(&engine);
    leave_by_word(&web);
    let statuses = press(&hosts, ALL, BOUND + AFTER).await;
    assert_eq!(late_from_all(&engine, &hosts), 0, "streams");
    assert_eq!(late_from_all(&web, &hosts), 0, "plain requests");
    assert!(statuses.iter().all(|s| *s == 200), "the others serve all");
}

/// Guards against the same while the store is away, which is when answers alone tell.
#[tokio::test]
async fn a_replica_that_says_it_leaves_gets_nothing_new_with_the_store_away() {
    let store = store().await;
    let [engine, _, web, _] = replicas(&store).await;
    let hosts = hosts(&store, 3).await;
    press(&hosts, ALL, Duration::from_millis(500)).await;
    store.set_mode(Mode::Silent);
    leave_by_word(&engine);
    leave_by_word(&web);
    press(&hosts, ALL, BOUND + AFTER).await;
    assert_eq!(late_from_all(&engine, &hosts), 0, "streams");
    assert_eq!(late_from_all(&web, &hosts), 0, "plain requests");
}
