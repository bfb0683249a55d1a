//! What the exchange between hosts and leader costs, by the number of hosts; each has four replicas.

use super::Options;
use super::measure::each;
use cli::render::{print_json, print_line, table};
use front::changelog::Changelog;
use front::message::{Load, LoadReport, Message, PackedLoad, PlannerStatus, encode};
use front::peers::Inbox;
use front::readers::Reader;
use front::rounds;
use front::table::Table;
use place::copies::{self, Model, Replica, Search};
use platform::replica::{Entry, Resident};
use platform::store::Item;
use std::cell::Cell;
use std::hint::black_box;
use std::io;
use std::net::SocketAddr;
use unit::{Name, Span, Time};

const REPLICAS_PER_HOST: usize = 4;

const MODELS: usize = 336;

/// Replicas with a request of each host.
const BUSY_PER_HOST: usize = 2;

/// Rows of a digest between two rounds.
const CHANGED_ROWS: usize = 20;

/// Steps of a plan.
const STEPS: usize = 20;

/// Runs and prints all.
pub fn run(options: &Options) -> io::Result<()> {
    let rows: Vec<[String; 9]> = [250, 500, 1_000, 2_000].map(row).into();
    let head = [
        "HOSTS",
        "ROUND ms",
        "REPORTS/s",
        "REPORT µs",
        "CHANGES µs",
        "STATUS",
        "DIGEST µs",
        "STEP µs",
        "SNAPSHOT ms",
    ];
    match options.json {
        true => print_json(&rows),
        false => print_line(table(head, rows)),
    }
    Ok(())
}

fn row(hosts: usize) -> [String; 9] {
    let interval = rounds::interval(hosts);
    let (report, changes) = inbox(hosts);
    let status = status(hosts);
    let bytes: usize = status.iter().map(Vec::len).sum();
    [
        hosts.to_string(),
        interval.as_millis().to_string(),
        format!("{:.0}", hosts as f64 / interval.as_secs_f64()),
        format!("{report:.1}"),
        format!("{changes:.1}"),
        format!("{} x {} B", status.len(), bytes / status.len()),
        format!("{:.1}", digest(hosts * REPLICAS_PER_HOST)),
        format!("{:.0}", step(hosts * REPLICAS_PER_HOST)),
        format!("{:.1}", snapshot(hosts * REPLICAS_PER_HOST) / 1e3),
    ]
}

fn id(n: usize) -> String {
    format!("i-{n:010x}")
}

fn report(host: usize, hosts: usize, round: u32) -> LoadReport {
    let load = Load {
        requests: 1.0 + (round % 3) as f32,
        reserved_tokens: 1_600.0,
        prefill_ms: [0.0, 70.0, 0.0, 0.0],
    };
    let replicas = hosts * REPLICAS_PER_HOST;
    let busy = (0..BUSY_PER_HOST).map(|n| (host * 7 + n * 13) % replicas);
    LoadReport {
        host: format!("h{host}").into(),
        round,
        loads: busy.map(|n| PackedLoad::new(&id(n), &load)).collect(),
        ..LoadReport::default()
    }
}

/// Microseconds in which the leader decodes and records one report, and in which it finds the rows that changed.
fn inbox(hosts: usize) -> (f64, f64) {
    let inbox = Inbox::default();
    let from: SocketAddr = ([127, 0, 0, 1], 1).into();
    let reports: Vec<Vec<u8>> = (0..hosts)
        .map(|host| encode(&Message::Report(report(host, hosts, 1))))
        .collect();
    let next = Cell::new(0);
    let record = || {
        next.set(next.get() + 1);
        let Ok(Message::Report(mut report)) = front::message::decode(&reports[next.get() % hosts])
        else {
            unreachable!("the message was encoded as a report");
        };
        report.round = next.get() as u32;
        inbox.record_report(report, from, Time(1));
    };
    let recording = each(record);
    let changes = each(|| {
        record();
        black_box(inbox.take_changed_loads(Time(1)));
    });
    (recording, (changes - recording).max(0.0))
}

/// Datagrams of the status of a planner that loads and unloads on one replica in ten.
fn status(hosts: usize) -> Vec<Vec<u8>> {
    let model = |n: usize| Name::from(format!("daka5{:05}", n % MODELS));
    let some = || (0..hosts * REPLICAS_PER_HOST).step_by(10);
    let status = PlannerStatus {
        loading: some().map(|n| (model(n), 9_000)).collect(),
        loaded: some().map(|n| (id(n).into(), model(n))).collect(),
        unloading: some().map(|n| (id(n).into(), model(n))).collect(),
        readers: (0..hosts / 22)
            .map(|n| Reader {
                hall: format!("hall-{}", n % 5).into(),
                addr: ([127, 0, 0, 1], n as u16).into(),
                root: n < 2,
            })
            .collect(),
        ..PlannerStatus::default()
    };
    let digest = |part| front::message::Digest {
        planner: Some(part),
        ..front::message::Digest::default()
    };
    let parts = status.split().into_iter().map(digest);
    parts.map(|part| encode(&Message::Digest(part))).collect()
}

/// Microseconds in which a host applies the rows that changed.
fn digest(replicas: usize) -> f64 {
    let mut table = Table::new("a".into(), 1, Span::from_ms(1_200));
    for n in 0..replicas {
        table.view.put(entry(n), n as u64 + 1);
    }
    let load = Load {
        requests: 1.0,
        ..Load::default()
    };
    let rows: Vec<PackedLoad> = (0..CHANGED_ROWS)
        .map(|n| PackedLoad::new(&id(n * 7), &load))
        .collect();
    each(|| table.set_fleet_loads(&rows, Time(1)))
}

fn entry(n: usize) -> Entry {
    Entry {
        id: id(n).into(),
        service: "llm".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        hall: "a".into(),
        software: "v1".into(),
        slots: 12,
        leaving: false,
        departs_in: None,
        resident: vec![Resident {
            model: format!("daka5{:05}", n % MODELS).into(),
            version: 1,
            adapters: Vec::new(),
        }],
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        incarnation: None,
        sequence: 1,
    }
}

/// Microseconds of one step of a plan without spare memory.
fn step(replicas: usize) -> f64 {
    let models: Vec<Model> = (0..MODELS)
        .map(|m| Model {
            memory_mb: 72_700.0,
            demand: if m % 10 == 0 { 14.0 } else { 0.05 },
            recent_demand: 0.05,
            unserved_secs: 0.0,
            store_factor: 0.25,
            expected_demand: 0.0,
        })
        .collect();
    let held: Vec<Replica> = (0..replicas)
        .map(|n| Replica {
            free_mb: 50_000.0,
            held: vec![n % MODELS, (n + 7) % MODELS],
            accepts_orders: true,
            in_service: true,
            utilization: (n % 7) as f64 / 10.0,
            ..Replica::default()
        })
        .collect();
    let whole = each(|| {
        black_box(copies::plan_by(
            Search::Pruned,
            &held,
            &models,
            STEPS,
            STEPS,
        ));
    });
    whole / STEPS as f64
}

/// Microseconds in which a reader merges a snapshot in which nothing has changed.
fn snapshot(replicas: usize) -> f64 {
    let item = |n: usize| Item {
        key: format!("replicas/{}", id(n)).into(),
        value: vec![b'x'; 300],
        revision: n as u64 + 1,
        created: 1,
        lease: 1,
    };
    let items: Vec<Item> = (0..replicas).map(item).collect();
    let mut changelog = Changelog::default();
    let revision = replicas as u64 + 1;
    changelog.merge_snapshot(&items, revision, Time(1));
    each(|| changelog.merge_snapshot(&items, revision, Time(1)))
}
