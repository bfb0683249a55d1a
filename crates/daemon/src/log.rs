//! Logging setup. The target of a log line is the module that it concerns.

use crate::settings::{Log, LogFormat};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt;

/// Starts logging to standard error; has no effect if logging has been started already.
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
