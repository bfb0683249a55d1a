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
use upstream::engine::Orders;

/// Time between two reads of the host list.
const HOSTS_EVERY: Duration = Duration::from_millis(500);

/// Time between two looks at which reports are old.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Time for one poll of an upstream.
const POLL_LIMIT: Duration = Duration::from_millis(800);

/// Follows the host list until the process ends.
pub async fn hosts(core: Arc<Core>) {
    let mut failing = false;
    loop {
        match core.hosts.poll().await {
            Ok(news) => {
                failing = false;
                if let Some(hosts) = news {
                    take(&core, hosts);
                }
            }
            // The last list stays in force: silence is not leaving.
            Err(e) if !failing => {
                failing = true;
                warn!(target: "hosts", "the host list cannot be read: {e}");
            }
            Err(_) => {}
        }
        sleep(HOSTS_EVERY).await;
    }
}

fn take(core: &Core, hosts: Vec<Host>) {
    core.fleet.set_hosts(&hosts);
    let peers = hosts.into_iter().filter(is_daemon).collect();
    *core.peers.write() = peers;
}

/// Connection to an engine and how far its cache events were read.
struct Poll {
    orders: Orders,
    cache_after: u64,
}

/// Kept connections, and the upstreams that are being polled.
#[derive(Default)]
struct Polls {
    kept: HashMap<Name, Poll>,
    busy: HashSet<Name>,
}

/// Polls the reports of upstreams whose load has not ridden on an answer lately.
///
/// The number of polls a second is bounded, so that this traffic does not grow
/// with the fleet; the oldest reports go first. A frozen upstream holds up
/// nobody else's poll.
pub async fn reports(core: Arc<Core>) {
    let settings = core.settings.reports;
    let each = (u64::from(settings.per_second) * LOOK_EVERY.as_millis() as u64).div_ceil(1_000);
    let polls: Arc<Mutex<Polls>> = Arc::default();
    let mut looks = interval(LOOK_EVERY);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        looks.tick().await;
        let stale = core.fleet.stale(settings.every);
        for (name, addr) in stale.into_iter().take(each as usize) {
            if polls.lock().busy.insert(name.clone()) {
                tokio::spawn(poll(core.clone(), polls.clone(), name, addr));
            }
        }
    }
}

async fn poll(core: Arc<Core>, polls: Arc<Mutex<Polls>>, name: Name, addr: SocketAddr) {
    let kept = polls.lock().kept.remove(&name);
    let asked = ask(&core, kept, &name, addr).await;
    let mut polls = polls.lock();
    polls.busy.remove(&name);
    match asked {
        Ok(poll) => {
            polls.kept.insert(name, poll);
        }
        Err(_) => core.fleet.unanswered(&name),
    }
}

async fn ask(
    core: &Arc<Core>,
    kept: Option<Poll>,
    name: &Name,
    addr: SocketAddr,
) -> Result<Poll, conn::Error> {
    let mut poll = match kept {
        Some(poll) => poll,
        None => Poll {
            orders: Orders::open(addr, POLL_LIMIT).await?,
            cache_after: 0,
        },
    };
    let report = poll.orders.report().await?;
    core.fleet.reported(name, report);
    let events = poll.orders.cache(poll.cache_after).await?;
    if let Some(last) = events.last() {
        poll.cache_after = last.number;
        core.fleet.cached(name, &events);
    }
    Ok(poll)
}

/// Keeps metrics from piling up, until the process ends.
pub async fn tidy(core: Arc<Core>) {
    loop {
        sleep(Duration::from_secs(5)).await;
        core.metrics.tidy();
    }
}
