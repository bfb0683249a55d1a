//! Telling a large fleet by way of one host of each part.

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
    }
}

proptest! {
    /// Each host is told once, by a host of its own hall; a host that fell silent passes nothing on
    /// while another can.
    #[test]
    fn each_host_is_in_one_part(halls in proptest::collection::vec(1usize..140, 1..6)) {
        let mut hosts = Vec::new();
        for (hall, count) in halls.iter().enumerate() {
            for i in 0..*count {
                let port = (hosts.len() + 1) as u16;
                hosts.push(candidate(hall, port, (i % 3) as f32, i % 4 == 3));
            }
        }
        let parts = fanout::plan(hosts.clone());
        let mut told = HashSet::new();
        for Group { relay, members: others } in &parts {
            prop_assert!(others.len() < 32, "{}", others.len());
            let find = |addr: &SocketAddr| hosts.iter().find(|h| h.addr == *addr).unwrap();
            prop_assert!(!find(relay).silent);
            for other in others.iter().chain([relay]) {
                prop_assert_eq!(&find(other).hall, &find(relay).hall);
                prop_assert!(told.insert(*other));
            }
        }
        prop_assert_eq!(told.len(), hosts.len());
    }
}

/// More hosts than tell each other directly; one that passes on ends, and another takes its place.
#[tokio::test]
async fn a_large_fleet_is_told_also_after_a_host_that_passes_on_has_ended() {
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
    // The hosts are alike, so that the first of them by address passes on.
    let first = hosts
        .iter()
        .map(|d| d.state().settings.peers)
        .min()
        .unwrap();
    let ends = hosts.iter().position(|d| d.state().settings.peers == first);
    drop(hosts.remove(ends.unwrap()));
    until(|| all_know(&hosts, 19)).await;
}

fn sums(round: u32, loads: usize, absent: usize) -> LoadReport {
    let load = front::message::Load::default();
    LoadReport {
        host: "h".into(),
        round,
        loads: (0..loads)
            .map(|i| PackedLoad::new(&format!("i-{i}"), &load))
            .collect(),
        unreachable: (0..absent as u32).collect(),
        ..LoadReport::default()
    }
}

/// A host with more than 35 busy replicas tells the leader in several datagrams, all of which count.
#[test]
fn parts_of_one_telling_add_up() {
    let inbox = Inbox::default();
    inbox.record_report(sums(1, 0, 0), addr(1), at(0));
    for part in sums(7, 100, 0).split() {
        inbox.record_loads(part, at(10));
    }
    assert_eq!(inbox.loads(at(20)).len(), 100);
    for part in sums(8, 40, 0).split() {
        inbox.record_loads(part, at(30));
    }
    assert_eq!(
        inbox.loads(at(40)).len(),
        40,
        "those of the telling before have gone"
    );
}

/// Each datagram names all replicas that its host cannot reach.
#[test]
fn absent_replicas_take_their_room_in_a_datagram() {
    let mut sums = sums(1, 60, 25);
    sums.demand = vec![
        Demand {
            service: "vision".into(),
            model: "daka510000".into(),
            rate: 1.0,
            tokens: 1.0,
        };
        10
    ];
    let parts = sums.split();
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

/// After a loss of power of all hosts each starts without knowing of others: none may take the slack
/// of the retry budget for its own before a leader has told how many there are.
#[test]
fn a_host_that_was_told_nothing_has_no_part_of_the_slack() {
    let service: Name = "web".into();
    let ask = ingress::ask(&hyper::HeaderMap::new());
    let mut bounds = bounds();
    bounds.retry_slack = 400.0;
    let mut table = Table::new("a".into(), 1, HEARTBEAT);
    for _ in 0..3 {
        table.record_arrival(&service, &ask, &bounds, at(0));
    }
    assert!(!table.spend_retry(&service, at(1)));
    table.host_count = 100;
    table.knows_host_count = true;
    assert!(table.spend_retry(&service, at(2)));
}

/// A replica that wants nothing from most hosts counts in plans as what it serves; one that rests for a few does not.
#[test]
fn rests_count_where_most_hosts_tell_them() {
    let inbox = Inbox::default();
    for host in 0..3u16 {
        let resting = match host {
            0 => vec![replica_hash("i-1"), replica_hash("i-2")],
            1 => vec![replica_hash("i-1")],
            _ => Vec::new(),
        };
        let sums = LoadReport {
            host: format!("h{host}").into(),
            backing_off: resting,
            ..sums(1, 1, 0)
        };
        inbox.record_report(sums, addr(host), at(0));
    }
    assert_eq!(inbox.resting(at(10)), HashSet::from([replica_hash("i-1")]));
    assert!(inbox.resting(at(5_000)).is_empty(), "nobody tells any more");
}
