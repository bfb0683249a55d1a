//! HTTP connections over TCP that know whether a byte was handed to the socket.
//!
//! Whether a request may be called "not run" hangs on this: a failure before
//! the first byte of a request is proof, a failure after it is not.

mod connection;
mod counting_stream;
mod error;
mod pool;
mod server;
mod write_timeout;

use hyper::header::{self, HeaderName};

pub use connection::{Connection, Reply};
pub use error::Error;
pub use pool::{Pool, Reuse, json_request, read_json};
pub use server::{Abort, Bounds, Server, serve, serve_with_bounds};

/// Whole body that is sent with a request.
pub type Body = http_body_util::Full<bytes::Bytes>;

/// Header fields that belong to one connection, not to the request or answer that it carries.
pub const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];
