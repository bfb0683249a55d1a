//! Inner protocol between coveford's own processes: frames in MessagePack, sealed with a shared key.

mod codec;
mod frame;

pub use codec::{Error, Key, MOST_BYTES, open, seal};
pub use frame::{Demand, Frame, Load};

/// Path at which a daemon takes frames.
pub const PATH: &str = "/wire";
