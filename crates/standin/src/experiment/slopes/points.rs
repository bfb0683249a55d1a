//! The measurements: one function a cost, which takes a size and gives the cost at it.

use super::MODELS;
use crate::experiment::measure::allocated;
use crate::fleet;
use backing::hosts::{Host, Kind};
use bundle::key::OperatorSignature;
use bundle::{Delta, Draft, Head, part};
use daemon::clock::Clock;
use place::homes::{Hall, Homes};
use place::plan::{Demand, Input, LoadLimiter, Spec, plan};
use place::{Fleet, Ledger, Upstream};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use route::breaker::State as Health;
use route::choose::{Candidate, Request, choose, evaluate};
use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::{Duration, Instant};
use unit::engine::{Fence, Load, Report, Resident, Role, State, Weights};
use unit::{Bytes, Name, Span, Time};
/// Time spent on each point.
const EACH: Duration = Duration::from_millis(150);

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
        service_time: Span::from_secs(1),
        in_flight: rng.random_range(0..16),
        limit: 64,
        breaker: Health::Closed,
        cached: false,
    };
    names.iter().map(candidate).collect()
}

const ASK: Request = Request {
    prefix: Some(7),
    prefill: Span::from_ms(300),
    avoid: None,
};

pub(super) fn choice(n: usize) -> f64 {
    let names = names(n);
    let candidates = candidates(&names);
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    time(|| {
        black_box(choose(&ASK, black_box(&candidates), &mut rng));
    })
}

pub(super) fn reasons(n: usize) -> f64 {
    let names = names(n);
    let candidates = candidates(&names);
    time(|| {
        black_box(evaluate(&ASK, black_box(&candidates), 0));
    })
}

/// A hall with `n` upstreams and 1,700 models to 220 of them, a tenth of the upstreams overloaded.
pub(super) fn tick(n: usize) -> f64 {
    let models = n * MODELS as usize / 220;
    let wants: Vec<Spec> = (0..models)
        .map(|i| Spec {
            model: format!("m{i:04}").into(),
            version: "1".into(),
            memory: Bytes::from_gb(8),
            min_replicas: 1,
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
    let need = |i: usize| Demand {
        rate: if i.is_multiple_of(70) { 20.0 } else { 0.5 },
        work: 0.1,
    };
    let needs: BTreeMap<Name, Demand> = wants
        .iter()
        .enumerate()
        .map(|(i, w)| (w.model.clone(), need(i)))
        .collect();
    let mut homes = Homes::default();
    for want in &wants {
        homes.join(&want.model, &hall);
    }
    let input = Input {
        now: Time(10_000_000),
        wall_ms: 0,
        hall: &hall,
        halls: &halls,
        specs: &wants,
        fleet: &fleet,
        other_halls: &Fleet::default(),
        homes: &homes,
        demand: &needs,
        attainment_weight: 1.0,
        move_cost: 1.0,
    };
    time(|| {
        let mut ledger = Ledger::default();
        black_box(plan(
            &input,
            &mut ledger,
            &mut LoadLimiter::new(100.0, 100, 1),
        ));
    })
}

fn filled(n: usize, wants: &[Spec]) -> Fleet {
    let upstreams = (0..n).map(|u| {
        let mine = wants.iter().enumerate().filter(|(i, _)| i % n == u);
        Upstream {
            name: format!("engine-{u:04}").into(),
            report: report(mine.map(|(_, w)| (w.weights(), w.memory)).collect()),
            leaving: false,
            fencing: true,
            unreachable: false,
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
    part::split("sample.ini", &fleet::sample(models, 0)).expect("the sample is in order")
}

pub(super) fn join(models: usize) -> f64 {
    let parts = parts(models);
    time(|| {
        for part in &parts {
            black_box(part::hash(part.text.as_bytes()));
        }
        black_box(part::parse(parts.iter().map(|p| &*p.text)).is_ok());
    })
}

pub(super) fn head_bytes(models: usize) -> f64 {
    let refs: Vec<_> = parts(models).into_iter().map(|p| p.reference).collect();
    serde_json::to_string(&refs).map_or(0, |t| t.len()) as f64
}

pub(super) fn part_bytes(models: usize) -> f64 {
    let parts = parts(models);
    let of_models: Vec<_> = parts
        .iter()
        .filter(|p| p.reference.group.starts_with("model"))
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

pub(super) fn intent_memory(models: usize) -> f64 {
    let parts = parts(models);
    memory(|| {
        let texts: Vec<Name> = parts.iter().map(|p| p.text.clone()).collect();
        let intent = part::parse(texts.iter().map(|t| &**t));
        (texts, intent)
    })
}

pub(super) fn report_bytes(n: usize) -> f64 {
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
pub(super) fn table_memory(n: usize) -> f64 {
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
pub(super) fn host_bytes(n: usize) -> f64 {
    let hosts: Vec<Host> = (0..n).map(host).collect();
    serde_json::to_string(&hosts).map_or(0, |t| t.len()) as f64
}

pub(super) fn delta_bytes(models: usize) -> f64 {
    let head = |version: &str| {
        let text = fleet::sample(models, 0).replacen("version = 1", version, 1);
        let parts = part::split("sample.ini", &text).expect("the sample is in order");
        let signed = |name: &str| OperatorSignature {
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
                parts: parts.into_iter().map(|p| p.reference).collect(),
                proposal: signed("alice"),
                approvals: vec![signed("bob")],
            },
        }
    };
    let delta = Delta::between(&head("version = 1"), &head("version = 2"));
    serde_json::to_string(&delta).map_or(0, |t| t.len()) as f64
}

pub(super) fn demand_bytes(models: usize) -> f64 {
    let demands = (0..models).map(|i| wire::Demand {
        model: format!("judge-{i:04}").into(),
        rate: 1.5,
        attainment: 0.99,
        waiting: 0,
    });
    let frame = wire::Frame::Demands {
        demands: demands.collect(),
    };
    let key = wire::Key::new(vec![1; 32]).expect("the key is long enough");
    wire::encode(&key, b"", &frame).map_or(0, |m| m.len()) as f64
}
