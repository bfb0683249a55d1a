//! One tick of a hall's planner: the loads and unloads to order now, with their reasons.
//!
//! A tick restores minimum replicas, rolls versions, loads adapters, unloads what the bundle no longer lists,
//! and scales up, in this order. Every order is reserved in the ledger, so no step can overcommit memory. A
//! step that lacks memory may order unloads; its load follows in a later tick, once a report shows the memory
//! as free.

mod floor;
mod reconcile;
mod scale_up;
mod tick;

pub use tick::{Demand, Input, LoadLimiter, Plan, Spec, plan};
