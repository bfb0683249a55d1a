//! What the parts that run on a platform cost, over several sizes.

use super::Options;
use super::measure::{allocated, each};
use cli::render::{print_json, print_line, table};
use front::message::{Digest, Load, Message, PackedLoad, encode};
use front::table::{Criteria, Table};
use place::copies::{self, Model, Replica};
use platform::ingress::{Metadata, Segment};
use platform::replica::{Entry, Resident};
use std::hint::black_box;
use std::io;
use unit::{Name, Span, Time};

/// Replicas that hold one model, of those that hold any.
const HOLDERS: usize = 12;

/// Runs and prints all.
pub fn run(options: &Options) -> io::Result<()> {
    let sizes = [112, 450, 1_800, 3_900];
    let mut rows = Vec::new();
    for size in sizes {
        let (choice, memory) = choice(size);
        rows.push([
            size.to_string(),
            format!("{choice:.1}"),
            format!("{:.0}", memory / size as f64),
            digest(size).to_string(),
            format!("{:.0}", plan(size)),
        ]);
    }
    let head = [
        "REPLICAS",
        "CHOICE µs",
        "VIEW B A REPLICA",
        "DIGEST B",
        "PLAN µs",
    ];
    match options.json {
        true => print_json(&rows),
        false => print_line(table(head, rows)),
    }
    Ok(())
}

fn entry(n: usize, models: usize) -> Entry {
    let held = |m: usize| Resident {
        model: format!("model-{:04}", m % models).into(),
        version: 1,
        adapters: Vec::new(),
    };
    Entry {
        id: format!("i-{n:010x}").into(),
        service: "llm".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        hall: "a".into(),
        software: "v1".into(),
        slots: 32,
        leaving: false,
        departs_in: None,
        resident: vec![held(n), held(n + 1), held(n + 7)],
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        incarnation: None,
        sequence: 1,
    }
}

/// Microseconds of one choice, and bytes of the view.
fn choice(replicas: usize) -> (f64, f64) {
    let models = (replicas * 3 / HOLDERS).max(3);
    let before = allocated();
    let mut table = Table::new("a".into(), 1, Span::from_ms(1_200));
    for n in 0..replicas {
        table.view.put(entry(n, models), n as u64 + 1);
    }
    let memory = (allocated() - before) as f64;
    let ask = Metadata {
        model: Some("model-0002".into()),
        prompt_tokens: 1_460,
        max_output_tokens: 200,
        segments: vec![
            Segment { id: 1, tokens: 350 },
            Segment {
                id: 2,
                tokens: 1_110,
            },
        ],
        ..Metadata::default()
    };
    let service: Name = "llm".into();
    let want = Criteria {
        service: &service,
        ask: &ask,
        priority: 1,
        max_gap: Some(Span::from_ms(300)),
        excluded: &[],
        software: None,
        is_resumption: false,
    };
    let took = each(|| {
        black_box(table.choose(&want, Time(1)).ok());
    });
    (took, memory)
}

/// Bytes of the sums of all replicas.
fn digest(replicas: usize) -> usize {
    let load = Load {
        requests: 9.0,
        reserved_tokens: 14_400.0,
        prefill_ms: [0.0, 140.0, 0.0, 0.0],
    };
    let rows = (0..replicas).map(|n| PackedLoad::new(&format!("i-{n:010x}"), &load));
    let digest = Digest {
        loads: rows.collect(),
        ..Digest::default()
    };
    encode(&Message::Digest(digest)).len()
}

/// Microseconds of one plan that has some twenty steps to make.
fn plan(replicas: usize) -> f64 {
    let models = (replicas * 3 / HOLDERS).max(3);
    let demands: Vec<Model> = (0..models)
        .map(|m| Model {
            memory_mb: 60_000.0,
            demand: if m % 10 == 0 { 14.0 } else { 0.5 },
            recent_demand: 0.5,
            unserved_secs: 0.0,
            store_factor: 0.25,
            expected_demand: 0.0,
        })
        .collect();
    let held: Vec<Replica> = (0..replicas)
        .map(|n| Replica {
            free_mb: 20_000.0,
            held: vec![n % models, (n + 1) % models, (n + 7) % models],
            accepts_orders: n % 4 == 0,
            in_service: true,
            utilization: 0.3,
            ..Replica::default()
        })
        .collect();
    each(|| {
        black_box(copies::plan(&held, &demands, 20, 20));
    })
}
