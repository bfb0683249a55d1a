//! Plans of model copies: required models first, then demand, then spare memory.

use place::copies::{Model, Replica, Step, plan};
use proptest::prelude::*;
use rstest::rstest;

fn model(demand: f64) -> Model {
    Model {
        memory_mb: 40.0,
        demand,
        recent_demand: demand,
        unserved_secs: 0.0,
        store_factor: 0.25,
        expected_demand: 0.0,
    }
}

fn replica(held: &[usize], free_mb: f64) -> Replica {
    Replica {
        free_mb,
        held: held.to_vec(),
        cached: Vec::new(),
        accepts_orders: true,
        unloading: false,
        incoming: Vec::new(),
        recently_loaded: Vec::new(),
        reserved_for: None,
        in_service: true,
        utilization: 0.0,
        degraded_capacity: None,
    }
}

fn with_capacity(capacity: f64, replica: Replica) -> Replica {
    Replica {
        degraded_capacity: Some(capacity),
        ..replica
    }
}

/// Guards against counting a copy on a replica of reduced capacity as a full one.
#[test]
fn a_model_whose_only_copy_is_on_a_degraded_replica_gets_another() {
    let models = [model(0.5), model(0.5)];
    let healthy = replica(&[0], 0.0);
    let degraded = with_capacity(0.05, replica(&[1], 0.0));
    let empty = replica(&[], 40.0);
    let steps = plan(&[healthy, degraded, empty], &models, 1, 1);
    let load = Step::Load {
        replica: 2,
        model: 1,
        from_store: true,
    };
    assert_eq!(steps, [load]);
}

/// The only copy at full capacity is not evicted, and a new copy goes to a replica of full capacity.
#[test]
fn a_copy_counts_by_the_capacity_of_its_replica() {
    let models = [model(2.0), model(0.5)];
    let healthy = replica(&[1], 0.0);
    let degraded = with_capacity(0.05, replica(&[1], 0.0));
    let other = replica(&[0], 0.0);
    assert_eq!(plan(&[healthy.clone(), degraded, other], &models, 1, 3), []);
    let models = [model(2.0)];
    let degraded = with_capacity(0.05, replica(&[], 40.0));
    let steps = plan(
        &[replica(&[0], 0.0), degraded, replica(&[], 40.0)],
        &models,
        1,
        1,
    );
    assert!(
        matches!(steps[..], [Step::Load { replica: 2, .. }]),
        "{steps:?}"
    );
}

#[test]
fn a_model_without_a_copy_is_loaded_first() {
    let models = [model(3.0), model(0.0), model(0.0)];
    let replicas = [replica(&[0], 50.0), replica(&[1], 10.0)];
    let steps = plan(&replicas, &models, 1, 1);
    let first = Step::Load {
        replica: 0,
        model: 2,
        from_store: true,
    };
    assert_eq!(steps, [first]);
}

#[test]
fn a_model_without_demand_is_evicted_for_unserved_demand() {
    let models = [model(3.0), model(0.0)];
    let replicas = [replica(&[0, 1], 0.0), replica(&[1], 0.0)];
    let steps = plan(&replicas, &models, 1, 4);
    let unload = Step::Unload {
        replica: 1,
        models: vec![1],
        replacement: 0,
    };
    assert_eq!(steps, [unload]);
}

/// Guards against equal copies for unequal demand, and against copies in proportion to demand, which leave the
/// other models too few when demand shifts.
#[rstest]
#[case::the_busiest_model_comes_first(1, 1)]
#[case::it_has_as_many_as_the_root_of_its_demand(2, 1)]
#[case::it_has_one_more_than_that(3, 0)]
#[case::it_has_as_many_as_its_demand(4, 0)]
fn copies_grow_with_the_square_root_of_demand(#[case] copies: usize, #[case] expected: usize) {
    let models = [model(3.0), model(12.0)];
    let mut replicas = vec![replica(&[1], 10.0); copies];
    replicas.push(replica(&[0], 10.0));
    replicas.push(replica(&[], 50.0));
    let steps = plan(&replicas, &models, 1, 1);
    let load = Step::Load {
        replica: copies + 1,
        model: expected,
        from_store: true,
    };
    assert_eq!(steps, [load]);
}

#[test]
fn free_memory_is_kept_for_a_load_that_waits_for_the_weight_store() {
    let models = [model(6.0), model(0.0)];
    let mut with_cache = replica(&[], 50.0);
    with_cache.cached = vec![1];
    let replicas = [replica(&[0], 10.0), replica(&[1], 10.0), with_cache];
    assert!(plan(&replicas, &models, 0, 9).is_empty());
    let steps = plan(&replicas, &models, 1, 1);
    assert!(
        matches!(
            steps[..],
            [Step::Load {
                replica: 2,
                model: 0,
                ..
            }]
        ),
        "{steps:?}"
    );
}

/// Guards against evicting the busiest model for one without demand.
#[test]
fn a_missing_model_displaces_the_copy_with_the_least_loss() {
    let models = [model(1.0), model(0.0), model(0.0)];
    let mut with_cache = replica(&[0], 0.0);
    with_cache.cached = vec![2];
    let mut busy = replica(&[1], 0.0);
    busy.utilization = 0.9;
    let replicas = [with_cache.clone(), with_cache, busy.clone(), busy];
    let steps = plan(&replicas, &models, 1, 1);
    let unload = Step::Unload {
        replica: 2,
        models: vec![1],
        replacement: 2,
    };
    assert_eq!(steps, [unload]);
}

#[test]
fn a_copy_goes_to_the_least_busy_replica() {
    let models = [model(4.0), model(1.0), model(0.2)];
    let replicas = [
        replica(&[1], 50.0),
        replica(&[2], 50.0),
        replica(&[0], 10.0),
    ];
    let steps = plan(&replicas, &models, 1, 1);
    let load = Step::Load {
        replica: 1,
        model: 0,
        from_store: true,
    };
    assert_eq!(steps, [load]);
}

/// Guards against unloads on most replicas at once, which then take no other order while demand shifts.
#[test]
fn few_replicas_unload_at_the_same_time() {
    let models: Vec<Model> = (0..24)
        .map(|m| model(if m < 12 { 9.0 } else { 0.0 }))
        .collect();
    let replicas: Vec<Replica> = (0..24)
        .map(|r| replica(&[r % 12, 12 + r % 12], 0.0))
        .collect();
    let unloads = |replicas: &[Replica]| {
        let steps = plan(replicas, &models, 24, 24);
        let unloads = steps.iter().filter(|s| matches!(s, Step::Unload { .. }));
        unloads.count()
    };
    assert_eq!(unloads(&replicas), 4);
    let mut unloading = replicas.clone();
    for replica in &mut unloading[..3] {
        replica.accepts_orders = false;
        replica.unloading = true;
    }
    assert_eq!(unloads(&unloading), 1);
}

#[test]
fn a_missing_model_is_exempt_from_the_limit_on_unloads() {
    let models = [model(9.0), model(0.0), model(0.0)];
    let mut unloading = replica(&[0], 10.0);
    unloading.accepts_orders = false;
    unloading.unloading = true;
    let replicas = [unloading, replica(&[0, 1], 0.0), replica(&[0, 1], 0.0)];
    let steps = plan(&replicas, &models, 9, 1);
    assert!(
        matches!(steps[..], [Step::Unload { replacement: 2, .. }]),
        "{steps:?}"
    );
}

/// Guards against several replicas making room for the same missing model.
#[test]
fn room_is_made_once_for_a_missing_model() {
    let models = [model(0.1), model(0.1), model(0.0)];
    let mut unloading = replica(&[0], 10.0);
    unloading.accepts_orders = false;
    unloading.unloading = true;
    unloading.incoming = vec![2];
    let replicas = [unloading, replica(&[0, 1], 0.0), replica(&[0, 1], 0.0)];
    assert!(plan(&replicas, &models, 9, 1).is_empty());
}

#[test]
fn an_incoming_copy_does_not_permit_evicting_the_last_loaded_one() {
    let models = [model(9.0), model(0.0)];
    let mut unloading = replica(&[], 10.0);
    unloading.accepts_orders = false;
    unloading.unloading = true;
    unloading.incoming = vec![1];
    let replicas = [unloading, replica(&[1], 0.0)];
    assert!(plan(&replicas, &models, 9, 1).is_empty());
}

#[test]
fn the_last_copy_is_not_evicted_for_a_further_copy() {
    let models = [model(9.0), model(0.0)];
    let replicas = [replica(&[0], 0.0), replica(&[1], 0.0)];
    assert!(plan(&replicas, &models, 9, 9).is_empty());
}

#[test]
fn a_copy_on_a_leaving_replica_does_not_count() {
    let models = [model(0.0)];
    let mut leaving = replica(&[0], 0.0);
    leaving.in_service = false;
    let replicas = [leaving, replica(&[], 50.0)];
    let steps = plan(&replicas, &models, 1, 9);
    assert_eq!(steps.len(), 1);
}

#[test]
fn without_store_loads_only_cached_models_are_loaded() {
    let models = [model(0.0), model(0.0)];
    let mut with_cache = replica(&[0], 100.0);
    with_cache.cached = vec![1];
    let replicas = [with_cache, replica(&[1], 100.0)];
    let steps = plan(&replicas, &models, 0, 9);
    assert!(!steps.is_empty());
    for step in steps {
        assert!(
            !matches!(
                step,
                Step::Load {
                    from_store: true,
                    ..
                }
            ),
            "{step:?}"
        );
    }
}

proptest! {
    /// With any demand, steps never exceed memory, evict no last copy while there are slots for all models
    /// (two on each replica), and come to an end.
    #[test]
    fn plans_are_safe_and_converge(
        demands in proptest::collection::vec(0.0f64..6.0, 2..8),
        count in 2usize..7,
    ) {
        let models: Vec<Model> = demands.into_iter().map(model).collect();
        let mut replicas: Vec<Replica> = (0..count).map(|_| replica(&[], 100.0)).collect();
        let mut converged = false;
        for _ in 0..80 {
            let before: Vec<bool> = loaded_models(&replicas, models.len());
            let steps = plan(&replicas, &models, 3, count);
            converged = steps.is_empty();
            for step in steps {
                match step {
                    Step::Load { replica, model, .. } => {
                        replicas[replica].free_mb -= models[model].memory_mb;
                        replicas[replica].held.push(model);
                        prop_assert!(replicas[replica].free_mb >= 0.0);
                    }
                    Step::Unload { replica, models: gone, .. } => {
                        let freed: f64 = gone.iter().map(|m| models[*m].memory_mb).sum();
                        replicas[replica].free_mb += freed;
                        replicas[replica].held.retain(|m| !gone.contains(m));
                    }
                }
            }
            let after = loaded_models(&replicas, models.len());
            for (before, after) in before.iter().zip(after).filter(|_| models.len() <= 2 * count) {
                prop_assert!(!before || after, "a model lost its last copy");
            }
        }
        prop_assert!(converged, "the plan does not converge");
    }
}

fn loaded_models(replicas: &[Replica], models: usize) -> Vec<bool> {
    let holds = |m| replicas.iter().any(|r| r.held.contains(&m));
    (0..models).map(holds).collect()
}
