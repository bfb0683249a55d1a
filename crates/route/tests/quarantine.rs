//! Loads in which one request ends each replica that begins to run it, beside others that are asked for now and then,
//! or all the time. No network: the ledger that a leader keeps, in virtual time.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::quarantine::{Ended, Fall, KEPT_OUT_FOR, Ledger, Permit, Standing, Ticket};
use rstest::rstest;
use unit::{Fingerprint, Span, Time};

const FATAL: Fingerprint = Fingerprint(1);
const POPULAR: Fingerprint = Fingerprint(2);
const ANY: Ticket = Ticket(7);

fn at(ms: u64) -> Time {
    Time(0) + Span::from_ms(1_000_000 + ms)
}

#[test]
fn the_third_fall_on_trial_keeps_a_request_out() {
    let mut ledger = Ledger::default();
    for fall in 0..2 {
        assert_eq!(ledger.ask(FATAL, ANY, at(fall)), Permit::Free);
        ledger.fell(Fall(fall), &[FATAL, POPULAR], at(fall));
    }
    assert_eq!(ledger.ask(FATAL, ANY, at(10)), Permit::Trial);
    ledger.trial_ended(FATAL, Ended::Broken, at(20));
    assert_eq!(ledger.ask(FATAL, ANY, at(21)), Permit::Wait);
    ledger.fell(Fall(2), &[FATAL], at(50));
    assert!(matches!(ledger.ask(FATAL, ANY, at(60)), Permit::KeptOut(_)));
    assert_eq!(ledger.listed(at(60)).len(), 2);
}

#[test]
fn a_request_that_ends_well_anywhere_is_cleared() {
    let mut ledger = Ledger::default();
    for fall in 0..5 {
        ledger.fell(Fall(fall), &[POPULAR], at(fall));
    }
    assert_eq!(ledger.standing(POPULAR, at(5)), Standing::Suspected);
    assert!(ledger.ended_well(POPULAR));
    // Each fall is told more than once, and later.
    for fall in 0..5 {
        ledger.fell(Fall(fall), &[POPULAR], at(10 + fall));
    }
    assert_eq!(ledger.ask(POPULAR, ANY, at(20)), Permit::Free);
}

#[test]
fn one_fall_told_by_many_hosts_counts_once() {
    let mut ledger = Ledger::default();
    for host in 0..8 {
        ledger.fell(Fall(7), &[POPULAR], at(host));
    }
    assert_eq!(ledger.standing(POPULAR, at(9)), Standing::Clear);
}

#[test]
fn no_two_suspects_are_tried_at_a_time() {
    let mut ledger = Ledger::default();
    for fall in 0..2 {
        ledger.fell(Fall(fall), &[FATAL, POPULAR], at(fall));
    }
    assert_eq!(ledger.ask(POPULAR, ANY, at(5)), Permit::Trial);
    assert_eq!(ledger.ask(FATAL, ANY, at(6)), Permit::Wait);
    assert_eq!(ledger.ask(POPULAR, Ticket(8), at(6)), Permit::Wait);
    ledger.ended_well(POPULAR);
    assert_eq!(ledger.ask(POPULAR, ANY, at(301)), Permit::Free);
    assert_eq!(ledger.ask(FATAL, ANY, at(301)), Permit::Trial);
}

/// A host that dies with a trial in hand does not keep the others from being tried for good.
#[test]
fn a_trial_that_nobody_ends_is_over_in_time() {
    let mut ledger = Ledger::default();
    for fall in 0..2 {
        ledger.fell(Fall(fall), &[FATAL], at(fall));
    }
    assert_eq!(ledger.ask(FATAL, ANY, at(5)), Permit::Trial);
    assert_eq!(ledger.ask(FATAL, ANY, at(6)), Permit::Trial, "asked again");
    assert_eq!(ledger.ask(FATAL, Ticket(8), at(14_000)), Permit::Wait);
    assert_eq!(ledger.ask(FATAL, ANY, at(16_000)), Permit::Trial);
}

/// The falls are found by nobody: the replica is back before anyone looks.
#[test]
fn trials_that_always_break_off_are_not_repeated_without_end() {
    let mut ledger = Ledger::default();
    for fall in 0..2 {
        ledger.fell(Fall(fall), &[FATAL], at(fall));
    }
    let mut trials = 0;
    for step in 0..200 {
        let now = at(10 + step * 100);
        if ledger.ask(FATAL, ANY, now) == Permit::Trial {
            trials += 1;
            ledger.trial_ended(FATAL, Ended::Broken, now);
        }
    }
    assert_eq!(trials, 3);
}

#[test]
fn what_an_earlier_leader_held_holds_on() {
    let mut ledger = Ledger::default();
    ledger.restore(FATAL, true, at(0));
    assert!(matches!(ledger.ask(FATAL, ANY, at(1)), Permit::KeptOut(_)));
    ledger.lift(FATAL);
    assert_eq!(ledger.ask(FATAL, ANY, at(2)), Permit::Free);
}

#[test]
fn a_request_that_was_kept_out_has_one_trial_after_its_time() {
    let mut ledger = Ledger::default();
    ledger.restore(FATAL, true, at(0));
    let later = at(1) + KEPT_OUT_FOR;
    assert_eq!(ledger.ask(FATAL, ANY, later), Permit::Trial);
    ledger.fell(Fall(9), &[FATAL], later + Span::from_ms(50));
    let next = ledger.ask(FATAL, ANY, later + Span::from_secs(60));
    assert!(matches!(next, Permit::KeptOut(_)));
}

#[test]
fn what_is_remembered_is_bounded_and_keeps_what_is_kept_out() {
    let mut ledger = Ledger::default();
    ledger.restore(FATAL, true, at(0));
    for other in 0..20_000 {
        ledger.fell(Fall(other), &[Fingerprint(100 + other)], at(other));
    }
    assert!(ledger.len() <= 4_096);
    assert_eq!(ledger.standing(FATAL, at(20_000)), Standing::KeptOut);
}

/// What is held is forgotten with its falls, also where nobody asks for the list.
#[test]
fn what_is_suspected_is_forgotten_in_time() {
    let mut ledger = Ledger::default();
    for fall in 0..2 {
        ledger.fell(Fall(fall), &[POPULAR], at(fall));
    }
    assert!(ledger.holds_any());
    assert!(ledger.listed(at(601_000)).is_empty());
    assert!(!ledger.holds_any() && ledger.is_empty());
}

/// What came of a load.
#[derive(Debug, Default)]
struct Outcome {
    falls: u32,
    served: u32,
    turned_away: u32,
}

/// Ways to stop such a request.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// Trials, as the ledger has them.
    Trials,
    /// Keeping out whatever was in flight at three falls.
    Count,
}

/// Twenty seconds: the fatal request comes at times of its own; a popular one, some of whose runs are in flight at
/// each fall, comes `rate` times a second, and runs for 600 ms.
fn play(way: Way, rate: u64, fatal_each: u64, seed: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut ledger = Ledger::default();
    let mut falls_of_popular = 0;
    let mut outcome = Outcome::default();
    let mut running: Vec<u64> = Vec::new();
    let mut next_fatal = 500;
    for ms in 0..20_000_u64 {
        let now = at(ms);
        let ended = running.iter().filter(|end| **end == ms).count() as u32;
        running.retain(|end| *end > ms);
        outcome.served += ended;
        if ended > 0 {
            ledger.ended_well(POPULAR);
        }
        if random.random_range(0..1_000) < rate {
            let permit = match way {
                Way::Trials => ledger.ask(POPULAR, Ticket(ms), now),
                Way::Count if falls_of_popular >= 3 => Permit::Wait,
                Way::Count => Permit::Free,
            };
            match permit {
                Permit::Free | Permit::Trial => running.push(ms + 600),
                Permit::Wait | Permit::KeptOut(_) => outcome.turned_away += 1,
            }
        }
        if ms != next_fatal {
            continue;
        }
        next_fatal += random.random_range(fatal_each / 2..fatal_each * 2);
        let permit = match way {
            Way::Trials => ledger.ask(FATAL, Ticket(ms), now),
            Way::Count if outcome.falls >= 3 => Permit::Wait,
            Way::Count => Permit::Free,
        };
        if matches!(permit, Permit::Free | Permit::Trial) {
            outcome.falls += 1;
            // A third of what runs is at that replica.
            let aboard = running.len().div_ceil(3);
            running.drain(..aboard);
            let beside = (aboard > 0).then_some(POPULAR);
            falls_of_popular += u32::from(aboard > 0);
            let aboard: Vec<Fingerprint> = beside.into_iter().chain([FATAL]).collect();
            ledger.fell(Fall(u64::from(outcome.falls)), &aboard, now);
        }
    }
    outcome
}

/// The fatal request ends three replicas, and of what is popular no more than one in twenty is turned away.
#[rstest]
fn what_is_popular_stays_served(
    #[values(20, 60, 200)] rate: u64,
    #[values(300, 1_200)] fatal_each: u64,
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let outcome = play(Way::Trials, rate, fatal_each, seed);
    assert_eq!(outcome.falls, 3, "{outcome:?}");
    let share = f64::from(outcome.turned_away) / f64::from(outcome.served);
    assert!(share <= 0.05, "{outcome:?}");
}

/// Why falls alone are not enough: what is popular is kept out with the request that it ran beside.
#[test]
fn counting_falls_alone_keeps_out_what_is_popular() {
    let outcome = play(Way::Count, 60, 1_200, 1);
    assert!(outcome.turned_away > outcome.served, "{outcome:?}");
}
