//! Tables and JSON.

use comfy_table::presets::NOTHING;
use comfy_table::{ContentArrangement, Table};
use serde::Serialize;
use std::fmt::Display;
use std::io::{self, Write};

/// Makes a plain aligned table with a header.
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
    let text = serde_json::to_string_pretty(value).expect("it can always be written");
    print_line(text);
}

/// Prints a line; a reader that has gone away, such as `head`, is no error.
pub fn print_line(line: impl Display) {
    let _ = writeln!(io::stdout(), "{line}");
}
