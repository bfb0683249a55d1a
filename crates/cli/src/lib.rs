//! Library of `coveford`, the operators' command-line tool.

pub mod bundles;
mod client;
pub mod error;
pub mod keys;
pub mod losses;
pub mod metrics;
pub mod options;
pub mod render;
mod run;
pub mod status;
pub mod timeline;
pub mod why;

pub use client::{Client, open};
pub use error::Error;
pub use run::run;
