//! Bundles of intent: read, checked, compared, cut into parts, signed.

pub mod diff;
pub mod head;
pub mod ini;
pub mod intent;
pub mod key;
mod parse;
pub mod part;

pub use head::{Delta, Draft, Head};
pub use ini::Problem;
pub use intent::Intent;
pub use parse::parse;
