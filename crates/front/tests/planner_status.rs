//! The planner's status takes as many datagrams as it needs, each of which fits the receivers' buffers.

use front::message::status::Assembly;
use front::message::{Digest, MAX_DATAGRAM, Message, PlannerStatus, encode};
use front::readers::Reader;
use proptest::prelude::*;
use unit::Name;

/// Status of a fleet that loads and unloads a model on one replica in ten.
fn status(replicas: usize, hosts: usize) -> PlannerStatus {
    let id = |n: usize| Name::from(format!("i-{n:010x}"));
    let model = |n: usize| Name::from(format!("daka5{n:05}"));
    let some = || (0..replicas).step_by(10);
    PlannerStatus {
        round: 7,
        loading: some().map(|n| (model(n % 336), n as u32)).collect(),
        loaded: some().map(|n| (id(n), model(n % 336))).collect(),
        unloading: some().map(|n| (id(n), model(n % 336))).collect(),
        unreachable: some().map(|n| n as u32).collect(),
        readers: (0..hosts / 22)
            .map(|n| Reader {
                hall: format!("hall-{}", n % 5).into(),
                addr: ([127, 0, 0, 1], n as u16).into(),
                root: n < 2,
            })
            .collect(),
        ..PlannerStatus::default()
    }
}

#[test]
fn each_part_of_a_large_fleets_status_fits_a_datagram() {
    for (replicas, hosts) in [(4_000, 985), (8_000, 2_000)] {
        let parts = status(replicas, hosts).split();
        assert!(parts.len() > 8);
        for part in parts {
            let digest = Digest {
                term: u64::MAX,
                hosts: u32::MAX,
                planner: Some(part),
                ..Digest::default()
            };
            let relayed = Message::Forward(encode(&Message::Digest(digest)).into());
            let length = encode(&relayed).len();
            assert!(length <= MAX_DATAGRAM, "{length}");
        }
    }
}

proptest! {
    /// Parts arrive in any order, some twice.
    #[test]
    fn parts_are_put_together_in_any_order(
        order in Just((0..20usize).collect::<Vec<_>>()).prop_shuffle(),
        again in 0..20usize,
    ) {
        let whole = status(1_000, 985);
        let parts = whole.clone().split();
        let mut assembly = Assembly::default();
        let mut found = None;
        for index in order.into_iter().filter(|i| *i < parts.len()) {
            prop_assert!(found.is_none(), "complete before the last part");
            if index == again {
                found = assembly.add(1, parts[index].clone());
            }
            found = assembly.add(1, parts[index].clone()).or(found);
        }
        let mut found = found.expect("all parts have arrived");
        prop_assert_eq!(found.loaded.len(), whole.loaded.len());
        found.loaded.sort();
        prop_assert_eq!(found.loaded, whole.loaded);
        found.readers.sort_by_key(|r| r.addr);
        prop_assert_eq!(found.readers, whole.readers);
    }
}

/// Half a list would take the readers from the hosts of a hall.
#[test]
fn a_round_with_a_lost_part_is_not_applied() {
    let parts = status(1_000, 985).split();
    let mut assembly = Assembly::default();
    for part in &parts[1..] {
        assert!(assembly.add(1, part.clone()).is_none());
    }
    let next: Vec<PlannerStatus> = parts
        .iter()
        .cloned()
        .map(|part| PlannerStatus { round: 8, ..part })
        .collect();
    let complete = next.into_iter().filter_map(|part| assembly.add(1, part));
    assert_eq!(complete.count(), 1);
}
