//! Replicas that start again under the identity that they had: they hold nothing, and count anew.

mod site;

use platform_standin::replica::Replica;
use site::{ask, daemon, engine, store, until, web};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Writings of an entry before the restart: more than follow in a test.
const BEATS: u32 = 40;

fn beats(replica: &Replica) {
    for _ in 0..BEATS {
        replica.beat();
    }
}

/// A leaving that is told after a restart has a lower number than what the replica told before.
#[tokio::test]
async fn a_replica_that_leaves_after_a_restart_gets_nothing_more() {
    let store = store().await;
    let leaving = web(&store, "i-1").await;
    let _staying = web(&store, "i-2").await;
    beats(&leaving);
    let daemon = daemon(&store, "d1").await;
    leaving.restart();
    sleep(Duration::from_millis(300)).await;
    leaving.leave();
    sleep(Duration::from_millis(900)).await;
    let before = leaving.arrivals();
    for _ in 0..20 {
        assert_eq!(ask(&daemon, "/again/x", None).await.1.status(), 200);
    }
    assert_eq!(leaving.arrivals(), before);
}

#[tokio::test]
async fn a_replica_that_had_announced_its_leaving_and_starts_again_is_used() {
    let store = store().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    replica.leave();
    let leaves = || {
        let table = daemon.state().table.lock();
        table.view.get("i-1").is_some_and(|s| s.entry.leaving)
    };
    until(leaves).await;
    replica.restart();
    until(|| !leaves()).await;
    assert_eq!(ask(&daemon, "/again/x", None).await.1.status(), 200);
}

/// What it held is gone: the leader finds that, and has it loaded again under the new count of orders.
#[tokio::test]
async fn what_a_replica_held_before_a_restart_is_loaded_again() {
    let store = store().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    beats(&replica);
    let daemon = daemon(&store, "d1").await;
    // Orders are counted before the restart, so that the count after it is another.
    until(|| !replica.orders().is_empty()).await;
    assert_eq!(ask(&daemon, "/stream/x", Some("m1")).await.1.status(), 200);
    replica.restart();
    let end = Instant::now() + Duration::from_secs(6);
    while ask(&daemon, "/stream/x", Some("m1")).await.1.status() != 200 {
        assert!(Instant::now() < end, "the model does not come back");
        sleep(Duration::from_millis(100)).await;
    }
    assert!(!replica.is_overcommitted());
}
