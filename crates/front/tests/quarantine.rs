//! A request that ends each replica that begins to run it.
//!
//! Seen: a request of one caller came again and again, each time with another identity and at another host; each
//! time the replica that ran it was down a tenth of a second later, with all else that ran there. Fifteen replicas
//! ended in twelve seconds, ten of them after three had ended under the same request.
//!
//! How: each host forwarded it as if it were new. What it had done was known on the host that had sent it, for
//! the one connection that broke, and nowhere else: a broken answer counted against the replica, never against
//! the request, and hosts told each other of replicas, not of requests.
//!
//! Proof: the fingerprint over path, account and body, told at each failed sending; one and the same stands in the logs
//! at each fall, while the others that broke there were answered elsewhere.

mod site;

use front::Daemon;
use platform_standin::replica::Replica;
use platform_standin::store::Store;
use site::{BACK, FATAL, ask, ask_body, daemon, fragile, store};
use std::time::Duration;
use tokio::time::sleep;

/// Falls after which a request that causes them is known for what it is: two may be chance, the third, with the request on
/// trial, is not.
const KNOWN_AFTER: usize = 3;

/// Pause between two comings of the request: replicas are back before the third.
const COMES_EACH: Duration = Duration::from_millis(250);

async fn fleet(store: &Store, replicas: usize) -> Vec<Replica> {
    let mut fleet = Vec::new();
    for number in 0..replicas {
        fleet.push(fragile(store, &format!("i-{number}")).await);
    }
    fleet
}

async fn hosts(store: &Store, count: usize) -> Vec<Daemon> {
    let mut hosts = Vec::new();
    for number in 0..count {
        hosts.push(daemon(store, &format!("d{number}")).await);
    }
    hosts
}

fn falls(fleet: &[Replica]) -> usize {
    fleet.iter().map(|replica| replica.falls().len()).sum()
}

/// The incident: other hosts than the one before get the request each time.
#[tokio::test]
async fn a_request_that_ends_replicas_is_stopped_on_all_hosts() {
    let store = store().await;
    let fleet = fleet(&store, 6).await;
    let hosts = hosts(&store, 4).await;
    for number in 0..16 {
        let host = &hosts[number % hosts.len()];
        ask_body(host, "/once/x", FATAL).await;
        sleep(COMES_EACH).await;
    }
    assert!(falls(&fleet) <= KNOWN_AFTER, "{} falls", falls(&fleet));
    sleep(BACK).await;
    for host in &hosts {
        assert_eq!(ask(host, "/once/x", None).await.1.status(), 200);
    }
}
