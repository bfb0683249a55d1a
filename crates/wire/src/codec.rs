//! Sealing of frames: version, MessagePack, HMAC-SHA256 under the daemons' shared key.

use crate::frame::Frame;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use snafu::Snafu;

/// Version of the protocol; the first byte of a message.
const VERSION: u8 = 1;

/// Length of the seal in bytes.
const SEAL: usize = 32;

/// Longest message: a head with all parts of a bundle of 1,700 models fits many times.
pub const MAX_MESSAGE_BYTES: usize = 4_000_000;

/// Shortest key in bytes: as long as the hash.
const LEAST_KEY: usize = 32;

/// Key that all daemons of a fleet share, from their settings.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// Takes a key of at least 32 bytes.
    pub fn new(bytes: Vec<u8>) -> Option<Key> {
        (bytes.len() >= LEAST_KEY).then_some(Key(bytes))
    }

    fn mac(&self, asked: &[u8], body: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes any key length");
        mac.update(&(asked.len() as u64).to_be_bytes());
        mac.update(asked);
        mac.update(body);
        mac
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Why a message is not taken.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// It is longer than allowed.
    #[snafu(display("The message has {length} bytes; at most {MAX_MESSAGE_BYTES} are allowed."))]
    Oversized {
        /// Its length.
        length: usize,
    },
    /// It is too short to be one.
    #[snafu(display("The message has {length} bytes and is cut short."))]
    Truncated {
        /// Its length.
        length: usize,
    },
    /// It speaks another version.
    #[snafu(display(
        "The message speaks version {version}; this process speaks version {VERSION}."
    ))]
    Version {
        /// Its version.
        version: u8,
    },
    /// Its seal does not fit.
    #[snafu(display(
        "The message is not sealed with this fleet's key; check [wire] key on both hosts."
    ))]
    Unauthenticated,
    /// Its content is no frame.
    #[snafu(display("The message cannot be read: {reason}."))]
    Unreadable {
        /// Why.
        reason: String,
    },
}

/// Seals a frame; an answer is bound to the message it answers, `asked` (empty for a request).
pub fn encode(key: &Key, asked: &[u8], frame: &Frame) -> Result<Vec<u8>, Error> {
    let body = rmp_serde::to_vec(frame).map_err(unreadable)?;
    let mut message = Vec::with_capacity(1 + SEAL + body.len());
    message.push(VERSION);
    message.extend_from_slice(&key.mac(asked, &body).finalize().into_bytes());
    message.extend_from_slice(&body);
    if message.len() > MAX_MESSAGE_BYTES {
        return Err(Error::Oversized {
            length: message.len(),
        });
    }
    Ok(message)
}

/// Opens a sealed frame.
pub fn decode(key: &Key, asked: &[u8], message: &[u8]) -> Result<Frame, Error> {
    let length = message.len();
    if length > MAX_MESSAGE_BYTES {
        return Err(Error::Oversized { length });
    }
    if length <= 1 + SEAL {
        return Err(Error::Truncated { length });
    }
    if message[0] != VERSION {
        return Err(Error::Version {
            version: message[0],
        });
    }
    let (tag, body) = message[1..].split_at(SEAL);
    key.mac(asked, body)
        .verify_slice(tag)
        .map_err(|_| Error::Unauthenticated)?;
    rmp_serde::from_slice(body).map_err(unreadable)
}

fn unreadable(why: impl std::fmt::Display) -> Error {
    Error::Unreadable {
        reason: why.to_string(),
    }
}
