//! What makes two requests the same, whatever identity each was given.

use crate::rendezvous;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Fingerprint of a request: equal for requests with the same host, path, account and body.
///
/// 64 bits: among the some thousands that are remembered at a time, two requests share one with a chance of
/// less than one in a million millions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Fingerprint of a request of an account, if it has one, to a host and a path.
    pub fn of(host: &str, path: &str, account: Option<&str>, body: &[u8]) -> Fingerprint {
        let parts = [
            host.as_bytes(),
            path.as_bytes(),
            account.unwrap_or_default().as_bytes(),
            body,
        ];
        let mut hashes = Vec::with_capacity(parts.len() * size_of::<u64>());
        for part in parts {
            hashes.extend(rendezvous::hash(part).to_le_bytes());
        }
        Fingerprint(rendezvous::hash(&hashes))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
