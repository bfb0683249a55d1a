//! Adapters are fetched ahead into free places only.

use place::adapters::{Replica, plan};
use proptest::prelude::*;

fn replica(models: &[usize], free: usize) -> Replica {
    Replica {
        models: models.to_vec(),
        free_slots: free,
        adapters: Vec::new(),
        accepts_orders: true,
    }
}

#[test]
fn adapters_that_are_nowhere_go_to_holders_with_the_most_room() {
    let replicas = [replica(&[0], 1), replica(&[0], 3), replica(&[1], 9)];
    let fetches = plan(&replicas, &[3, 0], &[0, 1], 9);
    assert_eq!(fetches, [(1, 0, 1), (1, 0, 2), (1, 0, 3)]);
}

#[test]
fn what_is_somewhere_is_not_fetched_again() {
    let mut held = replica(&[0], 2);
    held.adapters = vec![(0, 1)];
    let fetches = plan(&[held, replica(&[0], 1)], &[2], &[0], 9);
    assert_eq!(fetches, [(0, 0, 2)]);
}

proptest! {
    #[test]
    fn no_place_is_given_twice(
        free in proptest::collection::vec(0usize..4, 1..6),
        counts in proptest::collection::vec(0u32..9, 1..4),
    ) {
        let models: Vec<usize> = (0..counts.len()).collect();
        let replicas: Vec<Replica> = free.iter().map(|f| replica(&models, *f)).collect();
        let fetches = plan(&replicas, &counts, &models, 100);
        for (r, free) in free.iter().enumerate() {
            let taken = fetches.iter().filter(|f| f.0 == r).count();
            prop_assert!(taken <= *free);
        }
        let mut seen = fetches.iter().map(|f| (f.1, f.2)).collect::<Vec<_>>();
        seen.sort_unstable();
        seen.dedup();
        prop_assert_eq!(seen.len(), fetches.len());
    }
}
