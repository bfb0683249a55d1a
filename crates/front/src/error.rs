//! Errors that prevent a daemon from starting.

use bundle::ini::{self, Problem};
use snafu::Snafu;
use std::net::SocketAddr;

/// Start-up error; each message says how to fix it.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The settings are invalid.
    #[snafu(display("The settings have {} problems; fix all of them:\n{}", problems.len(), ini::format_problems(problems)))]
    Settings {
        /// All problems found.
        problems: Vec<Problem>,
    },
    /// An address could not be bound.
    #[snafu(display(
        "Cannot listen on {addr}: {source}. Choose another address or stop the process that uses it."
    ))]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The async runtime or a server could not start.
    #[snafu(display("The runtime could not start: {source}."))]
    Runtime {
        /// Cause.
        source: std::io::Error,
    },
}
