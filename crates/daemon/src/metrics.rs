//! Metrics of a daemon, in the Prometheus text format.

use ::metrics::{Counter, Gauge, Histogram, Key, Label, Level, Metadata, Recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use parking_lot::RwLock;
use route::retry::Outcome;
use std::collections::HashMap;
use std::sync::Arc;
use unit::{Name, Span};

/// Bucket bounds of all histograms, in seconds.
const BUCKETS: [f64; 20] = [
    0.0005, 0.001, 0.002, 0.005, 0.010, 0.020, 0.033, 0.050, 0.100, 0.200, 0.400, 0.800, 1.6, 3.0,
    6.0, 10.0, 20.0, 40.0, 80.0, 160.0,
];

const METADATA: Metadata<'static> = Metadata::new("coveford", Level::INFO, None);

/// Metrics of one daemon. Each has its own recorder, so that daemons in one process do not share
/// metrics.
pub struct Metrics {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    classes: RwLock<HashMap<(Name, Name), Arc<Class>>>,
}

/// Metrics of one caller and class.
pub struct Class {
    pub queue_time: Histogram,
    /// Time to first token, or to the response of a plain service.
    pub ttft: Histogram,
    /// Time between tokens.
    pub inter_token: Histogram,
    complete: Counter,
    not_run: Counter,
    unknown: Counter,
    /// Requests that met their targets.
    pub attained: Counter,
    /// Requests that did not meet their targets.
    pub missed: Counter,
}

impl Class {
    pub fn record_outcome(&self, outcome: Outcome) {
        match outcome {
            Outcome::Complete => self.complete.increment(1),
            Outcome::NotRun => self.not_run.increment(1),
            Outcome::Unknown => self.unknown.increment(1),
        }
    }
}

/// Creates the metrics of a daemon.
pub fn open() -> Metrics {
    let recorder = PrometheusBuilder::new()
        .set_buckets(&BUCKETS)
        .expect("the buckets are not empty")
        .build_recorder();
    let handle = recorder.handle();
    Metrics {
        recorder,
        handle,
        classes: RwLock::default(),
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
    /// Returns the counter, registered at first use.
    pub fn counter(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Counter {
        self.recorder
            .register_counter(&key(name, labels), &METADATA)
    }

    /// Returns the gauge, registered at first use.
    pub fn gauge(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Gauge {
        self.recorder.register_gauge(&key(name, labels), &METADATA)
    }

    /// Returns the histogram of seconds, registered at first use.
    pub fn histogram(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Histogram {
        self.recorder
            .register_histogram(&key(name, labels), &METADATA)
    }

    /// Returns the metrics of a caller and class, registered at first use.
    pub fn class(&self, caller: &Name, class: &Name) -> Arc<Class> {
        let key_pair = (caller.clone(), class.clone());
        if let Some(class_metrics) = self.classes.read().get(&key_pair) {
            return class_metrics.clone();
        }
        let labels = [("caller", &**caller), ("class", &**class)];
        let outcome = |label| {
            let labels = [
                ("caller", &**caller),
                ("class", &**class),
                ("outcome", label),
            ];
            self.counter("coveford_requests_total", &labels)
        };
        let created = Arc::new(Class {
            queue_time: self.histogram("coveford_wait_seconds", &labels),
            ttft: self.histogram("coveford_first_token_seconds", &labels),
            inter_token: self.histogram("coveford_between_tokens_seconds", &labels),
            complete: outcome(Outcome::Complete.as_str()),
            not_run: outcome(Outcome::NotRun.as_str()),
            unknown: outcome(Outcome::Unknown.as_str()),
            attained: self.counter("coveford_attained_total", &labels),
            missed: self.counter("coveford_missed_total", &labels),
        });
        self.classes
            .write()
            .entry(key_pair)
            .or_insert(created)
            .clone()
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Aggregates recorded samples into their buckets, which bounds the recorder's memory; to be
    /// called regularly.
    pub fn run_upkeep(&self) {
        self.handle.run_upkeep();
    }
}

/// Records a span in a histogram of seconds.
pub fn record(histogram: &Histogram, span: Span) {
    histogram.record(span.secs());
}
