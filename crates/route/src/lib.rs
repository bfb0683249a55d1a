//! Pure decisions on requests: tables in, choice and reason out.
//!
//! Nothing here awaits, logs or reads a clock; the time and a seeded generator
//! are arguments.

pub mod backoff;
pub mod batch;
pub mod breaker;
pub mod budget;
pub mod choose;
pub mod concurrency;
pub mod demand;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod retry;
pub mod routing;
pub mod service_time;
pub mod windowed_budget;
