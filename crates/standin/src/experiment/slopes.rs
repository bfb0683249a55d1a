//! Slopes: what each thing costs, over several sizes, with a fitted line; and what a daemon's
//! control would cost at the letter's size, worked out from them.

use super::Options;
use super::measure::allocated;
use crate::fleet;
use backing::hosts::{Host, Kind};
use bundle::key::Signed;
use bundle::{Delta, Draft, Head, part};
use cli::render::{json, out, table};
use daemon::clock::Clock;
use place::homes::{Hall, Homes};
use place::plan::{Need, Situation, Starts, Want, plan};
use place::{Fleet, Ledger, Upstream};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::choose::{Ask, Candidate, choose, weigh};
use route::health::State as Health;
use serde_json::json;
use std::collections::BTreeMap;
use std::hint::black_box;
use std::io;
use std::time::{Duration, Instant};
use unit::engine::{Fence, Load, Report, Resident, Role, State, Weights};
use unit::{Bytes, Name, Span, Time};

/// Time spent on each point.
const EACH: Duration = Duration::from_millis(150);

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

/// Mean time of a call, in microseconds.
fn time(mut call: impl FnMut()) -> f64 {
    call();
    let start = Instant::now();
    let mut calls = 0;
    while start.elapsed() < EACH {
        call();
        calls += 1;
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(calls)
}

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
    print(options, &slopes);
    Ok(())
}

fn names(n: usize) -> Vec<Name> {
    (0..n).map(|i| format!("engine-{i:04}").into()).collect()
}

fn candidates(names: &[Name]) -> Vec<Candidate<'_>> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let candidate = |upstream| Candidate {
        upstream,
        distance: Span::from_ms(1),
        reported: rng.random_range(0..32),
        age: Span::from_ms(rng.random_range(0..1_000)),
        sent_since: rng.random_range(0..5),
        batch: 16,
        service: Span::from_secs(1),
        in_flight: rng.random_range(0..16),
        allowed: 64,
        health: Health::In,
        cached: false,
    };
    names.iter().map(candidate).collect()
}

const ASK: Ask = Ask {
    prefix: Some(7),
    prefill: Span::from_ms(300),
    avoid: None,
};

fn choice(n: usize) -> f64 {
    let names = names(n);
    let candidates = candidates(&names);
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    time(|| {
        black_box(choose(&ASK, black_box(&candidates), &mut rng));
    })
}

fn reasons(n: usize) -> f64 {
    let names = names(n);
    let candidates = candidates(&names);
    time(|| {
        black_box(weigh(&ASK, black_box(&candidates), 0));
    })
}

/// A hall with `n` upstreams and 1,700 models to 220 of them, a tenth of the upstreams overloaded.
fn tick(n: usize) -> f64 {
    let models = n * MODELS as usize / 220;
    let wants: Vec<Want> = (0..models)
        .map(|i| Want {
            model: format!("m{i:04}").into(),
            version: "1".into(),
            memory: Bytes::from_gb(8),
            least: 1,
            priority: 5,
            adapters: Vec::new(),
        })
        .collect();
    let hall: Name = "hall".into();
    let fleet = filled(n, &wants);
    let halls = [Hall {
        name: hall.clone(),
        memory: Bytes::from_gb(80 * n as u64),
    }];
    let need = |i: usize| Need {
        rate: if i.is_multiple_of(70) { 20.0 } else { 0.5 },
        work: 0.1,
    };
    let needs: BTreeMap<Name, Need> = wants
        .iter()
        .enumerate()
        .map(|(i, w)| (w.model.clone(), need(i)))
        .collect();
    let mut homes = Homes::default();
    for want in &wants {
        homes.join(&want.model, &hall);
    }
    let situation = Situation {
        now: Time(10_000_000),
        wall_ms: 0,
        hall: &hall,
        halls: &halls,
        wants: &wants,
        fleet: &fleet,
        elsewhere: &Fleet::default(),
        homes: &homes,
        needs: &needs,
        attainment: 1.0,
        moves: 1.0,
    };
    time(|| {
        let mut ledger = Ledger::default();
        black_box(plan(
            &situation,
            &mut ledger,
            &mut Starts::new(100.0, 100, 1),
        ));
    })
}

fn filled(n: usize, wants: &[Want]) -> Fleet {
    let upstreams = (0..n).map(|u| {
        let mine = wants.iter().enumerate().filter(|(i, _)| i % n == u);
        Upstream {
            name: format!("engine-{u:04}").into(),
            report: report(mine.map(|(_, w)| (w.weights(), w.memory)).collect()),
            leaving: false,
            fencing: true,
            silent: false,
        }
    });
    Fleet {
        upstreams: upstreams.collect(),
    }
}

fn report(held: Vec<(Weights, Bytes)>) -> Report {
    let resident = held.into_iter().map(|(weights, bytes)| Resident {
        weights,
        bytes,
        state: State::Ready,
    });
    Report {
        incarnation: 1,
        number: 1,
        fence: Fence::default(),
        memory: Bytes::from_gb(80),
        resident: resident.collect(),
        load: Load::default(),
        batch: 16,
        role: Role::Both,
        leaving: false,
    }
}

fn parts(models: usize) -> Vec<part::Part> {
    part::cut("sample.ini", &fleet::sample(models, 0)).expect("the sample is in order")
}

fn join(models: usize) -> f64 {
    let parts = parts(models);
    time(|| {
        for part in &parts {
            black_box(part::hash(part.text.as_bytes()));
        }
        black_box(part::join(parts.iter().map(|p| &*p.text)).is_ok());
    })
}

fn head_bytes(models: usize) -> f64 {
    let refs: Vec<_> = parts(models).into_iter().map(|p| p.at).collect();
    serde_json::to_string(&refs).map_or(0, |t| t.len()) as f64
}

fn part_bytes(models: usize) -> f64 {
    let parts = parts(models);
    let of_models: Vec<_> = parts
        .iter()
        .filter(|p| p.at.group.starts_with("model"))
        .collect();
    of_models.iter().map(|p| p.text.len()).sum::<usize>() as f64 / of_models.len() as f64
}

/// Memory that something takes.
fn memory<T>(make: impl FnOnce() -> T) -> f64 {
    let before = allocated();
    let made = make();
    let after = allocated();
    black_box(&made);
    after.saturating_sub(before) as f64
}

fn intent_memory(models: usize) -> f64 {
    let parts = parts(models);
    memory(|| {
        let texts: Vec<Name> = parts.iter().map(|p| p.text.clone()).collect();
        let intent = part::join(texts.iter().map(|t| &**t));
        (texts, intent)
    })
}

fn report_bytes(n: usize) -> f64 {
    let held = (0..n).map(|i| {
        let weights = Weights {
            model: format!("judge-{i:02}").into(),
            version: "1".into(),
            adapter: None,
        };
        (weights, Bytes::from_gb(8))
    });
    serde_json::to_string(&report(held.collect())).map_or(0, |t| t.len()) as f64
}

/// A daemon's own table of upstreams, each holding eight models.
fn table_memory(n: usize) -> f64 {
    memory(|| {
        let table = daemon::fleet::open(Clock::start(), 1, "hall".into(), BTreeMap::new());
        let hosts: Vec<Host> = (0..n).map(host).collect();
        table.set_hosts(&hosts);
        for (u, host) in hosts.iter().enumerate() {
            let held = (0..8).map(|i| {
                let weights = Weights {
                    model: format!("m{:04}", (u * 8 + i) % 1_700).into(),
                    version: "1".into(),
                    adapter: None,
                };
                (weights, Bytes::from_gb(8))
            });
            table.reported(&host.name, report(held.collect()));
        }
        table
    })
}

fn host(i: usize) -> Host {
    Host {
        name: format!("engine-{i:04}").into(),
        addr: ([127, 0, 0, 1], 1).into(),
        hall: "hall".into(),
        leaving: false,
        kind: Kind::Engine {
            memory: Bytes::from_gb(80),
        },
    }
}

/// Bytes of the host list's entry of a host.
fn host_bytes(n: usize) -> f64 {
    let hosts: Vec<Host> = (0..n).map(host).collect();
    serde_json::to_string(&hosts).map_or(0, |t| t.len()) as f64
}

fn delta_bytes(models: usize) -> f64 {
    let head = |version: &str| {
        let text = fleet::sample(models, 0).replacen("version = 1", version, 1);
        let parts = part::cut("sample.ini", &text).expect("the sample is in order");
        let signed = |name: &str| Signed {
            operator: name.into(),
            signature: "0".repeat(128).into(),
        };
        Head {
            sequence: 1,
            rolled_ms: 1_700_000_000_000,
            draft: Draft {
                id: "69a2c3d1-5f3e2a1b-77aa".into(),
                replaces: 0,
                title: "a change".into(),
                parts: parts.into_iter().map(|p| p.at).collect(),
                proposal: signed("alice"),
                approvals: vec![signed("bob")],
            },
        }
    };
    let delta = Delta::between(&head("version = 1"), &head("version = 2"));
    serde_json::to_string(&delta).map_or(0, |t| t.len()) as f64
}

fn demand_bytes(models: usize) -> f64 {
    let demands = (0..models).map(|i| wire::Demand {
        model: format!("judge-{i:04}").into(),
        rate: 1.5,
        attained: 0.99,
        waiting: 0,
    });
    let frame = wire::Frame::Demands {
        demands: demands.collect(),
    };
    let key = wire::Key::new(vec![1; 32]).expect("the key is long enough");
    wire::seal(&key, b"", &frame).map_or(0, |m| m.len()) as f64
}

fn print(options: &Options, slopes: &[Slope]) {
    if options.json {
        let list: Vec<_> = slopes
            .iter()
            .map(|s| {
                let (start, slope, worst) = s.line();
                json!({"name": s.name, "per": s.per, "unit": s.unit, "points": s.points,
                    "at_zero": start, "slope": slope, "worst_residual": worst,
                    "letter_size": s.at, "letter_value": s.there()})
            })
            .collect();
        return json(&list);
    }
    let rows = slopes.iter().map(|s| {
        let (start, slope, worst) = s.line();
        let points: Vec<String> = s
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}: {y:.1}"))
            .collect();
        [
            s.name.to_owned(),
            points.join(", "),
            format!("{start:.1} + {slope:.3} {} a {}", s.unit, s.per),
            format!("{:.0}%", worst * 100.0),
            format!("{:.0} {} at {:.0}", s.there(), s.unit, s.at),
        ]
    });
    out(table(
        [
            "WHAT",
            "MEASURED",
            "LINE",
            "WORST RESIDUAL",
            "LETTER'S SIZE",
        ],
        rows.collect(),
    ));
    out("");
    out(table(
        ["CONTROL OF ONE DAEMON", "WORKED OUT", "RESULT", "LIMIT"],
        letter(slopes),
    ));
}

/// What the slopes give at the letter's size.
fn letter(slopes: &[Slope]) -> Vec<[String; 4]> {
    let at = |name: &str| {
        let found = slopes.iter().find(|s| s.name.starts_with(name));
        found.map_or(0.0, Slope::there)
    };
    let (head, part) = (at("head as a delta"), at("part"));
    let change = head + part;
    let leaf = CHANGES * change;
    let children = DAEMONS / HALLS / 2.0;
    let join = at("putting");
    let tick = at("planner");
    let polled = 4.0 * at("report");
    let demand = at("demand") * DAEMONS;
    let row = |what: &str, how: String, result: String, limit: &str| {
        [what.to_owned(), how, result, limit.to_owned()]
    };
    vec![
        row(
            "spread, leaf, in",
            format!("{CHANGES:.3} changes/s x ({head:.0} + {part:.0}) B"),
            format!("{:.2} KB/s", leaf / 1e3),
            "5 KB/s",
        ),
        row(
            "spread, relay, out",
            format!("{children:.1} leaves x the same"),
            format!("{:.2} KB/s", leaf * children / 1e3),
            "5 KB/s",
        ),
        row(
            "spread, processor",
            format!("{CHANGES:.3} changes/s x {join:.0} µs"),
            format!("{:.3}% of a core", CHANGES * join / 1e4),
            "2.6%",
        ),
        row(
            "planner, processor",
            format!("one tick a second x {tick:.0} µs"),
            format!("{:.2}% of a core", tick / 1e4),
            "2.6%",
        ),
        row(
            "reports, in",
            format!("4 polls/s x {:.0} B", at("report")),
            format!("{:.2} KB/s", polled / 1e3),
            "5 KB/s",
        ),
        row(
            "planner, demand of all daemons, in",
            format!("{DAEMONS:.0} daemons/s x {:.0} B", at("demand")),
            format!("{:.0} KB/s", demand / 1e3),
            "5 KB/s",
        ),
        row(
            "host list, in",
            format!(
                "2 reads/s x {UNCHANGED} B + {HOST_CHANGES:.3} changes/s x {:.0} B",
                at("host list") / (DAEMONS + REPLICAS)
            ),
            format!(
                "{:.2} KB/s",
                (2.0 * UNCHANGED + HOST_CHANGES * at("host list") / (DAEMONS + REPLICAS)) / 1e3
            ),
            "5 KB/s",
        ),
        row(
            "memory, upstreams and bundle",
            format!(
                "{:.1} MB + {:.1} MB",
                at("upstream tracked") / 1e6,
                at("bundle held") / 1e6
            ),
            format!(
                "{:.1} MB",
                (at("upstream tracked") + at("bundle held")) / 1e6
            ),
            "64 MB",
        ),
    ]
}
