//! Daemon for a platform whose store lists the replicas: routes requests, follows the store, plans placement.
//!
//! `state` holds what several modules share; `run` starts them all. Lock order: [`queue::Queues`], then
//! [`table::Table`], then [`attempt::Call::standing`]; none is held across an await.

pub mod accounts;
pub mod attempt;
pub mod changelog;
pub mod clock;
pub mod contact;
pub mod detour;
pub mod dispatch;
pub mod error;
pub mod events;
pub mod features;
pub mod feedback;
pub mod fleet;
pub mod follow;
pub mod grace;
pub mod grant;
pub mod leader;
pub mod log;
pub mod memory;
pub mod message;
pub mod metrics;
pub mod paths;
pub mod peers;
pub mod planner;
pub mod pool;
mod probe;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod rate_limit;
pub mod readers;
pub mod relay;
pub mod respond;
pub mod rounds;
pub mod routes;
pub mod run;
pub mod serve;
pub mod settings;
pub mod shares;
pub mod startup;
pub mod state;
pub mod streams;
pub mod table;
pub mod view;

pub use error::Error;
pub use run::{Daemon, run, spawn};
pub use settings::Settings;
