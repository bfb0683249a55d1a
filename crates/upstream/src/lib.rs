//! Clients of the upstreams: model engines and plain services.

pub mod engine;
pub mod service;
