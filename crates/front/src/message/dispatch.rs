//! Datagrams between hosts and the dispatcher of a service.

use super::{MAX_DATAGRAM, replica_hash};
use route::dispatch::{Decision, Outcome, ReplicaKey};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use unit::{Name, Span};

/// Longest encoded row of a report, in bytes.
const ROW_SIZE: usize = 20;

/// Rows of a report that fit one datagram beside its header.
const MAX_ROWS: usize = (MAX_DATAGRAM - 200) / ROW_SIZE;

/// Host that gives out the places of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    pub service: Name,
    /// Address of its datagram socket.
    pub addr: SocketAddr,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Dispatch {
    /// Asks the dispatcher for a place.
    Ask(Ask),
    /// Dispatcher's answer to the request of that number.
    Answer(u32, Answer),
    /// Tells the dispatcher what has ended and what is in flight.
    Report(Report),
    /// Tells the leader that this host stops and takes no more work for others.
    Withdrawn,
}

/// Request for a place of a service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Ask {
    /// Number of the request, unique at its host.
    pub number: u32,
    pub service: Name,
    pub priority: u8,
    /// Time left of the target and until the deadline, in milliseconds.
    pub target_ms: u32,
    pub deadline_ms: u32,
    /// Hash of the client's account; 0 if it has none.
    pub account: u32,
    /// Hashes of replicas that must not be chosen.
    pub avoid: Vec<ReplicaKey>,
    /// Hash of the replica that its host has chosen.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub only: Option<ReplicaKey>,
}

/// Dispatcher's decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Hash of the replica that the request may be sent to.
    Grant(ReplicaKey),
    Wait,
    /// Time after which room is expected, in milliseconds.
    Refuse(u32),
    Unable,
}

impl From<Decision> for Answer {
    fn from(decision: Decision) -> Answer {
        match decision {
            Decision::Grant(replica) => Answer::Grant(replica),
            Decision::Wait => Answer::Wait,
            Decision::Refuse(wait) => Answer::Refuse(wait.ms() as u32),
            Decision::Unable => Answer::Unable,
        }
    }
}

/// Requests of one host at the replicas of a service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub service: Name,
    /// Number of the report; an earlier one that arrives later is dropped.
    pub sequence: u32,
    /// Whether `held` lists all requests in flight.
    pub is_complete: bool,
    /// Requests in flight, by number and replica.
    pub held: Vec<(u32, ReplicaKey)>,
    /// Requests that have ended.
    pub ended: Vec<Ended>,
}

impl Report {
    /// Report with as many rows as fit one datagram; those that ended come first.
    pub fn new(service: Name, mut held: Vec<(u32, ReplicaKey)>, mut ended: Vec<Ended>) -> Report {
        ended.truncate(MAX_ROWS);
        let room = MAX_ROWS - ended.len();
        let is_complete = held.len() <= room;
        held.truncate(room);
        Report {
            service,
            sequence: 0,
            is_complete,
            held,
            ended,
        }
    }
}

/// Request that has ended: number, how, and the time it took in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended(pub u32, EndedHow, u32);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum EndedHow {
    Served,
    Failed,
    TurnedAway,
    Unused,
}

impl Ended {
    pub fn new(number: u32, outcome: Outcome) -> Ended {
        let (how, took) = match outcome {
            Outcome::Served(took) => (EndedHow::Served, took),
            Outcome::Failed => (EndedHow::Failed, Span::ZERO),
            Outcome::TurnedAway => (EndedHow::TurnedAway, Span::ZERO),
            Outcome::Unused => (EndedHow::Unused, Span::ZERO),
        };
        Ended(number, how, took.0.min(u64::from(u32::MAX)) as u32)
    }

    pub fn outcome(&self) -> Outcome {
        match self.1 {
            EndedHow::Served => Outcome::Served(Span(u64::from(self.2))),
            EndedHow::Failed => Outcome::Failed,
            EndedHow::TurnedAway => Outcome::TurnedAway,
            EndedHow::Unused => Outcome::Unused,
        }
    }
}

/// Hash of a client's account, never 0.
pub fn account_hash(account: &str) -> u32 {
    replica_hash(account).max(1)
}
