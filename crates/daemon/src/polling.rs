//! Watching the host list and the upstreams' reports.

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

/// Time between two reads of the host list.
const HOSTS_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two looks at which reports are old.
const REPORTS_INTERVAL: Duration = Duration::from_millis(100);

/// Time for one poll of an upstream.
const POLL_TIMEOUT: Duration = Duration::from_millis(800);

/// Follows the host list until the process ends.
pub async fn hosts(core: Arc<Core>) {
    let mut failing = false;
    loop {
        match core.hosts.poll().await {
            Ok(news) => {
                failing = false;
                if let Some(hosts) = news {
                    apply_hosts(&core, hosts);
                }
            }
            // The last list stays in force: silence is not leaving.
            Err(e) if !failing => {
                failing = true;
                warn!(target: "hosts", "the host list cannot be read: {e}");
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

/// Connection to an engine and how far its cache events were read.
struct Connection {
    orders: Session,
    cache_after: u64,
}

/// Kept connections, and the upstreams that are being polled.
#[derive(Default)]
struct Connections {
    kept: HashMap<Name, Connection>,
    busy: HashSet<Name>,
}

/// Polls the reports of upstreams whose load has not ridden on an answer lately.
///
/// The number of polls a second is bounded, so that this traffic does not grow
/// with the fleet; the oldest reports go first. A frozen upstream holds up
/// nobody else's poll.
pub async fn reports(core: Arc<Core>) {
    let settings = core.settings.reports;
    let each = (u64::from(settings.polls_per_second) * REPORTS_INTERVAL.as_millis() as u64)
        .div_ceil(1_000);
    let polls: Arc<Mutex<Connections>> = Arc::default();
    let mut looks = interval(REPORTS_INTERVAL);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        looks.tick().await;
        let stale = core.fleet.stale_reports(settings.poll_interval);
        for (name, addr) in stale.into_iter().take(each as usize) {
            if polls.lock().busy.insert(name.clone()) {
                tokio::spawn(poll(core.clone(), polls.clone(), name, addr));
            }
        }
    }
}

async fn poll(core: Arc<Core>, polls: Arc<Mutex<Connections>>, name: Name, addr: SocketAddr) {
    let kept = polls.lock().kept.remove(&name);
    let asked = poll_once(&core, kept, &name, addr).await;
    let mut polls = polls.lock();
    polls.busy.remove(&name);
    match asked {
        Ok(poll) => {
            polls.kept.insert(name, poll);
        }
        Err(_) => core.fleet.record_poll_failure(&name),
    }
}

async fn poll_once(
    core: &Arc<Core>,
    kept: Option<Connection>,
    name: &Name,
    addr: SocketAddr,
) -> Result<Connection, conn::Error> {
    let mut poll = match kept {
        Some(poll) => poll,
        None => Connection {
            orders: Session::open(addr, POLL_TIMEOUT).await?,
            cache_after: 0,
        },
    };
    let report = poll.orders.report().await?;
    core.fleet.record_report(name, report);
    let events = poll.orders.cache(poll.cache_after).await?;
    if let Some(last) = events.last() {
        poll.cache_after = last.number;
        core.fleet.record_cache_events(name, &events);
    }
    Ok(poll)
}

/// Keeps metrics from piling up, until the process ends.
pub async fn metrics_upkeep(core: Arc<Core>) {
    loop {
        sleep(Duration::from_secs(5)).await;
        core.metrics.run_upkeep();
    }
}
