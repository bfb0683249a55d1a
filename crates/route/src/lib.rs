//! Pure decisions on requests: tables in, choice and reason out.
//!
//! Nothing here awaits, logs or reads a clock; the time and a seeded generator
//! are arguments.

pub mod batch;
pub mod budget;
pub mod choose;
pub mod demand;
pub mod health;
pub mod limit;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod rest;
pub mod retry;
pub mod routing;
pub mod service;
pub mod window;
