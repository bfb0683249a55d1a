//! Metrics of one daemon, rendered in the Prometheus text format.

use ::metrics::{Counter, Gauge, Histogram, Key, Label, Level, Metadata, Recorder};
use metrics_exporter_prometheus::{
    Matcher, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};
use parking_lot::Mutex;
use std::collections::HashMap;
use unit::{Name, Span};

/// Bucket bounds of all duration histograms, in seconds.
const BUCKETS: [f64; 14] = [
    0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.0, 1.6, 3.0, 6.0, 10.0, 20.0, 40.0,
];

/// Bucket bounds of the ratio of the expected time to first token to the real one.
const RATIO_BUCKETS: [f64; 12] = [
    0.1, 0.2, 0.35, 0.5, 0.65, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0, 5.0,
];

/// Name of the histogram of that ratio.
const FORECAST_RATIO: &str = "coveford_first_token_forecast_ratio";

/// Maximum (route, outcome) pairs with their own series; further routes are counted as `other`.
const MAX_ROUTES: usize = 200;

/// Maximum (account, decision) pairs with their own series; further accounts are counted as `other`.
const MAX_ACCOUNTS: usize = 300;

const METADATA: Metadata<'static> = Metadata::new("coveford", Level::INFO, None);

/// Metrics with a recorder of their own, so that daemons in one process do not share series.
pub struct Metrics {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    outcomes: Mutex<HashMap<(Name, &'static str), Counter>>,
    first_bytes: Mutex<HashMap<Name, Histogram>>,
    /// Ratios of the expected time to first token to the real one.
    forecasts: Histogram,
    /// Requests of accounts with a quota, by decision.
    accounts: Mutex<HashMap<(Name, &'static str), Counter>>,
    /// Datagrams sent and their bytes, by kind.
    datagrams: Mutex<HashMap<&'static str, (Counter, Counter)>>,
}

pub fn open() -> Metrics {
    let recorder = PrometheusBuilder::new()
        .set_buckets(&BUCKETS)
        .expect("BUCKETS is not empty")
        .set_buckets_for_metric(Matcher::Full(FORECAST_RATIO.into()), &RATIO_BUCKETS)
        .expect("RATIO_BUCKETS is not empty")
        .build_recorder();
    let handle = recorder.handle();
    let forecasts = recorder.register_histogram(&key(FORECAST_RATIO, &[]), &METADATA);
    Metrics {
        recorder,
        forecasts,
        handle,
        outcomes: Mutex::default(),
        first_bytes: Mutex::default(),
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
    pub fn counter(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Counter {
        self.recorder
            .register_counter(&key(name, labels), &METADATA)
    }

    pub fn gauge(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Gauge {
        self.recorder.register_gauge(&key(name, labels), &METADATA)
    }

    pub fn histogram(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Histogram {
        self.recorder
            .register_histogram(&key(name, labels), &METADATA)
    }

    /// Counts a finished request by route and outcome.
    pub fn record_outcome(&self, route: &Name, outcome: &'static str) {
        let mut outcomes = self.outcomes.lock();
        let route =
            match outcomes.len() < MAX_ROUTES || outcomes.contains_key(&(route.clone(), outcome)) {
                true => route.clone(),
                false => "other".into(),
            };
        let counter = outcomes.entry((route.clone(), outcome)).or_insert_with(|| {
            let labels = [("route", &*route), ("outcome", outcome)];
            self.counter("coveford_requests_total", &labels)
        });
        counter.increment(1);
    }

    /// Counts the quota decision on a request.
    pub fn record_account_decision(&self, account: &Name, decision: &'static str) {
        let mut accounts = self.accounts.lock();
        let exists = accounts.contains_key(&(account.clone(), decision));
        let account = match exists || accounts.len() < MAX_ACCOUNTS {
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

    /// Records the time to the first byte of a response.
    pub fn record_first_byte(&self, route: &Name, took: Span) {
        let mut histograms = self.first_bytes.lock();
        let route = match histograms.len() < MAX_ROUTES || histograms.contains_key(route) {
            true => route.clone(),
            false => "other".into(),
        };
        let histogram = histograms.entry(route.clone()).or_insert_with(|| {
            let key = key("coveford_first_byte_seconds", &[("route", &*route)]);
            self.recorder.register_histogram(&key, &METADATA)
        });
        histogram.record(took.secs());
    }

    /// Records the ratio of the expected time to first token to the real one.
    pub fn record_forecast(&self, ratio: f64) {
        self.forecasts.record(ratio);
    }

    /// Counts a datagram sent to another host.
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

    /// Records the time until a dispatcher answered.
    pub fn record_dispatch_round_trip(&self, took: Span) {
        self.recorder
            .register_histogram(&key("coveford_dispatch_round_trip_seconds", &[]), &METADATA)
            .record(took.secs());
    }

    /// Renders all metrics as text.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Moves recorded samples into their buckets, which frees the memory that they take.
    pub fn run_upkeep(&self) {
        self.handle.run_upkeep();
    }
}
