//! Places of a service without models, given out by one host.
//!
//! Guards against requests that are refused or run twice when the dispatcher dies or stops, and against a dispatcher
//! that does not learn what is in flight.

mod site;

use front::Daemon;
use front::Settings;
use front::message::dispatch::Assignment;
use front::readers::Candidate;
use front::settings::{Mode, Scheduling};
use platform_standin::replica::{self, Fault, Options, Replica};
use platform_standin::store::Store;
use site::{request, send, settings, store, until};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Time for a failed answer and one of 40 ms, without a pause between them.
const RETRY_LIMIT_MS: u64 = 75;

/// Replica of service `web` with 8 slots that takes 40 ms for each answer.
async fn web(store: &Store, id: &str) -> Replica {
    let options = Options {
        id: id.into(),
        service: "web".into(),
        models: Vec::new(),
        delay: Duration::from_millis(40),
        ..Options::default()
    };
    replica::spawn(store, options).await.unwrap()
}

/// Daemons with dispatch, which all know the same dispatcher.
async fn hosts(store: &Store, count: usize) -> Vec<Daemon> {
    let mut hosts = Vec::new();
    for n in 1..=count {
        let settings = Settings {
            scheduling: Scheduling {
                dispatch: Mode::On,
                shedding: Mode::Off,
                ..Scheduling::default()
            },
            ..settings(store, &format!("d{n}"))
        };
        hosts.push(front::spawn(settings).await.unwrap());
    }
    let knows_all = |d: &Daemon| d.state().is_ready() && d.state().table.lock().host_count == count;
    until(|| hosts.iter().all(knows_all)).await;
    until(|| dispatcher(&hosts).is_some()).await;
    hosts
}

/// Dispatcher of service `web`, if all hosts know the same one.
fn dispatcher(hosts: &[Daemon]) -> Option<SocketAddr> {
    let known = |d: &Daemon| {
        let assigned = d.state().dispatch.assigned();
        assigned
            .into_iter()
            .find(|a| &*a.service == "web")
            .map(|a| a.addr)
    };
    let first = known(&hosts[0])?;
    hosts
        .iter()
        .all(|d| known(d) == Some(first))
        .then_some(first)
}

/// Removes the host at an address, by the address of its datagram socket.
fn take(hosts: &mut Vec<Daemon>, addr: SocketAddr) -> Daemon {
    let at = hosts.iter().position(|d| d.state().settings.peers == addr);
    hosts.remove(at.unwrap())
}

/// Sends `count` requests at once over all hosts; returns their ids and statuses.
async fn burst(hosts: &[Daemon], path: &str, count: usize) -> Vec<(String, u16)> {
    let answers = (0..count).map(|n| {
        let prepared = request(path, None);
        async move {
            let (id, answer) = send(&hosts[n % hosts.len()], prepared).await;
            (id, answer.status())
        }
    });
    futures::future::join_all(answers).await
}

fn runs(replicas: &[Replica], id: &str) -> u32 {
    replicas.iter().map(|r| r.request_log(id).runs).sum()
}

fn granted(host: &Daemon) -> usize {
    host.state()
        .dispatch
        .gauges()
        .iter()
        .map(|g| g.granted)
        .sum()
}

#[tokio::test]
async fn requests_of_all_hosts_share_the_places() {
    let store = store().await;
    let replicas = [web(&store, "i-1").await, web(&store, "i-2").await];
    let mut hosts = hosts(&store, 3).await;
    let answers = burst(&hosts, "/once/x", 60).await;
    assert!(
        answers.iter().all(|(_, status)| *status == 200),
        "{answers:?}"
    );
    let arrivals = [replicas[0].arrivals(), replicas[1].arrivals()];
    assert!(arrivals.iter().all(|a| *a >= 25), "{arrivals:?}");
    let addr = dispatcher(&hosts).unwrap();
    let dispatcher = take(&mut hosts, addr);
    until(|| granted(&dispatcher) == 0).await;
}

/// Unrepeatable requests go on while the dispatcher is killed, and none runs twice.
#[tokio::test]
async fn a_killed_dispatcher_costs_no_request() {
    let store = store().await;
    let replicas = [web(&store, "i-1").await, web(&store, "i-2").await];
    let mut hosts = hosts(&store, 3).await;
    let killed = dispatcher(&hosts).unwrap();
    let mut dispatcher_host = Some(take(&mut hosts, killed));
    let mut answers = JoinSet::new();
    for n in 0..120 {
        if n == 40 {
            drop(dispatcher_host.take());
        }
        let prepared = request("/once/x", None);
        let callers = hosts[n % hosts.len()].callers();
        answers.spawn(async move { site::send_to(callers, prepared).await });
        sleep(Duration::from_millis(10)).await;
    }
    for (id, answer) in answers.join_all().await {
        assert_eq!(answer.status(), 200, "{id}: {}", answer.text());
        assert_eq!(runs(&replicas, &id), 1, "{id}");
    }
    until(|| dispatcher(&hosts).is_some_and(|addr| addr != killed)).await;
}

/// A dispatcher that stops is replaced before it ends, and its own and the other hosts' requests are answered.
#[tokio::test]
async fn a_dispatcher_that_stops_hands_over() {
    let store = store().await;
    let replicas = [web(&store, "i-1").await, web(&store, "i-2").await];
    let mut hosts = hosts(&store, 3).await;
    let stopped = dispatcher(&hosts).unwrap();
    let stopping = tokio::spawn(take(&mut hosts, stopped).drain());
    let answers = burst(&hosts, "/once/x", 40).await;
    for (id, status) in answers {
        assert_eq!((status, runs(&replicas, &id)), (200, 1), "{id}");
    }
    let replaced = async {
        while dispatcher(&hosts).is_none_or(|addr| addr == stopped) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(Duration::from_secs(2), replaced).await.unwrap();
    stopping.await.unwrap();
}

/// Guards against a retry that pauses, or goes to the replica that failed, because the grant names one replica only.
#[tokio::test]
async fn a_failed_request_goes_to_another_replica_at_once() {
    let store = store().await;
    let failing = web(&store, "i-1").await;
    let _sound = web(&store, "i-2").await;
    let hosts = hosts(&store, 2).await;
    failing.set_fault(Fault::InternalError);
    let mut retried = Vec::new();
    for n in 0..12 {
        let asked_at = Instant::now();
        let (id, answer) = send(&hosts[n % 2], request("/again/x", None)).await;
        assert_eq!(answer.status(), 200, "{id}");
        let arrivals = failing.request_log(&id).arrivals;
        assert!(arrivals <= 1);
        if arrivals == 1 {
            retried.push(asked_at.elapsed());
        }
    }
    // The fastest one: a busy machine may delay others.
    let fastest = retried.iter().min().unwrap();
    assert!(
        *fastest < Duration::from_millis(RETRY_LIMIT_MS),
        "{retried:?}"
    );
}

#[test]
fn the_leader_keeps_a_sound_dispatcher_and_prefers_strong_hosts() {
    let host = |n: u16, cores: f32, silent: bool| Candidate {
        hall: "a".into(),
        addr: ([10, 0, 0, 1], n).into(),
        cores,
        store_failed: false,
        silent,
        is_isolated: false,
    };
    let hosts = [
        host(1, 0.5, false),
        host(2, 0.1, false),
        host(3, 0.5, false),
        host(4, 0.5, true),
    ];
    let leader = hosts[0].addr;
    let services = ["web".into()];
    let choose = |hosts: &[Candidate], before: &[Assignment]| {
        front::dispatch::choose(&services, hosts, leader, before)[0].addr
    };
    assert_eq!(choose(&hosts, &[]), hosts[2].addr);
    let before = |n: usize| {
        [Assignment {
            service: "web".into(),
            addr: hosts[n].addr,
        }]
    };
    assert_eq!(choose(&hosts, &before(1)), hosts[1].addr, "kept");
    assert_eq!(choose(&hosts, &before(3)), hosts[2].addr, "silent");
    assert_eq!(choose(&hosts[..1], &[]), leader, "alone");
}
