//! Replicas that cannot be reached, or whose address another one took, while their entries still
//! stand in the store.

mod site;

use platform_standin::ports;
use platform_standin::replica::{Fault, Replica};
use platform_standin::store::Store;
use rstest::rstest;
use serde_json::json;
use site::{ask, daemon, engine, store, until, web};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Requests sent one after the other.
const REQUESTS: usize = 40;

/// Puts the entry of a replica that fell into the store: nothing listens at its address.
fn fallen(store: &Store, id: &str) {
    let entry = json!({
        "service": "web", "address": ports::free().to_string(), "zone": "a", "version": "v1",
        "slots": 8, "state": "ready", "cold_remaining_ms": 0, "models": [], "sequence": 1,
    });
    store.put(&format!("servers/{id}"), &entry);
}

/// Connections that a daemon has opened to replicas, by its metrics.
fn opened(daemon: &front::Daemon) -> u64 {
    let text = daemon.state().log.metrics.render();
    let mut lines = text.lines();
    let line = lines.find(|l| l.starts_with("coveford_connections_opened_total"));
    line.map_or(0, |l| l.rsplit(' ').next().unwrap().parse().unwrap())
}

/// nqi-line-grown scale-2: each of 71 hosts met a crashed replica with request after request, until
/// its entry lapsed; 1,213 requests used up their sendings that way.
#[tokio::test]
async fn a_replica_that_takes_no_connection_is_left_alone() {
    let store = store().await;
    fallen(&store, "i-1");
    let _sound = web(&store, "i-2").await;
    let daemon = daemon(&store, "d1").await;
    let start = Instant::now();
    for _ in 0..REQUESTS {
        assert_eq!(ask(&daemon, "/again/x", None).await.1.status(), 200);
    }
    // Tried at first and after 150, 450, 1,050 ms and so on; the sound one keeps a connection.
    let tries = 2 + start.elapsed().as_millis() as u64 / 150;
    let opened = opened(&daemon);
    assert!(opened <= tries, "{opened} connections, at most {tries}");
}

/// The same day: a replica restarted at its address under another identity, and refused 1,529
/// requests that were meant for the one before.
#[rstest]
#[case::whole("m1")]
#[case::of_an_adapter("m1/a1")]
#[tokio::test]
async fn a_replica_whose_address_another_one_took_is_left_alone(#[case] model: &str) {
    let store = store().await;
    let replaced = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    until(|| served_by(&daemon, &replaced)).await;
    // An adapter is loaded only once it is asked for.
    while ask(&daemon, "/resume/x", Some(model)).await.1.status() != 200 {
        sleep(Duration::from_millis(50)).await;
    }
    replaced.set_fault(Fault::Replaced);
    let _sound = engine(&store, "i-2", &["m1"]).await;
    sleep(Duration::from_millis(900)).await;
    let start = Instant::now();
    for _ in 0..REQUESTS {
        ask(&daemon, "/resume/x", Some(model)).await;
    }
    // Eight refusals may be about adapters; after that it is tried as one that is not there.
    let most = 9 + start.elapsed().as_millis() / 150;
    let arrived = replaced.arrived_after(start).len() as u128;
    assert!(arrived <= most, "{arrived} requests, at most {most}");
}

fn served_by(daemon: &front::Daemon, replica: &Replica) -> bool {
    let table = daemon.state().table.lock();
    table.view.get(&replica.options.id).is_some()
}

#[tokio::test]
async fn a_replica_that_is_back_is_used_again() {
    let store = store().await;
    let only = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    only.set_fault(Fault::Replaced);
    let (_, answer) = ask(&daemon, "/stream/x", Some("m1")).await;
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some(), "when to come back");
    only.set_fault(Fault::None);
    sleep(Duration::from_millis(1_300)).await;
    assert_eq!(ask(&daemon, "/stream/x", Some("m1")).await.1.status(), 200);
}

/// Each of 71 hosts had to find out for itself; one that is told by others need not.
#[tokio::test]
async fn a_host_leaves_a_replica_alone_that_others_could_not_reach() {
    let store = store().await;
    let _sound = web(&store, "i-2").await;
    let finders = [daemon(&store, "d1").await, daemon(&store, "d2").await];
    let told = daemon(&store, "d3").await;
    fallen(&store, "i-1");
    let finding = async {
        loop {
            for finder in &finders {
                ask(finder, "/again/x", None).await;
            }
            sleep(Duration::from_millis(10)).await;
        }
    };
    let asking = async {
        sleep(Duration::from_millis(2_500)).await;
        for _ in 0..REQUESTS {
            assert_eq!(ask(&told, "/again/x", None).await.1.status(), 200);
        }
    };
    tokio::select! {
        () = finding => {}
        () = asking => {}
    }
    let opened = opened(&told);
    assert!(opened <= 1, "{opened} connections, one to the sound one");
}
