//! How demand spreads over replicas.

use std::collections::BTreeMap;

/// Rounds of spreading; three bring models with few replicas near their balance.
const ROUNDS: usize = 3;

/// Demand of one model and the upstreams (by index) that can take it.
#[derive(Debug, Clone, PartialEq)]
pub struct Flow {
    /// Work a second that it brings, in shares of one upstream's capacity.
    pub work: f64,
    /// Upstreams that hold it.
    pub at: Vec<usize>,
}

/// Spreads flows over upstreams so that the fuller ones get less; returns each upstream's work.
pub fn spread(flows: &[Flow], upstreams: usize) -> Vec<f64> {
    let mut given: BTreeMap<(usize, usize), f64> = BTreeMap::new();
    let mut work = vec![0.0; upstreams];
    for round in 0..ROUNDS {
        for (f, flow) in flows.iter().enumerate() {
            for u in &flow.at {
                if let Some(had) = given.remove(&(f, *u)) {
                    work[*u] -= had;
                }
            }
            fill(flow, f, &mut work, &mut given, round == 0);
        }
    }
    work
}

/// Pours one flow into its upstreams up to a common level.
fn fill(
    flow: &Flow,
    f: usize,
    work: &mut [f64],
    given: &mut BTreeMap<(usize, usize), f64>,
    evenly: bool,
) {
    if flow.at.is_empty() || flow.work <= 0.0 {
        return;
    }
    if evenly {
        let part = flow.work / flow.at.len() as f64;
        for u in &flow.at {
            work[*u] += part;
            given.insert((f, *u), part);
        }
        return;
    }
    let mut order = flow.at.clone();
    order.sort_by(|a, b| work[*a].total_cmp(&work[*b]));
    let mut sum = flow.work;
    let mut level = f64::INFINITY;
    let mut used = 0;
    for (n, u) in order.iter().enumerate() {
        if work[*u] >= level {
            break;
        }
        sum += work[*u];
        level = sum / (n + 1) as f64;
        used = n + 1;
    }
    for u in &order[..used] {
        let part = (level - work[*u]).max(0.0);
        work[*u] += part;
        given.insert((f, *u), part);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spreading_keeps_the_sum_and_levels() {
        let flows = [
            Flow {
                work: 1.0,
                at: vec![0],
            },
            Flow {
                work: 2.0,
                at: vec![0, 1, 2],
            },
        ];
        let work = spread(&flows, 3);
        assert!((work.iter().sum::<f64>() - 3.0).abs() < 1e-9);
        assert!(work.iter().all(|w| (w - 1.0).abs() < 1e-9), "{work:?}");
    }
}
