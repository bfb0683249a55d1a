//! Operators' keys and signatures.

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use unit::Name;

/// What a signature is given for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Proposal of a bundle.
    Propose,
    /// Approval of a proposed bundle.
    Approve,
}

/// Signature of a named operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorSignature {
    /// Operator's name in the settings.
    pub operator: Name,
    /// Ed25519 signature in hex.
    pub signature: Name,
}

/// Trusted operators, and the number of approvals a bundle needs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Trust {
    /// Public keys (hex) by operator.
    pub operators: BTreeMap<Name, Name>,
    /// Number of approvals that a bundle needs from operators other than the proposer.
    pub required_approvals: usize,
}

/// Signed bytes: the purpose, the hash of the content and the sequence it replaces.
fn statement(purpose: Purpose, content_hash: &str, replaces: u64) -> Vec<u8> {
    let word = match purpose {
        Purpose::Propose => "propose",
        Purpose::Approve => "approve",
    };
    format!("coveford bundle v1\n{word}\n{content_hash}\n{replaces}\n").into_bytes()
}

/// Signs content for a purpose.
pub fn sign(
    key: &SigningKey,
    operator: &Name,
    purpose: Purpose,
    content_hash: &str,
    replaces: u64,
) -> OperatorSignature {
    let signature = key.sign(&statement(purpose, content_hash, replaces));
    OperatorSignature {
        operator: operator.clone(),
        signature: hex::encode(signature.to_bytes()).into(),
    }
}

/// Parses a signing key in hex.
pub fn parse_signing_key(text: &str) -> Option<SigningKey> {
    let bytes = hex::decode(text.trim()).ok()?;
    Some(SigningKey::from_bytes(&bytes.try_into().ok()?))
}

/// Public key of a signing key, in hex.
pub fn public_key(key: &SigningKey) -> Name {
    hex::encode(key.verifying_key().to_bytes()).into()
}

/// Parses a public key in hex.
pub fn parse_public_key(text: &str) -> Option<VerifyingKey> {
    let bytes: [u8; 32] = hex::decode(text).ok()?.try_into().ok()?;
    VerifyingKey::from_bytes(&bytes).ok()
}

impl Trust {
    /// Whether a signature is valid and its operator's key is trusted and not revoked.
    pub fn verifies(
        &self,
        signed: &OperatorSignature,
        purpose: Purpose,
        content_hash: &str,
        replaces: u64,
        revoked: &BTreeSet<Name>,
    ) -> bool {
        let Some(public) = self.operators.get(&signed.operator) else {
            return false;
        };
        if revoked.contains(public) {
            return false;
        }
        let signature = hex::decode(&*signed.signature)
            .ok()
            .and_then(|bytes| Signature::from_slice(&bytes).ok());
        match (parse_public_key(public), signature) {
            (Some(key), Some(signature)) => key
                .verify_strict(&statement(purpose, content_hash, replaces), &signature)
                .is_ok(),
            _ => false,
        }
    }
}
