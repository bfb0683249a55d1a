//! What the dispatcher is told, and what it decides.

use std::net::SocketAddr;
use unit::{Span, Time};

/// Hash of a replica's id.
pub type ReplicaKey = u32;

/// Request of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket {
    /// Host, by the address of its datagram socket.
    pub host: SocketAddr,
    /// Number of the request, unique at its host.
    pub number: u32,
}

/// Request for a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    pub ticket: Ticket,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// When its answer is due.
    pub target: Time,
    /// When its client stops waiting.
    pub deadline: Time,
    /// Hash of the client's account; 0 if it has none.
    pub account: u32,
    /// Replicas that must not be chosen.
    pub avoid: Vec<ReplicaKey>,
    /// Replica that its host has chosen.
    pub only: Option<ReplicaKey>,
}

/// What a host is told about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent to this replica.
    Grant(ReplicaKey),
    /// It waits; a grant or a refusal follows.
    Wait,
    /// It cannot be served before its deadline; time after which room is expected.
    Refuse(Span),
    /// No replica can be given out: the host chooses alone.
    Unable,
}

/// Decision about one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Notice {
    pub ticket: Ticket,
    pub decision: Decision,
}

/// How a request ended at a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered, in this time.
    Served(Span),
    /// The replica failed it.
    Failed,
    /// The replica turned it away or could not be reached.
    TurnedAway,
    /// It was not sent, or its client left.
    Unused,
}
