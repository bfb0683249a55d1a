//! Clients of what stands behind coveford: model engines and plain services.

pub mod engine;
pub mod service;
