//! Metrics of one daemon, in the text form that collectors read.

use ::metrics::{Counter, Gauge, Histogram, Key, Label, Level, Metadata, Recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use parking_lot::Mutex;
use std::collections::HashMap;
use unit::{Name, Span};

/// Bounds of all histograms of time, in seconds.
const BUCKETS: [f64; 14] = [
    0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.6, 3.0, 6.0, 10.0, 20.0, 40.0,
];

/// Routes that have metrics of their own; the rest share one name.
const MOST_ROUTES: usize = 200;

/// Accounts with metrics of their own, times what may be decided of a request; the rest share one name.
const MOST_ACCOUNTS: usize = 300;

const METADATA: Metadata<'static> = Metadata::new("coveford", Level::INFO, None);

/// Metrics; a recorder of its own, so that daemons in one process stay apart.
pub struct Metrics {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    ends: Mutex<HashMap<(Name, &'static str), Counter>>,
    waits: Mutex<HashMap<Name, Histogram>>,
    /// Requests of accounts with a limit, by what was decided.
    accounts: Mutex<HashMap<(Name, &'static str), Counter>>,
    /// Datagrams sent and their bytes, by kind.
    datagrams: Mutex<HashMap<&'static str, (Counter, Counter)>>,
}

/// Makes the metrics of a daemon.
pub fn open() -> Metrics {
    let recorder = PrometheusBuilder::new()
        .set_buckets(&BUCKETS)
        .expect("the buckets are not empty")
        .build_recorder();
    let handle = recorder.handle();
    Metrics {
        recorder,
        handle,
        ends: Mutex::default(),
        waits: Mutex::default(),
        accounts: Mutex::default(),
        datagrams: Mutex::default(),
    }
}

fn key(name: &'static str, labels: &[(&'static str, &str)]) -> Key {
    let labels: Vec<Label> = labels
        .iter()
        .map(|(k, v)| Label::new(*k, (*v).to_owned()))
        .collect();
    Key::from_parts(name, labels)
}

impl Metrics {
    /// A counter.
    pub fn counter(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Counter {
        self.recorder
            .register_counter(&key(name, labels), &METADATA)
    }

    /// A gauge.
    pub fn gauge(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Gauge {
        self.recorder.register_gauge(&key(name, labels), &METADATA)
    }

    /// Counts the end of a request, by its route and by how it ended.
    pub fn record_outcome(&self, route: &Name, how: &'static str) {
        let mut ends = self.ends.lock();
        let route = match ends.len() < MOST_ROUTES || ends.contains_key(&(route.clone(), how)) {
            true => route.clone(),
            false => "other".into(),
        };
        let counter = ends.entry((route.clone(), how)).or_insert_with(|| {
            let labels = [("route", &*route), ("outcome", how)];
            self.counter("coveford_requests_total", &labels)
        });
        counter.increment(1);
    }

    /// Counts what was decided of a request by its account's limit.
    pub fn record_account_decision(&self, account: &Name, decision: &'static str) {
        let mut accounts = self.accounts.lock();
        let is_known = accounts.contains_key(&(account.clone(), decision));
        let account = match is_known || accounts.len() < MOST_ACCOUNTS {
            true => account.clone(),
            false => "other".into(),
        };
        let counter = accounts
            .entry((account.clone(), decision))
            .or_insert_with(|| {
                let labels = [("account", &*account), ("decision", decision)];
                self.counter("coveford_account_requests_total", &labels)
            });
        counter.increment(1);
    }

    /// Records the time to the first byte of an answer.
    pub fn record_first_byte(&self, route: &Name, took: Span) {
        let mut waits = self.waits.lock();
        let route = match waits.len() < MOST_ROUTES || waits.contains_key(route) {
            true => route.clone(),
            false => "other".into(),
        };
        let histogram = waits.entry(route.clone()).or_insert_with(|| {
            let key = key("coveford_first_byte_seconds", &[("route", &*route)]);
            self.recorder.register_histogram(&key, &METADATA)
        });
        histogram.record(took.secs());
    }

    /// Counts a datagram that is sent to another host.
    pub fn record_datagram(&self, kind: &'static str, bytes: usize) {
        let mut datagrams = self.datagrams.lock();
        let (count, sum) = datagrams.entry(kind).or_insert_with(|| {
            let labels = [("kind", kind)];
            let count = self.counter("coveford_datagrams_sent_total", &labels);
            (
                count,
                self.counter("coveford_datagram_bytes_sent_total", &labels),
            )
        });
        count.increment(1);
        sum.increment(bytes as u64);
    }

    /// All metrics as text.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Moves recorded samples into their buckets, so that they take no memory.
    pub fn run_upkeep(&self) {
        self.handle.run_upkeep();
    }
}
