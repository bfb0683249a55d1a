//! Operators' key files.

use crate::error::{Error, ReadSnafu, WriteSnafu};
use bundle::key::{parse_signing_key, public_key};
use ed25519_dalek::SigningKey;
use snafu::ResultExt;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::Path;
use unit::Name;

/// Permissions of a key file: its owner only.
const MODE: u32 = 0o600;

/// Bits that let others read or write a file.
const OTHERS: u32 = 0o077;

/// Bytes of the inner protocol's key.
const WIRE_BYTES: usize = 32;

/// Makes a key and writes it to a new file; gives its public half.
pub fn make(path: &Path) -> Result<Name, Error> {
    let key = SigningKey::generate(&mut rand::rng());
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(MODE)
        .open(path)
        .context(WriteSnafu { path })?;
    writeln!(file, "{}", hex::encode(key.to_bytes())).context(WriteSnafu { path })?;
    Ok(public_key(&key))
}

/// Reads a key from a file that others cannot read.
pub fn read(path: &Path) -> Result<SigningKey, Error> {
    let meta = fs::metadata(path).context(ReadSnafu { path })?;
    let mode = meta.permissions().mode() & 0o777;
    if mode & OTHERS != 0 {
        return Err(Error::KeyExposed {
            path: path.to_owned(),
            mode,
        });
    }
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    parse_signing_key(&text).ok_or_else(|| Error::KeyUnreadable {
        path: path.to_owned(),
    })
}

/// Makes a key for the inner protocol, in hex.
pub fn wire() -> String {
    let bytes: [u8; WIRE_BYTES] = rand::random();
    hex::encode(bytes)
}
