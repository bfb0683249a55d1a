//! Operators' keys and approvals.

use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use unit::Name;

/// What a signature says about a bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// "I propose this content."
    Propose,
    /// "I approve this content."
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

/// Operators that a daemon or tool trusts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Trust {
    /// Public keys (hex) by operator.
    pub operators: BTreeMap<Name, Name>,
    /// Approvals a bundle needs, the proposer's own not counted.
    pub required_approvals: usize,
}

/// Bytes that are signed: the act, the content and the sequence it replaces.
fn statement(purpose: Purpose, root: &str, replaces: u64) -> Vec<u8> {
    let word = match purpose {
        Purpose::Propose => "propose",
        Purpose::Approve => "approve",
    };
    format!("coveford bundle v1\n{word}\n{root}\n{replaces}\n").into_bytes()
}

/// Signs an act on content.
pub fn sign(
    key: &SigningKey,
    operator: &Name,
    purpose: Purpose,
    root: &str,
    replaces: u64,
) -> OperatorSignature {
    let signature = key.sign(&statement(purpose, root, replaces));
    OperatorSignature {
        operator: operator.clone(),
        signature: hex::encode(signature.to_bytes()).into(),
    }
}

/// Reads a signing key from hex.
pub fn parse_signing_key(text: &str) -> Option<SigningKey> {
    let bytes = hex::decode(text.trim()).ok()?;
    Some(SigningKey::from_bytes(&bytes.try_into().ok()?))
}

/// Public key of a signing key, in hex.
pub fn public_key(key: &SigningKey) -> Name {
    hex::encode(key.verifying_key().to_bytes()).into()
}

/// Reads a public key from hex.
pub fn parse_public_key(text: &str) -> Option<VerifyingKey> {
    let bytes: [u8; 32] = hex::decode(text).ok()?.try_into().ok()?;
    VerifyingKey::from_bytes(&bytes).ok()
}

impl Trust {
    /// Whether a signature is that of its operator, whose key still counts.
    pub fn verifies(
        &self,
        signed: &OperatorSignature,
        purpose: Purpose,
        root: &str,
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
                .verify_strict(&statement(purpose, root, replaces), &signature)
                .is_ok(),
            _ => false,
        }
    }
}
