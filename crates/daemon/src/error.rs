//! Why the daemon could not start or had to end.

use bundle::ini::{self, Problem};
use snafu::Snafu;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for wrong use, such as bad settings.
const WRONG_USE: u8 = 2;

/// Exit code when something outside could not be had.
const UNREACHABLE: u8 = 4;

/// Error of the daemon; each message says what to do.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The settings file cannot be read.
    #[snafu(display("The settings file {} cannot be read: {source}. Check its path and permissions.", path.display()))]
    ReadSettings {
        /// Which.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The settings are wrong.
    #[snafu(display("The settings have {} problems; mend them all:\n{}", problems.len(), ini::format_problems(problems)))]
    Settings {
        /// All that is wrong.
        problems: Vec<Problem>,
    },
    /// An address cannot be listened on.
    #[snafu(display(
        "{addr} cannot be listened on: {source}. Choose another address or end what holds it."
    ))]
    Listen {
        /// Which.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The runtime could not start.
    #[snafu(display("The runtime could not start: {source}."))]
    Runtime {
        /// What the system said.
        source: std::io::Error,
    },
    /// A daemon on a platform could not start.
    #[snafu(display("{source}"))]
    Front {
        /// Why.
        source: front::Error,
    },
    /// Requests were cut at the end of the drain.
    #[snafu(display(
        "{left} connections were still open when the drain's bound of {bound} ran out; raise [daemon] drain."
    ))]
    Cut {
        /// How many.
        left: usize,
        /// The bound.
        bound: unit::Span,
    },
}

impl Error {
    /// Exit code that goes with the error.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Error::ReadSettings { .. } | Error::Settings { .. } => ExitCode::from(WRONG_USE),
            Error::Listen { .. } => ExitCode::from(UNREACHABLE),
            Error::Front { source } => match source {
                front::Error::Settings { .. } => ExitCode::from(WRONG_USE),
                front::Error::Listen { .. } => ExitCode::from(UNREACHABLE),
                front::Error::Runtime { .. } => ExitCode::FAILURE,
            },
            Error::Runtime { .. } | Error::Cut { .. } => ExitCode::FAILURE,
        }
    }
}
