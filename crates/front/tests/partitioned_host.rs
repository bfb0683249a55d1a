//! One host alone is cut off from the store while replicas leave.
//!
//! Guards against a host that takes its own silence for a store outage: after its return it kept
//! sending requests to a departed replica until lapsed entries could no longer reappear, although
//! other hosts had heard from the store all along.

mod site;

use front::Daemon;
use front::state::Leader;
use platform_standin::proxy::{Mode, Proxy};
use platform_standin::replica::Replica;
use platform_standin::store::Store;
use site::{ask, daemon, daemon_behind_proxy, isolate, store, until, web};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Duration of the partition, in which entries of running replicas can lapse.
const PARTITION_DURATION: Duration = Duration::from_millis(3_500);

/// Time from the store's first answer until the host must know which replicas left: rejoining the
/// other hosts takes two rounds of load reports.
const SETTLE_TIME: Duration = Duration::from_millis(900);

/// Two replicas, a connected host that leads, and a partitioned host.
struct Partition {
    store: Store,
    leaving: Replica,
    _staying: Replica,
    _connected: Daemon,
    host: Daemon,
    proxy: Proxy,
    leader: Option<Leader>,
}

async fn partition() -> Partition {
    let store = store().await;
    let leaving = web(&store, "i-1").await;
    let staying = web(&store, "i-2").await;
    let connected = daemon(&store, "d1").await;
    until(|| connected.state().leads()).await;
    let (host, proxy) = daemon_behind_proxy(&store, "d2").await;
    until(|| host.state().table.lock().view.all().count() == 2).await;
    let leader = isolate(&host);
    proxy.set(Mode::DropToTarget);
    until(|| host.state().table.lock().view.contact.is_unreachable()).await;
    Partition {
        store,
        leaving,
        _staying: staying,
        _connected: connected,
        host,
        proxy,
        leader,
    }
}

impl Partition {
    /// Ends the partition, and waits until the host has heard from the store and from the other
    /// hosts.
    async fn heal(&self) {
        *self.host.state().leader.lock() = self.leader.clone();
        self.proxy.set(Mode::Pass);
        until(|| !self.host.state().table.lock().view.contact.is_unreachable()).await;
        sleep(SETTLE_TIME).await;
    }

    /// Sends requests through the host, and returns how many reached the leaving replica.
    async fn requests_to_leaving(&self) -> u32 {
        let before = self.leaving.arrivals();
        for _ in 0..20 {
            assert_eq!(ask(&self.host, "/again/x", None).await.1.status(), 200);
        }
        self.leaving.arrivals() - before
    }
}

#[tokio::test]
async fn replica_that_left_during_the_partition_gets_no_requests() {
    let partition = partition().await;
    partition.leaving.remove_entry();
    partition.store.compact();
    sleep(PARTITION_DURATION).await;
    partition.heal().await;
    assert_eq!(partition.requests_to_leaving().await, 0);
}

#[tokio::test]
async fn replica_that_leaves_right_after_the_partition_gets_no_requests() {
    let partition = partition().await;
    sleep(PARTITION_DURATION).await;
    partition.heal().await;
    partition.leaving.remove_entry();
    sleep(Duration::from_millis(500)).await;
    assert_eq!(partition.requests_to_leaving().await, 0);
}

/// Guards against a leader that is cut off from the store and names only itself as a reader, so
/// that it learns of no change.
#[tokio::test]
async fn leader_cut_off_from_the_store_learns_from_other_hosts() {
    let store = store().await;
    let leaving = web(&store, "i-1").await;
    let _staying = web(&store, "i-2").await;
    let (leader, proxy) = daemon_behind_proxy(&store, "d1").await;
    until(|| leader.state().leads()).await;
    let successor = daemon(&store, "d2").await;
    sleep(Duration::from_secs(1)).await;
    proxy.set(Mode::DropToTarget);
    until(|| successor.state().leads()).await;
    sleep(Duration::from_secs(3)).await;
    leaving.remove_entry();
    let start = Instant::now();
    until(|| leader.state().table.lock().view.get("i-1").is_none()).await;
    let took = start.elapsed();
    assert!(took < Duration::from_secs(2), "{took:?}");
}
