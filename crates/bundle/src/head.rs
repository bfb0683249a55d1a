//! Drafts of bundles, and the head, which is the bundle in force.

use crate::key::{OperatorSignature, Purpose, Trust};
use crate::part::{self, Ref};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use std::collections::BTreeSet;
use unit::Name;

/// Proposed bundle that waits for approvals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Draft {
    /// Unique id; by it a roll recognizes its own write when the answer was lost.
    pub id: Name,
    /// Sequence of the bundle that this draft replaces.
    pub replaces: u64,
    /// Title, for display.
    pub title: Name,
    /// References to the parts of its content.
    pub parts: Vec<Ref>,
    /// Signature of the proposer.
    pub proposal: OperatorSignature,
    /// Signatures of the approvers.
    pub approvals: Vec<OperatorSignature>,
}

/// Bundle in force: a draft with its sequence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Sequence of this bundle, one higher with each roll.
    pub sequence: u64,
    /// Wall clock at the roll in milliseconds since 1970; used only to measure the propagation delay.
    pub rolled_ms: u64,
    /// Draft that was rolled.
    pub draft: Draft,
}

/// Why a head or draft must not be put in force.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The sequence does not follow the one that is replaced.
    #[snafu(display(
        "Bundle {sequence} claims to replace {replaces}; it must replace the one right before it."
    ))]
    Sequence {
        /// Sequence of the head.
        sequence: u64,
        /// Sequence that the draft replaces.
        replaces: u64,
    },
    /// The proposal is not signed with a trusted key.
    #[snafu(display(
        "The proposal of '{operator}' is not signed with a key that this process trusts."
    ))]
    Proposal {
        /// Claimed proposer.
        operator: Name,
    },
    /// There are not enough valid approvals.
    #[snafu(display(
        "Draft {id} has {valid} valid approvals of operators other than '{proposer}'; {needed} are needed."
    ))]
    Approvals {
        /// Id of the draft.
        id: Name,
        /// Proposer.
        proposer: Name,
        /// Number of valid approvals.
        valid: usize,
        /// Number of required approvals.
        needed: usize,
    },
}

impl Draft {
    /// Hash of the whole content.
    pub fn content_hash(&self) -> Name {
        part::content_hash(&self.parts)
    }

    /// Operators with a valid approval, other than the proposer.
    pub fn valid_approvals(&self, trust: &Trust, revoked: &BTreeSet<Name>) -> BTreeSet<Name> {
        let content_hash = self.content_hash();
        self.approvals
            .iter()
            .filter(|a| a.operator != self.proposal.operator)
            .filter(|a| trust.verifies(a, Purpose::Approve, &content_hash, self.replaces, revoked))
            .map(|a| a.operator.clone())
            .collect()
    }

    /// Checks the proposer's signature and the number of valid approvals.
    pub fn verify(&self, trust: &Trust, revoked: &BTreeSet<Name>) -> Result<(), Error> {
        let is_proposed = trust.verifies(
            &self.proposal,
            Purpose::Propose,
            &self.content_hash(),
            self.replaces,
            revoked,
        );
        if !is_proposed {
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

/// Difference between a head and an earlier one. The signatures in it cover the complete content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Sequence of the earlier head.
    pub base: u64,
    /// New head, with only the parts that differ.
    pub head: Head,
    /// Groups that the new head no longer has.
    pub gone: Vec<Name>,
}

impl Delta {
    /// Computes the difference between two heads.
    pub fn between(old: &Head, new: &Head) -> Delta {
        let has_group = |parts: &[Ref], group: &Name| parts.iter().any(|p| p.group == *group);
        let mut head = new.clone();
        head.draft
            .parts
            .retain(|part| !old.draft.parts.contains(part));
        let gone = old.draft.parts.iter().map(|p| p.group.clone());
        Delta {
            base: old.sequence,
            head,
            gone: gone.filter(|g| !has_group(&new.draft.parts, g)).collect(),
        }
    }

    /// Reconstructs the new head from the earlier one. The caller must verify its signatures.
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
    /// Checks the sequence and signatures of this head. Signatures by `revoked` keys do not count.
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
    fn applying_a_delta_reconstructs_the_new_head() {
        let old = head(1, &[("a", "1"), ("b", "1"), ("c", "1")]);
        let new = head(2, &[("a", "1"), ("aa", "1"), ("c", "2")]);
        let delta = Delta::between(&old, &new);
        assert_eq!(delta.head.draft.parts.len(), 2);
        assert_eq!(delta.apply(&old), new);
    }
}
