//! The operators' tool: bundles, state, reasons, keys.

pub mod bundles;
pub mod error;
pub mod gauges;
pub mod keys;
pub mod losses;
pub mod options;
mod platform_tool;
pub mod render;
mod run;
pub mod state;
pub mod story;
pub mod why;

pub use error::Error;
pub use platform_tool::{Tool, open};
pub use run::run;
