//! Why a soak could not run.

use snafu::Snafu;
use std::io;
use std::path::PathBuf;

/// Error of the soak; violations are no errors.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The daemon's program cannot be started.
    #[snafu(display("{} cannot be started: {source}. Build it with 'cargo build --release', or name it with --program.", program.display()))]
    Start {
        /// Which.
        program: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// A socket, file or runtime cannot be had.
    #[snafu(display("{what} cannot be had: {source}"))]
    System {
        /// What.
        what: String,
        /// What the system said.
        source: io::Error,
    },
}
