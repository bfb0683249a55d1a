//! Safety of placement under random interleavings of two planners, lost, delayed, duplicated and reordered
//! orders, engine restarts, ledger writes without an answer, and changes of the bundle.
//!
//! After every step the actual state of the engines must show no overcommitted memory, and no model that lost
//! its last ready replica other than by a restart. Each guard is also disabled in turn, and a run must then
//! fail.

mod world;

use rstest::rstest;
use world::{Guards, World};

/// Steps of one run.
const STEPS: usize = 400;

/// Default number of runs; `COVEFORD_SEEDS` overrides it.
const SEEDS: u64 = 300;

fn seeds() -> u64 {
    let more = std::env::var("COVEFORD_SEEDS").ok();
    more.and_then(|n| n.parse().ok()).unwrap_or(SEEDS)
}

/// Returns the first violation in a run.
fn run(seed: u64, guards: Guards) -> Option<String> {
    let mut world = World::new(seed, guards);
    for step in 0..STEPS {
        world.step();
        if let Some(violation) = world.violation() {
            return Some(format!("seed {seed}, step {step}: {violation}"));
        }
    }
    None
}

#[test]
fn memory_is_never_overcommitted_and_ready_models_stay_ready() {
    let mut orders = 0;
    let mut loads = 0;
    for seed in 0..seeds() {
        let mut world = World::new(seed, Guards::ALL);
        for step in 0..STEPS {
            world.step();
            let violation = world.violation();
            let trace = || world.trace.join("\n");
            assert_eq!(violation, None, "seed {seed}, step {step}\n{}", trace());
        }
        orders += world.orders_sent;
        loads += world.loads_completed;
    }
    // Guards against runs that pass because nothing happens in them.
    assert!(orders > 20 * seeds(), "{orders} orders were sent");
    assert!(loads > 5 * seeds(), "{loads} loads completed");
}

#[rstest]
#[case::orders_are_reserved_before_they_are_sent(Guards { reservation: false, ..Guards::ALL })]
#[case::an_unanswered_order_stays_in_doubt(Guards { in_doubt: false, ..Guards::ALL })]
#[case::an_order_reaches_only_its_incarnation(Guards { incarnation_binding: false, ..Guards::ALL })]
#[case::an_older_report_is_ignored(Guards { report_order: false, ..Guards::ALL })]
#[case::the_ledger_is_written_by_compare_and_swap(Guards { compare_and_swap: false, ..Guards::ALL })]
#[case::fencing_engines_reject_old_orders(Guards { fencing: false, ..Guards::ALL })]
#[case::a_write_without_an_answer_is_resolved_before_orders_are_sent(Guards { lost_write_recovery: false, ..Guards::ALL })]
fn each_guard_matters(#[case] guards: Guards) {
    let found = (0..20 * SEEDS).find_map(|seed| run(seed, guards));
    let found = found.expect("some run must fail without the guard");
    println!("without the guard: {found}");
}
