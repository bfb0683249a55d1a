//! Errors that stop a soak.

use snafu::Snafu;
use std::io;
use std::path::PathBuf;

/// Error that stops a soak; violations are reported, not returned as errors.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The daemon could not be started.
    #[snafu(display("{} cannot be started: {source}. Build it with 'cargo build --release', or pass its path with --program.", program.display()))]
    Start {
        /// Path of the daemon's program.
        program: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A socket, file or runtime could not be created.
    #[snafu(display("cannot create {resource}: {source}"))]
    System {
        /// Resource, with its article or path.
        resource: String,
        /// Error of the operating system.
        source: io::Error,
    },
}
