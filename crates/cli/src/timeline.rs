//! The story of one request, told from the logs of daemons on a platform.
//!
//! A line is a JSON object; what stands in front of it, such as a collector's time, is passed over.

use crate::error::{Error, ReadSnafu};
use serde_json::{Map, Value};
use snafu::ResultExt;
use std::collections::BTreeSet;
use std::io::Read;
use std::path::{Path, PathBuf};

/// Parts of a daemon whose lines say what it believed when it decided.
const BELIEFS: [&str; 8] = [
    "view",
    "replica",
    "config",
    "store",
    "leader",
    "limit",
    "quarantine",
    "daemon",
];

/// Time before and after a request's lines in which beliefs are told, in milliseconds.
const AROUND_MS: i64 = 5_000;

/// Line of a log.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    fields: Map<String, Value>,
    at_ms: i64,
}

/// Reads the lines of a log; lines of another form are passed over.
pub fn read(text: &str) -> Vec<Line> {
    text.lines().filter_map(line).collect()
}

/// Reads a log from a file, or from standard input for `-`.
pub fn read_file(path: &Path) -> Result<Vec<Line>, Error> {
    let mut text = String::new();
    match path.as_os_str() == "-" {
        true => std::io::stdin().read_to_string(&mut text).map(|_| ()),
        false => std::fs::read_to_string(path).map(|read| text = read),
    }
    .context(ReadSnafu { path })?;
    Ok(read(&text))
}

/// Tells the story of a request from logs.
pub fn request(id: &str, logs: &[PathBuf]) -> Result<Vec<String>, Error> {
    let mut lines = Vec::new();
    for path in logs {
        lines.extend(read_file(path)?);
    }
    let story = tell(id, &lines);
    if story.is_empty() {
        let text = format!(
            "No line names request '{id}'. Routine requests are told for one in 64, or as the settings say; those that failed are told up to a rate, and lines with event left_out count the rest."
        );
        return Err(Error::NotFound { text });
    }
    Ok(story)
}

fn line(text: &str) -> Option<Line> {
    let fields: Map<String, Value> = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    let at_ms = time_ms(fields.get("timestamp")?.as_str()?)?;
    Some(Line { fields, at_ms })
}

/// Milliseconds since the beginning of the month, of a time such as 2026-04-01T14:36:49.768378Z.
///
/// Lines of one request are seconds apart, so that no calendar is needed.
fn time_ms(text: &str) -> Option<i64> {
    let (date, time) = text.split_once('T')?;
    let day: i64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.trim_end_matches('Z').split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    let whole = ((day * 24 + hours) * 60 + minutes) * 60_000;
    Some(whole + (seconds * 1e3) as i64)
}

impl Line {
    /// A field of text; empty where there is none.
    pub fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// A field that is a number, if there is one.
    pub fn measured(&self, field: &str) -> Option<f64> {
        self.fields.get(field).and_then(Value::as_f64)
    }

    /// When it was written, in milliseconds since the beginning of the month.
    pub fn at_ms(&self) -> i64 {
        self.at_ms
    }

    fn number(&self, field: &str) -> f64 {
        self.measured(field).unwrap_or(0.0)
    }

    fn is_about(&self, id: &str) -> bool {
        let is_of_request = match self.text("target") {
            "request" | "limit" => true,
            "replica" => self.text("event") == "kept_back",
            _ => false,
        };
        is_of_request && self.text("id") == id
    }

    /// The line as a sentence.
    fn sentence(&self) -> String {
        let replica = self.text("replica");
        let why = self.text("why");
        let ms = self.number("ms");
        match (self.text("target"), self.text("event")) {
            ("request", "sent") => format!(
                "It was sent to {replica}, one of {} candidates, {ms:.0} ms after it came; its first token was expected in {:.0} ms.",
                self.number("candidates"),
                self.number("expected_ms")
            ),
            ("request", "failed") => format!(
                "{replica} at {} gave no answer ({why}); its entry was of revision {}.",
                self.text("addr"),
                self.number("entry")
            ),
            ("request", "refused") => format!(
                "It was given up with status {} after {ms:.0} ms: {} ({why}).{}{}",
                self.number("status"),
                self.text("reason"),
                self.come_back(),
                self.knowledge()
            ),
            ("request", "broken") => format!(
                "Its stream was broken off after {ms:.0} ms behind event {}, since the replica's answer was {why}; tried: {}.",
                self.number("last"),
                self.text("tried")
            ),
            ("request", "continued") => format!(
                "Its stream broke ({why}) and was taken up at {replica} behind event {}: {}.",
                self.number("last"),
                self.text("outcome")
            ),
            ("request", "cancelled") => {
                format!("Its client left after {ms:.0} ms; the connection to {replica} was closed.")
            }
            ("limit", "sent") => format!(
                "It went to {replica}, which is in need and takes {} requests a second from all hosts together.",
                self.number("rate")
            ),
            ("limit", "named" | "changed") => format!(
                "{replica} is in need: by the word of {} it takes {} requests a second from all hosts together.",
                self.text("by"),
                self.number("rate")
            ),
            ("replica", "kept_back") => format!(
                "It was not sent to {replica}, which {}, {:.0} ms after it had been chosen.",
                self.text("why"),
                self.number("placed_ms")
            ),
            ("replica", "leaving") => {
                format!("{replica} leaves, by its own word to {}.", self.text("by"))
            }
            ("replica", "rests") => format!(
                "{replica} turned request {} away and wants nothing from {} for {:.0} ms.",
                self.text("id"),
                self.text("by"),
                self.number("left_ms")
            ),
            ("replica", "rested") => format!("The rest of {replica} is over."),
            ("limit", "over") => format!(
                "{replica} is no longer in need, by the word of {}.",
                self.text("by")
            ),
            ("request", "answered") => format!("It was answered after {ms:.0} ms."),
            _ => self.plain(),
        }
    }

    fn come_back(&self) -> String {
        match self.measured("retry_after_ms") {
            Some(ms) => {
                format!(" It had not run; the client was asked to come back in {ms:.0} ms.")
            }
            None if self.number("status") < 500.0 => {
                " It has not run, and would be refused again.".to_owned()
            }
            None => " Whether it ran is not known.".to_owned(),
        }
    }

    /// Account of a refused request, and how old the host's knowledge of keys was.
    fn knowledge(&self) -> String {
        let account = match self.text("account") {
            "" => String::new(),
            account => format!(" Its account is {account}."),
        };
        match self.measured("age_ms") {
            Some(age) => format!(
                "{account} The host knew the keys of configuration {}, as of {age:.0} ms before.",
                self.number("version")
            ),
            None => account,
        }
    }

    /// Any other line: its message and its fields.
    fn plain(&self) -> String {
        let told = ["timestamp", "level", "target", "message", "host", "event"];
        let fields: Vec<String> = self
            .fields
            .iter()
            .filter(|(key, _)| !told.contains(&key.as_str()))
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

    fn told(&self, start: i64) -> String {
        let after = self.at_ms - start;
        format!("{after:+7} ms  {}: {}", self.text("host"), self.sentence())
    }
}

/// Tells the lines of a request in order, with what its hosts came to believe around them.
pub fn tell(id: &str, lines: &[Line]) -> Vec<String> {
    let about: Vec<&Line> = lines.iter().filter(|l| l.is_about(id)).collect();
    let Some(start) = about.iter().map(|l| l.at_ms).min() else {
        return Vec::new();
    };
    let end = about.iter().map(|l| l.at_ms).max().unwrap_or(start);
    let hosts: BTreeSet<&str> = about.iter().map(|l| l.text("host")).collect();
    let replicas: BTreeSet<&str> = about
        .iter()
        .flat_map(|l| {
            l.text("replica")
                .split(',')
                .chain(l.text("tried").split(','))
        })
        .filter(|r| !r.is_empty())
        .collect();
    let believed = |line: &&Line| {
        let near = line.at_ms >= start - AROUND_MS && line.at_ms <= end + AROUND_MS;
        let part = BELIEFS.contains(&line.text("target")) && hosts.contains(line.text("host"));
        let of_replica = ["view", "limit", "replica"].contains(&line.text("target"));
        // What became known of all replicas that were out of the choice matters where no replica took it.
        let is_word = ["limit", "replica"].contains(&line.text("target"));
        let is_sending = is_word && ["sent", "kept_back"].contains(&line.text("event"));
        let matters = replicas.contains(line.text("replica")) || is_word && replicas.is_empty();
        let other = is_sending || of_replica && !matters;
        near && part && !other
    };
    let mut told: Vec<&Line> = lines
        .iter()
        .filter(|l| l.is_about(id) || believed(l))
        .collect();
    told.sort_by_key(|l| l.at_ms);
    told.into_iter().map(|l| l.told(start)).collect()
}
