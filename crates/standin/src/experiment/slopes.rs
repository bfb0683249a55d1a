//! Slopes: what each thing costs, over several sizes, with a fitted line; and what a daemon's
//! control would cost at the letter's size, worked out from them.

mod letter;
mod points;

use super::Options;
use points::{
    choice, delta_bytes, demand_bytes, head_bytes, host_bytes, intent_memory, join, part_bytes,
    reasons, report_bytes, table_memory, tick,
};
use std::io;

/// Sizes of the letter.
const DAEMONS: f64 = 390.0;
const REPLICAS: f64 = 3_900.0;
const MODELS: f64 = 1_700.0;
const HALLS: f64 = 18.0;
const CHANGES: f64 = 16_000.0 / 86_400.0;

/// Changes of the host list a second: each of 641 hosts a day leaves, goes and comes.
const HOST_CHANGES: f64 = 3.0 * 641.0 / 86_400.0;

/// Bytes of an answer of the host list that nothing changed.
const UNCHANGED: f64 = 55.0;

/// Points and the line through them.
struct Slope {
    name: &'static str,
    per: &'static str,
    unit: &'static str,
    points: Vec<(f64, f64)>,
    at: f64,
}

impl Slope {
    /// Least-squares line: value at zero, slope, and the largest residual as a share.
    fn line(&self) -> (f64, f64, f64) {
        let n = self.points.len() as f64;
        let sum = |f: fn(&(f64, f64)) -> f64| self.points.iter().map(f).sum::<f64>();
        let (x, y) = (sum(|p| p.0) / n, sum(|p| p.1) / n);
        let over: f64 = self.points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let under: f64 = self.points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let slope = over / under;
        let start = y - slope * x;
        let residual = |p: &(f64, f64)| ((start + slope * p.0 - p.1) / p.1.max(1e-9)).abs();
        let worst = self.points.iter().map(residual).fold(0.0, f64::max);
        (start, slope, worst)
    }

    /// Value of the line at the letter's size.
    fn there(&self) -> f64 {
        let (start, slope, _) = self.line();
        start + slope * self.at
    }
}

/// Costs at each of the sizes.
fn over(sizes: [usize; 4], measure: impl Fn(usize) -> f64) -> Vec<(f64, f64)> {
    sizes.iter().map(|n| (*n as f64, measure(*n))).collect()
}

/// Measures and prints.
pub(super) fn run(options: &Options) -> io::Result<()> {
    let slopes = vec![
        Slope {
            name: "choice of an upstream",
            per: "candidate",
            unit: "µs",
            points: over([8, 16, 32, 64], choice),
            at: 64.0,
        },
        Slope {
            name: "reasons of a choice",
            per: "candidate",
            unit: "µs",
            points: over([8, 16, 32, 64], reasons),
            at: 64.0,
        },
        Slope {
            name: "planner's tick, 7.7 models an upstream",
            per: "upstream",
            unit: "µs",
            points: over([28, 55, 110, 220], tick),
            at: REPLICAS / HALLS,
        },
        Slope {
            name: "putting a bundle in force",
            per: "model",
            unit: "µs",
            points: over([100, 400, 800, 1_700], join),
            at: MODELS,
        },
        Slope {
            name: "head of a bundle, whole",
            per: "model",
            unit: "B",
            points: over([100, 400, 800, 1_700], head_bytes),
            at: MODELS,
        },
        Slope {
            name: "head as a delta, one model changed",
            per: "model",
            unit: "B",
            points: over([100, 400, 800, 1_700], delta_bytes),
            at: MODELS,
        },
        Slope {
            name: "host list, whole",
            per: "host",
            unit: "B",
            points: over([100, 1_000, 2_000, 4_290], host_bytes),
            at: DAEMONS + REPLICAS,
        },
        Slope {
            name: "part that changes with one model",
            per: "model",
            unit: "B",
            points: over([100, 400, 800, 1_700], part_bytes),
            at: MODELS,
        },
        Slope {
            name: "bundle held in memory",
            per: "model",
            unit: "B",
            points: over([100, 400, 800, 1_700], intent_memory),
            at: MODELS,
        },
        Slope {
            name: "report of an upstream, JSON",
            per: "weights held",
            unit: "B",
            points: over([1, 4, 8, 16], report_bytes),
            at: 8.0,
        },
        Slope {
            name: "upstream tracked, memory",
            per: "upstream",
            unit: "B",
            points: over([500, 1_000, 2_000, 4_000], table_memory),
            at: REPLICAS,
        },
        Slope {
            name: "demand of a daemon, sealed",
            per: "model",
            unit: "B",
            points: over([100, 400, 800, 1_700], demand_bytes),
            at: MODELS,
        },
    ];
    letter::print(options, &slopes);
    Ok(())
}
