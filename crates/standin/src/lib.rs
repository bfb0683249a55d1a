//! Small stand-ins of everything outside coveford, for the quick start, the
//! tests and the experiments. Each is a task bound to loopback; its handle
//! switches faults.

pub mod caller;
pub mod engine;
pub mod experiment;
pub mod fleet;
pub mod hosts;
pub mod kv;
pub mod quickstart;
pub mod service;
mod web;
