//! Capacity of the weight store.
//!
//! Engines fetch weights themselves. Coveford only limits the rate and concurrency of loads, by the settings.

use serde::{Deserialize, Serialize};

/// Load capacity of the store.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// Loads that may start per second.
    pub loads_per_second: f64,
    /// Concurrent loads that run at full speed.
    pub concurrent: u32,
}

impl Default for Capacity {
    fn default() -> Self {
        Capacity {
            loads_per_second: 1.5,
            concurrent: 10,
        }
    }
}
