//! Load of all hosts by replica, kept up to date by the difference that each report makes: a sum over all reports
//! would cost hosts times replicas each time.

use crate::message::{Load, PackedLoad};
use std::collections::{HashMap, HashSet};

/// Load of all hosts by replica.
#[derive(Debug, Default)]
pub struct Totals {
    /// Sums that are not zero, by replica hash.
    sums: HashMap<u32, Load>,
    /// Replicas whose sum may have changed since [`Totals::take_changed`].
    changed: HashSet<u32>,
}

impl Totals {
    /// Adds rows of a host.
    pub fn add(&mut self, rows: &[PackedLoad]) {
        for row in rows {
            self.sums.entry(row.replica()).or_default().add(&row.load());
            self.changed.insert(row.replica());
        }
    }

    /// Subtracts rows that were added before. The rows hold integers, far below the precision of the sums, so that
    /// nothing is left of them.
    pub fn subtract(&mut self, rows: &[PackedLoad]) {
        for row in rows {
            let Some(sum) = self.sums.get_mut(&row.replica()) else {
                continue;
            };
            *sum = sum.saturating_sub(&row.load());
            if *sum == Load::default() {
                self.sums.remove(&row.replica());
            }
            self.changed.insert(row.replica());
        }
    }

    /// Sums that are not zero, by replica hash.
    pub fn all(&self) -> &HashMap<u32, Load> {
        &self.sums
    }

    /// Rows of the replicas whose sums may have changed since the last call.
    pub fn take_changed(&mut self) -> Vec<PackedLoad> {
        let changed = std::mem::take(&mut self.changed);
        let row = |replica| PackedLoad::of_hash(replica, &self.sum(replica));
        changed.into_iter().map(row).collect()
    }

    fn sum(&self, replica: u32) -> Load {
        self.sums.get(&replica).copied().unwrap_or_default()
    }
}
