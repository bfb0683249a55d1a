//! Metrics of one daemon, in the text form that collectors read.

use ::metrics::{Counter, Gauge, Histogram, Key, Label, Level, Metadata, Recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};
use parking_lot::RwLock;
use route::retry::Outcome;
use std::collections::HashMap;
use std::sync::Arc;
use unit::{Name, Span};

/// Bounds of all histograms of time, in seconds.
const BUCKETS: [f64; 20] = [
    0.0005, 0.001, 0.002, 0.005, 0.010, 0.020, 0.033, 0.050, 0.100, 0.200, 0.400, 0.800, 1.6, 3.0,
    6.0, 10.0, 20.0, 40.0, 80.0, 160.0,
];

const METADATA: Metadata<'static> = Metadata::new("coveford", Level::INFO, None);

/// Metrics; a recorder of its own, so that daemons in one process stay apart.
pub struct Metrics {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    classes: RwLock<HashMap<(Name, Name), Arc<Class>>>,
}

/// Histograms of one caller and class.
pub struct Class {
    /// Time in the queue.
    pub wait: Histogram,
    /// Time to the first token, or to a plain answer.
    pub first_token: Histogram,
    /// Time between tokens.
    pub between_tokens: Histogram,
    complete: Counter,
    not_run: Counter,
    unknown: Counter,
    /// Requests that met their targets.
    pub attained: Counter,
    /// Requests that did not.
    pub missed: Counter,
}

impl Class {
    /// Counts an outcome.
    pub fn outcome(&self, outcome: Outcome) {
        match outcome {
            Outcome::Complete => self.complete.increment(1),
            Outcome::NotRun => self.not_run.increment(1),
            Outcome::Unknown => self.unknown.increment(1),
        }
    }
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
    /// A counter.
    pub fn counter(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Counter {
        self.recorder
            .register_counter(&key(name, labels), &METADATA)
    }

    /// A gauge.
    pub fn gauge(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Gauge {
        self.recorder.register_gauge(&key(name, labels), &METADATA)
    }

    /// A histogram of seconds.
    pub fn histogram(&self, name: &'static str, labels: &[(&'static str, &str)]) -> Histogram {
        self.recorder
            .register_histogram(&key(name, labels), &METADATA)
    }

    /// Histograms of a caller and class, made at first use.
    pub fn class(&self, caller: &Name, class: &Name) -> Arc<Class> {
        let at = (caller.clone(), class.clone());
        if let Some(found) = self.classes.read().get(&at) {
            return found.clone();
        }
        let labels = [("caller", &**caller), ("class", &**class)];
        let outcome = |word| {
            let labels = [
                ("caller", &**caller),
                ("class", &**class),
                ("outcome", word),
            ];
            self.counter("coveford_requests_total", &labels)
        };
        let made = Arc::new(Class {
            wait: self.histogram("coveford_wait_seconds", &labels),
            first_token: self.histogram("coveford_first_token_seconds", &labels),
            between_tokens: self.histogram("coveford_between_tokens_seconds", &labels),
            complete: outcome(Outcome::Complete.as_str()),
            not_run: outcome(Outcome::NotRun.as_str()),
            unknown: outcome(Outcome::Unknown.as_str()),
            attained: self.counter("coveford_attained_total", &labels),
            missed: self.counter("coveford_missed_total", &labels),
        });
        self.classes.write().entry(at).or_insert(made).clone()
    }

    /// All metrics as text.
    pub fn render(&self) -> String {
        self.handle.render()
    }

    /// Moves recorded samples into their buckets, so that they take no memory.
    pub fn tidy(&self) {
        self.handle.run_upkeep();
    }
}

/// Records a span in a histogram of seconds.
pub fn record(histogram: &Histogram, span: Span) {
    histogram.record(span.secs());
}
