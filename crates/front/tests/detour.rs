//! Hosts without paths to the replicas, which callers, the store and the other hosts still reach.

mod site;

use conn::Connection;
use front::Daemon;
use platform_standin::Account;
use platform_standin::link::{Links, Mode};
use platform_standin::replica::{self, Fault, Options, Replica};
use platform_standin::store::Store;
use route::detour::Candidate;
use rstest::rstest;
use serde_json::json;
use site::{
    account, ask_at, ask_with, engine, host_with_links, request, send_to, store, until, web,
    with_accounts,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
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
    store: Store,
    replicas: Vec<Replica>,
    hosts: Vec<(Daemon, Links)>,
}

async fn site(count: usize) -> Site {
    let store = store().await;
    let mut replicas = vec![web(&store, "w-1").await, web(&store, "w-2").await];
    replicas.push(engine(&store, "e-1", &["m1"]).await);
    replicas.push(engine(&store, "e-2", &["m1"]).await);
    let mut hosts = Vec::new();
    for n in 1..=count {
        hosts.push(host_with_links(&store, &format!("d{n}")).await);
    }
    let all = |(host, _): &(Daemon, Links)| host.state().table.lock().host_count == count;
    until(|| hosts.iter().all(all)).await;
    Site {
        store,
        replicas,
        hosts,
    }
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

impl Site {
    /// Site of which host 1 has no paths, and knows it.
    async fn partitioned(count: usize) -> Site {
        let site = site(count).await;
        assert_served(site.load(&[0, 1], 4).await);
        site.set_links(&[1], Mode::Hang);
        site.load(&[1], 20).await;
        until(|| front::paths::is_isolated(site.hosts[1].0.state())).await;
        site
    }

    fn callers(&self, host: usize) -> SocketAddr {
        self.hosts[host].0.callers()
    }

    /// Runs of a request over all replicas.
    fn runs(&self, id: &str) -> u32 {
        self.replicas.iter().map(|r| r.request_log(id).runs).sum()
    }

    /// Requests that run at replicas now.
    fn running(&self) -> u32 {
        self.replicas.iter().map(|r| r.running().0).sum()
    }

    /// Requests that a host has taken from others.
    fn taken(&self, host: usize) -> bool {
        let text = self.hosts[host].0.state().log.metrics.render();
        text.contains("coveford_detours_taken_total")
    }
}

/// Time for which requests are sent that exceed a quota.
const QUOTA_TIME: Duration = Duration::from_secs(5);

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

/// Guards against a request that runs at more replicas than its route allows, or runs although its answer says that it
/// has not: all kinds, while paths are cut and come back each second.
#[tokio::test]
async fn no_request_runs_too_often_over_both_hosts() {
    let site = site(3).await;
    let mut answers = JoinSet::new();
    for n in 0..400 {
        if n % 40 == 0 {
            let mode = [Mode::Hang, Mode::Up, Mode::Reset, Mode::Up][n / 40 % 4];
            site.set_links(&[1], mode);
        }
        let path = ["/once/x", "/again/x"][n % 2];
        let callers = site.callers(1);
        answers.spawn(async move { (path, ask_at(callers, path, None).await) });
        sleep(Duration::from_millis(25)).await;
    }
    let mut passed_on = 0;
    for (path, (id, answer)) in answers.join_all().await {
        let (runs, status) = (site.runs(&id), answer.status());
        let most = if path == "/once/x" { 1 } else { 2 };
        assert!(runs <= most, "{id} at {path} ran {runs} times");
        assert!(
            status != 503 || runs == 0,
            "{id} at {path}: 503, but it ran"
        );
        passed_on += u32::from(status == 200);
    }
    assert!(passed_on > 300, "{passed_on}");
}

/// Guards against work that goes on at a replica after its caller has left the first of the two hosts.
#[tokio::test]
async fn a_caller_that_leaves_ends_the_work_over_both_hosts() {
    let mut site = Site::partitioned(2).await;
    let slow = Options {
        id: "e-slow".into(),
        models: vec!["m9".into()],
        events: 1_000,
        ..Options::default()
    };
    site.replicas
        .push(replica::spawn(&site.store, slow).await.unwrap());
    let knows =
        |(host, _): &(Daemon, Links)| host.state().table.lock().view.get("e-slow").is_some();
    until(|| site.hosts.iter().all(knows)).await;
    let (_, prepared) = request("/stream/x", Some("m9"));
    let mut line = Connection::open(site.callers(1), CONTACT).await.unwrap();
    let response = line.send(prepared, CONTACT).await.unwrap();
    assert_eq!(response.status(), 200);
    assert!(site.taken(0) && site.running() == 1);
    drop((line, response));
    sleep(Duration::from_millis(500)).await;
    assert_eq!(site.running(), 0);
}

/// Guards against a stream that ends, or repeats or lacks events, when the host that it was passed on to dies.
#[tokio::test]
async fn a_stream_is_resumed_whole_when_the_other_host_dies() {
    let mut site = Site::partitioned(3).await;
    for n in [1, 2] {
        let slow = Options {
            id: format!("e-slow-{n}"),
            models: vec!["m9".into()],
            events: 100,
            delay: Duration::from_millis(10),
            ..Options::default()
        };
        site.replicas
            .push(replica::spawn(&site.store, slow).await.unwrap());
    }
    let knows = |(host, _): &(Daemon, Links)| {
        let table = host.state().table.lock();
        table.view.get("e-slow-1").is_some() && table.view.get("e-slow-2").is_some()
    };
    until(|| site.hosts.iter().all(knows)).await;
    let prepared = request("/resume/x", Some("m9"));
    let answer = tokio::spawn(send_to(site.callers(1), prepared));
    until(|| site.running() > 0).await;
    sleep(Duration::from_millis(300)).await;
    // Of the two others, the one that took the stream dies.
    let carries = |host: &(Daemon, Links)| host.0.state().in_flight() > 0;
    let dying = [0, 2].into_iter().find(|n| carries(&site.hosts[*n]));
    drop(site.hosts.remove(dying.unwrap()));
    let (id, answer) = answer.await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.events(), (1..=100).collect::<Vec<_>>());
    assert!(site.runs(&id) <= 2);
}

/// Guards against a stream that is passed on to another host, and goes on at another software version when that host dies.
#[tokio::test]
async fn streams_of_a_host_that_dies_keep_their_version() {
    let mut site = Site::partitioned(4).await;
    for (id, version) in [
        ("e-1-a", "v1"),
        ("e-1-b", "v1"),
        ("e-2-a", "v2"),
        ("e-2-b", "v2"),
    ] {
        let slow = Options {
            id: id.into(),
            version: version.into(),
            models: vec!["m9".into()],
            events: 100,
            delay: Duration::from_millis(10),
            ..Options::default()
        };
        site.replicas
            .push(replica::spawn(&site.store, slow).await.unwrap());
    }
    let knows = |(host, _): &(Daemon, Links)| {
        let table = host.state().table.lock();
        table
            .view
            .all()
            .filter(|r| r.entry.id.ends_with(['a', 'b']))
            .count()
            == 4
    };
    until(|| site.hosts.iter().all(knows)).await;
    let mut answers = JoinSet::new();
    for _ in 0..8 {
        let (id, mut prepared) = request("/resume/x", Some("m9"));
        *prepared.body_mut() = conn::Body::new(id.clone().into());
        answers.spawn(send_to(site.callers(1), (id, prepared)));
    }
    until(|| site.running() == 8).await;
    sleep(Duration::from_millis(300)).await;
    let carries = |host: &(Daemon, Links)| host.0.state().in_flight() > 0;
    let dying = [0, 2, 3].into_iter().find(|n| carries(&site.hosts[*n]));
    drop(site.hosts.remove(dying.unwrap()));
    let mut resumed = 0;
    for (id, answer) in answers.join_all().await {
        assert_eq!(answer.events(), (1..=100).collect::<Vec<_>>());
        assert_eq!(answer.versions().len(), 1, "{id}: {:?}", answer.versions());
        resumed += u32::from(site.runs(&id) > 1);
    }
    assert!(resumed > 0);
}

/// Guards against requests of other hosts that a stopping host cuts off.
#[tokio::test]
async fn a_host_that_stops_ends_the_requests_that_it_took_over() {
    let mut site = Site::partitioned(2).await;
    for replica in &site.replicas {
        replica.set_fault(Fault::None);
    }
    let slow = Options {
        id: "w-slow".into(),
        service: "web".into(),
        models: Vec::new(),
        delay: Duration::from_millis(2_500),
        ..Options::default()
    };
    site.replicas
        .push(replica::spawn(&site.store, slow).await.unwrap());
    for replica in &site.replicas[..2] {
        replica.remove_entry();
    }
    let only_slow = |(host, _): &(Daemon, Links)| {
        let table = host.state().table.lock();
        let web = table.view.all().filter(|r| &*r.entry.service == "web");
        web.map(|r| r.entry.id.to_string())
            .eq(["w-slow".to_owned()])
    };
    until(|| site.hosts.iter().all(only_slow)).await;
    let prepared = request("/once/x", None);
    let answer = tokio::spawn(send_to(site.callers(1), prepared));
    until(|| site.running() > 0).await;
    site.hosts.remove(0).0.drain().await;
    let (_, answer) = answer.await.unwrap();
    assert_eq!(answer.status(), 200);
}

/// Guards against a promise that a request has not run, since the host that passed it on stops before it is answered.
#[tokio::test]
async fn a_host_that_stops_tells_no_caller_that_a_request_at_another_host_has_not_run() {
    let mut site = Site::partitioned(2).await;
    for replica in &site.replicas {
        replica.set_fault(Fault::Hang);
    }
    let callers = site.callers(1);
    let (host, _links) = site.hosts.remove(1);
    let drain = tokio::spawn(host.drain());
    // The timeout of the route ends after the grace from now on.
    sleep(Duration::from_millis(1_000)).await;
    let (id, answer) = send_to(callers, request("/once/x", None)).await;
    assert_eq!((answer.status(), site.runs(&id)), (502, 1));
    drain.await.unwrap();
}

/// Guards against quotas that are charged by both hosts, and keys that reach replicas.
#[tokio::test]
async fn keys_and_quotas_hold_over_both_hosts() {
    let site = Site::partitioned(2).await;
    let limited = Account {
        tokens: Some((1_000.0, 1_000.0)),
        ..account("acme", &["k1"])
    };
    site.store.put("op/config", &with_accounts(2, &[limited]));
    until(|| site.hosts.iter().all(|host| version(host) == 2)).await;
    // A request without token counts costs 200 units, so five a second are within the quota.
    let end = Instant::now() + QUOTA_TIME;
    let mut ran = 0;
    while Instant::now() < end {
        let (id, answer) = ask_with(&site.hosts[1].0, "k1", "/once/x", None).await;
        let mut logs = site.replicas.iter().map(|r| r.request_log(&id));
        let log = logs.find(|log| log.runs > 0);
        assert_eq!(answer.status(), if log.is_some() { 200 } else { 429 });
        if let Some(log) = log {
            assert_eq!((log.account.as_deref(), log.had_key), (Some("acme"), false));
            ran += 1;
        }
    }
    let due = 5.0 * QUOTA_TIME.as_secs_f64();
    assert!(f64::from(ran) > due * 0.7, "{ran} of {due}");
}

/// Guards against a key that the first host still accepts and the second one knows to be withdrawn.
#[tokio::test]
async fn a_key_that_only_the_other_host_knows_to_be_withdrawn_runs_nothing() {
    let site = Site::partitioned(2).await;
    let put = |version, key| {
        let accounts = [account("acme", &[key])];
        site.store
            .put("op/config", &with_accounts(version, &accounts));
    };
    put(2, "k1");
    until(|| site.hosts.iter().all(|host| version(host) == 2)).await;
    let routes = site.hosts[1].0.state().table.lock().routes.clone();
    put(3, "k2");
    until(|| site.hosts.iter().all(|host| version(host) == 3)).await;
    site.hosts[1].0.state().table.lock().routes = routes;
    let (id, public) = ask_with(&site.hosts[1].0, "k1", "/open/x", None).await;
    assert_eq!((public.status(), site.runs(&id)), (200, 1));
    let (id, refused) = ask_with(&site.hosts[1].0, "k1", "/once/x", None).await;
    assert_eq!((refused.status(), site.runs(&id)), (401, 0));
}

/// Site of three hosts, of which only host 0 has the newest configuration in force, whose version is `newest` and by
/// which `/again/` leads to another replica, the last one; host 1 has no paths.
async fn with_a_change_on_one_host(newest: u64) -> Site {
    let mut site = Site::partitioned(3).await;
    let options = Options {
        id: "w-new".into(),
        service: "new".into(),
        models: Vec::new(),
        ..Options::default()
    };
    let replica = replica::spawn(&site.store, options).await.unwrap();
    site.replicas.push(replica);
    let put = |version, service: &str| {
        let mut configuration = site::configuration(version);
        let mut services = configuration["services"].as_array().unwrap().clone();
        let mut new = services
            .iter()
            .find(|s| s["name"] == "web")
            .unwrap()
            .clone();
        new["name"] = json!("new");
        services.push(new);
        configuration["services"] = json!(services);
        configuration["routes"][4]["service"] = json!(service);
        site.store.put("op/config", &configuration);
    };
    put(2, "web");
    until(|| site.hosts.iter().all(|host| version(host) == 2)).await;
    let routes = site.hosts[1].0.state().table.lock().routes.clone();
    put(newest, "new");
    until(|| site.hosts.iter().all(|host| version(host) == newest)).await;
    for host in [1, 2] {
        site.hosts[host].0.state().table.lock().routes = routes.clone();
    }
    site
}

/// Guards against a host that passes requests on and goes back to an older configuration: its callers see the new one and
/// then the old one again. The host that has the newest one by its revision may have a lower version.
#[rstest]
#[case::newer(3)]
#[case::of_a_lower_version(1)]
#[tokio::test]
async fn requests_that_are_passed_on_never_go_back_to_an_older_configuration(#[case] newest: u64) {
    let site = with_a_change_on_one_host(newest).await;
    let new = site.replicas.last().unwrap();
    let mut runs = Vec::new();
    for _ in 0..40 {
        let (id, answer) = ask_at(site.callers(1), "/again/x", None).await;
        assert_eq!(answer.status(), 200, "{}", answer.text());
        runs.push(new.request_log(&id).runs > 0);
    }
    let first = runs.iter().position(|by_newest| *by_newest);
    let first = first.expect("some are served by the newest configuration");
    assert!(runs[first..].iter().all(|by_newest| *by_newest), "{runs:?}");
}

/// Guards against a host that has its paths back and serves by its own, older configuration what others have served by a
/// newer one.
#[tokio::test]
async fn a_host_with_paths_again_does_not_go_back_to_an_older_configuration() {
    let site = with_a_change_on_one_host(3).await;
    let new = site.replicas.last().unwrap();
    let by_newest = |id: &str| new.request_log(id).runs > 0;
    while !by_newest(&ask_at(site.callers(1), "/again/x", None).await.0) {}
    site.set_links(&[1], Mode::Up);
    until(|| !front::paths::is_isolated(site.hosts[1].0.state())).await;
    let end = Instant::now() + 2 * CONTACT;
    while Instant::now() < end {
        let (id, answer) = ask_at(site.callers(1), "/again/x", None).await;
        assert!(answer.status() != 200 || by_newest(&id));
        sleep(Duration::from_millis(25)).await;
    }
}

/// Guards against a route that a host denies although its callers have seen the configuration that added it.
#[tokio::test]
async fn a_host_that_is_behind_denies_no_route() {
    let site = with_a_change_on_one_host(3).await;
    let new = site.replicas.last().unwrap();
    while new
        .request_log(&ask_at(site.callers(1), "/again/x", None).await.0)
        .runs
        == 0
    {}
    let (_, answer) = ask_at(site.callers(1), "/added/x", None).await;
    assert_eq!(answer.status(), 503, "{}", answer.text());
    assert!(answer.header("retry-after").is_some());
}

/// Version of the configuration in force on a host.
fn version((host, _): &(Daemon, Links)) -> u64 {
    let routes = host.state().table.lock().routes.clone();
    routes.map_or(0, |routes| routes.version)
}

/// Guards against a request that two hosts without paths pass to each other, and against clients that pretend to be a
/// host.
#[tokio::test]
async fn a_request_is_passed_on_once() {
    let site = Site::partitioned(2).await;
    let host = site.hosts[1].0.state();
    site.set_links(&[0], Mode::Hang);
    site.load(&[0], 20).await;
    // Each believes that the other has paths.
    for (own, other) in [(0, 1), (1, 0)] {
        let state = site.hosts[own].0.state();
        let listed = Candidate {
            addr: site.hosts[other].0.state().settings.peers,
            hall: "a".into(),
            room: 9,
        };
        state.detours.assign(vec![listed], state.now());
    }
    let (id, answer) = ask_at(site.callers(1), "/once/x", None).await;
    assert_eq!((answer.status(), site.runs(&id)), (503, 0));
    let (_, pretended) = ask_at(site.callers(0), front::detour::PATH, None).await;
    assert_eq!(pretended.status(), 404);
    assert!(host.in_flight() == 0);
}

/// Starts a host that begins to refuse each request and never ends its refusal; gives its address and the requests that it
/// has had.
async fn host_with_endless_refusals() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let counted = requests.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let counted = counted.clone();
            tokio::spawn(async move {
                let mut request = vec![0; 64 * 1_024];
                let _ = stream.read(&mut request).await;
                counted.fetch_add(1, Ordering::SeqCst);
                let head =
                    "HTTP/1.1 200 OK\r\ncoveford-detour: rejected\r\ncontent-length: 99\r\n\r\n{";
                let _ = stream.write_all(head.as_bytes()).await;
                sleep(3 * REFUSAL_LIMIT).await;
            });
        }
    });
    (addr, requests)
}

/// Time within which a refusal that never ends is given up, and what a busy machine takes.
const REFUSAL_LIMIT: Duration = Duration::from_millis(2_000);

/// Guards against a host that begins a refusal and is suspended: callers would wait for as long as it is, also those whose
/// requests another host could serve.
#[rstest]
#[case::once("/once/x", 502)]
#[case::again("/again/x", 200)]
#[tokio::test]
async fn a_refusal_that_never_ends_is_given_up(#[case] path: &str, #[case] expected: u16) {
    let site = Site::partitioned(2).await;
    let state = site.hosts[1].0.state();
    let (addr, requests) = host_with_endless_refusals().await;
    while requests.load(Ordering::SeqCst) == 0 {
        let listed = |addr, room| Candidate {
            addr,
            hall: "a".into(),
            room,
        };
        let sound = site.hosts[0].0.state().settings.peers;
        let listed = vec![listed(addr, u16::MAX), listed(sound, 1)];
        state.detours.assign(listed, state.now());
        let start = Instant::now();
        let (id, answer) = ask_at(site.callers(1), path, None).await;
        assert!(start.elapsed() < REFUSAL_LIMIT, "{:?}", start.elapsed());
        if requests.load(Ordering::SeqCst) > 0 {
            assert_eq!(answer.status(), expected, "{}", answer.text());
            assert!(site.runs(&id) <= 1);
        }
    }
}

/// Time for which sound replicas may be silent.
const SILENCE: Duration = Duration::from_millis(1_250);

/// Guards against a replica that is silent for a second and goes on: a request that was given up meanwhile would fail or
/// run twice.
#[rstest]
#[case::alone(1)]
#[case::beside_others(3)]
#[tokio::test]
async fn a_silence_of_a_second_costs_no_request_in_flight(#[case] count: usize) {
    let mut site = site(count).await;
    let options = |id: &str, service: &str, models: &[&str], delay| Options {
        id: id.into(),
        service: service.into(),
        models: models.iter().map(|m| (*m).to_owned()).collect(),
        events: 20,
        delay: Duration::from_millis(delay),
        ..Options::default()
    };
    let slow = [
        options("e-slow", "llm", &["m9"], 30),
        options("w-slow", "web", &[], 500),
    ];
    for options in slow {
        let replica = replica::spawn(&site.store, options).await.unwrap();
        site.replicas.push(replica);
    }
    for replica in &site.replicas[..2] {
        replica.remove_entry();
    }
    let knows = |(host, _): &(Daemon, Links)| {
        let table = host.state().table.lock();
        table.view.all().count() == 4 && table.view.get("w-slow").is_some()
    };
    until(|| site.hosts.iter().all(knows)).await;
    let mut answers = JoinSet::new();
    for n in 0..12 {
        let path = ["/once/x", "/again/x", "/resume/x", "/stream/x"][n % 4];
        let model = (n % 4 > 1).then_some("m9");
        answers.spawn(send_to(site.callers(0), request(path, model)));
    }
    until(|| site.running() == 12).await;
    sleep(Duration::from_millis(150)).await;
    site.set_links(&[0], Mode::Hang);
    sleep(SILENCE).await;
    site.set_links(&[0], Mode::Up);
    for (id, answer) in answers.join_all().await {
        assert_eq!((answer.status(), site.runs(&id)), (200, 1), "{id}");
    }
}
