//! Clients of the platform's three services; each format is known to one module only.

pub mod hosts;
pub mod keys;
pub mod kv;
pub mod store;
