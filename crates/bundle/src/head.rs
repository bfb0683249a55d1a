//! Drafts of a bundle and the head that is in force.

use crate::key::{Act, Signed, Trust};
use crate::part::{self, Ref};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::BTreeSet;
use unit::Name;

/// Proposed bundle that waits for approvals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draft {
    /// Identity, also the nonce by which a roll finds its own write.
    pub id: Name,
    /// Sequence that this draft replaces.
    pub replaces: u64,
    /// Title for people.
    pub title: Name,
    /// Parts of its content.
    pub parts: Vec<Ref>,
    /// Proposer's signature.
    pub proposal: Signed,
    /// Signatures of those who approved.
    pub approvals: Vec<Signed>,
}

/// Bundle in force: a draft at a sequence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number of this bundle; each roll adds one.
    pub sequence: u64,
    /// Operators' wall clock at the roll, in milliseconds since 1970; used for the spread lag only.
    pub rolled_ms: u64,
    /// What was rolled.
    pub draft: Draft,
}

/// Why a head or draft is not to be put in force.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The sequence does not follow the one it replaces.
    #[snafu(display(
        "Bundle {sequence} claims to replace {replaces}; it must replace the one right before it."
    ))]
    Sequence {
        /// Its own.
        sequence: u64,
        /// The one it claims to replace.
        replaces: u64,
    },
    /// The proposer's signature does not verify.
    #[snafu(display(
        "The proposal of '{operator}' is not signed with a key that this process trusts."
    ))]
    Proposal {
        /// Who claims to have proposed it.
        operator: Name,
    },
    /// There are too few valid approvals.
    #[snafu(display(
        "Draft {id} has {valid} valid approvals of operators other than '{proposer}'; {needed} are needed."
    ))]
    Approvals {
        /// The draft.
        id: Name,
        /// Who proposed it.
        proposer: Name,
        /// Valid ones.
        valid: usize,
        /// Needed ones.
        needed: usize,
    },
}

impl Draft {
    /// Hash that names the whole content.
    pub fn root(&self) -> Name {
        part::root(&self.parts)
    }

    /// Operators whose approvals are valid; never the proposer.
    pub fn valid_approvals(&self, trust: &Trust, revoked: &BTreeSet<Name>) -> BTreeSet<Name> {
        let root = self.root();
        self.approvals
            .iter()
            .filter(|a| a.operator != self.proposal.operator)
            .filter(|a| trust.verifies(a, Act::Approve, &root, self.replaces, revoked))
            .map(|a| a.operator.clone())
            .collect()
    }

    /// Checks the proposer's signature and the number of approvals.
    pub fn verify(&self, trust: &Trust, revoked: &BTreeSet<Name>) -> Result<(), Refusal> {
        let proposed = trust.verifies(
            &self.proposal,
            Act::Propose,
            &self.root(),
            self.replaces,
            revoked,
        );
        if !proposed {
            return Err(Refusal::Proposal {
                operator: self.proposal.operator.clone(),
            });
        }
        let valid = self.valid_approvals(trust, revoked).len();
        if valid < trust.needed {
            return Err(Refusal::Approvals {
                id: self.id.clone(),
                proposer: self.proposal.operator.clone(),
                valid,
                needed: trust.needed,
            });
        }
        Ok(())
    }
}

impl Head {
    /// Checks that this head may be put in force after `revoked` keys were withdrawn.
    pub fn verify(&self, trust: &Trust, revoked: &BTreeSet<Name>) -> Result<(), Refusal> {
        if self.draft.replaces + 1 != self.sequence {
            return Err(Refusal::Sequence {
                sequence: self.sequence,
                replaces: self.draft.replaces,
            });
        }
        self.draft.verify(trust, revoked)
    }
}
