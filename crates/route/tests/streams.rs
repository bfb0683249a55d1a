//! Runs that began streams: how long they are known, and which restarts of replicas make them doubtful.

use route::streams::{Hosts, KEEPERS, RETENTION, Registry, Run, key};
use rstest::rstest;
use std::collections::HashSet;
use std::net::SocketAddr;
use unit::{Span, Time};

const REPLICA: u32 = 7;

fn at(ms: u64) -> Time {
    Time(0) + Span::from_ms(100_000 + ms)
}

fn run(software: &str, incarnation: u64) -> Run {
    Run {
        service: "llm".into(),
        software: software.into(),
        replica: REPLICA,
        incarnation: Some(incarnation),
        is_stale: false,
    }
}

/// Guards against a guess after a replica has restarted under its identity with other software: its new entry comes some
/// time after the restart, so that a run shortly before the entry may be of either version.
#[rstest]
#[case::long_before_the_restart("v2", 0, 5_000, false, true)]
#[case::shortly_before_the_new_entry("v2", 4_000, 5_000, false, false)]
#[case::after_the_new_entry("v2", 6_000, 5_000, false, false)]
#[case::same_software("v1", 4_000, 5_000, false, true)]
#[case::while_the_store_was_away("v2", 0, 50_000, true, false)]
fn a_run_is_named_only_if_its_software_is_certain(
    #[case] software_after: &str,
    #[case] began_ms: u64,
    #[case] restart_ms: u64,
    #[case] is_stale: bool,
    #[case] expected: bool,
) {
    let mut registry = Registry::open(100);
    let run = Run {
        is_stale,
        ..run("v1", 1)
    };
    if began_ms <= restart_ms {
        registry.record(1, run.clone(), at(began_ms));
    }
    registry.record_incarnation(REPLICA, Some(2), software_after.into(), at(restart_ms));
    registry.record(1, run, at(began_ms));
    let now = at(began_ms.max(restart_ms) + 10);
    assert_eq!(registry.find(1, now).is_some(), expected);
}

/// Guards against a restart before a run that makes the run doubtful.
#[test]
fn an_earlier_restart_leaves_later_runs_certain() {
    let mut registry = Registry::open(100);
    registry.record_incarnation(REPLICA, Some(1), "v1".into(), at(0));
    registry.record_incarnation(REPLICA, Some(2), "v2".into(), at(1_000));
    registry.record(1, run("v2", 2), at(1_100));
    assert!(registry.find(1, at(1_200)).is_some());
    registry.record_incarnation(REPLICA, Some(3), "v1".into(), at(1_300));
    assert!(registry.find(1, at(1_400)).is_none());
}

/// Guards against runs that take memory without bound, and against the loss of the newest ones.
#[test]
fn the_oldest_runs_give_way() {
    let mut registry = Registry::open(100);
    for n in 0..1_000 {
        registry.record(n, run("v1", 1), at(n));
        assert!(registry.len() <= 100);
    }
    let known = (0..1_000).filter(|n| registry.find(*n, at(1_000)).is_some());
    assert!(known.eq(900..1_000));
    let later = at(1_000) + RETENTION;
    assert!(registry.find(999, later).is_none());
    registry.record(5_000, run("v1", 1), later);
    assert_eq!(registry.len(), 1);
}

/// Guards against a guess between equal requests that began at several versions.
#[test]
fn a_key_of_several_versions_is_unknown() {
    let mut registry = Registry::open(100);
    registry.record(1, run("v1", 1), at(0));
    registry.record(1, run("v1", 2), at(10));
    assert_eq!(&*registry.find(1, at(20)).unwrap().software, "v1");
    registry.record(1, run("v2", 3), at(30));
    registry.record(1, run("v1", 4), at(40));
    assert_eq!(registry.find(1, at(50)), None);
}

/// Guards against work for each run that grows with the replicas of the fleet.
#[test]
fn runs_are_recorded_at_once_beside_many_replicas() {
    let mut registry = Registry::open(16_384);
    for replica in 0..20_000 {
        registry.record_incarnation(replica, Some(1), "v1".into(), at(0));
    }
    let began = std::time::Instant::now();
    for n in 0..20_000 {
        registry.record(n, run("v1", 1), at(n / 10));
    }
    let took = began.elapsed();
    assert!(took < std::time::Duration::from_secs(1), "{took:?}");
}

/// Guards against hosts that ask others than those that were told, while the list of hosts changes.
#[test]
fn those_that_keep_a_run_are_asked_first() {
    let hosts = |range: std::ops::Range<u16>| -> Vec<SocketAddr> {
        range.map(|n| ([10, 0, 0, 1], 7_000 + n).into()).collect()
    };
    let (mut sender, mut asker) = (Hosts::default(), Hosts::default());
    sender.assign(hosts(0..30), at(0));
    asker.assign(hosts(0..30), at(0));
    asker.assign(hosts(1..32), at(500));
    for n in 0..200 {
        let key = key(&format!("r-{n}"));
        let keepers: HashSet<_> = sender.keepers(key).into_iter().collect();
        assert_eq!(keepers.len(), KEEPERS);
        let asked = asker.ranked(key, at(600));
        assert_eq!(asked.len(), 32, "hosts of the last list are still asked");
        let first = asked.iter().take(KEEPERS + 2);
        assert!(keepers.is_subset(&first.copied().collect()), "{key}");
    }
    assert_eq!(asker.ranked(1, at(20_000)).len(), 0);
}
