//! Placement: which weights each upstream of a hall, or each replica of a service, holds.
//!
//! The functions are pure: they do no I/O, log nothing and read no clock. [`ledger`] alone prevents
//! memory overcommitment; [`plan`](mod@plan) issues only orders that the ledger accepts.

pub mod adapters;
pub mod balance;
pub mod copies;
pub mod demand;
pub mod fit;
pub mod fleet;
pub mod homes;
pub mod ledger;
pub mod plan;
pub mod rise;

pub use fleet::{Fleet, Upstream};
pub use homes::Homes;
pub use ledger::Ledger;
pub use plan::{Plan, plan};
