//! Host list: live and leaving hosts, with a lag.

use conn::{Error, Pool};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use unit::{Bytes, Name};

/// Path of the list.
pub const PATH: &str = "/v1/hosts";

/// Longest list that is read, in bytes: about 40,000 hosts.
const MAX_RESPONSE_BYTES: usize = 8_000_000;

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

/// What changed in the list after a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Version that the list has now.
    pub version: u64,
    /// Whether `changed` is the whole list: the version asked about is not known any more.
    pub whole: bool,
    /// Hosts that are new or differ.
    pub changed: Vec<Host>,
    /// Names of hosts that are gone.
    pub gone: Vec<Name>,
}

/// List as last read.
#[derive(Debug, Default)]
struct Known {
    version: u64,
    hosts: BTreeMap<Name, Host>,
}

impl Known {
    /// Takes changes over; tells whether there were any.
    fn apply(&mut self, changes: Changes) -> bool {
        let news = changes.whole || !changes.changed.is_empty() || !changes.gone.is_empty();
        if changes.whole {
            self.hosts.clear();
        }
        for name in changes.gone {
            self.hosts.remove(&name);
        }
        for host in changes.changed {
            self.hosts.insert(host.name.clone(), host);
        }
        self.version = changes.version;
        news
    }
}

/// Client of the list; clones share what was read.
#[derive(Clone)]
pub struct Hosts {
    addr: SocketAddr,
    pool: Pool,
    limit: Duration,
    known: Arc<Mutex<Known>>,
}

/// Makes a client that gives each call `limit` to be answered.
pub fn open(addr: SocketAddr, limit: Duration) -> Hosts {
    Hosts {
        addr,
        pool: Pool::default(),
        limit,
        known: Arc::default(),
    }
}

impl Hosts {
    /// Reads what changed since the last read; gives the whole list if anything did.
    pub async fn poll(&self) -> Result<Option<Vec<Host>>, Error> {
        let after = self.known.lock().version;
        let path = format!("{PATH}?after={after}");
        let changes: Changes = self
            .pool
            .json::<(), _>(self.addr, &path, None, self.limit, MAX_RESPONSE_BYTES)
            .await?;
        let mut known = self.known.lock();
        let news = known.apply(changes);
        Ok(news.then(|| known.hosts.values().cloned().collect()))
    }

    /// Reads the list.
    pub async fn list(&self) -> Result<Vec<Host>, Error> {
        self.poll().await?;
        Ok(self.known.lock().hosts.values().cloned().collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn host(name: &str, leaving: bool) -> Host {
        Host {
            name: name.into(),
            addr: ([127, 0, 0, 1], 1).into(),
            hall: "a".into(),
            leaving,
            kind: Kind::Service {
                service: "labels".into(),
            },
        }
    }

    #[test]
    fn changes_are_taken_over_and_a_whole_list_replaces_all() {
        let mut known = Known::default();
        let changes = |version, whole, changed, gone| Changes {
            version,
            whole,
            changed,
            gone,
        };
        let first = vec![host("x", false), host("y", false)];
        assert!(known.apply(changes(1, true, first, Vec::new())));
        assert!(!known.apply(changes(1, false, Vec::new(), Vec::new())));
        assert!(known.apply(changes(2, false, vec![host("x", true)], vec!["y".into()])));
        assert_eq!(
            known.hosts.values().cloned().collect::<Vec<_>>(),
            [host("x", true)]
        );
        assert!(known.apply(changes(9, true, vec![host("z", false)], Vec::new())));
        assert_eq!(known.hosts.len(), 1);
    }
}
