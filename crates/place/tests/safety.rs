//! Safety of placement under random interleavings: two planners that pause, race and are taken
//! over; orders lost, late, doubled and reordered; engines that restart; writes of the ledger
//! whose answers are lost and that land later; bundles rolled meanwhile.
//!
//! The invariants are checked after every step on the engines' true state: memory is never
//! overcommitted (the engines here obey anything), and a served model that was ready somewhere
//! loses its last ready replica only by a restart. Each guard is taken out in turn, to show that
//! the check then fails.

mod world;

use rstest::rstest;
use world::{Guards, World};

/// Steps of one run.
const STEPS: usize = 400;

/// Runs in CI; `COVEFORD_SEEDS` asks for more.
const SEEDS: u64 = 300;

fn seeds() -> u64 {
    let more = std::env::var("COVEFORD_SEEDS").ok();
    more.and_then(|n| n.parse().ok()).unwrap_or(SEEDS)
}

/// First violation of a run, if there is one.
fn run(seed: u64, guards: Guards) -> Option<String> {
    let mut world = World::new(seed, guards);
    for step in 0..STEPS {
        world.step();
        if let Some(broken) = world.broken() {
            return Some(format!("seed {seed}, step {step}: {broken}"));
        }
    }
    None
}

#[test]
fn nothing_is_overcommitted_and_nothing_becomes_unreachable() {
    let mut orders = 0;
    let mut loads = 0;
    for seed in 0..seeds() {
        let mut world = World::new(seed, Guards::ALL);
        for step in 0..STEPS {
            world.step();
            let broken = world.broken();
            let trace = || world.trace.join("\n");
            assert_eq!(broken, None, "seed {seed}, step {step}\n{}", trace());
        }
        orders += world.orders_sent;
        loads += world.loads_landed;
    }
    // The runs must have done something for their silence to mean anything.
    assert!(orders > 20 * seeds(), "{orders} orders were sent");
    assert!(loads > 5 * seeds(), "{loads} loads landed");
}

#[rstest]
#[case::orders_are_reserved_before_they_are_sent(Guards { reserve: false, ..Guards::ALL })]
#[case::an_unanswered_order_stays_in_doubt(Guards { doubt: false, ..Guards::ALL })]
#[case::an_order_dies_with_its_incarnation(Guards { bound: false, ..Guards::ALL })]
#[case::an_older_report_is_not_acted_on(Guards { seen: false, ..Guards::ALL })]
#[case::the_ledger_is_written_by_compare_and_swap(Guards { swap: false, ..Guards::ALL })]
#[case::fencing_engines_refuse_old_orders(Guards { fences: false, ..Guards::ALL })]
#[case::a_lost_write_is_settled_before_sending(Guards { settle: false, ..Guards::ALL })]
fn each_guard_matters(#[case] guards: Guards) {
    let found = (0..20 * SEEDS).find_map(|seed| run(seed, guards));
    let found = found.expect("without the guard some run must break");
    println!("without the guard: {found}");
}
