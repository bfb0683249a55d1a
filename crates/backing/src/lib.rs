//! Clients of the key-value service and the host list, and the capacity of the weight store.
//!
//! Each wire format is confined to one module.

pub mod hosts;
pub mod keys;
pub mod kv;
pub mod store;
