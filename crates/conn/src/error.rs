//! Failures of one exchange over a connection.

use snafu::Snafu;
use std::net::SocketAddr;

/// Why an exchange with another process failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The connection was never open.
    #[snafu(display("No connection to {addr} could be opened: {source}."))]
    Connect {
        /// Where to.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The connection was not open in time.
    #[snafu(display("No connection to {addr} was open after {ms} ms."))]
    ConnectTimeout {
        /// Where to.
        addr: SocketAddr,
        /// The bound that ran out.
        ms: u64,
    },
    /// The exchange broke before a byte of the request was handed to the socket.
    #[snafu(display("The connection to {addr} closed before the request was written."))]
    Unsent {
        /// Where to.
        addr: SocketAddr,
    },
    /// The exchange broke after some of the request was handed to the socket.
    #[snafu(display("The connection to {addr} broke after the request was written: {source}."))]
    Broken {
        /// Where to.
        addr: SocketAddr,
        /// What the connection said.
        source: hyper::Error,
    },
    /// No answer came in time; the request had been written.
    #[snafu(display("{addr} gave no answer within {ms} ms."))]
    Timeout {
        /// Where to.
        addr: SocketAddr,
        /// The bound that ran out.
        ms: u64,
    },
    /// The answer was longer than allowed.
    #[snafu(display("The answer of {addr} is longer than {limit} bytes."))]
    Oversized {
        /// Where to.
        addr: SocketAddr,
        /// The bound.
        limit: usize,
    },
    /// The answer could not be read as what it should be.
    #[snafu(display("The answer of {addr} cannot be read: {reason}."))]
    Malformed {
        /// Where to.
        addr: SocketAddr,
        /// What is wrong with it.
        reason: String,
    },
}

impl Error {
    /// Whether it is proven that the other side received nothing of the request.
    pub fn proves_unsent(&self) -> bool {
        matches!(
            self,
            Error::Connect { .. } | Error::ConnectTimeout { .. } | Error::Unsent { .. }
        )
    }
}
