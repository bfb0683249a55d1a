//! Which adapters to fetch ahead of requests, into places that are free.

/// Replica as the plan sees it.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    /// Models that it holds, by index.
    pub models: Vec<usize>,
    /// Places for adapters that nothing takes.
    pub free_slots: usize,
    /// Adapters that it holds, as model and number from 1.
    pub adapters: Vec<(usize, u32)>,
    /// Whether it takes orders now.
    pub accepts_orders: bool,
}

/// Adapter to be fetched: replica, model and number from 1.
pub type Fetch = (usize, usize, u32);

/// Plans at most `most` fetches of adapters that are nowhere: for models by `order`, each onto the
/// holder of its model with the most free places. Nothing makes room for another here.
pub fn plan(replicas: &[Replica], counts: &[u32], order: &[usize], most: usize) -> Vec<Fetch> {
    let mut free: Vec<usize> = replicas
        .iter()
        .map(|r| if r.accepts_orders { r.free_slots } else { 0 })
        .collect();
    let mut fetches = Vec::new();
    for model in order {
        for number in 1..=counts[*model] {
            let key = (*model, number);
            if replicas.iter().any(|r| r.adapters.contains(&key)) {
                continue;
            }
            let holders = (0..replicas.len()).filter(|r| replicas[*r].models.contains(model));
            let Some(best) = holders.filter(|r| free[*r] > 0).max_by_key(|r| free[*r]) else {
                break;
            };
            free[best] -= 1;
            fetches.push((best, *model, number));
            if fetches.len() >= most {
                return fetches;
            }
        }
    }
    fetches
}
