//! Replicas that are unreachable, or whose address another replica took, while the store still
//! lists them.

mod site;

use front::message::{HostConditions, LoadReport, replica_hash};
use front::peers::Inbox;
use front::table::{Criteria, Table};
use platform::ingress::Metadata;
use platform_standin::ports;
use platform_standin::replica::{Fault, Replica};
use platform_standin::store::Store;
use rstest::rstest;
use serde_json::json;
use site::{ask, at, daemon, engine, entry, store, until, web};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use unit::Span;

/// Requests sent one after the other.
const REQUESTS: usize = 40;

/// Writes the entry of a crashed replica: nothing listens at its address.
fn put_crashed_entry(store: &Store, id: &str) {
    let entry = json!({
        "service": "web", "address": ports::free().to_string(), "zone": "a", "version": "v1",
        "slots": 8, "state": "ready", "cold_remaining_ms": 0, "models": [], "sequence": 1,
    });
    store.put(&format!("servers/{id}"), &entry);
}

/// Number of connections that a daemon has opened to replicas, by its metrics.
fn opened_connections(daemon: &front::Daemon) -> u64 {
    let text = daemon.state().log.metrics.render();
    let mut lines = text.lines();
    let line = lines.find(|l| l.starts_with("coveford_connections_opened_total"));
    line.map_or(0, |l| l.rsplit(' ').next().unwrap().parse().unwrap())
}

/// Guards against a host that keeps sending requests to a crashed replica until its entry lapses.
#[tokio::test]
async fn a_replica_that_refuses_connections_is_avoided() {
    let store = store().await;
    put_crashed_entry(&store, "i-1");
    let _healthy = web(&store, "i-2").await;
    let daemon = daemon(&store, "d1").await;
    let start = Instant::now();
    for _ in 0..REQUESTS {
        assert_eq!(ask(&daemon, "/again/x", None).await.1.status(), 200);
    }
    // Tried at first and then with exponential backoff from 150 ms; one connection to the other
    // replica is reused.
    let max = 2 + start.elapsed().as_millis() as u64 / 150;
    let opened_connections = opened_connections(&daemon);
    assert!(
        opened_connections <= max,
        "{opened_connections} connections, at most {max}"
    );
}

/// Guards against a host that keeps sending requests to an address where another replica has
/// started.
#[rstest]
#[case::model("m1")]
#[case::adapter("m1/a1")]
#[tokio::test]
async fn a_replica_whose_address_was_taken_over_is_avoided(#[case] model: &str) {
    let store = store().await;
    let replaced = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    until(|| is_listed(&daemon, &replaced)).await;
    // An adapter is loaded on the first request for it.
    while ask(&daemon, "/resume/x", Some(model)).await.1.status() != 200 {
        sleep(Duration::from_millis(50)).await;
    }
    replaced.set_fault(Fault::Replaced);
    let _healthy = engine(&store, "i-2", &["m1"]).await;
    sleep(Duration::from_millis(900)).await;
    let start = Instant::now();
    for _ in 0..REQUESTS {
        ask(&daemon, "/resume/x", Some(model)).await;
    }
    // Up to eight refusals may be about adapters; then the replica counts as unreachable.
    let max = 9 + start.elapsed().as_millis() / 150;
    let arrived = replaced.arrivals_after(start).len() as u128;
    assert!(arrived <= max, "{arrived} requests, at most {max}");
}

fn is_listed(daemon: &front::Daemon, replica: &Replica) -> bool {
    let table = daemon.state().table.lock();
    table.view.get(&replica.options.id).is_some()
}

#[tokio::test]
async fn a_replica_that_is_reachable_again_is_used() {
    let store = store().await;
    let only = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    only.set_fault(Fault::Replaced);
    let (_, answer) = ask(&daemon, "/stream/x", Some("m1")).await;
    assert_eq!(answer.status(), 503);
    assert!(
        answer.header("retry-after").is_some(),
        "retry-after is missing"
    );
    only.set_fault(Fault::None);
    sleep(Duration::from_millis(1_300)).await;
    assert_eq!(ask(&daemon, "/stream/x", Some("m1")).await.1.status(), 200);
}

/// Guards against each host having to find out by itself that a replica is unreachable.
#[tokio::test]
async fn a_host_avoids_a_replica_that_others_could_not_reach() {
    let store = store().await;
    let _healthy = web(&store, "i-2").await;
    let reporters = [daemon(&store, "d1").await, daemon(&store, "d2").await];
    let informed = daemon(&store, "d3").await;
    put_crashed_entry(&store, "i-1");
    let reporting = async {
        loop {
            for reporter in &reporters {
                ask(reporter, "/again/x", None).await;
            }
            sleep(Duration::from_millis(10)).await;
        }
    };
    let mut oldest_status = Span::ZERO;
    let asking = async {
        sleep(Duration::from_millis(2_500)).await;
        for _ in 0..REQUESTS {
            let state = informed.state();
            let age = state.table.lock().planner_status_age(state.now());
            oldest_status = oldest_status.max(age);
            assert_eq!(ask(&informed, "/again/x", None).await.1.status(), 200);
        }
    };
    tokio::select! {
        () = reporting => {}
        () = asking => {}
    }
    let opened_connections = opened_connections(&informed);
    assert!(
        opened_connections <= 1,
        "{opened_connections} connections, one to the healthy replica; by a status of up to {oldest_status}"
    );
}

/// Guards against a report that lapses while the replica is still down, since the hosts that reported it have no
/// requests that would try it again: each other host then sends it one.
#[tokio::test]
async fn a_replica_is_reported_as_long_as_it_is_down() {
    let store = store().await;
    let _healthy = web(&store, "i-2").await;
    let reporters = [daemon(&store, "d1").await, daemon(&store, "d2").await];
    let informed = daemon(&store, "d3").await;
    put_crashed_entry(&store, "i-1");
    let has_failed = |reporter: &front::Daemon| {
        let state = reporter.state();
        let table = state.table.lock();
        !table.unreachable_replicas(state.now()).is_empty()
    };
    for reporter in &reporters {
        while !has_failed(reporter) {
            ask(reporter, "/again/x", None).await;
        }
    }
    sleep(Duration::from_millis(4_000)).await;
    for _ in 0..REQUESTS {
        assert_eq!(ask(&informed, "/again/x", None).await.1.status(), 200);
    }
    assert_eq!(
        opened_connections(&informed),
        1,
        "one to the healthy replica"
    );
}

/// Guards against requests that are spent on finding out whether a replica is back.
#[tokio::test]
async fn a_replica_that_refuses_connections_gets_no_second_request() {
    let store = store().await;
    put_crashed_entry(&store, "i-1");
    let _healthy = web(&store, "i-2").await;
    let daemon = daemon(&store, "d1").await;
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(2_500) {
        assert_eq!(ask(&daemon, "/again/x", None).await.1.status(), 200);
        sleep(Duration::from_millis(5)).await;
    }
    let opened_connections = opened_connections(&daemon);
    assert!(opened_connections <= 2, "{opened_connections} connections");
}

/// Guards against a replica that is taken from all hosts because two of them are cut off from it.
#[test]
fn the_leader_verifies_that_a_replica_is_unreachable() {
    let (hash, limit) = (replica_hash("i-1"), Span::from_ms(300));
    let mut table = Table::new("a".into(), 1, site::HEARTBEAT);
    table.view.put(entry("i-1"), 1);
    assert_eq!(
        table.confirm_unreachable(vec![hash], at(0)),
        [hash],
        "not known yet"
    );
    let probes = table.start_probes(16, limit, at(10));
    assert_eq!(probes.len(), 1);
    table.record_probe(&probes[0].0, true, at(12));
    assert_eq!(table.confirm_unreachable(vec![hash], at(250)), [0; 0]);
    assert!(
        table.start_probes(16, limit, at(300)).is_empty(),
        "verified just now"
    );
    assert_eq!(table.confirm_unreachable(vec![hash], at(1_100)), [0; 0]);
    let probes = table.start_probes(16, limit, at(1_110));
    table.record_probe(&probes[0].0, false, at(1_112));
    assert_eq!(
        table.confirm_unreachable(vec![hash], at(2_100)),
        [hash],
        "down since"
    );
}

/// Report of a host that cannot reach `count` replicas.
fn report_of_unreachable(host: &str, count: u32) -> LoadReport {
    LoadReport {
        host: host.into(),
        round: 1,
        unreachable: (0..count).collect(),
        ..LoadReport::default()
    }
}

/// Guards against a majority of hosts without paths whose reports make the others refuse what they could serve.
#[test]
fn a_host_that_reaches_next_to_nothing_is_no_witness() {
    let inbox = Inbox::default();
    let addr = |n: u16| SocketAddr::from(([10, 0, 0, 1], n));
    for n in 1..=5 {
        let report = report_of_unreachable(&format!("h{n}"), 20);
        inbox.record_report(report, addr(n), at(0));
    }
    assert!(inbox.unreachable(21, at(10)).is_empty());
    for n in 6..=7 {
        let report = report_of_unreachable(&format!("h{n}"), 2);
        inbox.record_report(report, addr(n), at(0));
    }
    let mut confirmed = inbox.unreachable(21, at(10));
    confirmed.sort_unstable();
    assert_eq!(confirmed, [0, 1]);
}

/// Guards against an isolated host that reports the few replicas that it has tried.
#[test]
fn an_isolated_host_is_no_witness() {
    let inbox = Inbox::default();
    let addr = |n: u16| SocketAddr::from(([10, 0, 0, 1], n));
    for n in 1..=3 {
        let host = format!("h{n}");
        inbox.record_report(report_of_unreachable(&host, 2), addr(n), at(0));
        let conditions = HostConditions {
            host: host.as_str().into(),
            is_isolated: true,
            ..HostConditions::default()
        };
        inbox.record_conditions(conditions, at(5));
    }
    assert!(inbox.unreachable(21, at(10)).is_empty());
}

/// Guards against a host that refuses a request by what others report, without having tried the replica itself.
#[test]
fn reports_of_others_alone_refuse_nothing() {
    let mut table = Table::new("a".into(), 1, site::HEARTBEAT);
    table.view.put(entry("i-1"), 1);
    table.view.put(entry("i-2"), 1);
    table.set_unreachable(vec![replica_hash("i-1")], at(0));
    let (service, metadata) = ("web".into(), Metadata::default());
    let choose = |table: &mut Table| {
        let criteria = Criteria {
            service: &service,
            ask: &metadata,
            priority: 1,
            max_gap: None,
            excluded: &[],
            software: None,
            is_resumption: false,
        };
        let chosen = table.choose(&criteria, at(10));
        chosen.map(|choice| choice.replica.to_string())
    };
    assert_eq!(choose(&mut table).as_deref(), Ok("i-2"));
    table.set_unreachable(vec![replica_hash("i-1"), replica_hash("i-2")], at(0));
    assert!(choose(&mut table).is_ok());
    // What this host has found out itself counts.
    table.record_unreachable(&"i-1".into(), at(5));
    assert_eq!(choose(&mut table).as_deref(), Ok("i-2"));
    table.record_unreachable(&"i-2".into(), at(5));
    assert!(choose(&mut table).is_err());
}
