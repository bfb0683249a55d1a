//! Content-based identity of requests.

use crate::rendezvous;
use serde::{Deserialize, Serialize};
use std::fmt;

/// 64-bit hash over a request's host, path, account and body; requests with equal content share it.
///
/// Among the few thousand fingerprints kept at a time, the probability of a collision is below 10^-12.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes a request; `account` is `None` for requests without a client account.
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
