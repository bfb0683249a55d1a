//! Logs: short sentences; the part that speaks is the target.

use crate::settings::{Log, LogFormat};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt;

/// Starts logging to standard error; a second start in one process does nothing.
pub fn start(log: &Log) {
    let filter = EnvFilter::new(&*log.level);
    let builder = fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    let _ = match log.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
