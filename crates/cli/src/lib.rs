//! The operators' tool: bundles, state, reasons, keys.

pub mod bundles;
mod client;
pub mod error;
pub mod gauges;
pub mod keys;
pub mod losses;
pub mod options;
pub mod render;
mod run;
pub mod state;
pub mod story;
pub mod why;

pub use client::{Client, open};
pub use error::Error;
pub use run::run;
