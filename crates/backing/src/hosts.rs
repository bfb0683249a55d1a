//! Client of the host list, which shows live and leaving hosts with a delay.

use conn::{Error, Pool};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use unit::{Bytes, Name};

/// Path of the endpoint.
pub const PATH: &str = "/v1/hosts";

/// Maximum response size in bytes, enough for about 40,000 hosts.
const MAX_RESPONSE_BYTES: usize = 8_000_000;

/// Process that runs on a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Kind {
    /// Coveford daemon.
    Daemon {
        /// Address for requests of callers.
        callers: SocketAddr,
    },
    /// Model engine.
    Engine {
        /// Accelerator memory.
        memory: Bytes,
    },
    /// Plain service.
    Service {
        /// Its name in bundles.
        service: Name,
    },
}

/// Host in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Name, unique in the fleet.
    pub name: Name,
    /// Address for other processes of the fleet.
    pub addr: SocketAddr,
    /// Data hall it is in.
    pub hall: Name,
    /// Whether it has been told to leave.
    pub leaving: bool,
    /// Process that runs on it.
    #[serde(flatten)]
    pub kind: Kind,
}

/// Changes to the list since a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Current version of the list.
    pub version: u64,
    /// Whether `changed` is the whole list, because the requested version is no longer known.
    pub whole: bool,
    /// New and changed hosts.
    pub changed: Vec<Host>,
    /// Names of removed hosts.
    pub gone: Vec<Name>,
}

/// List as of the last read.
#[derive(Debug, Default)]
struct Cache {
    version: u64,
    hosts: BTreeMap<Name, Host>,
}

impl Cache {
    /// Applies changes; returns whether there were any.
    fn apply(&mut self, changes: Changes) -> bool {
        let has_changes = changes.whole || !changes.changed.is_empty() || !changes.gone.is_empty();
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
        has_changes
    }
}

/// Client of the list. Clones share the list as last read.
#[derive(Clone)]
pub struct Hosts {
    addr: SocketAddr,
    pool: Pool,
    timeout: Duration,
    cache: Arc<Mutex<Cache>>,
}

/// Creates a client whose calls time out after `timeout`.
pub fn open(addr: SocketAddr, timeout: Duration) -> Hosts {
    Hosts {
        addr,
        pool: Pool::default(),
        timeout,
        cache: Arc::default(),
    }
}

impl Hosts {
    /// Reads the changes since the last read; returns the whole list if there were any.
    pub async fn poll(&self) -> Result<Option<Vec<Host>>, Error> {
        let after = self.cache.lock().version;
        let path = format!("{PATH}?after={after}");
        let changes: Changes = self
            .pool
            .json::<(), _>(self.addr, &path, None, self.timeout, MAX_RESPONSE_BYTES)
            .await?;
        let mut cache = self.cache.lock();
        let has_changes = cache.apply(changes);
        Ok(has_changes.then(|| cache.hosts.values().cloned().collect()))
    }

    /// Reads the list.
    pub async fn list(&self) -> Result<Vec<Host>, Error> {
        self.poll().await?;
        Ok(self.cache.lock().hosts.values().cloned().collect())
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
    fn changes_are_merged_and_a_whole_list_replaces_all() {
        let mut cache = Cache::default();
        let changes = |version, whole, changed, gone| Changes {
            version,
            whole,
            changed,
            gone,
        };
        let first = vec![host("x", false), host("y", false)];
        assert!(cache.apply(changes(1, true, first, Vec::new())));
        assert!(!cache.apply(changes(1, false, Vec::new(), Vec::new())));
        assert!(cache.apply(changes(2, false, vec![host("x", true)], vec!["y".into()])));
        assert_eq!(
            cache.hosts.values().cloned().collect::<Vec<_>>(),
            [host("x", true)]
        );
        assert!(cache.apply(changes(9, true, vec![host("z", false)], Vec::new())));
        assert_eq!(cache.hosts.len(), 1);
    }
}
