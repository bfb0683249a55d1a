//! A dispatcher of replicas that fall over when they turn too many requests away, in virtual time, with reports that
//! come late.

use proptest::prelude::*;
use route::dispatch::{Ask, Decision, Dispatcher, Notice, Outcome, Policy, Status, Ticket};
use rstest::rstest;
use std::collections::VecDeque;
use unit::{Span, Time};

/// Slots that the entry of the replica names.
const SLOTS: u32 = 8;

/// Time that an answer takes.
const WORK_MS: u64 = 30;

/// Time from the replica to the dispatcher, by way of the host.
const REPORT_MS: u64 = 6;

/// Window in which the replica counts what it turns away.
const WINDOW_MS: u64 = 1_000;

/// Length of a run.
const LENGTH_MS: u64 = 8_000;

/// When the replica says that it is brittle under too much demand, and when its room falls.
const WORD_MS: u64 = 500;
const FALL_MS: u64 = 3_500;

/// Time to learn the new room: one window in which all that is tolerated is spent, and one to prove what is left.
const LEARNING_MS: u64 = 2 * WINDOW_MS;

fn at(ms: u64) -> Time {
    Time(0) + Span::from_ms(100_000 + ms)
}

/// What is asked of the replica.
#[derive(Clone, Copy)]
struct Demand {
    /// Requests, as a multiple of what its slots hold.
    rate: f64,
    /// Requests that come at once.
    clump: f64,
    /// Time that an answer takes, in milliseconds.
    work_ms: u64,
    /// When the replica says that it is brittle.
    word_ms: u64,
    /// Whether hosts choose the replica for half of the requests, which then do not wait for a place.
    is_chosen: bool,
}

/// Five times what fits.
const TOO_MUCH: Demand = Demand {
    rate: 5.0,
    clump: 1.0,
    work_ms: WORK_MS,
    word_ms: WORD_MS,
    is_chosen: true,
};

/// Plays demand of five times what fits on one replica whose room falls; returns the most requests that it turned away
/// within a second, and the share of its room that was used once that could be known.
fn play(room: u32, tolerance: u32, seed: u64) -> (usize, f64) {
    let (most, served) = play_demand(TOO_MUCH, room, tolerance, seed);
    let due = u64::from(room) * (LENGTH_MS - FALL_MS - LEARNING_MS) / WORK_MS;
    (most, served as f64 / due.max(1) as f64)
}

/// Plays demand on one replica whose room falls; returns the most requests that it turned away within a second, and those
/// that it served once its room could be known.
fn play_demand(demand: Demand, room: u32, tolerance: u32, seed: u64) -> (usize, u64) {
    let mut dispatcher = Dispatcher::new(Policy { queue: 1 });
    dispatcher.set_replicas(&[(1, SLOTS, Status::Serving)], at(0));
    let mut running: VecDeque<(u64, Ticket)> = VecDeque::new();
    let mut reports: VecDeque<(u64, Ticket, Outcome)> = VecDeque::new();
    let (mut turned_away, mut served) = (Vec::new(), 0u64);
    let mut credit = 0.0;

    for ms in 0..LENGTH_MS {
        let now = at(ms);
        if ms == demand.word_ms {
            dispatcher.set_tolerances(&[(1, Some(tolerance))]);
        }
        let fits = if ms < FALL_MS { SLOTS } else { room };
        while running.front().is_some_and(|(end, _)| *end <= ms) {
            let (_, ticket) = running.pop_front().unwrap();
            served += u64::from(ms >= FALL_MS + LEARNING_MS);
            let took = Span::from_ms(demand.work_ms);
            reports.push_back((ms + REPORT_MS, ticket, Outcome::Served(took)));
        }
        let mut notices = dispatcher.advance(now);
        while reports.front().is_some_and(|(due, ..)| *due <= ms) {
            let (_, ticket, outcome) = reports.pop_front().unwrap();
            notices.extend(dispatcher.end(ticket, outcome, now));
        }
        credit += demand.rate * f64::from(SLOTS) / demand.work_ms as f64;
        let is_due = credit >= demand.clump;
        while is_due && credit >= 1.0 {
            credit -= 1.0;
            let number = (ms as u32) * 8 + credit as u32;
            let ticket = Ticket {
                host: ([10, 0, 0, (seed + ms) as u8], 1).into(),
                number,
            };
            notices.extend(dispatcher.ask(
                Ask {
                    ticket,
                    priority: 1,
                    target: now + Span::from_ms(300),
                    deadline: now + Span::from_ms(600),
                    account: 0,
                    avoid: Vec::new(),
                    only: (demand.is_chosen && ms % 2 == seed % 2).then_some(1),
                },
                now,
            ));
        }
        let granted = notices
            .iter()
            .filter(|n| matches!(n.decision, Decision::Grant(_)));
        for Notice { ticket, .. } in granted {
            if running.len() < fits as usize {
                running.push_back((ms + demand.work_ms, *ticket));
            } else {
                turned_away.push(ms);
                reports.push_back((ms + REPORT_MS, *ticket, Outcome::TurnedAway));
            }
        }
    }
    let within = |from: &u64| {
        let window = turned_away
            .iter()
            .filter(|ms| (*from..from + WINDOW_MS).contains(ms));
        window.count()
    };
    let most = turned_away.iter().map(within).max().unwrap_or_default();
    (most, served)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// However far the room falls below the slots, no more is turned away than the replica tolerates, and half of what is
    /// left is used.
    #[test]
    fn no_more_is_turned_away_than_is_tolerated(room in 0..=SLOTS, tolerance in 2..6u32, seed in 0..100u64) {
        let (most, used) = play(room, tolerance, seed);
        prop_assert!(most <= tolerance as usize, "{most} turned away");
        prop_assert!(room == 0 || used >= 0.5, "{used} used");
    }
}

/// A replica that tolerates one request, or none, is still used.
#[test]
fn a_replica_that_tolerates_nothing_is_not_left_idle() {
    for tolerance in [0, 1] {
        let (_, used) = play(SLOTS, tolerance, 1);
        assert!(used > 0.2, "{used} used with a tolerance of {tolerance}");
    }
}

/// Guards against replicas that tolerate a single request, and are never used for more than they held when they first said
/// so: a load that is half of what fits is served, and nothing beyond the tolerance is turned away.
#[test]
fn a_replica_that_tolerates_one_request_serves_what_fits() {
    let demand = Demand {
        rate: 0.5,
        clump: 2.0,
        work_ms: 100,
        word_ms: 0,
        is_chosen: false,
    };
    let (most, served) = play_demand(demand, SLOTS, 1, 1);
    let due = demand.rate * f64::from(SLOTS) * (LENGTH_MS - FALL_MS - LEARNING_MS) as f64 / 100.0;
    assert!(served as f64 >= 0.95 * due, "{served} of {due}");
    assert!(most <= 1, "{most} turned away");
}

/// Time between two grants to a replica that tolerates a single request: that of a host's report.
const GRANT_INTERVAL_MS: u64 = 15;

/// Guards against such a replica that turns a second request away within a second, while its room is looked for under too
/// much demand; half of what is left is used, as far as one grant after the other allows.
#[rstest]
fn a_replica_that_tolerates_one_request_turns_away_no_second_one(
    #[values(0, 1, 2, 3, 5, 7, 8)] room: u32,
    #[values(1, 2)] seed: u64,
) {
    let (most, used) = play(room, 1, seed);
    assert!(most <= 1, "{most} turned away");
    let usable = (WORK_MS as f64 / GRANT_INTERVAL_MS as f64 / f64::from(room)).min(1.0);
    assert!(room == 0 || used >= 0.5 * usable, "{used} used");
}
