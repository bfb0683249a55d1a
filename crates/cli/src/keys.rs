//! Operators' key files, and the daemons' shared wire key.

use crate::error::{Error, ReadSnafu, WriteSnafu};
use bundle::key::{parse_signing_key, public_key};
use ed25519_dalek::SigningKey;
use snafu::ResultExt;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::Path;
use unit::Name;

/// Permissions of a new key file: read and write for its owner only.
const KEY_FILE_MODE: u32 = 0o600;

/// Permission bits of the group and of other users.
const GROUP_AND_OTHER_BITS: u32 = 0o077;

/// Length of the key that authenticates messages between daemons, in bytes.
const WIRE_KEY_BYTES: usize = 32;

/// Generates a signing key, writes it to a new file and returns its public key.
pub fn generate(path: &Path) -> Result<Name, Error> {
    let key = SigningKey::generate(&mut rand::rng());
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(KEY_FILE_MODE)
        .open(path)
        .context(WriteSnafu { path })?;
    writeln!(file, "{}", hex::encode(key.to_bytes())).context(WriteSnafu { path })?;
    Ok(public_key(&key))
}

/// Reads a signing key; refuses a file that the group or others may access.
pub fn read(path: &Path) -> Result<SigningKey, Error> {
    let meta = fs::metadata(path).context(ReadSnafu { path })?;
    let mode = meta.permissions().mode() & 0o777;
    if mode & GROUP_AND_OTHER_BITS != 0 {
        return Err(Error::ExposedKey {
            path: path.to_owned(),
            mode,
        });
    }
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    parse_signing_key(&text).ok_or_else(|| Error::InvalidKey {
        path: path.to_owned(),
    })
}

/// Generates a wire key, in hex.
pub fn generate_wire_key() -> String {
    let bytes: [u8; WIRE_KEY_BYTES] = rand::random();
    hex::encode(bytes)
}
