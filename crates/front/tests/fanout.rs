//! Distribution of the leader's datagrams in a large fleet, and merging of reports that take several datagrams.

mod site;

use front::Daemon;
use front::message::{Demand, LoadReport, PackedLoad, replica_hash};
use front::peers::Inbox;
use front::peers::fanout::{self, Group};
use front::readers::Candidate;
use front::table::Table;
use platform::ingress;
use proptest::prelude::*;
use site::{HEARTBEAT, at, bounds, daemon, store, until};
use std::collections::HashSet;
use std::net::SocketAddr;
use unit::Name;

fn addr(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn candidate(hall: usize, port: u16, cores: f32, silent: bool) -> Candidate {
    Candidate {
        hall: format!("hall-{hall}").into(),
        addr: addr(port),
        cores,
        store_failed: false,
        silent,
        is_isolated: false,
    }
}

proptest! {
    /// Each host is in exactly one group of its hall, and silent hosts are not relays.
    #[test]
    fn each_host_is_in_one_group(halls in proptest::collection::vec(1usize..140, 1..6)) {
        let mut hosts = Vec::new();
        for (hall, count) in halls.iter().enumerate() {
            for i in 0..*count {
                let port = (hosts.len() + 1) as u16;
                hosts.push(candidate(hall, port, (i % 3) as f32, i % 4 == 3));
            }
        }
        let groups = fanout::plan(hosts.clone());
        let mut seen = HashSet::new();
        for Group { relay, members } in &groups {
            prop_assert!(members.len() < 32, "{}", members.len());
            let find = |addr: &SocketAddr| hosts.iter().find(|h| h.addr == *addr).unwrap();
            prop_assert!(!find(relay).silent);
            for host in members.iter().chain([relay]) {
                prop_assert_eq!(&find(host).hall, &find(relay).hall);
                prop_assert!(seen.insert(*host));
            }
        }
        prop_assert_eq!(seen.len(), hosts.len());
    }
}

/// When a relay stops, another one takes its place.
#[tokio::test]
async fn digests_reach_all_hosts_after_a_relay_stops() {
    let store = store().await;
    let leader = daemon(&store, "d0").await;
    until(|| leader.state().leads()).await;
    let mut hosts: Vec<Daemon> = Vec::new();
    for i in 1..20 {
        hosts.push(daemon(&store, &format!("d{i}")).await);
    }
    let all_know = |hosts: &[Daemon], count: usize| {
        let knows = |d: &Daemon| d.state().table.lock().host_count == count;
        hosts.iter().all(knows)
    };
    until(|| all_know(&hosts, 20)).await;
    // All hosts have the same CPU, so that the one with the lowest address is a relay.
    let relay = hosts
        .iter()
        .map(|d| d.state().settings.peers)
        .min()
        .unwrap();
    let stopped = hosts.iter().position(|d| d.state().settings.peers == relay);
    drop(hosts.remove(stopped.unwrap()));
    until(|| all_know(&hosts, 19)).await;
}

fn report(round: u32, loads: usize, unreachable: usize) -> LoadReport {
    let load = front::message::Load {
        requests: 1.0,
        ..front::message::Load::default()
    };
    LoadReport {
        host: "h".into(),
        round,
        loads: (0..loads)
            .map(|i| PackedLoad::new(&format!("i-{i}"), &load))
            .collect(),
        unreachable: (0..unreachable as u32).collect(),
        ..LoadReport::default()
    }
}

/// A report of more than 35 busy replicas takes several datagrams, and all of them count.
#[test]
fn datagrams_of_one_report_are_merged() {
    let inbox = Inbox::default();
    inbox.record_report(report(1, 0, 0), addr(1), at(0));
    for part in report(7, 100, 0).split() {
        inbox.record_loads(part, at(10));
    }
    assert_eq!(inbox.loads(at(20)).len(), 100);
    for part in report(8, 40, 0).split() {
        inbox.record_loads(part, at(30));
    }
    assert_eq!(
        inbox.loads(at(40)).len(),
        40,
        "loads of the previous sequence number are replaced"
    );
}

/// Unreachable replicas are repeated in each datagram, which must not exceed the size limit.
#[test]
fn reports_with_unreachable_replicas_fit_a_datagram() {
    let mut report = report(1, 60, 25);
    report.demand = vec![
        Demand {
            service: "vision".into(),
            model: "daka510000".into(),
            rate: 1.0,
            tokens: 1.0,
        };
        10
    ];
    let parts = report.split();
    assert_eq!(parts.iter().map(|p| p.loads.len()).sum::<usize>(), 60);
    for part in parts {
        let bytes = front::message::encode(&front::message::Message::Report(part));
        assert!(
            bytes.len() <= front::message::MAX_DATAGRAM,
            "{}",
            bytes.len()
        );
    }
}

/// When all hosts restart at once, none may use the whole additional retry budget before it knows the number of
/// hosts.
#[test]
fn a_host_that_does_not_know_the_host_count_has_no_retry_slack() {
    let service: Name = "web".into();
    let metadata = ingress::parse(&hyper::HeaderMap::new());
    let mut bounds = bounds();
    bounds.retry_slack = 400.0;
    let mut table = Table::new("a".into(), 1, HEARTBEAT);
    for _ in 0..3 {
        table.record_arrival(&service, &metadata, &bounds, at(0));
    }
    assert!(!table.spend_retry(&service, at(1)));
    table.host_count = 100;
    table.knows_host_count = true;
    assert!(table.spend_retry(&service, at(2)));
}

/// A backoff counts in plans only if most hosts report it.
#[test]
fn a_backoff_counts_if_most_hosts_report_it() {
    let inbox = Inbox::default();
    for host in 0..3u16 {
        let backing_off = match host {
            0 => vec![replica_hash("i-1"), replica_hash("i-2")],
            1 => vec![replica_hash("i-1")],
            _ => Vec::new(),
        };
        let report = LoadReport {
            host: format!("h{host}").into(),
            backing_off,
            ..report(1, 1, 0)
        };
        inbox.record_report(report, addr(host), at(0));
    }
    assert_eq!(
        inbox.backing_off(at(10)),
        HashSet::from([replica_hash("i-1")])
    );
    assert!(
        inbox.backing_off(at(5_000)).is_empty(),
        "the reports have expired"
    );
}
