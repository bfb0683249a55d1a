//! Hosts without paths to the replicas, which callers, the store and the other hosts still reach.

mod site;

use front::Daemon;
use platform_standin::link::{self, Links, Mode};
use platform_standin::replica::Replica;
use platform_standin::store::Store;
use rstest::rstest;
use site::{ask_at, engine, settings, store, until, web};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Time after the paths are cut from which callers must be served.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Requests sent through each host, 25 ms apart.
const REQUESTS: usize = 60;

/// Time within which a request is refused that no host can serve: a quarter of the target of its route, and what a busy
/// machine takes.
const REFUSED_WITHIN: Duration = Duration::from_millis(500);

/// Share of requests that may fail: one in 50.
const MAX_FAILED: f64 = 0.02;

/// Hosts with links of their own to two plain replicas and two with models.
struct Site {
    _store: Store,
    _replicas: Vec<Replica>,
    hosts: Vec<(Daemon, Links)>,
}

async fn site(count: usize) -> Site {
    let store = store().await;
    let mut replicas = vec![web(&store, "w-1").await, web(&store, "w-2").await];
    replicas.push(engine(&store, "e-1", &["m1"]).await);
    replicas.push(engine(&store, "e-2", &["m1"]).await);
    let mut hosts = Vec::new();
    for n in 1..=count {
        hosts.push(host(&store, &format!("d{n}")).await);
    }
    let all = |(host, _): &(Daemon, Links)| host.state().table.lock().host_count == count;
    until(|| hosts.iter().all(all)).await;
    Site {
        _store: store,
        _replicas: replicas,
        hosts,
    }
}

/// Starts a host with links of its own to the replicas.
async fn host(store: &Store, name: &str) -> (Daemon, Links) {
    let links = link::spawn(store).await.unwrap();
    let settings = front::Settings {
        store: links.store,
        ..settings(store, name)
    };
    let host = front::spawn(settings).await.unwrap();
    until(|| host.state().is_ready() && host.state().table.lock().knows_host_count).await;
    (host, links)
}

impl Site {
    /// Sets the links of the hosts with these indices.
    fn set_links(&self, hosts: &[usize], mode: Mode) {
        for host in hosts {
            self.hosts[*host].1.set(mode);
        }
    }

    /// Sends requests of all kinds through hosts, and returns the numbers of those served and sent.
    async fn load(&self, hosts: &[usize], requests: usize) -> (usize, usize) {
        let paths = ["/again/x", "/once/x", "/resume/x", "/stream/x"];
        let mut answers = JoinSet::new();
        for n in 0..requests {
            for host in hosts {
                let path = paths[n % paths.len()];
                let model = (path == "/resume/x" || path == "/stream/x").then_some("m1");
                let callers = self.hosts[*host].0.callers();
                answers.spawn(async move { ask_at(callers, path, model).await.1 });
            }
            sleep(Duration::from_millis(25)).await;
        }
        let answers = answers.join_all().await;
        let served = answers.iter().filter(|a| a.status() == 200).count();
        (served, answers.len())
    }
}

/// Asserts that at most one in 50 requests was not served.
fn assert_served((served, sent): (usize, usize)) {
    let failed = (sent - served) as f64;
    assert!(failed <= sent as f64 * MAX_FAILED, "{served} of {sent}");
}

/// Guards against a host that loses its paths to all replicas and refuses its clients, although other hosts reach the
/// replicas.
#[rstest]
#[case::one_hangs(3, &[1], Mode::Hang)]
#[case::one_is_reset(3, &[1], Mode::Reset)]
#[case::one_opens_no_new_connections(3, &[1], Mode::RefuseNew)]
#[case::the_leader_hangs(3, &[0], Mode::Hang)]
#[case::most_hang(5, &[0, 2, 4], Mode::Hang)]
#[case::most_are_reset(5, &[0, 2, 4], Mode::Reset)]
#[tokio::test]
async fn callers_of_a_host_without_paths_to_the_replicas_are_served(
    #[case] count: usize,
    #[case] partitioned: &[usize],
    #[case] mode: Mode,
) {
    let site = site(count).await;
    let all: Vec<usize> = (0..count).collect();
    assert_served(site.load(&all, 8).await);
    let cut_at = Instant::now();
    site.set_links(partitioned, mode);
    site.load(partitioned, 20).await;
    tokio::time::sleep_until(cut_at + CONTACT).await;
    assert_served(site.load(partitioned, REQUESTS).await);
}

/// Guards against a leader that reaches no replica and keeps the lead: its orders reach nobody.
#[tokio::test]
async fn a_leader_without_paths_hands_over_the_lead() {
    let site = site(3).await;
    let leads = |(host, _): &(Daemon, Links)| host.state().leads();
    let leader = site.hosts.iter().position(leads).unwrap();
    site.set_links(&[leader], Mode::Hang);
    site.load(&[leader], 20).await;
    let others = || site.hosts.iter().enumerate().filter(|(n, _)| *n != leader);
    until(|| others().any(|(_, host)| leads(host))).await;
    site.set_links(&[leader], Mode::Up);
    sleep(CONTACT).await;
    let leaders = site.hosts.iter().filter(|host| leads(host)).count();
    assert_eq!(leaders, 1);
}

/// Guards against a leader that resigns although no host reaches replicas, which leaves none to grant quotas and tell
/// loads, and against requests that wait for paths that nobody has.
#[tokio::test]
async fn where_no_host_has_paths_the_leader_stays_and_requests_are_refused_at_once() {
    let site = site(3).await;
    let leads = |(host, _): &(Daemon, Links)| host.state().leads();
    let leader = site.hosts.iter().position(leads).unwrap();
    site.set_links(&[0, 1, 2], Mode::Hang);
    site.load(&[0, 1, 2], 20).await;
    sleep(CONTACT).await;
    assert!(leads(&site.hosts[leader]));
    let callers = site.hosts[1].0.callers();
    let sent_at = Instant::now();
    let (_, answer) = ask_at(callers, "/once/x", None).await;
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert!(
        sent_at.elapsed() < REFUSED_WITHIN,
        "{:?}",
        sent_at.elapsed()
    );
}
