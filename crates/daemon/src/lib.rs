//! The coveford daemon, which runs all functions of a host in one process.
//!
//! Lock order: `fleet`, `request_log`, `metrics`. No lock is held across an await.

pub mod active_bundle;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod core;
pub mod distribution;
pub mod documents;
pub mod entry;
pub mod error;
pub mod fleet;
pub mod log;
pub mod metrics;
pub mod operator;
pub mod planner;
pub mod polling;
pub mod request_log;
pub mod run;
pub mod settings;

pub use error::Error;
pub use run::{Daemon, spawn};
pub use settings::Settings;
