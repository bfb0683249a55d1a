//! Why a daemon on a platform could not start.

use bundle::ini::{self, Problem};
use snafu::Snafu;
use std::net::SocketAddr;

/// Error of the daemon; each message says what to do.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
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
}
