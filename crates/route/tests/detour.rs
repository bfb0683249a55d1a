//! Detection of a host's own isolation, and the choice of hosts for its requests, in virtual time.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::detour::{Candidate, Hosts};
use route::isolation::{Detector, Reach};
use rstest::rstest;
use std::collections::HashMap;
use std::net::SocketAddr;
use unit::{Name, Span, Time};

/// Time `ms` after a start that is late enough for ages of many seconds.
fn at(ms: u64) -> Time {
    Time(0) + Span::from_ms(100_000 + ms)
}

fn replica(n: usize) -> Name {
    format!("i-{n}").into()
}

fn addr(n: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], n))
}

fn candidate(n: u16, hall: &str, room: u16) -> Candidate {
    Candidate {
        addr: addr(n),
        hall: hall.into(),
        room,
    }
}

/// A few replicas that fail while others answer are the ones at fault.
#[test]
fn replicas_that_fail_beside_others_are_no_isolation() {
    let mut detector = Detector::default();
    for step in 0..50 {
        detector.record_failure(&replica(step as usize % 6), at(step * 20));
        detector.record_arrival(at(step * 20 + 10));
        assert_eq!(detector.reach(18, at(step * 20 + 11)), Reach::Sound);
    }
}

/// The number of replicas that have to fail follows the number that is known.
#[rstest]
#[case::many(18, [Reach::Sound, Reach::Suspect, Reach::Suspect, Reach::Suspect, Reach::Isolated])]
#[case::three(3, [Reach::Sound, Reach::Suspect, Reach::Isolated, Reach::Isolated, Reach::Isolated])]
#[case::one(1, [Reach::Isolated; 5])]
fn failures_in_a_row_are_suspected_and_then_believed(
    #[case] known: usize,
    #[case] expected: [Reach; 5],
) {
    let mut detector = Detector::default();
    for (n, expected) in expected.into_iter().enumerate() {
        detector.record_failure(&replica(n), at(100));
        assert_eq!(detector.reach(known, at(100)), expected, "{n}");
    }
}

/// Guards against a host that goes on avoiding its own paths after they are back.
#[test]
fn one_arrival_ends_the_isolation() {
    let mut detector = Detector::default();
    for n in 0..18 {
        detector.record_failure(&replica(n), at(0));
    }
    assert_eq!(detector.reach(18, at(10)), Reach::Isolated);
    assert!(detector.record_arrival(at(20)));
    assert_eq!(detector.reach(18, at(20)), Reach::Sound);
}

/// Paths that come and go each second: within 700 ms of each loss it is known, with requests that fail one by one.
#[test]
fn paths_that_come_and_go_are_followed() {
    let mut detector = Detector::default();
    for second in 0..20u64 {
        let is_up = second % 2 == 0;
        for step in 0..20u64 {
            let now = at(second * 1_000 + step * 50);
            match is_up {
                true => drop(detector.record_arrival(now)),
                false => detector.record_failure(&replica(step as usize % 18), now),
            }
            let expected = if is_up { Reach::Sound } else { Reach::Isolated };
            if step >= 14 {
                assert_eq!(detector.reach(18, now), expected, "{second} {step}");
            }
        }
    }
}

/// A host whose open connections hang has no failed connection to learn from.
#[test]
fn silence_while_requests_wait_asks_for_probes() {
    let mut detector = Detector::default();
    detector.record_arrival(at(0));
    assert!(!detector.take_probe(18, at(2_000)), "nothing waits");
    detector.begin(at(2_000));
    assert!(!detector.take_probe(18, at(2_200)));
    assert!(detector.take_probe(18, at(2_350)));
    assert!(!detector.take_probe(18, at(2_400)), "just probed");
    detector.record_arrival(at(2_500));
    assert!(!detector.take_probe(18, at(2_750)));
    detector.finish();
    assert!(!detector.take_probe(18, at(9_000)));
}

/// One of 8 hosts, 5 of 8, and a hall of three are partitioned: the others share the load by their room, and those in
/// the same hall come first.
#[rstest]
#[case::one_of_eight(8, &[0])]
#[case::five_of_eight(8, &[0, 2, 3, 5, 7])]
#[case::a_hall(9, &[0, 3, 6])]
fn load_is_spread_by_room(#[case] hosts: u16, #[case] partitioned: &[u16]) {
    let halls = ["a", "b", "c"];
    let hall = |n: u16| halls[n as usize % 3];
    let sound: Vec<u16> = (0..hosts).filter(|n| !partitioned.contains(n)).collect();
    let listed: Vec<_> = sound.iter().map(|n| candidate(*n, hall(*n), 200)).collect();
    let mut taken: HashMap<SocketAddr, u32> = HashMap::new();
    for host in partitioned {
        let mut table = Hosts::default();
        let mut rng = SmallRng::seed_from_u64(u64::from(*host));
        table.assign(listed.clone(), at(0));
        for _ in 0..60 {
            let chosen = table.choose(hall(*host), &[], &mut rng, at(100)).unwrap();
            *taken.entry(chosen).or_default() += 1;
            let has_own = sound.iter().any(|n| hall(*n) == hall(*host));
            let is_own = hall(chosen.port()) == hall(*host);
            assert!(is_own || !has_own);
        }
    }
    let most = taken.values().max().unwrap();
    assert!(*most <= 200, "{taken:?}");
}

/// Room is used up before hosts of other halls are asked, and nothing is chosen without room.
#[test]
fn room_is_never_exceeded() {
    let mut table = Hosts::default();
    let mut rng = SmallRng::seed_from_u64(1);
    table.assign(vec![candidate(1, "a", 3), candidate(2, "b", 2)], at(0));
    let mut choose = |table: &mut Hosts| table.choose("a", &[], &mut rng, at(1));
    let chosen: Vec<_> = (0..6).map(|_| choose(&mut table)).collect();
    assert_eq!(chosen[..3], [Some(addr(1)); 3]);
    assert_eq!(chosen[3..5], [Some(addr(2)); 2]);
    assert_eq!(chosen[5], None);
    table.assign(vec![candidate(1, "a", 1)], at(500));
    assert_eq!(choose(&mut table), Some(addr(1)));
}

/// A host that failed is passed over for growing times, also by a new list, and an old list is not used.
#[test]
fn failed_hosts_and_old_lists_are_passed_over() {
    let mut table = Hosts::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let listed = vec![candidate(1, "a", 9)];
    table.assign(listed.clone(), at(0));
    table.record_failure(addr(1), at(0));
    table.record_failure(addr(1), at(300));
    table.assign(listed, at(500));
    assert_eq!(table.choose("a", &[], &mut rng, at(800)), None);
    assert_eq!(table.choose("a", &[], &mut rng, at(900)), Some(addr(1)));
    assert_eq!(table.choose("a", &[addr(1)], &mut rng, at(900)), None);
    assert!(table.has_room(at(10_400)) && table.is_listed(addr(1), at(10_400)));
    assert!(!table.has_room(at(10_501)) && !table.is_listed(addr(1), at(10_501)));
}
