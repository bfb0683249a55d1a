//! Pure decisions on placement: which weights each upstream of a hall should hold.
//!
//! Nothing here awaits, logs or reads a clock. The safety of memory rests on
//! [`ledger`] alone; [`plan`] only proposes what the ledger allows.

pub mod adapters;
pub mod balance;
pub mod copies;
pub mod demand;
pub mod fit;
pub mod fleet;
pub mod homes;
pub mod ledger;
pub mod plan;

pub use fleet::{Fleet, Upstream};
pub use homes::Homes;
pub use ledger::Ledger;
pub use plan::{Plan, plan};
