//! Counts of `coveford losses`.

use cli::losses::{count, tables};
use cli::timeline::parse;

/// Logs of two daemons: `c1` logs every request, `c2` one in ten.
const LOG: &str = r#"
  -9.98 c1 {"host":"c1","timestamp":"2026-04-29T05:54:00.000000Z","event":"started","sample":1,"target":"daemon"}
{"host":"c2","timestamp":"2026-04-29T05:54:00.000000Z","event":"started","sample":10,"target":"daemon"}
{"host":"c1","timestamp":"2026-04-29T05:54:10.100000Z","event":"answered","route":"chat","ms":100,"first_ms":40,"target_ms":400,"pause_ms":0,"gap_ms":250,"target":"request"}
{"host":"c1","timestamp":"2026-04-29T05:54:13.000000Z","event":"answered","route":"chat","ms":900,"first_ms":500,"target_ms":400,"pause_ms":0,"gap_ms":250,"target":"request"}
{"host":"c1","timestamp":"2026-04-29T05:54:13.500000Z","event":"answered","route":"chat","ms":900,"first_ms":50,"target_ms":400,"pause_ms":300,"gap_ms":250,"target":"request"}
{"host":"c2","timestamp":"2026-04-29T05:54:13.500000Z","event":"answered","route":"status","status":200,"ms":30,"target_ms":150,"target":"request"}
{"host":"c2","timestamp":"2026-04-29T05:54:13.500000Z","event":"answered","route":"status","status":500,"ms":30,"target_ms":150,"target":"request"}
{"host":"c2","timestamp":"2026-04-29T05:54:14.000000Z","event":"refused","route":"chat","status":503,"reason":"no_adapter","ms":100,"target":"request"}
{"host":"c2","timestamp":"2026-04-29T05:54:14.000000Z","event":"refused","route":"chat","status":503,"reason":"limited","ms":1,"target":"request"}
{"host":"c2","timestamp":"2026-04-29T05:54:14.000000Z","event":"broken","route":"chat","ms":1000,"target":"request"}
{"host":"c2","timestamp":"2026-04-29T05:54:15.000000Z","event":"left_out","lines":7,"target":"log"}
{"host":"c2","timestamp":"2026-04-29T05:54:15.000000Z","event":"sent","id":"x","route":"chat","target":"request"}
"#;

#[test]
fn outcomes_are_weighted_by_the_sampling_of_their_host() {
    let losses = count(&parse(LOG), 2);
    let of = |cause: &str, route: &str| losses.causes[cause][route];
    assert_eq!(of("in time", "chat"), 1.0);
    assert_eq!(of("in time", "status"), 10.0);
    assert_eq!(of("late", "chat"), 1.0);
    assert_eq!(of("long pause", "chat"), 1.0);
    assert_eq!(of("failed by its replica", "status"), 10.0);
    assert_eq!(of("no adapter", "chat"), 1.0, "refusals are not sampled");
    assert_eq!(of("limited", "chat"), 1.0);
    assert_eq!(of("stream broken off", "chat"), 1.0);
    assert_eq!(losses.dropped_lines, 7.0);
}

#[test]
fn requests_are_counted_in_the_row_of_their_arrival() {
    let losses = count(&parse(LOG), 2);
    let rows: Vec<i64> = losses.rows.keys().copied().collect();
    assert_eq!(rows, [0, 2], "the second row begins two seconds later");
    assert_eq!(losses.rows[&0]["in time"], 1.0);
    assert_eq!(losses.rows[&2]["late"], 1.0);
}

#[test]
fn the_largest_cause_comes_first_and_dropped_lines_are_reported() {
    let text = tables(&count(&parse(LOG), 2));
    let lines: Vec<&str> = text.lines().collect();
    assert!(lines[1].starts_with(" failed by its replica") || lines[1].starts_with(" in time"));
    assert!(text.contains("status 10, chat 1"), "{text}");
    assert!(text.contains("7 lines were left out"), "{text}");
}

#[test]
fn a_log_without_requests_has_no_causes() {
    assert!(count(&parse("no log at all"), 2).causes.is_empty());
}
