//! Exceptional conditions of hosts and replicas, sent only while there are any.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use unit::Name;

/// Most rows of a datagram; a row takes at most 40 bytes.
pub const MAX_DETOURS: usize = 32;

/// Most brittle replicas in a datagram; each takes at most 8 bytes.
pub const MAX_BRITTLE: usize = 128;

/// Conditions at one host, sent to the leader each round.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostConditions {
    pub host: Name,
    /// Whether it reaches no replica.
    pub is_isolated: bool,
    /// Whether it may need other hosts for its requests.
    pub wants_detours: bool,
    /// Requests of other hosts that it takes beyond those that it has.
    pub room: u16,
    /// Brittle replicas that answered it lately.
    pub brittle: Vec<Brittle>,
}

/// Replica, by hash, and the requests that it may turn away within a second before it falls over.
pub type Brittle = (u32, u16);

/// Host that takes requests of others: its address, its hall, and how many more it takes.
pub type Detour = (SocketAddr, Name, u16);
