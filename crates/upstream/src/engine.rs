//! Model engines: requests, streams, reports, cache events, orders. Their format is known here only.
//!
//! Every event of a stream echoes the request and the attempt it belongs to,
//! and a stream has an explicit end: what breaks off before it is not whole.

mod message;
mod session;
mod stream;

pub use message::*;
pub use session::Session;
pub use stream::{Failure, Item, Stream, cancel, start};
