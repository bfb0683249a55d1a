//! Counts of request outcomes by cause, route and second, from the logs of daemons on a platform.
//!
//! The counts are estimates: daemons log a sample of the answered and cancelled requests, at the rate
//! in their `started` line, and the others up to a rate limit. Lines dropped by the limit are reported.

use crate::error::Error;
use crate::render;
use crate::timeline::{self, LogLine};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;

/// Requests per logged request, for a host whose `started` line is not in the logs.
const DEFAULT_SAMPLING: f64 = 64.0;

/// Cause that counts the requests answered in time.
const IN_TIME: &str = "in time";

/// Estimated numbers of requests by outcome.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Losses {
    /// Length of a row, in seconds.
    pub step_seconds: u32,
    /// Requests by cause and route.
    pub causes: BTreeMap<String, BTreeMap<String, f64>>,
    /// Requests by the start of their row and by cause. Rows start in seconds after the first arrival.
    #[serde(rename = "seconds")]
    pub rows: BTreeMap<i64, BTreeMap<String, f64>>,
    /// Log lines that the daemons' rate limits dropped.
    #[serde(rename = "left_out")]
    pub dropped_lines: f64,
}

/// Counts the outcomes in log files, in rows of `step` seconds; fails if no line tells one.
pub fn read(logs: &[PathBuf], step: u32) -> Result<Losses, Error> {
    let mut lines = Vec::new();
    for path in logs {
        lines.extend(timeline::read_file(path)?);
    }
    let losses = count(&lines, step);
    if losses.causes.is_empty() {
        let text = "No line of these logs tells how a request ended.".to_owned();
        return Err(Error::NotFound { text });
    }
    Ok(losses)
}

/// Counts the outcomes in log lines, in rows of `step` seconds.
pub fn count(lines: &[LogLine], step: u32) -> Losses {
    let sampling = sampling_by_host(lines);
    let mut losses = Losses {
        step_seconds: step,
        ..Losses::default()
    };
    let outcomes: Vec<Outcome> = lines.iter().filter_map(|l| outcome(l, &sampling)).collect();
    let first = outcomes.iter().map(|o| o.arrived_ms).min().unwrap_or(0);
    for outcome in outcomes {
        let row = (outcome.arrived_ms - first) / (i64::from(step) * 1_000) * i64::from(step);
        let causes = losses.rows.entry(row).or_default();
        *causes.entry(outcome.cause.clone()).or_default() += outcome.count;
        let routes = losses.causes.entry(outcome.cause).or_default();
        *routes.entry(outcome.route).or_default() += outcome.count;
    }
    let dropped = lines.iter().filter(|l| l.text("event") == "left_out");
    losses.dropped_lines = dropped.filter_map(|l| l.number("lines")).sum();
    losses
}

/// Outcome of the requests that one log line represents.
struct Outcome {
    cause: String,
    route: String,
    count: f64,
    arrived_ms: i64,
}

/// Requests per logged request, by host.
fn sampling_by_host(lines: &[LogLine]) -> HashMap<&str, f64> {
    let starts = lines.iter().filter(|l| l.text("event") == "started");
    let factor = |line: &LogLine| line.number("sample").unwrap_or(DEFAULT_SAMPLING);
    starts.map(|l| (l.text("host"), factor(l))).collect()
}

/// The outcome that a line tells, if any.
fn outcome(line: &LogLine, sampling: &HashMap<&str, f64>) -> Option<Outcome> {
    if line.text("target") != "request" {
        return None;
    }
    let weight = sampling
        .get(line.text("host"))
        .copied()
        .unwrap_or(DEFAULT_SAMPLING);
    let (cause, count) = match line.text("event") {
        "answered" => (classify_answer(line), weight),
        "cancelled" => ("its client left".to_owned(), weight),
        "broken" => ("stream broken off".to_owned(), 1.0),
        "refused" => (line.text("reason").replace('_', " "), 1.0),
        _ => return None,
    };
    Some(Outcome {
        cause,
        route: line.text("route").to_owned(),
        count,
        arrived_ms: line.at_ms() - line.number("ms").unwrap_or(0.0) as i64,
    })
}

/// Cause of an answered request: a server error, lateness, a long pause, or [`IN_TIME`].
fn classify_answer(line: &LogLine) -> String {
    let exceeds = |value: Option<f64>, limit: &str| {
        let limit = line.number(limit);
        value.zip(limit).is_some_and(|(value, limit)| value > limit)
    };
    let ttft = line.number("first_ms").or_else(|| line.number("ms"));
    let cause = match line.number("status").unwrap_or(200.0) {
        500.0.. => "failed by its replica",
        _ if exceeds(ttft, "target_ms") => "late",
        _ if exceeds(line.number("pause_ms"), "gap_ms") => "long pause",
        _ => IN_TIME,
    };
    cause.to_owned()
}

/// Formats two tables: the causes with their routes, largest first, and the rows of time.
pub fn tables(losses: &Losses) -> String {
    let mut text = cause_table(losses);
    text.push_str("\n\n");
    text.push_str(&row_table(losses));
    if losses.dropped_lines > 0.0 {
        let lines = losses.dropped_lines;
        text.push_str(&format!(
            "\n\n{lines:.0} lines were left out to keep within the rate: as many losses may be missing."
        ));
    }
    text
}

fn cause_table(losses: &Losses) -> String {
    let total = |routes: &BTreeMap<String, f64>| routes.values().sum::<f64>();
    let all: f64 = losses.causes.values().map(total).sum();
    let mut causes: Vec<(&String, &BTreeMap<String, f64>)> = losses.causes.iter().collect();
    causes.sort_by(|a, b| total(b.1).total_cmp(&total(a.1)));
    let rows = causes.into_iter().map(|(cause, routes)| {
        let mut routes_in_order: Vec<(&String, &f64)> = routes.iter().collect();
        routes_in_order.sort_by(|a, b| b.1.total_cmp(a.1));
        let by_route = routes_in_order.iter().map(|(r, n)| format!("{r} {n:.0}"));
        [
            cause.clone(),
            format!("{:.0}", total(routes)),
            format!("{:.1}", total(routes) * 100.0 / all),
            by_route.collect::<Vec<_>>().join(", "),
        ]
    });
    render::table(["CAUSE", "REQUESTS", "%", "ROUTES"], rows.collect())
}

fn row_table(losses: &Losses) -> String {
    let rows = losses.rows.iter().map(|(start, causes)| {
        let all: f64 = causes.values().sum();
        let in_time = causes.get(IN_TIME).copied().unwrap_or(0.0);
        let mut lost: Vec<(&String, &f64)> = causes.iter().filter(|c| c.0 != IN_TIME).collect();
        lost.sort_by(|a, b| b.1.total_cmp(a.1));
        let lost = lost.iter().map(|(cause, n)| format!("{cause} {n:.0}"));
        [
            start.to_string(),
            format!("{all:.0}"),
            format!("{:.1}", in_time * 100.0 / all.max(1.0)),
            lost.collect::<Vec<_>>().join(", "),
        ]
    });
    render::table(["SECOND", "REQUESTS", "IN TIME %", "LOST"], rows.collect())
}
