//! Places of a small service given out to 70 hosts by one dispatcher, in virtual time, beside hosts that choose alone
//! by sums that are some tens of milliseconds old, and beside one perfect queue.
//!
//! Guards against replicas that turn requests away in a burst, late or lost bookings, and a dispatcher that gives out
//! more places than there are.

#[path = "dispatch/fleet.rs"]
mod fleet;

use fleet::{Choice, Fault, Fleet, Result, Setup};
use proptest::prelude::*;
use route::dispatch::{Ask, Decision, Dispatcher, Notice, Outcome, Policy, Status, Ticket};
use rstest::rstest;
use std::collections::{HashMap, VecDeque};
use unit::{Span, Time};

const SLOTS: Choice = Choice::Dispatcher(Policy { queue: 0 });
const QUEUE: Choice = Choice::Dispatcher(Policy { queue: 1 });

fn play(choice: Choice, setup: Setup) -> Result {
    let result = Fleet::new(choice, setup).play();
    println!("{choice:?} {result:?}");
    result
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn in_a_burst_few_are_turned_away_and_as_many_are_in_time_as_by_one_queue(#[case] seed: u64) {
    let setup = Setup::burst(seed);
    let perfect = play(Choice::Perfect, setup.clone());
    let alone = play(Choice::Alone, setup.clone());
    let slots = play(SLOTS, setup.clone());
    let queue = play(QUEUE, setup);
    for dispatched in [&slots, &queue] {
        assert!(dispatched.turned_away * 100 < dispatched.arrivals);
        assert!(dispatched.refused < alone.refused);
        assert_eq!(dispatched.twice, 0);
    }
    assert!(queue.in_time >= slots.in_time);
    assert!(queue.in_time * 100 >= perfect.in_time * 97);
    assert!(queue.in_time > alone.in_time);
}

#[rstest]
fn a_noisy_replica_gets_less() {
    let setup = Setup {
        slow: Some((0, 2.5)),
        ..Setup::burst(4)
    };
    let result = play(QUEUE, setup.clone());
    let alone = play(Choice::Alone, setup);
    let others = result.by_replica[1..].iter().sum::<usize>() / 3;
    assert!(result.by_replica[0] * 3 < others * 2, "{result:?}");
    assert!(result.in_time > alone.in_time);
}

#[rstest]
#[case::lost_and_doubled(Fault::Lossy)]
#[case::replaced(Fault::Replaced)]
fn faults_cost_a_worse_choice_only(#[case] fault: Fault) {
    let setup = Setup::burst(5);
    let sound = play(QUEUE, setup.clone());
    let faulty = play(QUEUE, Setup { fault, ..setup });
    assert_eq!(faulty.twice, 0);
    assert!(faulty.turned_away * 50 < faulty.arrivals);
    assert!(faulty.in_time * 100 >= sound.in_time * 90, "{faulty:?}");
    assert_eq!(faulty.left_over, 0, "places are held for nothing");
}

/// Guards against requests that are lost at a replica which fails them all, since it is soon free again; it is tried one
/// at a time, and used again once it answers.
#[test]
fn a_failing_replica_gets_one_at_a_time() {
    let mut dispatcher = Dispatcher::new(Policy { queue: 1 });
    let mut now = Time(0) + Span::from_secs(100);
    dispatcher.set_replicas(&replicas(false), now);
    let mut sent = [0; 4];
    let mut running = VecDeque::new();
    let mut notices = Vec::new();
    for number in 0..600 {
        now = now + Span::from_ms(10);
        while running.len() > 7 {
            let (ticket, outcome) = running.pop_front().unwrap();
            notices.extend(dispatcher.end(ticket, outcome, now));
        }
        let ask = Ask {
            ticket: ticket(number),
            priority: 0,
            target: now + Span::from_ms(300),
            deadline: now + Span::from_ms(1_500),
            account: 0,
            avoid: Vec::new(),
            only: None,
        };
        notices.extend(dispatcher.ask(ask, now));
        for Notice { ticket, decision } in notices.drain(..) {
            let Decision::Grant(replica) = decision else {
                continue;
            };
            sent[replica as usize] += 1;
            let outcome = match replica == 1 && number < 300 {
                true => Outcome::Failed,
                false => Outcome::Served(Span::from_ms(60)),
            };
            running.push_back((ticket, outcome));
        }
        // What waits takes the place of the oldest.
        if dispatcher.waiting_count() > 0 {
            let (ticket, outcome) = running.pop_front().unwrap();
            notices = dispatcher.end(ticket, outcome, now);
        }
        if number == 299 {
            assert!(sent[1] < 60, "{sent:?}");
            sent = [0; 4];
        }
    }
    assert!(sent[1] > 45, "{sent:?}");
}

/// Step of a random play against one dispatcher.
#[derive(Debug, Clone)]
enum Step {
    Ask {
        priority: u8,
        target_ms: u64,
        avoid: bool,
    },
    AskAgain(usize),
    End {
        index: usize,
        took_ms: u64,
    },
    Leave(bool),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u8, 100..400u64, any::<bool>())
            .prop_map(|(priority, target_ms, avoid)| Step::Ask { priority, target_ms, avoid }),
        1 => any::<usize>().prop_map(Step::AskAgain),
        3 => (any::<usize>(), 50..90u64).prop_map(|(index, took_ms)| Step::End { index, took_ms }),
        1 => any::<bool>().prop_map(Step::Leave),
        2 => (1..60u64).prop_map(Step::Pass),
    ]
}

fn ticket(number: usize) -> Ticket {
    let host = ([10, 0, 0, (number % 70) as u8], 1).into();
    let number = number as u32;
    Ticket { host, number }
}

/// Replicas 1 to 3; the third one may leave.
fn replicas(leaves: bool) -> Vec<(u32, u32, Status)> {
    let status = |leaves| {
        if leaves {
            Status::Away
        } else {
            Status::Serving
        }
    };
    vec![
        (1, 2, Status::Serving),
        (2, 2, Status::Serving),
        (3, 2, status(leaves)),
    ]
}

proptest! {
    #[test]
    fn places_and_order_hold(steps in prop::collection::vec(step(), 1..200), queue in 0..2u32) {
        let mut dispatcher = Dispatcher::new(Policy { queue });
        let mut now = Time(0) + Span::from_secs(100);
        dispatcher.set_replicas(&replicas(false), now);
        let mut leaves = false;
        let mut asked: Vec<Ask> = Vec::new();
        let mut waiting: HashMap<Ticket, Ask> = HashMap::new();
        let mut granted: Vec<Ticket> = Vec::new();
        for step in steps {
            let notices = match step {
                Step::Ask { priority, target_ms, avoid } => {
                    let ask = Ask {
                        ticket: ticket(asked.len()),
                        priority,
                        target: now + Span::from_ms(target_ms),
                        deadline: now + Span::from_ms(target_ms * 10),
                        account: 0,
                        avoid: if avoid { vec![1] } else { Vec::new() },
                        only: None,
                    };
                    asked.push(ask.clone());
                    waiting.insert(ask.ticket, ask.clone());
                    dispatcher.ask(ask, now)
                }
                Step::AskAgain(_) if asked.is_empty() => continue,
                Step::AskAgain(index) => {
                    let ask = asked[index % asked.len()].clone();
                    let again = dispatcher.ask(ask.clone(), now);
                    // What was refused is asked anew, and what was granted keeps its place.
                    if !granted.contains(&ask.ticket) && !again.is_empty() {
                        waiting.insert(ask.ticket, ask);
                    }
                    again
                }
                Step::End { .. } if granted.is_empty() => continue,
                Step::End { index, took_ms } => {
                    let ended = granted.remove(index % granted.len());
                    waiting.remove(&ended);
                    dispatcher.end(ended, Outcome::Served(Span::from_ms(took_ms)), now)
                }
                Step::Leave(value) => {
                    leaves = value;
                    dispatcher.set_replicas(&replicas(leaves), now)
                }
                Step::Pass(ms) => {
                    now = now + Span::from_ms(ms);
                    dispatcher.advance(now)
                }
            };
            for Notice { ticket, decision } in notices {
                match decision {
                    Decision::Grant(_) if granted.contains(&ticket) => {}
                    Decision::Grant(replica) => {
                        prop_assert!(!(leaves && replica == 3));
                        let ask = waiting.remove(&ticket).expect("only what waits is granted");
                        prop_assert!(!ask.avoid.contains(&replica));
                        let overtaken = waiting.values().find(|other| {
                            other.priority < ask.priority && !other.avoid.contains(&replica)
                        });
                        prop_assert!(overtaken.is_none(), "{ask:?} before {overtaken:?}");
                        granted.push(ticket);
                    }
                    Decision::Wait => {}
                    Decision::Refuse(_) | Decision::Unable => drop(waiting.remove(&ticket)),
                }
            }
            // Waits of silent hosts end by time; grants too.
            if dispatcher.granted_count() < granted.len() || dispatcher.waiting_count() < waiting.len() {
                break;
            }
            for key in 1..=3 {
                prop_assert!(dispatcher.granted_at(key) <= dispatcher.places(key, now));
            }
        }
    }
}
