//! Entries by another writer, or that cannot be read: they name no replica to use, and the others hold.

mod site;

use front::Daemon;
use platform_standin::replica::Replica;
use platform_standin::store::Store;
use rstest::rstest;
use serde_json::{Value, json};
use site::{ask, daemon, engine, store, until, web};
use std::time::Duration;
use tokio::time::sleep;

/// Entry in good form of a replica that is not there.
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

/// Tells how many of twenty requests reach a replica; all are served.
async fn reach(daemon: &Daemon, replica: &Replica) -> u32 {
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
#[case::a_state_that_is_not_known(with("state", json!("resting")))]
#[case::a_state_of_another_type(with("state", json!(3)))]
#[case::no_address(without("address"))]
#[case::an_address_that_is_none(with("address", json!("here")))]
#[case::a_start_that_is_no_whole_number(with("born", json!(1.5)))]
#[case::no_start_where_one_was_told(without("born"))]
#[case::bytes(vec![0, 159, 146, 150])]
#[case::nothing(Vec::new())]
#[tokio::test]
async fn an_entry_that_is_overwritten_names_no_replica_until_it_can_be_read(
    #[case] value: Vec<u8>,
) {
    let (store, first, second, daemon) = site().await;
    store.put_bytes(&first.key(), &value);
    sleep(Duration::from_millis(900)).await;
    assert_eq!(reach(&daemon, &first).await, 0);
    assert_eq!(reach(&daemon, &second).await, 20);
    first.beat();
    sleep(Duration::from_millis(900)).await;
    assert!(reach(&daemon, &first).await > 0, "it can be read again");
}

#[rstest]
#[case::a_service_that_is_not_known(with("service", json!("other")))]
#[case::a_state_that_is_not_known(with("state", json!("resting")))]
#[case::a_number_as_service(with("service", json!(3)))]
#[case::models_of_another_type(with("models", json!("m1")))]
#[case::bytes(vec![0xff; 64])]
#[tokio::test]
async fn the_others_hold_beside_a_strange_entry(#[case] value: Vec<u8>) {
    let (store, first, second, daemon) = site().await;
    store.put_bytes("servers/strange", &value);
    store.forget_history();
    sleep(Duration::from_millis(900)).await;
    let (to_first, to_second) = (reach(&daemon, &first).await, reach(&daemon, &second).await);
    assert!(to_first > 0 && to_second > 0);
}

/// An identity that cannot stand in a header field could not be asked for by name: whoever has the address
/// would run the request.
#[tokio::test]
async fn an_identity_that_cannot_be_asked_for_names_no_replica() {
    let (store, first, _second, daemon) = site().await;
    let mut here = entry();
    here["address"] = json!(first.addr.to_string());
    store.put("servers/i\n-9", &here);
    store.put("servers/", &here);
    sleep(Duration::from_millis(900)).await;
    assert_eq!(daemon.state().table.lock().view.all().count(), 2);
}

/// One item of the store in no good form hides none of the others.
#[rstest]
#[case::a_value_that_is_no_text(json!({"key": "servers/strange", "value": 7, "revision": 1}))]
#[case::a_value_in_another_coding(json!({"key": "servers/strange", "value": "%%", "revision": 1}))]
#[case::no_revision(json!({"key": "servers/strange", "value": ""}))]
#[case::no_item(json!("strange"))]
#[tokio::test]
async fn an_item_in_no_good_form_hides_no_other(#[case] item: Value) {
    let store = store().await;
    store.list_odd(item);
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = front::spawn(site::settings(&store, "d1")).await.unwrap();
    until(|| daemon.state().is_ready()).await;
    assert_eq!(ask(&daemon, "/stream/x", Some("m1")).await.1.status(), 200);
}
