//! What the quick start prints.

use super::check::Sent;
use crate::fleet::Fleet;
use cli::render::{out, table};
use cli::why;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::time::Duration;
use unit::Span;

/// Most broken promises that are listed.
const MOST_LISTED: usize = 10;

/// Prints the tables.
pub async fn print(fleet: &Fleet, sent: &[Sent], broken: &[String], up: Duration) {
    out(format!(
        "{} daemons, {} engines and {} services in 3 halls; every model ready after {}.\n",
        fleet.daemons.len(),
        fleet.engines.len(),
        fleet.services.len(),
        Span::from(up)
    ));
    out(format!("{}\n", classes(sent)));
    out(format!("{}\n", moves(fleet).await));
    explain(fleet, sent).await;
    match broken.is_empty() {
        true => out(format!("\nEvery promise held for {} requests.", sent.len())),
        false => {
            out(format!("\n{} promises were broken:", broken.len()));
            for sentence in broken.iter().take(MOST_LISTED) {
                out(format!("  {sentence}"));
            }
        }
    }
}

fn classes(sent: &[Sent]) -> String {
    let mut by_class: BTreeMap<&str, Vec<&Sent>> = BTreeMap::new();
    for sent in sent {
        by_class.entry(sent.class).or_default().push(sent);
    }
    let row = |(class, sent): (&&str, &Vec<&Sent>)| {
        let count = |outcome: &str| sent.iter().filter(|s| s.got.outcome == outcome).count();
        let mut first =
            Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).expect("the bounds are in order");
        for sent in sent {
            first.saturating_record(sent.got.first.as_micros() as u64);
        }
        let at = |q: f64| Span(first.value_at_quantile(q)).to_string();
        [
            class.to_string(),
            sent.len().to_string(),
            count("complete").to_string(),
            count("not-run").to_string(),
            count("unknown").to_string(),
            at(0.5),
            at(0.95),
            at(1.0),
        ]
    };
    table(
        [
            "CLASS",
            "REQUESTS",
            "COMPLETE",
            "NOT-RUN",
            "UNKNOWN",
            "FIRST p50",
            "p95",
            "MOST",
        ],
        by_class.iter().map(row).collect(),
    )
}

async fn moves(fleet: &Fleet) -> String {
    let Ok(moves) = why::moves(&fleet.tool).await else {
        return "The moves cannot be read.".into();
    };
    let mut counts: BTreeMap<(String, &str), usize> = BTreeMap::new();
    for moved in &moves {
        let kind = match moved.moved.action {
            unit::engine::Action::Load { .. } => "load",
            unit::engine::Action::Unload { .. } => "unload",
            unit::engine::Action::SetRole { .. } => "turn",
        };
        *counts.entry((moved.hall.to_string(), kind)).or_default() += 1;
    }
    let rows = counts
        .into_iter()
        .map(|((hall, kind), n)| [hall, kind.into(), n.to_string()]);
    table(["HALL", "MOVE", "COUNT"], rows.collect())
}

async fn explain(fleet: &Fleet, sent: &[Sent]) {
    let Some(first) = sent.iter().find(|s| s.at_most_once && s.class != "lookup") else {
        return;
    };
    let id = first.got.request.as_str().into();
    out(format!("coveford why request {id}"));
    match why::request(&fleet.tool, &id).await {
        Ok(record) => record
            .explain()
            .iter()
            .for_each(|line| out(format!("  {line}"))),
        Err(e) => out(format!("  {e}")),
    }
}
