//! Client of the services and the daemons that the commands call.

use crate::error::Error;
use backing::hosts::{Host, Hosts, Kind};
use backing::kv::Kv;
use conn::{Pool, Reply};
use daemon::settings::{self, Tool as Settings};
use hyper::StatusCode;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Longest answer of a daemon, in bytes.
const MOST_ANSWER: usize = 32_000_000;

/// Client of the key-value service, the host list and the daemons.
pub struct Client {
    /// Its settings.
    pub settings: Settings,
    /// Key-value service.
    pub kv: Kv,
    /// Connections to daemons.
    pub pool: Pool,
    hosts: Hosts,
}

/// Creates a client with the settings of a file.
pub fn load(path: &Path) -> Result<Client, Error> {
    Ok(open(settings::load_tool(path)?))
}

/// Creates a client.
pub fn open(settings: Settings) -> Client {
    let limit = settings.call_limit.std();
    Client {
        kv: backing::kv::open(&settings.kv, limit),
        hosts: backing::hosts::open(settings.hosts, limit),
        pool: Pool::default(),
        settings,
    }
}

impl Client {
    /// Reads the host list.
    pub async fn hosts(&self) -> Result<Vec<Host>, Error> {
        self.hosts.list().await.map_err(|e| Error::Unreachable {
            what: "The host list".into(),
            reason: e.to_string(),
        })
    }

    /// Coveford's own hosts.
    pub async fn daemons(&self) -> Result<Vec<Host>, Error> {
        let hosts = self.hosts().await?;
        let daemons = hosts
            .into_iter()
            .filter(|h| matches!(h.kind, Kind::Daemon { .. }));
        Ok(daemons.collect())
    }

    /// Reads a path of a daemon.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Result<Reply, conn::Error> {
        let request = conn::json_request::<()>(addr, path, None)?;
        let limit: Duration = self.settings.call_limit.std();
        self.pool.exchange(addr, request, limit, MOST_ANSWER).await
    }

    /// Reads JSON of a daemon; none when it has nothing at that path.
    pub async fn json<T: serde::de::DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<Option<T>, conn::Error> {
        let reply = self.get(addr, path).await?;
        match reply.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => conn::read_json(addr, &reply).map(Some),
        }
    }
}
