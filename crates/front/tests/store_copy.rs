//! The store comes back from a copy some seconds old: its revisions go back, and what was written since the copy is
//! written again some time later.

mod site;

use front::Daemon;
use platform_standin::proxy;
use platform_standin::replica::Replica;
use platform_standin::store::{Copy, Mode, Store};
use rstest::rstest;
use site::{
    account, ask, ask_with, configuration, daemon, daemon_behind_proxy, engine, hosts, send_load,
    store, until, web, with_accounts,
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time within which hosts must follow a change that the store has acknowledged.
const BOUND: Duration = Duration::from_millis(2_000);

/// Time for which the store is away before it comes back from the copy.
const AWAY: Duration = Duration::from_millis(500);

/// Time after its return until the operator and the replicas write again what was lost.
const REWRITTEN_AFTER: Duration = Duration::from_millis(300);

/// Two plain replicas and two that run models, and hosts that know them.
struct Site {
    store: Store,
    replicas: Vec<Replica>,
    hosts: Vec<Daemon>,
}

async fn site(count: usize) -> Site {
    let store = store().await;
    let replicas = vec![
        web(&store, "w-1").await,
        web(&store, "w-2").await,
        engine(&store, "e-1", &["m1"]).await,
        engine(&store, "e-2", &["m1"]).await,
    ];
    let hosts = hosts(&store, count).await;
    Site {
        store,
        replicas,
        hosts,
    }
}

impl Site {
    /// Makes changes that the tests do not look at, each of which raises the store's revision, and last of all the
    /// replicas write their entries.
    fn make_changes(&self, count: usize) {
        for n in 0..count {
            self.store.put("op/other", &n.into());
        }
        self.replicas.iter().for_each(Replica::write_entry);
    }

    /// The store is away for a moment and comes back from the copy; the replicas write their entries again later.
    async fn come_back(&self, copy: &Copy) {
        self.store.set_mode(Mode::Silent);
        sleep(AWAY).await;
        self.store.restore(copy);
        self.store.set_mode(Mode::Up);
    }

    async fn write_again(&self, replicas: &[&Replica]) {
        sleep(REWRITTEN_AFTER).await;
        replicas.iter().for_each(|replica| replica.write_entry());
    }

    fn all(&self) -> Vec<&Replica> {
        self.replicas.iter().collect()
    }

    fn versions(&self) -> Vec<u64> {
        let version = |host: &Daemon| host.state().table.lock().routes.as_ref().map(|r| r.version);
        self.hosts.iter().filter_map(version).collect()
    }
}

/// Whether a condition holds by the end of a time.
async fn within(time: Duration, holds: impl Fn() -> bool) -> bool {
    let end = Instant::now() + time;
    while !holds() && Instant::now() < end {
        sleep(Duration::from_millis(10)).await;
    }
    holds()
}

/// Guards against configurations that hosts take for older ones, since their revision in the store has gone back: after
/// one return from a copy and after two.
#[rstest]
#[case::few_changes(3, 1)]
#[case::many_changes(60, 1)]
#[case::two_in_a_row(60, 2)]
#[tokio::test]
async fn a_configuration_after_a_return_from_a_copy_is_in_force_in_time(
    #[case] changes: usize,
    #[case] returns: usize,
) {
    let site = site(4).await;
    for n in 0..returns {
        let copy = site.store.copy();
        site.make_changes(changes);
        let version = 10 + n as u64 * 10;
        site.store.put("op/config", &configuration(version));
        assert!(within(BOUND, || site.versions() == [version; 4]).await);
        site.come_back(&copy).await;
        site.store.put("op/config", &configuration(version));
        site.write_again(&site.all()).await;
        sleep(Duration::from_millis(900)).await;
        site.store.put("op/config", &configuration(version + 1));
        let is_new = within(BOUND, || site.versions() == [version + 1; 4]).await;
        assert!(is_new, "return {n}: {:?}", site.versions());
    }
}

/// Guards against a configuration, or a key taken away, that comes back with the copy.
#[tokio::test]
async fn an_older_configuration_of_the_copy_is_not_taken() {
    let site = site(4).await;
    let both = [account("stays", &["key-1"]), account("goes", &["key-2"])];
    site.store.put("op/config", &with_accounts(2, &both));
    assert!(within(BOUND, || site.versions() == [2; 4]).await);
    let copy = site.store.copy();
    site.store.put("op/config", &with_accounts(3, &both[..1]));
    assert!(within(BOUND, || site.versions() == [3; 4]).await);
    site.come_back(&copy).await;
    let end = Instant::now() + Duration::from_millis(1_500);
    while Instant::now() < end {
        assert_eq!(site.versions(), [3; 4]);
        for host in &site.hosts {
            let (_, answer) = ask_with(host, "key-2", "/again/x", None).await;
            let status = answer.status();
            // 503 while the host has not heard from the store.
            assert!(status == 401 || status == 503, "{status}");
        }
        sleep(Duration::from_millis(50)).await;
    }
    site.store.put("op/config", &with_accounts(3, &both[..1]));
    site.store.put("op/config", &with_accounts(4, &both[..1]));
    assert!(within(BOUND, || site.versions() == [4; 4]).await);
}

/// Guards against requests to a replica that leaves after the return from a copy, or left before it.
#[rstest]
#[case::after_the_return(true, false)]
#[case::before_and_said_again(false, true)]
#[case::before_and_not_said_again(false, false)]
#[tokio::test]
async fn a_replica_that_leaves_gets_no_new_requests_after_a_return_from_a_copy(
    #[case] leaves_after: bool,
    #[case] is_said_again: bool,
) {
    const PATHS: &[&str] = &["/once/x", "/again/x"];
    let site = site(4).await;
    send_load(&site.hosts, PATHS, Duration::from_millis(300)).await;
    let copy = site.store.copy();
    site.make_changes(60);
    let leaving = &site.replicas[0];
    if !leaves_after {
        leaving.announce_departure();
        sleep(Duration::from_millis(1_000)).await;
    }
    site.come_back(&copy).await;
    let others = site.all()[1..].to_vec();
    site.write_again(
        if is_said_again {
            &site.replicas[..]
        } else {
            &[]
        }
        .iter()
        .collect::<Vec<_>>()
        .as_slice(),
    )
    .await;
    site.write_again(&others).await;
    if leaves_after {
        sleep(Duration::from_millis(700)).await;
        leaving.announce_departure();
    }
    let announced_at = leaving.announced_departure_at().unwrap();
    let statuses = send_load(&site.hosts, PATHS, Duration::from_millis(4_000)).await;
    let late = leaving.arrivals_after(announced_at + BOUND).len();
    assert_eq!(late, 0, "of {} requests", statuses.len());
    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
}

/// Guards against a replica that has gone, and that hosts use again since the copy lists it.
#[tokio::test]
async fn a_replica_that_has_gone_is_not_used_since_the_copy_lists_it() {
    let site = site(4).await;
    let copy = site.store.copy();
    let gone = &site.replicas[0];
    gone.crash();
    gone.remove_entry();
    let knows = |host: &Daemon| host.state().table.lock().view.get("w-1").is_some();
    assert!(within(BOUND, || !site.hosts.iter().any(knows)).await);
    site.come_back(&copy).await;
    let end = Instant::now() + Duration::from_millis(2_000);
    while Instant::now() < end {
        assert!(!site.hosts.iter().any(knows));
        sleep(Duration::from_millis(10)).await;
    }
    site.store.remove(&gone.key());
    sleep(Duration::from_millis(500)).await;
    assert!(!site.hosts.iter().any(knows));
}

/// Guards against a replica that has come since the copy, and that hosts drop until its entry is back; and against one that
/// they keep, although it does not come back.
#[tokio::test]
async fn a_replica_that_the_copy_lacks_is_kept_until_it_had_time_to_return() {
    let site = site(4).await;
    let copy = site.store.copy();
    let new = web(&site.store, "w-3").await;
    let lost = web(&site.store, "w-4").await;
    let knows = |id: &str| {
        let known = |host: &Daemon| host.state().table.lock().view.get(id).is_some();
        site.hosts.iter().filter(|host| known(host)).count()
    };
    assert!(within(BOUND, || knows("w-3") + knows("w-4") == 8).await);
    site.come_back(&copy).await;
    let end = Instant::now() + REWRITTEN_AFTER;
    while Instant::now() < end {
        assert_eq!((knows("w-3"), knows("w-4")), (4, 4));
        sleep(Duration::from_millis(10)).await;
    }
    new.write_entry();
    lost.crash();
    assert!(within(Duration::from_secs(4), || knows("w-4") == 0).await);
    assert_eq!(knows("w-3"), 4);
}

/// Time within which a leader loads models again: a lease of the copy runs out, and a new leader is elected.
const LED_WITHIN: Duration = Duration::from_secs(8);

/// Guards against fencing tokens that are given out twice, or go back, and against a leader of before that goes on beside
/// the next one; adapters are loaded again within seconds.
#[rstest]
#[case::led_at_the_copy(false)]
#[case::led_after_the_copy(true)]
#[tokio::test]
async fn tokens_rise_over_returns_from_copies(#[case] leader_is_newer: bool) {
    let mut site = site(4).await;
    let mut copy = site.store.copy();
    if leader_is_newer {
        let leads = |host: &Daemon| host.state().leads();
        let leader = site.hosts.iter().position(leads).unwrap();
        drop(site.hosts.remove(leader));
        site.store.end_leases();
        until(|| site.hosts.iter().any(leads)).await;
    } else {
        copy = site.store.copy();
    }
    site.make_changes(30);
    let token = |site: &Site| {
        let leader = site.hosts[0].state().leader.lock().clone();
        leader.map(|leader| leader.term)
    };
    for n in 1..=2 {
        until(|| token(&site).is_some()).await;
        let before = token(&site).unwrap();
        site.come_back(&copy).await;
        site.write_again(&site.all()).await;
        // The leader has to order the load.
        let model = format!("m1/a{n}");
        let began = Instant::now();
        while ask(&site.hosts[0], "/stream/x", Some(&model))
            .await
            .1
            .status()
            != 200
        {
            let elapsed = began.elapsed();
            assert!(
                elapsed < LED_WITHIN,
                "{model} is not served after {elapsed:?}"
            );
            sleep(Duration::from_millis(50)).await;
        }
        let rises = within(LED_WITHIN, || {
            token(&site).is_some_and(|after| after > before)
        });
        assert!(rises.await, "{:?} after {before}", token(&site));
        site.make_changes(30);
    }
    for replica in &site.replicas {
        let orders = replica.orders();
        let tokens = orders.iter().map(|o| o["fencing_token"].as_u64().unwrap());
        assert!(tokens.is_sorted(), "{orders:?}");
    }
}

/// Guards against hosts that are cut off from the store while it comes back from a copy, and then take what they know of
/// before for newer; and against a leader among them that goes on beside the next one.
#[tokio::test]
async fn a_leader_cut_off_through_the_return_follows_the_store_again() {
    let store = store().await;
    let replicas = [
        engine(&store, "e-1", &["m1"]).await,
        engine(&store, "e-2", &["m1"]).await,
    ];
    let (cut_off, proxy) = daemon_behind_proxy(&store, "d1").await;
    until(|| cut_off.state().leads()).await;
    let site = Site {
        hosts: hosts_beside(&store, 2).await,
        store: store.clone(),
        replicas: replicas.to_vec(),
    };
    let copy = store.copy();
    site.make_changes(60);
    store.put("op/config", &configuration(10));
    assert!(within(BOUND, || site.versions() == [10, 10]).await);
    proxy.set(proxy::Mode::Reset);
    site.come_back(&copy).await;
    store.put("op/config", &configuration(10));
    site.write_again(&site.all()).await;
    let leads = |host: &Daemon| host.state().leads();
    until(|| site.hosts.iter().any(leads)).await;
    store.put("op/config", &configuration(11));
    proxy.set(proxy::Mode::Pass);
    let version = || {
        let table = cut_off.state().table.lock();
        table.routes.as_ref().map(|r| r.version)
    };
    assert!(
        within(BOUND, || version() == Some(11)).await,
        "{:?}",
        version()
    );
    sleep(Duration::from_millis(500)).await;
    assert!(!cut_off.state().leads());
    for replica in &site.replicas {
        let orders = replica.orders();
        let tokens = orders.iter().map(|o| o["fencing_token"].as_u64().unwrap());
        assert!(tokens.is_sorted(), "{orders:?}");
    }
}

/// Starts hosts beside one that runs.
async fn hosts_beside(store: &Store, count: usize) -> Vec<Daemon> {
    let mut hosts = Vec::new();
    for n in 2..2 + count {
        hosts.push(daemon(store, &format!("d{n}")).await);
    }
    hosts
}

/// Guards against a key that is accepted again since a copy of the store, which lacks its withdrawal, was read.
#[tokio::test]
async fn a_copy_does_not_make_a_withdrawn_key_fresh() {
    let store = store().await;
    let replica = web(&store, "i-1").await;
    store.put("op/config", &with_accounts(2, &[account("acme", &["k1"])]));
    let host = daemon(&store, "d1").await;
    assert_eq!(ask_with(&host, "k1", "/once/x", None).await.1.status(), 200);
    let copy = store.copy();
    store.set_mode(Mode::Silent);
    let without_key = with_accounts(3, &[account("acme", &["k2"])]);
    store.put("op/config", &without_key);
    sleep(site::bounds().withdrawal.unwrap() + Duration::from_millis(200)).await;
    store.restore(&copy);
    store.set_mode(Mode::Up);
    let back_at = Instant::now();
    let before = replica.arrivals();
    while back_at.elapsed() < Duration::from_millis(1_500) {
        let (id, answer) = ask_with(&host, "k1", "/once/x", None).await;
        assert_eq!(
            replica.request_log(&id).runs,
            0,
            "{} after {:?}",
            answer.status(),
            back_at.elapsed()
        );
        sleep(Duration::from_millis(50)).await;
    }
    store.put("op/config", &without_key);
    let version = || host.state().table.lock().routes.as_ref().map(|r| r.version);
    until(|| version() == Some(3)).await;
    assert_eq!(ask_with(&host, "k1", "/once/x", None).await.1.status(), 401);
    assert_eq!(replica.arrivals(), before);
}
