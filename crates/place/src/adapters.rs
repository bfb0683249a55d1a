//! Plans the prefetch of adapters into free adapter slots: those on no replica, and further copies of busy ones.

use std::collections::HashSet;

/// Recent uses of an adapter, for each replica that holds it, from which it gets a further copy.
const USES_PER_COPY: f64 = 2.0;

/// Free slots that further copies leave on a replica, for adapters that requests ask for.
const RESERVED_SLOTS: usize = 2;

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

/// Plans at most `max_fetches` further copies of adapters with recent uses, the busiest by copy first: one for each
/// adapter, on the replica with the most free slots among those that hold its model. Requests for a busy adapter
/// then have as many replicas to go to as its model has, and losing one replica leaves others. Nothing is evicted.
pub fn spread(
    replicas: &[Replica],
    uses: &[((usize, u32), f64)],
    max_fetches: usize,
) -> Vec<Fetch> {
    let mut free: Vec<usize> = replicas.iter().map(spare_slots).collect();
    let by_copy = |(adapter, uses): &((usize, u32), f64)| {
        let copies = replicas.iter().filter(|r| r.adapters.contains(adapter));
        (*adapter, uses / copies.count() as f64)
    };
    let mut busy: Vec<_> = uses.iter().map(by_copy).collect();
    // An adapter without a copy is fetched when it is asked for.
    busy.retain(|(_, uses)| uses.is_finite() && *uses >= USES_PER_COPY);
    busy.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    let mut fetches = Vec::new();
    for ((model, number), _) in busy {
        let lacks =
            |r: &Replica| r.models.contains(&model) && !r.adapters.contains(&(model, number));
        let candidates = (0..replicas.len()).filter(|r| free[*r] > 0 && lacks(&replicas[*r]));
        if let Some(best) = candidates.max_by_key(|r| free[*r]) {
            free[best] -= 1;
            fetches.push((best, model, number));
        }
        if fetches.len() >= max_fetches {
            break;
        }
    }
    fetches
}

fn spare_slots(replica: &Replica) -> usize {
    match replica.accepts_orders {
        true => replica.free_slots.saturating_sub(RESERVED_SLOTS),
        false => 0,
    }
}
