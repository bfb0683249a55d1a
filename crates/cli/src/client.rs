//! Client of the key-value service, the host list and the daemons.

use crate::error::Error;
use backing::hosts::{Host, Hosts, Kind};
use backing::kv::Kv;
use conn::{Pool, Reply};
use daemon::settings::{self, Tool as Settings};
use hyper::StatusCode;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Longest response body accepted from a daemon, in bytes.
const MAX_RESPONSE_BYTES: usize = 32_000_000;

/// Attempts at a read that gets no answer, and at a write whose outcome is unknown, before an operator is told. A busy
/// machine answers late.
pub const CALL_ATTEMPTS: u32 = 10;

/// Client of the key-value service, the host list and the daemons.
pub struct Client {
    /// Settings of the command-line tool.
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
    let timeout = settings.call_limit.std();
    Client {
        kv: backing::kv::open(&settings.kv, timeout).with_read_attempts(CALL_ATTEMPTS),
        hosts: backing::hosts::open(settings.hosts, timeout),
        pool: Pool::default(),
        settings,
    }
}

impl Client {
    /// Reads the host list, and reads it again while it gets no answer.
    pub async fn hosts(&self) -> Result<Vec<Host>, Error> {
        let mut listed = self.hosts.list().await;
        for _ in 1..CALL_ATTEMPTS {
            match &listed {
                Err(error) if !error.proves_unsent() => listed = self.hosts.list().await,
                _ => break,
            }
        }
        listed.map_err(|e| Error::Unreachable {
            what: "The host list".into(),
            reason: e.to_string(),
        })
    }

    /// Hosts in the host list that run a daemon.
    pub async fn daemons(&self) -> Result<Vec<Host>, Error> {
        let hosts = self.hosts().await?;
        let daemons = hosts
            .into_iter()
            .filter(|h| matches!(h.kind, Kind::Daemon { .. }));
        Ok(daemons.collect())
    }

    /// Sends a GET request to a daemon.
    pub async fn get(&self, addr: SocketAddr, path: &str) -> Result<Reply, conn::Error> {
        let request = conn::json_request::<()>(addr, path, None)?;
        let timeout: Duration = self.settings.call_limit.std();
        self.pool
            .exchange(addr, request, timeout, MAX_RESPONSE_BYTES)
            .await
    }

    /// Reads JSON from a daemon; `None` if it answers 404.
    pub async fn get_json<T: serde::de::DeserializeOwned>(
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
