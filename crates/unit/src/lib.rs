//! Typed quantities and names shared by the coveford packages.

mod bytes;
pub mod clock;
pub mod engine;
mod fingerprint;
pub mod rendezvous;
mod time;

pub use bytes::Bytes;
pub use fingerprint::Fingerprint;
pub use time::{Span, Time};

use std::sync::Arc;

/// Shared immutable name of a model, caller, host, hall or upstream.
pub type Name = Arc<str>;

/// Reason why a quantity could not be read, as a full sentence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseError(pub String);

impl std::fmt::Display for ParseError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// Splits a quantity such as `1600ms` into its number and its unit.
fn split_unit(text: &str) -> Option<(u64, &str)> {
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let number = text[..end].parse().ok()?;
    Some((number, text[end..].trim()))
}
