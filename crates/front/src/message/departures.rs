//! Message about replicas that announced their departure.

use super::MAX_DATAGRAM;
use platform::replica::Incarnation;
use serde::{Deserialize, Serialize};
use unit::Name;

/// Encoded size of one replica, in bytes, with an id of the usual length.
const ROW_SIZE: usize = 64;

/// Replicas that fit one datagram, with room for the host's name.
pub const MAX_DEPARTURES: usize = MAX_DATAGRAM / ROW_SIZE - 2;

/// Replicas that announced in a response that they are leaving.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Departures {
    /// Sender.
    pub host: Name,
    /// Replicas by full id: after a hash collision a healthy replica would get no requests until its next start.
    pub replicas: Vec<(Name, Incarnation)>,
}
