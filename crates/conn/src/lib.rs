//! HTTP/1.1 client connections and servers over TCP.
//!
//! Client connections track whether any byte of a request was written to the socket. A request that failed before its
//! first byte was written cannot have run; one that failed later may have.

mod connection;
mod counting_stream;
mod error;
pub mod hedge;
mod pool;
mod server;
pub mod shedding;
mod write_timeout;

use hyper::header::{self, HeaderName};

pub use connection::{Connection, Reply};
pub use error::Error;
pub use pool::{Pool, Reuse, json_request, read_json};
pub use server::{Abort, Bounds, Server, serve, serve_with_bounds};

/// Body of a request.
pub type Body = http_body_util::Full<bytes::Bytes>;

/// Header fields that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
pub const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];
