//! Loads reported to the leader and returned in digests do not lose or double this host's requests.

mod site;

use front::message::{Load, PackedLoad};
use front::table::{Criteria, Table};
use hyper::HeaderMap;
use platform::ingress;
use site::{HEARTBEAT, at, entry};
use unit::Name;

/// Table with two requests of this host on a replica, begun at time 0.
fn table_with_requests(id: &Name) -> Table {
    let mut table = Table::new("a".into(), 1, HEARTBEAT);
    table.view.put(entry(id), 1);
    let (service, metadata) = ("web".into(), ingress::parse(&HeaderMap::new()));
    let want = Criteria {
        service: &service,
        ask: &metadata,
        priority: 0,
        max_gap: None,
        excluded: &[],
        software: None,
        is_resumption: false,
    };
    for _ in 0..2 {
        table.begin(id, &want, at(0));
    }
    table
}

fn packed_load(id: &str, requests: f32) -> PackedLoad {
    let load = Load {
        requests,
        ..Load::default()
    };
    PackedLoad::new(id, &load)
}

/// A digest computed before the host's report does not include its latest requests.
#[test]
fn own_requests_count_before_the_leader_has_them() {
    let id: Name = "i-1".into();
    let mut table = table_with_requests(&id);
    table.report_own_loads(at(10));
    table.set_fleet_loads(&[packed_load(&id, 3.0)], at(20));
    assert_eq!(
        table.load(&id, at(20)).0,
        5.0,
        "two own requests and three of other hosts"
    );
}

#[test]
fn own_requests_are_not_counted_twice_once_the_leader_has_them() {
    let id: Name = "i-1".into();
    let mut table = table_with_requests(&id);
    for ms in [10, 40, 80, 120, 160] {
        table.report_own_loads(at(ms));
    }
    table.set_fleet_loads(&[packed_load(&id, 5.0)], at(170));
    assert_eq!(
        table.load(&id, at(170)).0,
        5.0,
        "two own requests and three of other hosts"
    );
}

#[test]
fn a_replica_missing_from_a_digest_keeps_its_load() {
    let id: Name = "i-1".into();
    let mut table = table_with_requests(&id);
    table.view.put(entry("i-2"), 2);
    for ms in [10, 80, 150] {
        table.report_own_loads(at(ms));
    }
    table.set_fleet_loads(&[packed_load(&id, 4.0), packed_load("i-2", 3.0)], at(160));
    table.set_fleet_loads(&[packed_load("i-2", 1.0)], at(190));
    assert_eq!(table.load(&id, at(190)).0, 4.0);
    assert_eq!(table.load("i-2", at(190)).0, 1.0);
}
