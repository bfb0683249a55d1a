//! Drafts of a bundle and the head that is in force.

use crate::key::{OperatorSignature, Purpose, Trust};
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
    pub proposal: OperatorSignature,
    /// Signatures of those who approved.
    pub approvals: Vec<OperatorSignature>,
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
pub enum Error {
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
    pub fn content_hash(&self) -> Name {
        part::content_hash(&self.parts)
    }

    /// Operators whose approvals are valid; never the proposer.
    pub fn valid_approvals(&self, trust: &Trust, revoked: &BTreeSet<Name>) -> BTreeSet<Name> {
        let root = self.content_hash();
        self.approvals
            .iter()
            .filter(|a| a.operator != self.proposal.operator)
            .filter(|a| trust.verifies(a, Purpose::Approve, &root, self.replaces, revoked))
            .map(|a| a.operator.clone())
            .collect()
    }

    /// Checks the proposer's signature and the number of approvals.
    pub fn verify(&self, trust: &Trust, revoked: &BTreeSet<Name>) -> Result<(), Error> {
        let proposed = trust.verifies(
            &self.proposal,
            Purpose::Propose,
            &self.content_hash(),
            self.replaces,
            revoked,
        );
        if !proposed {
            return Err(Error::Proposal {
                operator: self.proposal.operator.clone(),
            });
        }
        let valid = self.valid_approvals(trust, revoked).len();
        if valid < trust.required_approvals {
            return Err(Error::Approvals {
                id: self.id.clone(),
                proposer: self.proposal.operator.clone(),
                valid,
                needed: trust.required_approvals,
            });
        }
        Ok(())
    }
}

/// What a head changes against an earlier one; the signatures are over the whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Sequence of the earlier head.
    pub base: u64,
    /// The new head, with only those parts that differ.
    pub head: Head,
    /// Groups that are gone.
    pub gone: Vec<Name>,
}

impl Delta {
    /// Compares two heads.
    pub fn between(old: &Head, new: &Head) -> Delta {
        let group = |parts: &[Ref], group: &Name| parts.iter().any(|p| p.group == *group);
        let mut head = new.clone();
        head.draft
            .parts
            .retain(|part| !old.draft.parts.contains(part));
        let gone = old.draft.parts.iter().map(|p| p.group.clone());
        Delta {
            base: old.sequence,
            head,
            gone: gone.filter(|g| !group(&new.draft.parts, g)).collect(),
        }
    }

    /// The new head, made from the earlier one; whether it is right, its signatures tell.
    pub fn apply(self, old: &Head) -> Head {
        let mut head = self.head;
        let changed = std::mem::take(&mut head.draft.parts);
        let kept = old.draft.parts.iter().filter(|old| {
            !self.gone.contains(&old.group) && !changed.iter().any(|new| new.group == old.group)
        });
        let mut parts: Vec<Ref> = kept.cloned().collect();
        parts.extend(changed);
        parts.sort_by(|a, b| a.group.cmp(&b.group));
        head.draft.parts = parts;
        head
    }
}

impl Head {
    /// Checks that this head may be put in force after `revoked` keys were withdrawn.
    pub fn verify(&self, trust: &Trust, revoked: &BTreeSet<Name>) -> Result<(), Error> {
        if self.draft.replaces + 1 != self.sequence {
            return Err(Error::Sequence {
                sequence: self.sequence,
                replaces: self.draft.replaces,
            });
        }
        self.draft.verify(trust, revoked)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn head(sequence: u64, parts: &[(&str, &str)]) -> Head {
        let signed = OperatorSignature {
            operator: "alice".into(),
            signature: "".into(),
        };
        let parts = parts.iter().map(|(group, hash)| Ref {
            group: (*group).into(),
            hash: (*hash).into(),
        });
        Head {
            sequence,
            rolled_ms: 0,
            draft: Draft {
                id: "x".into(),
                replaces: sequence - 1,
                title: "".into(),
                parts: parts.collect(),
                proposal: signed,
                approvals: Vec::new(),
            },
        }
    }

    #[test]
    fn a_delta_makes_the_new_head_again() {
        let old = head(1, &[("a", "1"), ("b", "1"), ("c", "1")]);
        let new = head(2, &[("a", "1"), ("aa", "1"), ("c", "2")]);
        let delta = Delta::between(&old, &new);
        assert_eq!(delta.head.draft.parts.len(), 2);
        assert_eq!(delta.apply(&old), new);
    }
}
