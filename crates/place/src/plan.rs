//! One tick of a hall's planner: what to load and unload now, and why.
//!
//! In order: floors, versions, adapters, what the bundle no longer names, then
//! growth. Each step asks the ledger for every order, so none can overcommit;
//! a step that finds no room may ask for an unload, and gets its room ticks
//! later, when a report shows it.

mod floor;
mod reconcile;
mod scale_up;
mod tick;

pub use tick::{Demand, Input, LoadLimiter, Plan, Spec, plan};
