//! Inner protocol between coveford's own processes: frames in MessagePack, sealed with a shared key.

mod frame;
mod seal;

pub use frame::{Demand, Frame, Load};
pub use seal::{Error, Key, MOST_BYTES, open, seal};

/// Path at which a daemon takes frames.
pub const PATH: &str = "/wire";
