//! The coveford daemon, which runs all functions of a host in one process.
//!
//! Lock order: `fleet`, `teller`, `metrics`. No lock is held across an await.

pub mod claim;
pub mod cli;
pub mod clock;
pub mod core;
pub mod documents;
pub mod entry;
pub mod error;
pub mod fleet;
pub mod force;
pub mod log;
pub mod metrics;
pub mod operator;
pub mod planner;
pub mod run;
pub mod settings;
pub mod spread;
pub mod teller;
pub mod watch;

pub use error::Error;
pub use run::{Daemon, spawn};
pub use settings::Settings;
