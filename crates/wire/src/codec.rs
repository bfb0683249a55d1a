//! Encoding of frames: version byte, HMAC-SHA256 under the daemons' shared key, MessagePack body.

use crate::frame::Frame;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use snafu::Snafu;

/// Protocol version, the first byte of a message.
const VERSION: u8 = 1;

/// Length of the MAC in bytes.
const MAC_LEN: usize = 32;

/// Maximum message size; well above a head with all parts of a bundle of 1,700 models.
pub const MAX_MESSAGE_BYTES: usize = 4_000_000;

/// Minimum key length in bytes, equal to the output size of the hash.
const MIN_KEY_LEN: usize = 32;

/// Key shared by all daemons of a fleet, from their settings.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// Returns `None` if the key is shorter than 32 bytes.
    pub fn new(bytes: Vec<u8>) -> Option<Key> {
        (bytes.len() >= MIN_KEY_LEN).then_some(Key(bytes))
    }

    fn mac(&self, request: &[u8], body: &[u8]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        mac.update(&(request.len() as u64).to_be_bytes());
        mac.update(request);
        mac.update(body);
        mac
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Reason for which a message is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// Larger than [`MAX_MESSAGE_BYTES`].
    #[snafu(display("The message has {length} bytes; at most {MAX_MESSAGE_BYTES} are allowed."))]
    Oversized { length: usize },
    /// Too short to hold a header and a body.
    #[snafu(display("The message has {length} bytes and is cut short."))]
    Truncated { length: usize },
    /// Other protocol version.
    #[snafu(display(
        "The message speaks version {version}; this process speaks version {VERSION}."
    ))]
    Version { version: u8 },
    /// The MAC does not match: other key, other request or altered message.
    #[snafu(display(
        "The message is not sealed with this fleet's key; check [wire] key on both hosts."
    ))]
    Unauthenticated,
    /// The body is not a valid frame.
    #[snafu(display("The message cannot be read: {reason}."))]
    Unreadable { reason: String },
}

/// Encodes a frame. The MAC of a response covers the message that it responds to, `request`, which is empty for a
/// request itself.
pub fn encode(key: &Key, request: &[u8], frame: &Frame) -> Result<Vec<u8>, Error> {
    let body = rmp_serde::to_vec(frame).map_err(unreadable)?;
    let mut message = Vec::with_capacity(1 + MAC_LEN + body.len());
    message.push(VERSION);
    message.extend_from_slice(&key.mac(request, &body).finalize().into_bytes());
    message.extend_from_slice(&body);
    if message.len() > MAX_MESSAGE_BYTES {
        return Err(Error::Oversized {
            length: message.len(),
        });
    }
    Ok(message)
}

/// Verifies and decodes a message; `request` is as for [`encode`].
pub fn decode(key: &Key, request: &[u8], message: &[u8]) -> Result<Frame, Error> {
    let length = message.len();
    if length > MAX_MESSAGE_BYTES {
        return Err(Error::Oversized { length });
    }
    if length <= 1 + MAC_LEN {
        return Err(Error::Truncated { length });
    }
    if message[0] != VERSION {
        return Err(Error::Version {
            version: message[0],
        });
    }
    let (mac, body) = message[1..].split_at(MAC_LEN);
    key.mac(request, body)
        .verify_slice(mac)
        .map_err(|_| Error::Unauthenticated)?;
    rmp_serde::from_slice(body).map_err(unreadable)
}

fn unreadable(error: impl std::fmt::Display) -> Error {
    Error::Unreadable {
        reason: error.to_string(),
    }
}
