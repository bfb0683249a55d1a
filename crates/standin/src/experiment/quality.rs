//! Attainment for each accelerator and moves an hour, against baselines in the same run.

use super::Options;
use super::model::{Outcome, Placement, Policy, Routing, Size, Workload, run as simulate};
use cli::render::{print_json, print_line, table};
use serde_json::json;
use std::io;
use std::thread;

/// Runs at the same time; under the machine's processors, to leave it usable.
const AT_ONCE: usize = 6;

/// Coveford's placement at equal weights.
const EVEN: Placement = Placement::Coveford {
    attainment: 1.0,
    moves: 1.0,
};

/// Policies that are compared, the baselines of routing over coveford's placement, those of
/// placement under coveford's routing.
const POLICIES: [(&str, Routing, Placement); 6] = [
    ("coveford", Routing::Coveford, EVEN),
    ("round robin", Routing::RoundRobin, EVEN),
    ("least outstanding", Routing::LeastOutstanding, EVEN),
    ("static placement", Routing::Coveford, Placement::Static),
    (
        "load on demand, LRU",
        Routing::Coveford,
        Placement::OnDemand,
    ),
    ("oracle", Routing::Oracle, Placement::Oracle),
];

/// Weights of moves for the curve, at an attainment weight of one.
const CURVE: [f64; 7] = [0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0];

/// Runs of one policy over seeds.
struct Runs(Vec<Outcome>);

impl Runs {
    fn spread(&self, pick: impl Fn(&Outcome) -> f64) -> (f64, f64, f64) {
        let mut values: Vec<f64> = self.0.iter().map(pick).collect();
        values.sort_by(f64::total_cmp);
        (
            values[values.len() / 2],
            values[0],
            values[values.len() - 1],
        )
    }

    fn per_accelerator(&self) -> f64 {
        self.spread(|o| o.attainment() * 100.0 / o.engines as f64).0
    }
}

/// Runs seeds of one policy, some at once.
fn seeds(options: &Options, size: Size, workload: Workload, policy: Policy) -> Runs {
    let all: Vec<u64> = (options.seed..options.seed + options.seeds).collect();
    let mut outcomes = Vec::new();
    for chunk in all.chunks(AT_ONCE) {
        let running: Vec<_> = chunk
            .iter()
            .map(|seed| {
                let seed = *seed;
                thread::spawn(move || simulate(size, workload, policy, seed))
            })
            .collect();
        outcomes.extend(
            running
                .into_iter()
                .map(|r| r.join().expect("a run does not panic")),
        );
    }
    Runs(outcomes)
}

/// Whether each word asked for is one of a row's.
fn wanted(options: &Options, row: [&str; 3]) -> bool {
    options.only.iter().all(|word| row.contains(&word.as_str()))
}

/// Compares the policies under every workload at both sizes.
pub(super) fn run(options: &Options) -> io::Result<()> {
    let mut rows = Vec::new();
    let mut list = Vec::new();
    for size in [Size::Nyabarongo, Size::Trust] {
        for workload in Workload::ALL {
            for (name, routing, placement) in POLICIES {
                if !wanted(options, [size.name(), workload.name(), name]) {
                    continue;
                }
                let runs = seeds(options, size, workload, Policy { routing, placement });
                rows.push(row(size, workload, name, &runs));
                list.push(entry(size, workload, name, &runs));
            }
        }
    }
    match options.json {
        true => print_json(&list),
        false => print_line(table(
            [
                "SIZE",
                "WORKLOAD",
                "POLICY",
                "ATTAINED %",
                "MIN-MAX",
                "PER ACCELERATOR",
                "MOVES/H",
                "DEFECT %",
                "LOOKUP %",
                "SUMMARY %",
                "UNREACHABLE s",
            ],
            rows,
        )),
    }
    Ok(())
}

fn class(o: &Outcome, i: usize) -> f64 {
    let (all, met) = o.by_class[i];
    met as f64 * 100.0 / all.max(1) as f64
}

fn row(size: Size, workload: Workload, name: &str, runs: &Runs) -> [String; 11] {
    let attained = runs.spread(|o| o.attainment() * 100.0);
    [
        size.name().into(),
        workload.name().into(),
        name.into(),
        format!("{:.1}", attained.0),
        format!("{:.1}-{:.1}", attained.1, attained.2),
        format!("{:.3}", runs.per_accelerator()),
        format!("{:.0}", runs.spread(|o| o.moves).0),
        format!("{:.1}", runs.spread(|o| class(o, 0)).0),
        format!("{:.1}", runs.spread(|o| class(o, 1)).0),
        format!("{:.1}", runs.spread(|o| class(o, 2)).0),
        format!("{:.0}", runs.spread(|o| o.unreachable).0),
    ]
}

fn entry(size: Size, workload: Workload, name: &str, runs: &Runs) -> serde_json::Value {
    let attained = runs.spread(|o| o.attainment());
    json!({
        "size": size.name(),
        "workload": workload.name(),
        "policy": name,
        "attainment": {"median": attained.0, "least": attained.1, "most": attained.2},
        "per_accelerator": runs.per_accelerator(),
        "moves_per_hour": runs.spread(|o| o.moves).0,
    })
}

/// The trade-off between attainment and moves, by the weight of moves.
pub(super) fn curve(options: &Options) -> io::Result<()> {
    let mut rows = Vec::new();
    for size in [Size::Nyabarongo, Size::Trust] {
        for moves in CURVE {
            let policy = Policy {
                routing: Routing::Coveford,
                placement: Placement::Coveford {
                    attainment: 1.0,
                    moves,
                },
            };
            let runs = seeds(options, size, Workload::Bursts, policy);
            let attained = runs.spread(|o| o.attainment() * 100.0);
            rows.push([
                size.name().to_owned(),
                format!("{moves}"),
                format!("{:.1}", attained.0),
                format!("{:.1}-{:.1}", attained.1, attained.2),
                format!("{:.0}", runs.spread(|o| o.moves).0),
            ]);
        }
    }
    match options.json {
        true => print_json(&rows),
        false => print_line(table(
            [
                "SIZE",
                "WEIGHT OF MOVES",
                "ATTAINED %",
                "MIN-MAX",
                "MOVES/H",
            ],
            rows,
        )),
    }
    Ok(())
}
