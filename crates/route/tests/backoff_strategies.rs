//! Two ways of coming back to replicas that asked for rest, beside each other in virtual time: all at once, or one request,
//! then two, then four. Run by hand:
//! `cargo test --release -p coveford-route --test backoff_strategies -- --ignored --nocapture`.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::backoff::Backoff;
use std::collections::HashMap;
use unit::{Span, Time};

const REPLICAS: usize = 10;
const SLOTS: usize = 8;
/// Requests that wait at a replica; it turns away what comes beyond.
const QUEUE: usize = 4;
/// Days: hosts, weak replicas, places that these have left, and load.
const DAYS: [(usize, usize, usize, f64); 8] = [
    (8, 3, 2, 0.6),
    (8, 3, 2, 0.8),
    (8, 3, 0, 0.6),
    (70, 3, 2, 0.6),
    (70, 3, 2, 0.8),
    (70, 3, 0, 0.6),
    (300, 3, 2, 0.6),
    (8, 10, 2, 0.8),
];
/// Time of a run, in steps of a millisecond.
const RUN_MS: u64 = 600;
/// Time that a replica asks for.
const REST: Span = Span::from_ms(1_000);
/// Wait at a replica beyond which an answer is late.
const LATE_MS: u64 = 400;
/// Steps of one day, and those in which some replicas are weak.
const DAY_MS: u64 = 20_000;
const WEAK_MS: std::ops::Range<u64> = 3_000..9_000;
/// Age of what hosts know of each other's requests.
const LAG_MS: u64 = 100;
const SENDINGS: usize = 5;

#[derive(Clone, Copy, PartialEq)]
enum Way {
    AtOnce,
    Doubling,
}

#[derive(Default)]
struct Figures {
    requests: u32,
    refused: u32,
    late: u32,
    turned_away: u32,
    /// Requests that the weak replicas got in the last second of the day, which is their share again.
    back: u32,
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

fn may_send(way: Way, rest: Option<&Backoff>, now: Time) -> bool {
    rest.is_none_or(|rest| match way {
        Way::AtOnce => rest.remaining(now) == Span::ZERO,
        Way::Doubling => rest.wait(now).is_none(),
    })
}

fn day(way: Way, hosts: usize, (weak, left): (usize, usize), load: f64, seed: u64) -> Figures {
    let mut rng = SmallRng::seed_from_u64(seed);
    let new = || Replica {
        running: Vec::new(),
        queue: Vec::new(),
    };
    let mut replicas: Vec<Replica> = (0..REPLICAS).map(|_| new()).collect();
    let mut rests: HashMap<(usize, usize), Backoff> = HashMap::new();
    let mut known = vec![[0; REPLICAS]; hosts];
    let mut figures = Figures::default();
    let a_ms = load * (REPLICAS * SLOTS) as f64 / RUN_MS as f64;
    for ms in 0..DAY_MS {
        let now = Time(0) + Span::from_ms(ms);
        for (r, replica) in replicas.iter_mut().enumerate() {
            let is_weak = r < weak && WEAK_MS.contains(&ms);
            let slots = if is_weak { left } else { SLOTS };
            replica.running.retain(|end| *end > ms);
            while replica.running.len() < slots && !replica.queue.is_empty() {
                let came = replica.queue.remove(0);
                figures.late += u32::from(ms - came > LATE_MS);
                replica.running.push(ms + RUN_MS);
            }
        }
        if ms % LAG_MS == 0 {
            known = vec![std::array::from_fn(|r| replicas[r].load()); hosts];
        }
        let mut arrivals = a_ms.floor() as u32;
        arrivals += u32::from(rng.random_bool(a_ms.fract()));
        for _ in 0..arrivals {
            figures.requests += 1;
            let host = rng.random_range(0..hosts);
            let mut tried = Vec::new();
            let taken = (0..SENDINGS).any(|_| {
                let open = (0..REPLICAS)
                    .filter(|r| !tried.contains(r) && may_send(way, rests.get(&(host, *r)), now));
                let blurred = open.map(|r| (known[host][r] as f64 + rng.random_range(0.0..1.0), r));
                let best = blurred.min_by(|a, b| a.0.total_cmp(&b.0));
                let Some((_, r)) = best else { return false };
                tried.push(r);
                if let Some(rest) = rests.get_mut(&(host, r)) {
                    rest.record_sent(now);
                }
                if r < weak && ms >= DAY_MS - 1_000 {
                    figures.back += 1;
                }
                if replicas[r].queue.len() < QUEUE {
                    replicas[r].queue.push(ms);
                    known[host][r] += 1;
                    return true;
                }
                figures.turned_away += 1;
                let rest = rests.entry((host, r)).or_insert(Backoff::new(REST, now));
                rest.extend(REST, now);
                false
            });
            figures.refused += u32::from(!taken);
        }
    }
    figures
}

#[test]
#[ignore = "compares two ways; run by hand"]
fn ways_beside_each_other() {
    println!(
        "hosts weak left load way        refused       late          turned away   back a weak replica"
    );
    for (hosts, weak, left, load) in DAYS {
        for way in [Way::AtOnce, Way::Doubling] {
            let days: Vec<Figures> = (0..20)
                .map(|seed| day(way, hosts, (weak, left), load, seed))
                .collect();
            let part = |of: fn(&Figures) -> u32| {
                let parts = days
                    .iter()
                    .map(|f| f64::from(of(f)) / f64::from(f.requests));
                let parts: Vec<f64> = parts.collect();
                let mean = parts.iter().sum::<f64>() / parts.len() as f64;
                let square = parts.iter().map(|p| (p - mean).powi(2)).sum::<f64>();
                (mean, (square / (parts.len() - 1) as f64).sqrt())
            };
            let (refused, late, away) = (
                part(|f| f.refused),
                part(|f| f.late),
                part(|f| f.turned_away),
            );
            let back =
                days.iter().map(|f| f64::from(f.back)).sum::<f64>() / (days.len() * weak) as f64;
            let name = if way == Way::AtOnce {
                "at once"
            } else {
                "1, 2, 4"
            };
            println!(
                "{hosts:5} {weak:4} {left:4} {load:4} {name:9}  {:.4} ({:.4}) {:.4} ({:.4}) {:.4} ({:.4}) {back:.1}",
                refused.0, refused.1, late.0, late.1, away.0, away.1
            );
        }
    }
}
