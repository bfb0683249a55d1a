//! Errors that end the daemon.

use bundle::ini::{self, Problem};
use snafu::Snafu;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for invalid settings.
const USAGE_ERROR: u8 = 2;

/// Exit code when an address cannot be listened on.
const UNAVAILABLE: u8 = 4;

/// Error that ends the daemon; the message says what to do where the operator can.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The settings file cannot be read.
    #[snafu(display("The settings file {} cannot be read: {source}. Check its path and permissions.", path.display()))]
    ReadSettings {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The settings are invalid.
    #[snafu(display("The settings have {} problems; fix them all:\n{}", problems.len(), ini::format_problems(problems)))]
    Settings { problems: Vec<Problem> },
    /// An address cannot be listened on.
    #[snafu(display(
        "Cannot listen on {addr}: {source}. Choose another address or stop the process that uses it."
    ))]
    Listen {
        addr: SocketAddr,
        source: std::io::Error,
    },
    /// The runtime could not start.
    #[snafu(display("The runtime could not start: {source}."))]
    Runtime { source: std::io::Error },
    /// A daemon on a platform failed.
    #[snafu(display("{source}"))]
    Front { source: front::Error },
    /// Connections were still open at the end of the drain.
    #[snafu(display(
        "{open} connections were still open after the drain timeout of {limit}; raise [daemon] drain."
    ))]
    DrainTimeout {
        /// Number of open connections.
        open: usize,
        /// Maximum duration of the drain.
        limit: unit::Span,
    },
}

impl Error {
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Error::ReadSettings { .. } | Error::Settings { .. } => ExitCode::from(USAGE_ERROR),
            Error::Listen { .. } => ExitCode::from(UNAVAILABLE),
            Error::Front { source } => match source {
                front::Error::Settings { .. } => ExitCode::from(USAGE_ERROR),
                front::Error::Listen { .. } => ExitCode::from(UNAVAILABLE),
                front::Error::Runtime { .. } => ExitCode::FAILURE,
            },
            Error::Runtime { .. } | Error::DrainTimeout { .. } => ExitCode::FAILURE,
        }
    }
}
