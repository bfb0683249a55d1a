//! Compares two ways of resuming traffic after a backoff, simulated in virtual time: all requests at once, or a ramp-up of
//! 1, 2 and 4 requests. Run manually:
//! `cargo test --release -p coveford-route --test backoff_strategies -- --ignored --nocapture`.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::backoff::Backoff;
use std::collections::HashMap;
use unit::{Span, Time};

const REPLICAS: usize = 10;
const SLOTS: usize = 8;
/// Queue length of a replica, beyond which it refuses requests.
const QUEUE: usize = 4;
/// Scenarios: hosts, degraded replicas, their remaining slots, and load.
const SCENARIOS: [(usize, usize, usize, f64); 8] = [
    (8, 3, 2, 0.6),
    (8, 3, 2, 0.8),
    (8, 3, 0, 0.6),
    (70, 3, 2, 0.6),
    (70, 3, 2, 0.8),
    (70, 3, 0, 0.6),
    (300, 3, 2, 0.6),
    (8, 10, 2, 0.8),
];
/// Service time of a request.
const RUN_MS: u64 = 600;
/// Backoff requested by a replica.
const BACKOFF: Span = Span::from_ms(1_000);
/// Queueing time beyond which a response is late.
const LATE_MS: u64 = 400;
/// Length of a simulation, and the period in which some replicas are degraded.
const LENGTH_MS: u64 = 20_000;
const DEGRADED_MS: std::ops::Range<u64> = 3_000..9_000;
/// Interval at which hosts update their load data.
const UPDATE_MS: u64 = 100;
const MAX_ATTEMPTS: usize = 5;

#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    Immediate,
    RampUp,
}

#[derive(Default)]
struct Counts {
    requests: u32,
    refused: u32,
    late: u32,
    rejected_attempts: u32,
    /// Requests sent to the degraded replicas in the last second, after recovery.
    recovered: u32,
}

struct Replica {
    running: Vec<u64>,
    queue: Vec<u64>,
}

impl Replica {
    fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }
}

fn may_send(strategy: Strategy, backoff: Option<&Backoff>, now: Time) -> bool {
    backoff.is_none_or(|backoff| match strategy {
        Strategy::Immediate => backoff.remaining(now) == Span::ZERO,
        Strategy::RampUp => backoff.wait(now).is_none(),
    })
}

fn simulate(
    strategy: Strategy,
    hosts: usize,
    (degraded, remaining): (usize, usize),
    load: f64,
    seed: u64,
) -> Counts {
    let mut rng = SmallRng::seed_from_u64(seed);
    let new = || Replica {
        running: Vec::new(),
        queue: Vec::new(),
    };
    let mut replicas: Vec<Replica> = (0..REPLICAS).map(|_| new()).collect();
    let mut backoffs: HashMap<(usize, usize), Backoff> = HashMap::new();
    let mut known = vec![[0; REPLICAS]; hosts];
    let mut counts = Counts::default();
    let arrivals_per_ms = load * (REPLICAS * SLOTS) as f64 / RUN_MS as f64;
    for ms in 0..LENGTH_MS {
        let now = Time(0) + Span::from_ms(ms);
        for (r, replica) in replicas.iter_mut().enumerate() {
            let is_degraded = r < degraded && DEGRADED_MS.contains(&ms);
            let slots = if is_degraded { remaining } else { SLOTS };
            replica.running.retain(|end| *end > ms);
            while replica.running.len() < slots && !replica.queue.is_empty() {
                let arrived = replica.queue.remove(0);
                counts.late += u32::from(ms - arrived > LATE_MS);
                replica.running.push(ms + RUN_MS);
            }
        }
        if ms % UPDATE_MS == 0 {
            known = vec![std::array::from_fn(|r| replicas[r].load()); hosts];
        }
        let mut arrivals = arrivals_per_ms.floor() as u32;
        arrivals += u32::from(rng.random_bool(arrivals_per_ms.fract()));
        for _ in 0..arrivals {
            counts.requests += 1;
            let host = rng.random_range(0..hosts);
            let mut tried = Vec::new();
            let accepted = (0..MAX_ATTEMPTS).any(|_| {
                let open = (0..REPLICAS).filter(|r| {
                    !tried.contains(r) && may_send(strategy, backoffs.get(&(host, *r)), now)
                });
                let randomized =
                    open.map(|r| (known[host][r] as f64 + rng.random_range(0.0..1.0), r));
                let best = randomized.min_by(|a, b| a.0.total_cmp(&b.0));
                let Some((_, r)) = best else { return false };
                tried.push(r);
                if let Some(backoff) = backoffs.get_mut(&(host, r)) {
                    backoff.record_sent(now);
                }
                if r < degraded && ms >= LENGTH_MS - 1_000 {
                    counts.recovered += 1;
                }
                if replicas[r].queue.len() < QUEUE {
                    replicas[r].queue.push(ms);
                    known[host][r] += 1;
                    return true;
                }
                counts.rejected_attempts += 1;
                let backoff = backoffs
                    .entry((host, r))
                    .or_insert(Backoff::new(BACKOFF, now));
                backoff.extend(BACKOFF, now);
                false
            });
            counts.refused += u32::from(!accepted);
        }
    }
    counts
}

#[test]
#[ignore = "prints a comparison without assertions"]
fn compare_strategies() {
    println!(
        "hosts weak left load strategy   refused       late          rejected      recovered per weak replica"
    );
    for (hosts, degraded, remaining, load) in SCENARIOS {
        for strategy in [Strategy::Immediate, Strategy::RampUp] {
            let results: Vec<Counts> = (0..20)
                .map(|seed| simulate(strategy, hosts, (degraded, remaining), load, seed))
                .collect();
            let part = |of: fn(&Counts) -> u32| {
                let parts = results
                    .iter()
                    .map(|f| f64::from(of(f)) / f64::from(f.requests));
                let parts: Vec<f64> = parts.collect();
                let mean = parts.iter().sum::<f64>() / parts.len() as f64;
                let square = parts.iter().map(|p| (p - mean).powi(2)).sum::<f64>();
                (mean, (square / (parts.len() - 1) as f64).sqrt())
            };
            let (refused, late, rejected_attempts) = (
                part(|f| f.refused),
                part(|f| f.late),
                part(|f| f.rejected_attempts),
            );
            let recovered = results.iter().map(|f| f64::from(f.recovered)).sum::<f64>()
                / (results.len() * degraded) as f64;
            let label = if strategy == Strategy::Immediate {
                "at once"
            } else {
                "1, 2, 4"
            };
            println!(
                "{hosts:5} {degraded:4} {remaining:4} {load:4} {label:9}  {:.4} ({:.4}) {:.4} ({:.4}) {:.4} ({:.4}) {recovered:.1}",
                refused.0, refused.1, late.0, late.1, rejected_attempts.0, rejected_attempts.1
            );
        }
    }
}
