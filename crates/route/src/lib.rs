//! Routing, queueing and rate limiting of requests as pure logic.
//!
//! No I/O, logging or clock access: the current time and a seeded random generator are arguments.

pub mod admission;
pub mod backoff;
pub mod batch;
pub mod breaker;
pub mod budget;
pub mod choose;
pub mod concurrency;
pub mod demand;
pub mod detour;
pub mod dispatch;
pub mod isolation;
pub mod pause;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod retry;
pub mod routing;
pub mod service_time;
pub mod speed;
pub mod streams;
pub mod surge;
pub mod windowed_budget;
