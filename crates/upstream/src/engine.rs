//! Client of model engines: requests and their streams, reports, cache events and orders.
//!
//! Each event of a stream names the request and the attempt that it belongs to. A stream is complete only if it ends
//! with an end marker.

mod message;
mod session;
mod stream;

pub use message::*;
pub use session::Session;
pub use stream::{Failure, Item, Stream, cancel, start};
