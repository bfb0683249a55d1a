//! Distributes the demand for models over the upstreams that hold them.

/// Rounds of water-filling; three bring models with few replicas close to balance.
const ROUNDS: usize = 3;

/// Demand for one model, and the upstreams that can serve it.
#[derive(Debug, Clone, PartialEq)]
pub struct Flow {
    /// Work that it causes, in shares of one upstream's capacity.
    pub work: f64,
    /// Indices of the upstreams that hold the model.
    pub upstreams: Vec<usize>,
}

/// Distributes flows over `count` upstreams, less to the busier ones; returns the work of each upstream.
pub fn distribute(flows: &[Flow], count: usize) -> Vec<f64> {
    let mut work = vec![0.0; count];
    let mut shares: Vec<Vec<f64>> = Vec::with_capacity(flows.len());
    for flow in flows {
        let share = flow.work / flow.upstreams.len().max(1) as f64;
        for u in &flow.upstreams {
            work[*u] += share;
        }
        shares.push(vec![share; flow.upstreams.len()]);
    }
    for _ in 0..ROUNDS {
        for (flow, shares) in flows.iter().zip(&mut shares) {
            if flow.upstreams.len() > 1 && flow.work > 0.0 {
                water_fill(flow, &mut work, shares);
            }
        }
    }
    work
}

/// Redistributes one flow by water-filling: the upstreams that get a share end at a common level.
fn water_fill(flow: &Flow, work: &mut [f64], shares: &mut [f64]) {
    for (u, share) in flow.upstreams.iter().zip(shares.iter()) {
        work[*u] -= share;
    }
    let mut order: Vec<usize> = (0..flow.upstreams.len()).collect();
    order.sort_by(|a, b| work[flow.upstreams[*a]].total_cmp(&work[flow.upstreams[*b]]));
    let mut sum = flow.work;
    let mut level = f64::INFINITY;
    let mut used = 0;
    for i in &order {
        let here = work[flow.upstreams[*i]];
        if here >= level {
            break;
        }
        sum += here;
        used += 1;
        level = sum / used as f64;
    }
    shares.fill(0.0);
    for i in &order[..used] {
        let share = (level - work[flow.upstreams[*i]]).max(0.0);
        shares[*i] = share;
        work[flow.upstreams[*i]] += share;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn distribution_preserves_total_work_and_equalizes_upstreams() {
        let flows = [
            Flow {
                work: 1.0,
                upstreams: vec![0],
            },
            Flow {
                work: 2.0,
                upstreams: vec![0, 1, 2],
            },
        ];
        let work = distribute(&flows, 3);
        assert!((work.iter().sum::<f64>() - 3.0).abs() < 1e-9);
        assert!(work.iter().all(|w| (w - 1.0).abs() < 1e-9), "{work:?}");
    }
}
