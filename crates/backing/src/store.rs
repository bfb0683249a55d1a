//! Weight store: what it can give at once.
//!
//! Engines fetch weights themselves; coveford only keeps within the store's
//! rate and concurrency, which the operators state in the settings.

use serde::{Deserialize, Serialize};

/// Bounds of the store.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// Loads that may be started a second.
    pub loads_per_second: f64,
    /// Loads that run at full speed at the same time.
    pub concurrent: u32,
}

impl Default for Capacity {
    fn default() -> Self {
        // The smaller of the two users' stores.
        Capacity {
            loads_per_second: 1.5,
            concurrent: 10,
        }
    }
}
