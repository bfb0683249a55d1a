//! What the slopes come to at the letter's size, and how that is printed.

use super::{CHANGES, DAEMONS, HALLS, HOST_CHANGES, REPLICAS, Slope, UNCHANGED};
use crate::experiment::Options;
use cli::render::{print_json, print_line, table};
use serde_json::json;

/// Prints the slopes, and what they come to.
pub(super) fn print(options: &Options, slopes: &[Slope]) {
    if options.json {
        let list: Vec<_> = slopes
            .iter()
            .map(|s| {
                let (start, slope, worst) = s.line();
                json!({"name": s.name, "per": s.per, "unit": s.unit, "points": s.points,
                    "at_zero": start, "slope": slope, "worst_residual": worst,
                    "letter_size": s.at, "letter_value": s.there()})
            })
            .collect();
        return print_json(&list);
    }
    let rows = slopes.iter().map(|s| {
        let (start, slope, worst) = s.line();
        let points: Vec<String> = s
            .points
            .iter()
            .map(|(x, y)| format!("{x:.0}: {y:.1}"))
            .collect();
        [
            s.name.to_owned(),
            points.join(", "),
            format!("{start:.1} + {slope:.3} {} a {}", s.unit, s.per),
            format!("{:.0}%", worst * 100.0),
            format!("{:.0} {} at {:.0}", s.there(), s.unit, s.at),
        ]
    });
    print_line(table(
        [
            "WHAT",
            "MEASURED",
            "LINE",
            "WORST RESIDUAL",
            "LETTER'S SIZE",
        ],
        rows.collect(),
    ));
    print_line("");
    print_line(table(
        ["CONTROL OF ONE DAEMON", "WORKED OUT", "RESULT", "LIMIT"],
        letter(slopes),
    ));
}

/// What the slopes give at the letter's size.
fn letter(slopes: &[Slope]) -> Vec<[String; 4]> {
    let at = |name: &str| {
        let found = slopes.iter().find(|s| s.name.starts_with(name));
        found.map_or(0.0, Slope::there)
    };
    let (head, part) = (at("head as a delta"), at("part"));
    let change = head + part;
    let leaf = CHANGES * change;
    let children = DAEMONS / HALLS / 2.0;
    let join = at("putting");
    let tick = at("planner");
    let polled = 4.0 * at("report");
    let demand = at("demand") * DAEMONS;
    let row = |what: &str, how: String, result: String, limit: &str| {
        [what.to_owned(), how, result, limit.to_owned()]
    };
    vec![
        row(
            "spread, leaf, in",
            format!("{CHANGES:.3} changes/s x ({head:.0} + {part:.0}) B"),
            format!("{:.2} KB/s", leaf / 1e3),
            "5 KB/s",
        ),
        row(
            "spread, relay, out",
            format!("{children:.1} leaves x the same"),
            format!("{:.2} KB/s", leaf * children / 1e3),
            "5 KB/s",
        ),
        row(
            "spread, processor",
            format!("{CHANGES:.3} changes/s x {join:.0} µs"),
            format!("{:.3}% of a core", CHANGES * join / 1e4),
            "2.6%",
        ),
        row(
            "planner, processor",
            format!("one tick a second x {tick:.0} µs"),
            format!("{:.2}% of a core", tick / 1e4),
            "2.6%",
        ),
        row(
            "reports, in",
            format!("4 polls/s x {:.0} B", at("report")),
            format!("{:.2} KB/s", polled / 1e3),
            "5 KB/s",
        ),
        row(
            "planner, demand of all daemons, in",
            format!("{DAEMONS:.0} daemons/s x {:.0} B", at("demand")),
            format!("{:.0} KB/s", demand / 1e3),
            "5 KB/s",
        ),
        row(
            "host list, in",
            format!(
                "2 reads/s x {UNCHANGED} B + {HOST_CHANGES:.3} changes/s x {:.0} B",
                at("host list") / (DAEMONS + REPLICAS)
            ),
            format!(
                "{:.2} KB/s",
                (2.0 * UNCHANGED + HOST_CHANGES * at("host list") / (DAEMONS + REPLICAS)) / 1e3
            ),
            "5 KB/s",
        ),
        row(
            "memory, upstreams and bundle",
            format!(
                "{:.1} MB + {:.1} MB",
                at("upstream tracked") / 1e6,
                at("bundle held") / 1e6
            ),
            format!(
                "{:.1} MB",
                (at("upstream tracked") + at("bundle held")) / 1e6
            ),
            "64 MB",
        ),
    ]
}
