//! Timeline of one request, from the logs of daemons on a platform.
//!
//! A log line is a JSON object; a prefix in front of it, such as a collector's timestamp, is ignored.

use crate::error::{Error, ReadSnafu};
use serde_json::{Map, Value};
use snafu::ResultExt;
use std::collections::BTreeSet;
use std::io::Read;
use std::path::{Path, PathBuf};

/// Targets of log lines that show what a daemon knew when it decided.
const CONTEXT_TARGETS: [&str; 9] = [
    "view",
    "paths",
    "replica",
    "config",
    "store",
    "leader",
    "limit",
    "quarantine",
    "daemon",
];

/// Time before and after a request's lines in which context lines are included, in milliseconds.
const CONTEXT_WINDOW_MS: i64 = 5_000;

/// A parsed log line.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    fields: Map<String, Value>,
    at_ms: i64,
}

/// Parses the lines of a log; lines that are no JSON with a timestamp are skipped.
pub fn parse(text: &str) -> Vec<LogLine> {
    text.lines().filter_map(parse_line).collect()
}

/// Reads a log from a file, or from standard input for `-`.
pub fn read_file(path: &Path) -> Result<Vec<LogLine>, Error> {
    let mut text = String::new();
    match path.as_os_str() == "-" {
        true => std::io::stdin().read_to_string(&mut text).map(|_| ()),
        false => std::fs::read_to_string(path).map(|content| text = content),
    }
    .context(ReadSnafu { path })?;
    Ok(parse(&text))
}

/// Builds the timeline of a request from log files; fails if no line names the request.
pub fn from_files(id: &str, logs: &[PathBuf]) -> Result<Vec<String>, Error> {
    let mut lines = Vec::new();
    for path in logs {
        lines.extend(read_file(path)?);
    }
    let timeline = build(id, &lines);
    if timeline.is_empty() {
        let text = format!(
            "No line names request '{id}'. Routine requests are logged at one in 64, or at the rate in the settings; failed requests are logged up to a rate limit, and lines with event left_out count the dropped ones."
        );
        return Err(Error::NotFound { text });
    }
    Ok(timeline)
}

fn parse_line(text: &str) -> Option<LogLine> {
    let fields: Map<String, Value> = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let at_ms = parse_time_ms(fields.get("timestamp")?.as_str()?)?;
    Some(LogLine { fields, at_ms })
}

/// Milliseconds since the start of the month, of a timestamp such as 2026-04-01T14:36:49.768378Z.
///
/// The year and month are ignored: the lines of one request are seconds apart.
fn parse_time_ms(text: &str) -> Option<i64> {
    let (date, time) = text.split_once('T')?;
    let day: i64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.trim_end_matches('Z').split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    let whole_minutes = ((day * 24 + hours) * 60 + minutes) * 60_000;
    Some(whole_minutes + (seconds * 1e3) as i64)
}

impl LogLine {
    /// A field that is a string; empty if it is missing.
    pub fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// A field that is a number.
    pub fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field).and_then(Value::as_f64)
    }

    /// Timestamp, in milliseconds since the start of the month.
    pub fn at_ms(&self) -> i64 {
        self.at_ms
    }

    fn number_or_zero(&self, field: &str) -> f64 {
        self.number(field).unwrap_or(0.0)
    }

    fn is_of_request(&self, id: &str) -> bool {
        let has_request_id = match self.text("target") {
            "request" | "limit" => true,
            "replica" => self.text("event") == "kept_back",
            _ => false,
        };
        has_request_id && self.text("id") == id
    }

    /// What an answer that is not simply the request's own proves about it.
    fn describe_verdict(&self) -> &'static str {
        match self.text("verdict") {
            "not_run" => "proof that it has not run",
            "unproven" => "no proof that it has not run",
            "foreign" => "no answer to this send",
            _ => "its answer",
        }
    }

    /// Describes the event in a sentence.
    fn describe(&self) -> String {
        let replica = self.text("replica");
        let why = self.text("why");
        let ms = self.number_or_zero("ms");
        match (self.text("target"), self.text("event")) {
            ("request", "sent") => format!(
                "It was sent to {replica}, one of {} candidates, {ms:.0} ms after it came; its first token was expected in {:.0} ms.",
                self.number_or_zero("candidates"),
                self.number_or_zero("expected_ms")
            ),
            ("request", "failed") => format!(
                "{replica} at {} gave no answer ({why}); its entry was of revision {}.",
                self.text("addr"),
                self.number_or_zero("entry")
            ),
            ("request", "turned_away") => format!(
                "Send {:.0}, on the {} connection from port {:.0}: {replica} answered with status {:.0} for {}, which counts as {}.",
                self.number_or_zero("send"),
                self.text("connection"),
                self.number_or_zero("port"),
                self.number_or_zero("status"),
                match self.text("named") {
                    "" => "no request that it names".to_owned(),
                    named if named == self.text("id") => "it".to_owned(),
                    other => format!("request {other}"),
                },
                self.describe_verdict()
            ),
            ("request", "refused") => format!(
                "It was given up with status {} after {ms:.0} ms: {} ({why}).{}{}",
                self.number_or_zero("status"),
                self.text("reason"),
                self.describe_retry(),
                self.describe_key_data()
            ),
            ("request", "broken") => format!(
                "Its stream was broken off after {ms:.0} ms behind event {}, since the replica's answer was {why}; tried: {}.",
                self.number_or_zero("last"),
                self.text("tried")
            ),
            ("request", "bound") => format!(
                "Its client takes up the stream of {} behind event {}, which began at version {} of {} by the word of {}.",
                self.text("resumes"),
                self.number_or_zero("last_event"),
                self.text("software"),
                self.text("service"),
                match self.text("source") {
                    "own" => "this host",
                    "host" => self.text("host"),
                    _ => "all replicas",
                }
            ),
            ("request", "continued") => format!(
                "Its stream broke at {} ({why}) and was taken up at {} behind event {}: {}.",
                self.describe_replica(self.text("from"), self.text("from_software")),
                self.describe_replica(replica, self.text("software")),
                self.number_or_zero("last"),
                self.text("outcome")
            ),
            ("request", "passed_on") => format!(
                "It was passed on to the host at {}, since this one does not reach the replicas: {}, {ms:.0} ms after it came.",
                self.text("host_addr"),
                self.text("outcome")
            ),
            ("request", "taken_over") => format!(
                "It was taken over from {}, which does not reach the replicas.",
                self.text("from")
            ),
            ("paths", "isolated") => format!(
                "This host reaches none of the {} replicas that it knows; requests go by way of other hosts.",
                self.number_or_zero("known")
            ),
            ("paths", "connected") => "This host reaches replicas again.".to_owned(),
            ("request", "cancelled") => {
                format!("Its client left after {ms:.0} ms; the connection to {replica} was closed.")
            }
            ("limit", "sent") => format!(
                "It went to {replica}, which is in need and takes {} requests a second from all hosts together.",
                self.number_or_zero("rate")
            ),
            ("limit", "named" | "changed") => format!(
                "{replica} is in need: by the word of {} it takes {} requests a second from all hosts together.",
                self.text("by"),
                self.number_or_zero("rate")
            ),
            ("replica", "kept_back") => format!(
                "It was not sent to {replica}, which {}, {:.0} ms after it had been chosen.",
                self.text("why"),
                self.number_or_zero("placed_ms")
            ),
            ("replica", "leaving") => {
                format!("{replica} leaves, by its own word to {}.", self.text("by"))
            }
            ("replica", "rests") => format!(
                "{replica} turned request {} away and wants nothing from {} for {:.0} ms.",
                self.text("id"),
                self.text("by"),
                self.number_or_zero("left_ms")
            ),
            ("replica", "rested") => format!("The rest of {replica} is over."),
            ("limit", "over") => format!(
                "{replica} is no longer in need, by the word of {}.",
                self.text("by")
            ),
            ("request", "answered") => format!("It was answered after {ms:.0} ms."),
            _ => self.describe_fields(),
        }
    }

    /// Replica with the version of its software; none is another host.
    fn describe_replica(&self, replica: &str, software: &str) -> String {
        match (replica, software) {
            ("", _) => "another host".to_owned(),
            (replica, "") => replica.to_owned(),
            (replica, software) => format!("{replica} of version {software}"),
        }
    }

    fn describe_retry(&self) -> String {
        match self.number("retry_after_ms") {
            Some(ms) => {
                format!(" It had not run; the client was asked to come back in {ms:.0} ms.")
            }
            None if self.number_or_zero("status") < 500.0 => {
                " It has not run, and would be refused again.".to_owned()
            }
            None => " Whether it ran is not known.".to_owned(),
        }
    }

    /// Account of a refused request, and the version and age of the host's key data.
    fn describe_key_data(&self) -> String {
        let account = match self.text("account") {
            "" => String::new(),
            account => format!(" Its account is {account}."),
        };
        match self.number("age_ms") {
            Some(age) => format!(
                "{account} The host knew the keys of configuration {}, as of {age:.0} ms before.",
                self.number_or_zero("version")
            ),
            None => account,
        }
    }

    /// Describes a line without a sentence of its own by its message and fields.
    fn describe_fields(&self) -> String {
        let shown_elsewhere = ["timestamp", "level", "target", "message", "host", "event"];
        let fields: Vec<String> = self
            .fields
            .iter()
            .filter(|(key, _)| !shown_elsewhere.contains(&key.as_str()))
            .map(|(key, value)| match value {
                Value::String(text) => format!("{key} {text}"),
                other => format!("{key} {other}"),
            })
            .collect();
        let (target, event) = (self.text("target"), self.text("event"));
        format!(
            "[{target} {event}] {} ({})",
            self.text("message"),
            fields.join(", ")
        )
    }

    fn format(&self, start_ms: i64) -> String {
        let offset_ms = self.at_ms - start_ms;
        format!(
            "{offset_ms:+7} ms  {}: {}",
            self.text("host"),
            self.describe()
        )
    }
}

/// Builds the timeline of a request: its lines, and the context lines of its hosts around them.
pub fn build(id: &str, lines: &[LogLine]) -> Vec<String> {
    let own_lines: Vec<&LogLine> = lines.iter().filter(|l| l.is_of_request(id)).collect();
    let Some(start) = own_lines.iter().map(|l| l.at_ms).min() else {
        return Vec::new();
    };
    let end = own_lines.iter().map(|l| l.at_ms).max().unwrap_or(start);
    let hosts: BTreeSet<&str> = own_lines.iter().map(|l| l.text("host")).collect();
    let replicas: BTreeSet<&str> = own_lines
        .iter()
        .flat_map(|l| {
            l.text("replica")
                .split(',')
                .chain(l.text("tried").split(','))
        })
        .filter(|r| !r.is_empty())
        .collect();
    let is_context = |line: &&LogLine| {
        let is_near =
            line.at_ms >= start - CONTEXT_WINDOW_MS && line.at_ms <= end + CONTEXT_WINDOW_MS;
        let is_host_context =
            CONTEXT_TARGETS.contains(&line.text("target")) && hosts.contains(line.text("host"));
        let is_about_replica = ["view", "limit", "replica"].contains(&line.text("target"));
        // If no replica took the request, the signals of all replicas may explain why.
        let is_signal = ["limit", "replica"].contains(&line.text("target"));
        let is_other_request = is_signal && ["sent", "kept_back"].contains(&line.text("event"));
        let is_relevant =
            replicas.contains(line.text("replica")) || is_signal && replicas.is_empty();
        let is_unrelated = is_other_request || is_about_replica && !is_relevant;
        is_near && is_host_context && !is_unrelated
    };
    let mut shown: Vec<&LogLine> = lines
        .iter()
        .filter(|l| l.is_of_request(id) || is_context(l))
        .collect();
    shown.sort_by_key(|l| l.at_ms);
    shown.into_iter().map(|l| l.format(start)).collect()
}
