//! How requests ended, by cause, route and second, counted from the logs of daemons on a platform.
//!
//! Requests that ended well are told for one in so many, as each daemon says at its start; the others
//! are told up to a rate. So the counts are estimates, and what the rate left out is said.

use crate::error::Error;
use crate::render;
use crate::timeline::{self, Line};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;

/// Requests of which a daemon tells one, where its log does not hold its start.
const SAMPLE: f64 = 64.0;

/// Cause under which requests stand that were answered in time.
const IN_TIME: &str = "in time";

/// Estimated numbers of requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Losses {
    /// Length of a row of `seconds`.
    pub step_seconds: u32,
    /// Requests by cause and route.
    pub causes: BTreeMap<String, BTreeMap<String, f64>>,
    /// Requests by the row in which they came, and by cause; the first row begins with the first.
    pub seconds: BTreeMap<i64, BTreeMap<String, f64>>,
    /// Lines that were left out to keep within the rate.
    pub left_out: f64,
}

/// Counts the losses of logs, by rows of `step` seconds.
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

/// Counts the losses of lines, by rows of `step` seconds.
pub fn count(lines: &[Line], step: u32) -> Losses {
    let samples = samples(lines);
    let mut losses = Losses {
        step_seconds: step,
        ..Losses::default()
    };
    let ended: Vec<End> = lines.iter().filter_map(|l| end(l, &samples)).collect();
    let first = ended.iter().map(|e| e.came_ms).min().unwrap_or(0);
    for end in ended {
        let row = (end.came_ms - first) / (i64::from(step) * 1_000) * i64::from(step);
        let second = losses.seconds.entry(row).or_default();
        *second.entry(end.cause.clone()).or_default() += end.count;
        let cause = losses.causes.entry(end.cause).or_default();
        *cause.entry(end.route).or_default() += end.count;
    }
    let left_out = lines.iter().filter(|l| l.text("event") == "left_out");
    losses.left_out = left_out.filter_map(|l| l.measured("lines")).sum();
    losses
}

/// How requests ended that one line stands for.
struct End {
    cause: String,
    route: String,
    count: f64,
    came_ms: i64,
}

/// Requests of which each host tells one.
fn samples(lines: &[Line]) -> HashMap<&str, f64> {
    let starts = lines.iter().filter(|l| l.text("event") == "started");
    let sample = |line: &Line| line.measured("sample").unwrap_or(SAMPLE);
    starts.map(|l| (l.text("host"), sample(l))).collect()
}

/// The end that a line tells, if it tells one.
fn end(line: &Line, samples: &HashMap<&str, f64>) -> Option<End> {
    if line.text("target") != "request" {
        return None;
    }
    let sampled = samples.get(line.text("host")).copied().unwrap_or(SAMPLE);
    let (cause, count) = match line.text("event") {
        "answered" => (answered(line), sampled),
        "cancelled" => ("its client left".to_owned(), sampled),
        "broken" => ("stream broken off".to_owned(), 1.0),
        "refused" => (line.text("reason").replace('_', " "), 1.0),
        _ => return None,
    };
    Some(End {
        cause,
        route: line.text("route").to_owned(),
        count,
        came_ms: line.at_ms() - line.measured("ms").unwrap_or(0.0) as i64,
    })
}

/// Whether an answer was good and in time.
fn answered(line: &Line) -> String {
    let beyond = |value: Option<f64>, most: &str| {
        let most = line.measured(most);
        value.zip(most).is_some_and(|(value, most)| value > most)
    };
    let first = line.measured("first_ms").or_else(|| line.measured("ms"));
    let cause = match line.measured("status").unwrap_or(200.0) {
        500.0.. => "failed by its replica",
        _ if beyond(first, "target_ms") => "late",
        _ if beyond(line.measured("pause_ms"), "gap_ms") => "long pause",
        _ => IN_TIME,
    };
    cause.to_owned()
}

/// The causes, largest first, each with its routes; then the rows of time.
pub fn tables(losses: &Losses) -> String {
    let mut text = causes(losses);
    text.push_str("\n\n");
    text.push_str(&seconds(losses));
    if losses.left_out > 0.0 {
        let lines = losses.left_out;
        text.push_str(&format!(
            "\n\n{lines:.0} lines were left out to keep within the rate: as many losses may be missing."
        ));
    }
    text
}

fn causes(losses: &Losses) -> String {
    let sum = |routes: &BTreeMap<String, f64>| routes.values().sum::<f64>();
    let all: f64 = losses.causes.values().map(sum).sum();
    let mut causes: Vec<(&String, &BTreeMap<String, f64>)> = losses.causes.iter().collect();
    causes.sort_by(|a, b| sum(b.1).total_cmp(&sum(a.1)));
    let rows = causes.into_iter().map(|(cause, routes)| {
        let mut routes_in_order: Vec<(&String, &f64)> = routes.iter().collect();
        routes_in_order.sort_by(|a, b| b.1.total_cmp(a.1));
        let by_route = routes_in_order.iter().map(|(r, n)| format!("{r} {n:.0}"));
        [
            cause.clone(),
            format!("{:.0}", sum(routes)),
            format!("{:.1}", sum(routes) * 100.0 / all),
            by_route.collect::<Vec<_>>().join(", "),
        ]
    });
    render::table(["CAUSE", "REQUESTS", "%", "ROUTES"], rows.collect())
}

fn seconds(losses: &Losses) -> String {
    let rows = losses.seconds.iter().map(|(second, causes)| {
        let all: f64 = causes.values().sum();
        let in_time = causes.get(IN_TIME).copied().unwrap_or(0.0);
        let mut lost: Vec<(&String, &f64)> = causes.iter().filter(|c| c.0 != IN_TIME).collect();
        lost.sort_by(|a, b| b.1.total_cmp(a.1));
        let lost = lost.iter().map(|(cause, n)| format!("{cause} {n:.0}"));
        [
            second.to_string(),
            format!("{all:.0}"),
            format!("{:.1}", in_time * 100.0 / all.max(1.0)),
            lost.collect::<Vec<_>>().join(", "),
        ]
    });
    render::table(["SECOND", "REQUESTS", "IN TIME %", "LOST"], rows.collect())
}
