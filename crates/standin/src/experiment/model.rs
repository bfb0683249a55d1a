//! A small queueing model of engines under virtual time, driven by coveford's own decisions.
//!
//! It models batching, prefill and decode time, the prefix cache, memory and loads; it knows no
//! network and no processes.

mod engine;
mod planner;
mod router;
mod workload;
mod world;

pub use planner::Placement;
pub use router::Routing;
pub use workload::{Size, Workload};
pub use world::{Outcome, Policy, run};
