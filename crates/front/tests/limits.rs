//! Replicas in need name in their answers how many requests a second they take from all hosts together.
//!
//! Two replicas of the model service named 1 and 1.2 a second while they stayed in service; eight hosts went on sending
//! them some four a second, 12 and 22 in 4 s where 11 and 12 are allowed. Callers were served, since the replicas
//! bore it, but a replica that asks for less and gets as much as before falls next.

mod site;

use front::Daemon;
use platform_standin::replica::Replica;
use platform_standin::store::Store;
use site::{daemon, engine, store};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Time after the first naming from which all hosts keep to a limit.
const BOUND: Duration = Duration::from_millis(3_000);

/// Window in which requests to a limited replica are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The most that reaches a replica in a window under a limit of so many a second.
fn allowed(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// The most arrivals in any window.
fn most_in_a_window(arrivals: &[Instant]) -> usize {
    let within = |(i, end): (usize, &Instant)| {
        let since = arrivals[..=i].iter().filter(|at| *end - **at < WINDOW);
        since.count()
    };
    arrivals.iter().enumerate().map(within).max().unwrap_or(0)
}

/// Hosts that all know each other.
async fn hosts(store: &Store, count: usize) -> Vec<Daemon> {
    let mut hosts = Vec::new();
    for n in 1..=count {
        hosts.push(daemon(store, &format!("d{n}")).await);
    }
    let all = |d: &Daemon| d.state().table.lock().hosts == count;
    site::until(|| hosts.iter().all(all)).await;
    hosts
}

/// Statuses of the requests that were sent, a path each 25 ms in turn over hosts and paths, for a time.
async fn press(hosts: &[Daemon], paths: &[&'static str], time: Duration) -> Vec<u16> {
    let end = Instant::now() + time;
    let mut asked = JoinSet::new();
    for n in 0.. {
        if Instant::now() >= end {
            break;
        }
        let (host, path) = (&hosts[n % hosts.len()], paths[n % paths.len()]);
        let model = (!path.starts_with("/once") && !path.starts_with("/again")).then_some("m1");
        let callers = host.callers();
        asked.spawn(async move { site::ask_at(callers, path, model).await.1.status() });
        sleep(Duration::from_millis(25)).await;
    }
    asked.join_all().await
}

/// Sends requests until a replica has named its limit, then for the bound, and then on; gives the statuses of the last
/// part and the most that reached the replica in a window of it.
async fn pressed(
    hosts: &[Daemon],
    replica: &Replica,
    paths: &[&'static str],
    limit: &str,
) -> (Vec<u16>, usize) {
    press(hosts, paths, Duration::from_millis(500)).await;
    replica.name_limit(Some(limit));
    press(hosts, paths, BOUND).await;
    let from = Instant::now();
    let statuses = press(hosts, paths, Duration::from_secs(6)).await;
    (statuses, most_in_a_window(&replica.arrived_after(from)))
}

#[tokio::test]
async fn a_limited_replica_gets_no_more_than_it_takes_from_three_hosts() {
    let store = store().await;
    let needy = engine(&store, "i-1", &["m1"]).await;
    let _other = engine(&store, "i-2", &["m1"]).await;
    let hosts = hosts(&store, 3).await;
    let (statuses, most) = pressed(&hosts, &needy, &["/stream/x", "/resume/x"], "1.3").await;
    assert!(
        most <= allowed(1.3),
        "{most} in 4 s; {} are allowed",
        allowed(1.3)
    );
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(served, statuses.len(), "the other replica takes the rest");
}

/// What no replica can take in time is turned away at once, with the time until there is room.
#[tokio::test]
async fn what_no_replica_takes_in_time_is_turned_away_at_once() {
    let store = store().await;
    let needy = engine(&store, "i-1", &["m1"]).await;
    let hosts = hosts(&store, 3).await;
    let (statuses, most) = pressed(&hosts, &needy, &["/stream/x"], "2").await;
    assert!(
        most <= allowed(2.0),
        "{most} in 4 s; {} are allowed",
        allowed(2.0)
    );
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert!(served >= 6, "{served} in 6 s: half of the limit is used");
    // More at once than come to their turn while they may wait, which is half of their target of 1 s.
    let mut asked = JoinSet::new();
    for host in hosts.iter().cycle().take(30) {
        let callers = host.callers();
        asked.spawn(async move {
            let begun = Instant::now();
            let (_, answer) = site::ask_at(callers, "/stream/x", Some("m1")).await;
            (answer, begun.elapsed())
        });
    }
    let answers = asked.join_all().await;
    let (served, refused): (Vec<_>, Vec<_>) = answers
        .iter()
        .partition(|(answer, _)| answer.status() == 200);
    assert!(served.len() <= allowed(2.0), "{} were served", served.len());
    for (answer, took) in &refused {
        assert_eq!(answer.status(), 503);
        let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        assert!((0.1..=10.0).contains(&wait), "come back after {wait} s");
        assert!(*took < Duration::from_millis(700), "held for {took:?}");
    }
    let at_once = refused
        .iter()
        .filter(|(_, took)| *took < Duration::from_millis(200));
    assert!(
        at_once.count() >= 20,
        "what has no turn in time is told so at once"
    );
}

/// Requests that may run once only count as the others do.
#[tokio::test]
async fn unrepeatable_requests_keep_to_a_limit_as_well() {
    let store = store().await;
    let needy = site::web(&store, "w-1").await;
    let _others = [
        site::web(&store, "w-2").await,
        site::web(&store, "w-3").await,
    ];
    let hosts = hosts(&store, 3).await;
    let (statuses, most) = pressed(&hosts, &needy, &["/once/x", "/again/x"], "1").await;
    assert!(
        most <= allowed(1.0),
        "{most} in 4 s; {} are allowed",
        allowed(1.0)
    );
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(served, statuses.len(), "the other replicas take the rest");
}
