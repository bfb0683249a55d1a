//! Errors of client connections.

use snafu::Snafu;
use std::net::SocketAddr;

/// Why a request failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The connection could not be opened.
    #[snafu(display("No connection to {addr} could be opened: {source}."))]
    Connect {
        /// Remote address.
        addr: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The connection could not be opened in time.
    #[snafu(display("No connection to {addr} was open after {ms} ms."))]
    ConnectTimeout {
        /// Remote address.
        addr: SocketAddr,
        /// Timeout, in milliseconds.
        ms: u64,
    },
    /// The connection failed before any byte of the request was written to the socket.
    #[snafu(display("The connection to {addr} closed before the request was written."))]
    Unsent {
        /// Remote address.
        addr: SocketAddr,
    },
    /// The connection failed after some of the request was written to the socket.
    #[snafu(display("The connection to {addr} broke after the request was written: {source}."))]
    Broken {
        /// Remote address.
        addr: SocketAddr,
        /// Error of the connection.
        source: hyper::Error,
    },
    /// No response arrived in time; the request may have been sent.
    #[snafu(display("{addr} gave no answer within {ms} ms."))]
    Timeout {
        /// Remote address.
        addr: SocketAddr,
        /// Timeout, in milliseconds.
        ms: u64,
    },
    /// The response body was longer than allowed.
    #[snafu(display("The answer of {addr} is longer than {limit} bytes."))]
    Oversized {
        /// Remote address.
        addr: SocketAddr,
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The response could not be parsed.
    #[snafu(display("The answer of {addr} cannot be read: {reason}."))]
    Malformed {
        /// Remote address.
        addr: SocketAddr,
        /// Why it could not be parsed.
        reason: String,
    },
}

impl Error {
    /// Whether the peer certainly received nothing of the request.
    pub fn proves_unsent(&self) -> bool {
        matches!(
            self,
            Error::Connect { .. } | Error::ConnectTimeout { .. } | Error::Unsent { .. }
        )
    }
}
