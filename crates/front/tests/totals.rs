//! The leader's sums over all hosts are kept by the difference of each report, and only changed rows are looked at.

mod site;

use front::message::{Load, LoadReport, PackedLoad, replica_hash};
use front::peers::Inbox;
use proptest::prelude::*;
use site::at;
use std::collections::HashMap;
use std::net::SocketAddr;

fn addr(host: usize) -> SocketAddr {
    ([127, 0, 0, 1], host as u16 + 1).into()
}

/// Report of a host with requests on some replicas.
fn report(host: usize, round: u32, loads: &[(usize, u8)]) -> LoadReport {
    let row = |(replica, requests): &(usize, u8)| {
        let load = Load {
            requests: f32::from(*requests),
            reserved_tokens: f32::from(*requests) * 640.0,
            prefill_ms: [f32::from(*requests), 0.0, 7.0, 0.0],
        };
        PackedLoad::new(&format!("i-{replica}"), &load)
    };
    LoadReport {
        host: format!("h{host}").into(),
        round,
        loads: loads.iter().map(row).collect(),
        ..LoadReport::default()
    }
}

/// Sum of the last rows of each host.
fn sum(last: &HashMap<usize, LoadReport>) -> HashMap<u32, Load> {
    let mut sum: HashMap<u32, Load> = HashMap::new();
    for row in last.values().flat_map(|report| &report.loads) {
        sum.entry(row.replica()).or_default().add(&row.load());
    }
    sum
}

proptest! {
    #[test]
    fn sums_by_difference_equal_sums_over_all_hosts(
        reports in proptest::collection::vec(
            (0usize..6, any::<bool>(), proptest::collection::btree_map(0usize..9, 1u8..9, 0..5)),
            1..60,
        )
    ) {
        let inbox = Inbox::default();
        let mut last: HashMap<usize, LoadReport> = HashMap::new();
        for (number, (host, is_round, loads)) in reports.into_iter().enumerate() {
            let loads: Vec<(usize, u8)> = loads.into_iter().collect();
            let report = report(host, number as u32, &loads);
            if is_round || !last.contains_key(&host) {
                inbox.record_report(report.clone(), addr(host), at(0));
            } else {
                inbox.record_loads(report.clone(), at(0));
            }
            last.insert(host, report);
            prop_assert_eq!(inbox.loads(at(1)), sum(&last));
        }
        prop_assert!(inbox.loads(at(60_000)).is_empty(), "expired reports count no more");
    }
}

/// The leader broadcasts changes many times a second: each look must cost what changed, not hosts times replicas.
#[test]
fn one_changed_host_among_a_thousand_changes_its_rows_only() {
    let inbox = Inbox::default();
    for host in 0..1_000 {
        let loads: Vec<(usize, u8)> = (0..4).map(|i| ((host * 4 + i) % 4_000, 1)).collect();
        inbox.record_report(report(host, 1, &loads), addr(host), at(0));
    }
    assert_eq!(inbox.take_changed_loads(at(1)).len(), 4_000);
    assert_eq!(inbox.take_changed_loads(at(2)), []);
    inbox.record_loads(report(7, 1, &[(28, 2), (29, 1), (30, 1), (31, 1)]), at(3));
    let mut changed = inbox.take_changed_loads(at(4));
    changed.sort_by_key(PackedLoad::replica);
    assert_eq!(changed.len(), 4);
    let row = changed.iter().find(|r| r.replica() == replica_hash("i-28"));
    assert_eq!(row.map(|r| r.load().requests), Some(2.0));
}
