//! The pruned search for the next step finds what an exhaustive one finds, with work that grows as the replicas.

use place::copies::{Model, Replica, Search, plan_by};
use proptest::prelude::*;

const STEPS: usize = 12;

fn model() -> impl Strategy<Value = Model> {
    let demand = prop_oneof![Just(0.0), 0.0..0.5, 0.5..6.0];
    (
        demand,
        0.0f64..1.0,
        prop_oneof![Just(0.0), 0.0..20.0],
        1u8..4,
    )
        .prop_map(|(demand, recent_demand, unserved_secs, size)| Model {
            memory_mb: 20.0 * f64::from(size),
            demand,
            recent_demand,
            unserved_secs,
            store_factor: 0.25,
            expected_demand: 0.01,
        })
}

fn replica(models: usize) -> impl Strategy<Value = Replica> {
    let some_models = || proptest::collection::btree_set(0..models, 0..4);
    (
        0.0f64..90.0,
        some_models(),
        some_models(),
        proptest::option::of(0..models),
        (proptest::bool::weighted(0.8), proptest::bool::weighted(0.9)),
        (0.0f64..1.2, proptest::option::weighted(0.2, 0.0f64..1.0)),
    )
        .prop_map(
            |(free_mb, held, cached, reserved_for, states, (utilization, capacity))| {
                let reserved_for = reserved_for.filter(|m| !held.contains(m));
                Replica {
                    free_mb,
                    held: held.into_iter().collect(),
                    incoming: reserved_for.into_iter().collect(),
                    reserved_for,
                    cached: cached.into_iter().collect(),
                    accepts_orders: states.0,
                    in_service: states.1,
                    utilization,
                    degraded_capacity: capacity,
                    ..Replica::default()
                }
            },
        )
}

fn fleet() -> impl Strategy<Value = (Vec<Model>, Vec<Replica>)> {
    (2usize..10).prop_flat_map(|models| {
        let replicas = proptest::collection::vec(replica(models), 1..24);
        (proptest::collection::vec(model(), models), replicas)
    })
}

proptest! {
    #[test]
    fn both_searches_plan_the_same_steps((models, replicas) in fleet(), store_loads in 0usize..8) {
        let plan = |search| plan_by(search, &replicas, &models, store_loads, STEPS);
        let (pruned, exhaustive) = (plan(Search::Pruned), plan(Search::Exhaustive));
        prop_assert_eq!(&pruned.steps, &exhaustive.steps);
        prop_assert!(pruned.evaluations <= exhaustive.evaluations);
    }
}

/// Fleet without spare memory in which a few models need more copies.
fn full_fleet(replicas: usize, models: usize) -> (Vec<Model>, Vec<Replica>) {
    let model = |m: usize| Model {
        memory_mb: 60.0,
        demand: if m.is_multiple_of(10) { 14.0 } else { 0.05 },
        recent_demand: 0.05,
        unserved_secs: 0.0,
        store_factor: 0.25,
        expected_demand: 0.0,
    };
    let replica = |r: usize| Replica {
        free_mb: 20.0,
        held: vec![r % models, (r + 1) % models, (r + 7) % models],
        accepts_orders: true,
        in_service: true,
        utilization: (r % 7) as f64 / 10.0,
        ..Replica::default()
    };
    (
        (0..models).map(model).collect(),
        (0..replicas).map(replica).collect(),
    )
}

/// A plan of a large fleet must not take longer than the demand lasts that it answers.
#[test]
fn a_step_evaluates_less_than_one_copy_a_replica_at_any_size() {
    for replicas in [250, 1_000, 2_000] {
        let (models, fleet) = full_fleet(replicas, 336.min(replicas / 4));
        let plan = plan_by(Search::Pruned, &fleet, &models, 20, 20);
        assert_eq!(plan.steps.len(), 20);
        let per_step = plan.evaluations as f64 / 20.0;
        assert!(
            per_step < replicas as f64,
            "{per_step} evaluations a step for {replicas} replicas"
        );
    }
}

/// Spare memory of a large fleet must not be filled from the weight store with models that nobody asks for.
#[test]
fn idle_models_get_a_bounded_number_of_copies_from_the_store() {
    let idle = Model {
        memory_mb: 60.0,
        demand: 0.0,
        recent_demand: 0.0,
        unserved_secs: 0.0,
        store_factor: 0.25,
        expected_demand: 0.0,
    };
    let empty = |n: usize| Replica {
        free_mb: 60.0,
        held: if n == 0 { vec![0] } else { Vec::new() },
        accepts_orders: true,
        in_service: true,
        ..Replica::default()
    };
    let copies = |count: usize, is_cached: bool| {
        let replica = |n| Replica {
            cached: if is_cached { vec![0] } else { Vec::new() },
            ..empty(n)
        };
        let replicas: Vec<Replica> = (0..count).map(replica).collect();
        let steps = plan_by(Search::Pruned, &replicas, &[idle], count, count).steps;
        steps.len() + 1
    };
    assert_eq!(copies(15, false), 15, "a small fleet is filled");
    assert_eq!(copies(200, false), copies(400, false));
    assert!(copies(400, false) < 25);
    assert_eq!(copies(400, true), 400);
}
