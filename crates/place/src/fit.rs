//! Whether the floors of a bundle fit the accelerators, with the arithmetic.

use crate::homes::Requirement;
use serde::{Deserialize, Serialize};
use std::fmt;
use unit::{Bytes, Name};

/// Upstream and its accelerator memory, from the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bin {
    /// Its name.
    pub upstream: Name,
    /// Its memory.
    pub memory: Bytes,
}

/// Replica that found no room.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unplaced {
    /// The model.
    pub model: Name,
    /// Memory of one replica with its adapters.
    pub memory: Bytes,
}

/// Outcome of the check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fit {
    /// Memory of all upstreams that stay.
    pub has: Bytes,
    /// Memory of all replicas that must be.
    pub needs: Bytes,
    /// Upstreams.
    pub upstreams: usize,
    /// Replicas.
    pub replicas: usize,
    /// Largest upstream.
    pub largest: Bytes,
    /// Replicas that found no room.
    #[serde(rename = "homeless")]
    pub unplaced: Vec<Unplaced>,
}

impl Fit {
    /// Whether every replica found room.
    pub fn fits(&self) -> bool {
        self.unplaced.is_empty()
    }
}

impl fmt::Display for Fit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} replicas need {}; {} upstreams have {}, the largest {}.",
            self.replicas, self.needs, self.upstreams, self.has, self.largest
        )?;
        for unplaced in &self.unplaced {
            write!(
                f,
                " No room for a replica of {} ({}).",
                unplaced.model, unplaced.memory
            )?;
        }
        Ok(())
    }
}

/// Packs replicas into upstreams, the largest first, each where least is left over.
///
/// Two replicas of one model go to different upstreams.
pub fn check(models: &[Requirement], bins: &[Bin]) -> Fit {
    let mut left: Vec<(u64, Vec<&Name>)> = bins.iter().map(|r| (r.memory.0, Vec::new())).collect();
    let mut ordered: Vec<&Requirement> = models.iter().collect();
    ordered.sort_by(|a, b| b.memory.cmp(&a.memory).then(a.model.cmp(&b.model)));
    let mut fit = Fit {
        has: bins.iter().map(|r| r.memory).sum(),
        needs: Bytes(0),
        upstreams: bins.len(),
        replicas: 0,
        largest: bins.iter().map(|r| r.memory).max().unwrap_or_default(),
        unplaced: Vec::new(),
    };
    for requirement in ordered {
        for _ in 0..requirement.min_replicas {
            fit.replicas += 1;
            fit.needs += requirement.memory;
            let best = left
                .iter_mut()
                .filter(|(bytes, models)| {
                    *bytes >= requirement.memory.0 && !models.contains(&&requirement.model)
                })
                .min_by_key(|(bytes, _)| *bytes);
            match best {
                Some((bytes, models)) => {
                    *bytes -= requirement.memory.0;
                    models.push(&requirement.model);
                }
                None => fit.unplaced.push(Unplaced {
                    model: requirement.model.clone(),
                    memory: requirement.memory,
                }),
            }
        }
    }
    fit
}

#[cfg(test)]
mod tests {
    use super::*;

    fn requirement(model: &str, gb: u64, min_replicas: u32) -> Requirement {
        Requirement {
            model: model.into(),
            memory: Bytes::from_gb(gb),
            min_replicas,
        }
    }

    fn bin(upstream: &str, gb: u64) -> Bin {
        Bin {
            upstream: upstream.into(),
            memory: Bytes::from_gb(gb),
        }
    }

    #[test]
    fn a_sum_that_fits_may_still_not_pack() {
        let bins = [bin("a", 10), bin("b", 10)];
        let fit = check(
            &[
                requirement("x", 6, 1),
                requirement("y", 6, 1),
                requirement("z", 6, 1),
            ],
            &bins,
        );
        assert_eq!(fit.unplaced.len(), 1);
        assert!(
            fit.to_string()
                .contains("3 replicas need 18.0 GB; 2 upstreams have 20.0 GB")
        );
    }

    #[test]
    fn replicas_of_one_model_go_to_different_upstreams() {
        let fit = check(&[requirement("x", 2, 2)], &[bin("a", 10)]);
        assert!(!fit.fits());
    }
}
