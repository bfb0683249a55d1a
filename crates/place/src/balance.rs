//! How demand spreads over replicas.

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
    let mut work = vec![0.0; upstreams];
    let mut given: Vec<Vec<f64>> = Vec::with_capacity(flows.len());
    for flow in flows {
        let part = flow.work / flow.at.len().max(1) as f64;
        for u in &flow.at {
            work[*u] += part;
        }
        given.push(vec![part; flow.at.len()]);
    }
    for _ in 0..ROUNDS {
        for (flow, given) in flows.iter().zip(&mut given) {
            if flow.at.len() > 1 && flow.work > 0.0 {
                level(flow, &mut work, given);
            }
        }
    }
    work
}

/// Pours one flow anew into its upstreams, up to a common level.
fn level(flow: &Flow, work: &mut [f64], given: &mut [f64]) {
    for (u, part) in flow.at.iter().zip(given.iter()) {
        work[*u] -= part;
    }
    let mut order: Vec<usize> = (0..flow.at.len()).collect();
    order.sort_by(|a, b| work[flow.at[*a]].total_cmp(&work[flow.at[*b]]));
    let mut sum = flow.work;
    let mut surface = f64::INFINITY;
    let mut used = 0;
    for i in &order {
        let here = work[flow.at[*i]];
        if here >= surface {
            break;
        }
        sum += here;
        used += 1;
        surface = sum / used as f64;
    }
    given.fill(0.0);
    for i in &order[..used] {
        let part = (surface - work[flow.at[*i]]).max(0.0);
        given[*i] = part;
        work[flow.at[*i]] += part;
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
