//! Output as aligned tables and as JSON.

use comfy_table::presets::NOTHING;
use comfy_table::{ContentArrangement, Table};
use serde::Serialize;
use std::fmt::Display;
use std::io::{self, Write};

/// Formats a table without borders; trailing spaces are trimmed.
pub fn table<const N: usize>(header: [&str; N], rows: Vec<[String; N]>) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_content_arrangement(ContentArrangement::Disabled);
    table.set_header(header);
    for row in rows {
        table.add_row(row);
    }
    let text = table.to_string();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n")
}

/// Prints a value as JSON.
pub fn print_json<T: Serialize>(value: &T) {
    let text = serde_json::to_string_pretty(value).expect("the value serializes to JSON");
    print_line(text);
}

/// Prints a line; write errors are ignored, since a reader such as `head` may close the pipe early.
pub fn print_line(line: impl Display) {
    let _ = writeln!(io::stdout(), "{line}");
}
