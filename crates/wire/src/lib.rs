//! Inner protocol between coveford's own processes: frames in MessagePack, sealed with a shared key.

mod codec;
mod frame;

pub use codec::{Error, Key, MAX_MESSAGE_BYTES, decode, encode};
pub use frame::{Demand, Frame, Load};

/// Path at which a daemon takes frames.
pub const PATH: &str = "/wire";
