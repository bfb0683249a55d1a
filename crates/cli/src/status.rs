//! State of the system, asked of every daemon.

use crate::client::Client;
use crate::error::Error;
use backing::hosts::Host;
use daemon::operator::Status;
use futures::future::join_all;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time in which a rolled bundle should be in force everywhere.
const EVERYWHERE: Duration = Duration::from_secs(6);

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(50);

/// What a daemon said of itself; none when it did not answer.
pub struct Seen {
    /// Its host.
    pub host: Host,
    /// Its state.
    pub status: Option<Status>,
}

/// Asks every daemon in the host list.
pub async fn all(client: &Client) -> Result<Vec<Seen>, Error> {
    let daemons = client.daemons().await?;
    let asked = daemons.into_iter().map(|host| async move {
        let status = client.json(host.addr, "/status").await;
        Seen {
            status: status.ok().flatten(),
            host,
        }
    });
    Ok(join_all(asked).await)
}

/// Waits until a bundle is in force at every daemon that answers, for some seconds at most.
pub async fn wait_for(client: &Client, sequence: u64) -> Result<Vec<Seen>, Error> {
    let until = Instant::now() + EVERYWHERE;
    loop {
        let seen = all(client).await?;
        let there = |s: &Seen| s.status.as_ref().is_some_and(|s| s.bundle >= sequence);
        if seen.iter().all(there) || Instant::now() >= until {
            return Ok(seen);
        }
        sleep(PAUSE).await;
    }
}
