//! Invalid entries, and entries by another writer: their replicas get no requests, and other
//! entries stay in use.

mod site;

use front::Daemon;
use platform_standin::replica::Replica;
use platform_standin::store::Store;
use rstest::rstest;
use serde_json::{Value, json};
use site::{ask, daemon, engine, store, until, web};
use std::time::Duration;
use tokio::time::sleep;

/// Valid entry of a replica that does not exist.
fn entry() -> Value {
    json!({"service": "web", "address": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 8,
           "state": "ready", "cold_remaining_ms": 0, "models": [], "sequence": 900, "born": 1})
}

fn with(field: &str, value: Value) -> Vec<u8> {
    let mut entry = entry();
    entry[field] = value;
    entry.to_string().into_bytes()
}

fn without(field: &str) -> Vec<u8> {
    let mut entry = entry();
    entry.as_object_mut().unwrap().remove(field);
    entry.to_string().into_bytes()
}

/// Entry with a field whose text is this.
fn with_text(field: &str, text: &str) -> Vec<u8> {
    let mut entry = entry();
    entry[field] = json!("PLACEHOLDER");
    let entry = entry.to_string();
    entry.replace("\"PLACEHOLDER\"", text).into_bytes()
}

/// Entry with a field that is nested this deeply.
fn nested(field: &str, depth: usize) -> Vec<u8> {
    let (open, close) = ("[".repeat(depth), "]".repeat(depth));
    with_text(field, &format!("{open}{close}"))
}

/// Sends twenty requests, which must all be served; returns how many reached a replica.
async fn requests_reaching(daemon: &Daemon, replica: &Replica) -> u32 {
    let before = replica.arrivals();
    for _ in 0..20 {
        assert_eq!(ask(daemon, "/again/x", None).await.1.status(), 200);
    }
    replica.arrivals() - before
}

async fn site() -> (Store, Replica, Replica, Daemon) {
    let store = store().await;
    let (first, second) = (web(&store, "i-1").await, web(&store, "i-2").await);
    let daemon = daemon(&store, "d1").await;
    (store, first, second, daemon)
}

#[rstest]
#[case::unknown_state(with("state", json!("resting")))]
#[case::state_of_wrong_type(with("state", json!(3)))]
#[case::no_address(without("address"))]
#[case::invalid_address(with("address", json!("here")))]
#[case::fractional_start_time(with("born", json!(1.5)))]
#[case::missing_start_time(without("born"))]
#[case::bytes(vec![0, 159, 146, 150])]
#[case::empty(Vec::new())]
#[case::port_out_of_range(with("address", json!("127.0.0.1:70000")))]
#[case::slots_out_of_range(with("slots", json!(1e300)))]
#[case::number_out_of_range(with_text("sequence", "1e999"))]
#[case::nested(nested("models", 100_000))]
#[tokio::test]
async fn an_overwritten_replica_is_not_used_until_its_entry_is_valid(#[case] value: Vec<u8>) {
    let (store, first, second, daemon) = site().await;
    store.put_bytes(&first.key(), &value);
    sleep(Duration::from_millis(900)).await;
    assert_eq!(requests_reaching(&daemon, &first).await, 0);
    assert_eq!(requests_reaching(&daemon, &second).await, 20);
    first.write_entry();
    sleep(Duration::from_millis(900)).await;
    assert!(
        requests_reaching(&daemon, &first).await > 0,
        "the replica is not used although its entry is valid again"
    );
}

#[rstest]
#[case::unknown_service(with("service", json!("other")))]
#[case::unknown_state(with("state", json!("resting")))]
#[case::service_of_wrong_type(with("service", json!(3)))]
#[case::models_of_wrong_type(with("models", json!("m1")))]
#[case::bytes(vec![0xff; 64])]
#[case::port_out_of_range(with("address", json!("127.0.0.1:70000")))]
#[case::number_out_of_range(with_text("remaining_ms", "1e999"))]
#[case::time_out_of_range(with("remaining_ms", json!(1e300)))]
#[case::negative_time(with("remaining_ms", json!(-1e300)))]
#[case::nested(nested("models", 100_000))]
#[case::nested_unknown_field(nested("other", 100_000))]
#[tokio::test]
async fn an_invalid_entry_does_not_affect_others(#[case] value: Vec<u8>) {
    let (store, first, second, daemon) = site().await;
    store.put_bytes("servers/strange", &value);
    store.compact();
    sleep(Duration::from_millis(900)).await;
    let (to_first, to_second) = (
        requests_reaching(&daemon, &first).await,
        requests_reaching(&daemon, &second).await,
    );
    assert!(to_first > 0 && to_second > 0);
}

/// Guards against a process that ends, or stops following the store, for an odd value of one of its own keys.
#[rstest]
#[case::leader("coveford/leader")]
#[case::quarantine("coveford/quarantine")]
#[case::lifted("coveford/quarantine-lifted")]
#[case::first_term("coveford/led")]
#[case::unknown("coveford/other")]
#[tokio::test]
async fn an_odd_value_of_an_own_key_stops_nothing(#[case] key: &str) {
    let (store, first, second, daemon) = site().await;
    let values = [
        nested("x", 100_000),
        with_text("x", "1e999"),
        vec![0xff; 64],
        Vec::new(),
    ];
    for value in values {
        store.put_bytes(key, &value);
        sleep(Duration::from_millis(300)).await;
    }
    store.compact();
    first.announce_departure();
    sleep(Duration::from_millis(1_200)).await;
    assert_eq!(
        requests_reaching(&daemon, &first).await,
        0,
        "the store is no longer followed"
    );
    assert_eq!(requests_reaching(&daemon, &second).await, 20);
}

/// Guards against a replica whose identity cannot be sent in a header field: any replica at its
/// address would run the request.
#[tokio::test]
async fn an_identity_that_is_no_header_value_is_ignored() {
    let (store, first, _second, daemon) = site().await;
    let mut unnameable = entry();
    unnameable["address"] = json!(first.addr.to_string());
    store.put("servers/i\n-9", &unnameable);
    store.put("servers/", &unnameable);
    sleep(Duration::from_millis(900)).await;
    assert_eq!(daemon.state().table.lock().view.all().count(), 2);
}

/// Guards against a malformed item of the store that hides the others.
#[rstest]
#[case::value_of_wrong_type(json!({"key": "servers/strange", "value": 7, "revision": 1}))]
#[case::value_in_wrong_encoding(json!({"key": "servers/strange", "value": "%%", "revision": 1}))]
#[case::no_revision(json!({"key": "servers/strange", "value": ""}))]
#[case::not_an_item(json!("strange"))]
#[tokio::test]
async fn a_malformed_item_hides_no_other(#[case] item: Value) {
    let store = store().await;
    store.add_malformed_item(item);
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = front::spawn(site::settings(&store, "d1")).await.unwrap();
    until(|| daemon.state().is_ready()).await;
    assert_eq!(ask(&daemon, "/stream/x", Some("m1")).await.1.status(), 200);
}
