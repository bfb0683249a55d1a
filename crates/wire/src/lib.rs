//! Internal protocol between coveford daemons: MessagePack frames authenticated with a shared key.

mod codec;
mod frame;

pub use codec::{Error, Key, MAX_MESSAGE_BYTES, decode, encode};
pub use frame::{Demand, Frame, Load};

/// HTTP path at which a daemon accepts frames.
pub const PATH: &str = "/wire";
