//! What hosts tell each other of their requests in flight, by way of the leader.

mod site;

use front::message::{Load, PackedLoad};
use front::table::{Criteria, Table};
use hyper::HeaderMap;
use platform::ingress;
use site::{HEARTBEAT, at, entry};
use unit::Name;

/// Table with two requests of this host at a replica, entered at the beginning.
fn busy(id: &Name) -> Table {
    let mut table = Table::new("a".into(), 1, HEARTBEAT);
    table.view.put(entry(id), 1);
    let (service, ask) = ("web".into(), ingress::ask(&HeaderMap::new()));
    let want = Criteria {
        service: &service,
        ask: &ask,
        priority: 0,
        max_gap: None,
        excluded: &[],
        is_resumption: false,
    };
    for _ in 0..2 {
        table.begin(id, &want, at(0));
    }
    table
}

fn row(id: &str, requests: f32) -> PackedLoad {
    let load = Load {
        requests,
        ..Load::default()
    };
    PackedLoad::new(id, &load)
}

/// Sums under way when a host told its requests do not hold them yet.
#[test]
fn own_requests_are_not_missed_while_they_are_on_their_way_to_the_leader() {
    let id: Name = "i-1".into();
    let mut table = busy(&id);
    table.report_own_loads(at(10));
    table.set_fleet_loads(&[row(&id, 3.0)], at(20));
    assert_eq!(table.load(&id, at(20)).0, 5.0, "three of other hosts");
}

#[test]
fn own_requests_are_not_counted_twice_once_the_leader_has_them() {
    let id: Name = "i-1".into();
    let mut table = busy(&id);
    for ms in [10, 40, 80, 120, 160] {
        table.report_own_loads(at(ms));
    }
    table.set_fleet_loads(&[row(&id, 5.0)], at(170));
    assert_eq!(table.load(&id, at(170)).0, 5.0, "three of other hosts");
}

#[test]
fn a_replica_that_is_not_told_anew_keeps_its_sum() {
    let id: Name = "i-1".into();
    let mut table = busy(&id);
    table.view.put(entry("i-2"), 2);
    for ms in [10, 80, 150] {
        table.report_own_loads(at(ms));
    }
    table.set_fleet_loads(&[row(&id, 4.0), row("i-2", 3.0)], at(160));
    table.set_fleet_loads(&[row("i-2", 1.0)], at(190));
    assert_eq!(table.load(&id, at(190)).0, 4.0);
    assert_eq!(table.load("i-2", at(190)).0, 1.0);
}
