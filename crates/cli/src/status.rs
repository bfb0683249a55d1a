//! Status of the daemons in the host list, read from each over HTTP.

use crate::client::Client;
use crate::error::Error;
use backing::hosts::Host;
use daemon::operator::Status;
use futures::future::join_all;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Longest wait for a rolled bundle to be in force on every host.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(6);

/// Pause between two polls of the daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A host that runs a daemon, with the daemon's answer.
pub struct Entry {
    /// Its entry in the host list.
    pub host: Host,
    /// The daemon's status; `None` if it did not answer.
    pub status: Option<Status>,
}

/// Asks every daemon in the host list for its status, concurrently.
pub async fn fetch_all(client: &Client) -> Result<Vec<Entry>, Error> {
    let daemons = client.daemons().await?;
    let requests = daemons.into_iter().map(|host| async move {
        let status = client.get_json(host.addr, "/status").await;
        Entry {
            status: status.ok().flatten(),
            host,
        }
    });
    Ok(join_all(requests).await)
}

/// Polls the daemons until the bundle is in force on every host, or [`ROLLOUT_TIMEOUT`] has passed.
pub async fn wait_for_bundle(client: &Client, sequence: u64) -> Result<Vec<Entry>, Error> {
    let deadline = Instant::now() + ROLLOUT_TIMEOUT;
    loop {
        let entries = fetch_all(client).await?;
        let has_bundle = |e: &Entry| e.status.as_ref().is_some_and(|s| s.bundle >= sequence);
        if entries.iter().all(has_bundle) || Instant::now() >= deadline {
            return Ok(entries);
        }
        sleep(POLL_INTERVAL).await;
    }
}
