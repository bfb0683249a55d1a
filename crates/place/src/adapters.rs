//! Plans the prefetch of adapters into free adapter slots.

use std::collections::HashSet;

/// State of a replica that a plan is based on.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    /// Indices of the models it holds.
    pub models: Vec<usize>,
    /// Free adapter slots.
    pub free_slots: usize,
    /// Adapters it holds, as model index and adapter number from 1.
    pub adapters: Vec<(usize, u32)>,
    /// Whether it can take orders now.
    pub accepts_orders: bool,
}

/// Adapter to fetch: replica index, model index, and adapter number from 1.
pub type Fetch = (usize, usize, u32);

/// Plans at most `max_fetches` fetches of adapters that are on no replica, for models in the given order.
/// Each goes to the replica with the most free slots among those that hold its model. Nothing is evicted.
pub fn plan(
    replicas: &[Replica],
    counts: &[u32],
    order: &[usize],
    max_fetches: usize,
) -> Vec<Fetch> {
    let mut free: Vec<usize> = replicas
        .iter()
        .map(|r| if r.accepts_orders { r.free_slots } else { 0 })
        .collect();
    let held: HashSet<&(usize, u32)> = replicas.iter().flat_map(|r| &r.adapters).collect();
    let mut holders = vec![Vec::new(); counts.len()];
    for (r, replica) in replicas.iter().enumerate() {
        for model in &replica.models {
            holders[*model].push(r);
        }
    }
    let mut fetches = Vec::new();
    for model in order {
        for number in 1..=counts[*model] {
            if held.contains(&(*model, number)) {
                continue;
            }
            let holders = holders[*model].iter().copied();
            let Some(best) = holders.filter(|r| free[*r] > 0).max_by_key(|r| free[*r]) else {
                break;
            };
            free[best] -= 1;
            fetches.push((best, *model, number));
            if fetches.len() >= max_fetches {
                return fetches;
            }
        }
    }
    fetches
}
