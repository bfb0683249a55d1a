//! Polling of the host list and of the upstreams' reports.

use crate::core::{Core, is_daemon};
use backing::hosts::Host;
use parking_lot::Mutex;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval, sleep};
use tracing::warn;
use unit::Name;
use upstream::engine::Session;

/// Time between two polls of the host list.
const HOSTS_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two checks for reports that are due.
const REPORTS_INTERVAL: Duration = Duration::from_millis(100);

/// Time for one call on an upstream.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Polls the host list until the process ends.
pub async fn hosts(core: Arc<Core>) {
    let mut failing = false;
    loop {
        match core.hosts.poll().await {
            Ok(changed) => {
                failing = false;
                if let Some(hosts) = changed {
                    apply_hosts(&core, hosts);
                }
            }
            // The last list stays in use: hosts do not leave because the list is unreachable.
            Err(e) if !failing => {
                failing = true;
                warn!(target: "hosts", "the host list cannot be read, keeping the last one: {e}");
            }
            Err(_) => {}
        }
        sleep(HOSTS_INTERVAL).await;
    }
}

fn apply_hosts(core: &Core, hosts: Vec<Host>) {
    core.fleet.set_hosts(&hosts);
    let peers = hosts.into_iter().filter(is_daemon).collect();
    *core.peers.write() = peers;
}

/// Connection to an engine.
struct Connection {
    session: Session,
    /// Number of the last cache event read.
    last_event: u64,
}

/// Idle connections, and the upstreams that are being polled.
#[derive(Default)]
struct Connections {
    idle: HashMap<Name, Connection>,
    polled: HashSet<Name>,
}

/// Polls the engines whose last report is older than the poll interval, until the process ends.
///
/// The number of polls per second is limited, so that this traffic does not grow
/// with the fleet; the oldest reports are renewed first. Polls run concurrently, so
/// that an upstream that does not answer delays no other's poll.
pub async fn reports(core: Arc<Core>) {
    let settings = core.settings.reports;
    let polls_per_check = (u64::from(settings.polls_per_second)
        * REPORTS_INTERVAL.as_millis() as u64)
        .div_ceil(1_000);
    let connections: Arc<Mutex<Connections>> = Arc::default();
    let mut checks = interval(REPORTS_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        checks.tick().await;
        let stale = core.fleet.stale_reports(settings.poll_interval);
        for (name, addr) in stale.into_iter().take(polls_per_check as usize) {
            if connections.lock().polled.insert(name.clone()) {
                tokio::spawn(poll(core.clone(), connections.clone(), name, addr));
            }
        }
    }
}

async fn poll(core: Arc<Core>, connections: Arc<Mutex<Connections>>, name: Name, addr: SocketAddr) {
    let connection = connections.lock().idle.remove(&name);
    let polled = poll_once(&core, connection, &name, addr).await;
    let mut connections = connections.lock();
    connections.polled.remove(&name);
    match polled {
        Ok(connection) => {
            connections.idle.insert(name, connection);
        }
        Err(_) => core.fleet.record_poll_failure(&name),
    }
}

async fn poll_once(
    core: &Arc<Core>,
    connection: Option<Connection>,
    name: &Name,
    addr: SocketAddr,
) -> Result<Connection, conn::Error> {
    let mut connection = match connection {
        Some(connection) => connection,
        None => Connection {
            session: Session::open(addr, POLL_TIMEOUT).await?,
            last_event: 0,
        },
    };
    let report = connection.session.report().await?;
    core.fleet.record_report(name, report);
    let events = connection.session.cache(connection.last_event).await?;
    if let Some(last) = events.last() {
        connection.last_event = last.number;
        core.fleet.record_cache_events(name, &events);
    }
    Ok(connection)
}

/// Runs the upkeep of the metrics at regular intervals, until the process ends.
pub async fn metrics_upkeep(core: Arc<Core>) {
    loop {
        sleep(Duration::from_secs(5)).await;
        core.metrics.run_upkeep();
    }
}
