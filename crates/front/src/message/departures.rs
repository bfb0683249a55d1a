//! What hosts tell each other of replicas that leave by their own word.

use super::MAX_DATAGRAM;
use platform::replica::Incarnation;
use serde::{Deserialize, Serialize};
use unit::Name;

/// Size of a row, in bytes, with an identity as long as platforms give.
const ROW_SIZE: usize = 64;

/// Replicas that fit one datagram, beside the host's name.
pub const ROWS: usize = MAX_DATAGRAM / ROW_SIZE - 2;

/// Replicas that have said in an answer that they leave.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Departures {
    /// Host that tells it.
    pub host: Name,
    /// The replicas. Whole identities: a replica that was taken for another one would be left out until its next start.
    pub replicas: Vec<(Name, Incarnation)>,
}
