//! Host list: live and leaving hosts, with a lag.

use conn::{Error, Pool};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use unit::{Bytes, Name};

/// Path of the list.
pub const PATH: &str = "/v1/hosts";

/// Longest list that is read, in bytes: about 40,000 hosts.
const MOST_ANSWER: usize = 8_000_000;

/// What runs on a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    /// A coveford daemon.
    Daemon {
        /// Where it answers callers.
        callers: SocketAddr,
    },
    /// A model engine.
    Engine {
        /// Accelerator memory.
        memory: Bytes,
    },
    /// A plain service.
    Service {
        /// Its name in bundles.
        service: Name,
    },
}

/// Host in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name, unique over the fleet.
    pub name: Name,
    /// Where it answers other processes.
    pub addr: SocketAddr,
    /// Data hall it stands in.
    pub hall: Name,
    /// Whether it has been told to leave.
    pub leaving: bool,
    /// What runs on it.
    #[serde(flatten)]
    pub kind: Kind,
}

/// Client of the list.
#[derive(Clone)]
pub struct Hosts {
    addr: SocketAddr,
    pool: Pool,
    limit: Duration,
}

/// Makes a client that gives each call `limit` to be answered.
pub fn open(addr: SocketAddr, limit: Duration) -> Hosts {
    Hosts {
        addr,
        pool: Pool::default(),
        limit,
    }
}

impl Hosts {
    /// Reads the list.
    pub async fn list(&self) -> Result<Vec<Host>, Error> {
        self.pool
            .json::<(), _>(self.addr, PATH, None, self.limit, MOST_ANSWER)
            .await
    }
}
