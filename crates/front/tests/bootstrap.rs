//! First read of a store that has many pages.

mod site;

use front::Daemon;
use platform_standin::store::{Mode, Store};
use serde_json::json;
use site::{ask, configuration, engine, store, until};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time within which a host must serve by what it has read.
const BOUND: Duration = Duration::from_secs(12);

/// Adds entries of replicas that cannot be reached, whose keys come after those of others.
fn add_entries(store: &Store, count: usize) {
    for number in 0..count {
        let entry = json!({
            "service": "web", "address": "127.0.0.1:1", "zone": "a", "version": "v1", "slots": 8,
            "state": "draining", "cold_remaining_ms": 0, "models": [], "sequence": 1, "born": 1,
        });
        store.put(&format!("servers/x-{number:03}"), &entry);
    }
}

async fn start(store: &Store) -> Daemon {
    front::spawn(site::settings(store, "d1")).await.unwrap()
}

/// Guards against a host that serves nobody although it knows replicas, since further pages do not come.
#[tokio::test]
async fn a_host_serves_by_the_pages_that_it_has() {
    let store = store().await;
    let _replica = engine(&store, "i-1", &["m1"]).await;
    add_entries(&store, 60);
    store.set_page_delay(Duration::from_secs(60));
    let started = Instant::now();
    let host = start(&store).await;
    while !host.state().is_ready() {
        assert!(started.elapsed() < BOUND, "not ready in time");
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(ask(&host, "/stream/x", Some("m1")).await.1.status(), 200);
}

/// Guards against models that are loaded on the word of a part of the store: their copies may stand in the rest.
#[tokio::test]
async fn a_leader_that_knows_a_part_of_the_replicas_sends_no_orders() {
    let store = store().await;
    let idle = engine(&store, "i-1", &[]).await;
    add_entries(&store, 60);
    let _with_model = engine(&store, "z-1", &["m1"]).await;
    store.set_page_delay(Duration::from_secs(60));
    let host = start(&store).await;
    until(|| host.state().leads()).await;
    while !host.state().is_ready() {
        sleep(Duration::from_millis(50)).await;
    }
    for _ in 0..20 {
        ask(&host, "/stream/x", Some("m1")).await;
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(idle.orders(), Vec::<serde_json::Value>::new());
    store.set_page_delay(Duration::ZERO);
    store.compact();
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(ask(&host, "/stream/x", Some("m1")).await.1.status(), 200);
}

/// Guards against a configuration that is missed since it was written after the first page was read, and a later one failed.
#[tokio::test]
async fn a_change_between_two_pages_is_applied() {
    let store = store().await;
    let _replica = engine(&store, "i-1", &["m1"]).await;
    add_entries(&store, 60);
    store.set_page_delay(Duration::from_millis(300));
    let host = start(&store).await;
    // The first page has been read by now.
    sleep(Duration::from_millis(2_500)).await;
    store.set_mode(Mode::Reset);
    store.put("op/config", &configuration(2));
    sleep(Duration::from_millis(500)).await;
    store.set_mode(Mode::Up);
    until(|| host.state().is_ready()).await;
    until(|| {
        host.state()
            .table
            .lock()
            .routes
            .as_ref()
            .is_some_and(|r| r.version == 2)
    })
    .await;
    assert_eq!(ask(&host, "/stream/x", Some("m1")).await.1.status(), 200);
}
