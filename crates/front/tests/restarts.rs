//! Replicas that restart under the same identity: they hold no models, and their counters start
//! again.

mod site;

use platform_standin::replica::Replica;
use site::{ask, daemon, engine, store, until, web};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Heartbeats before the restart: more than follow in a test.
const HEARTBEATS: u32 = 40;

fn send_heartbeats(replica: &Replica) {
    for _ in 0..HEARTBEATS {
        replica.write_entry();
    }
}

/// Guards against a departure that is ignored because its heartbeat number is lower than those
/// before the restart.
#[tokio::test]
async fn a_replica_that_leaves_after_a_restart_gets_no_requests() {
    let store = store().await;
    let leaving = web(&store, "i-1").await;
    let _staying = web(&store, "i-2").await;
    send_heartbeats(&leaving);
    let daemon = daemon(&store, "d1").await;
    leaving.restart();
    sleep(Duration::from_millis(300)).await;
    leaving.announce_departure();
    sleep(Duration::from_millis(900)).await;
    let before = leaving.arrivals();
    for _ in 0..20 {
        assert_eq!(ask(&daemon, "/again/x", None).await.1.status(), 200);
    }
    assert_eq!(leaving.arrivals(), before);
}

#[tokio::test]
async fn a_leaving_replica_that_restarts_is_used() {
    let store = store().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    replica.announce_departure();
    let leaves = || {
        let table = daemon.state().table.lock();
        table.view.get("i-1").is_some_and(|s| s.entry.leaving)
    };
    until(leaves).await;
    replica.restart();
    until(|| !leaves()).await;
    assert_eq!(ask(&daemon, "/again/x", None).await.1.status(), 200);
}

/// Guards against a leader that does not reload the models of a restarted replica, whose order
/// numbers start again.
#[tokio::test]
async fn models_held_before_a_restart_are_loaded_again() {
    let store = store().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    send_heartbeats(&replica);
    let daemon = daemon(&store, "d1").await;
    // Wait for an order, so that the numbers after the restart differ from those before.
    until(|| !replica.orders().is_empty()).await;
    assert_eq!(ask(&daemon, "/stream/x", Some("m1")).await.1.status(), 200);
    replica.restart();
    let deadline = Instant::now() + Duration::from_secs(6);
    while ask(&daemon, "/stream/x", Some("m1")).await.1.status() != 200 {
        assert!(Instant::now() < deadline, "the model is not loaded again");
        sleep(Duration::from_millis(100)).await;
    }
    assert!(!replica.is_overcommitted());
}
