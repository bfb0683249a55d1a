//! Changes of configuration, replicas, store and daemons while requests are served.

mod site;

use front::message::{Load, PackedLoad};
use platform_standin::replica::{self, Fault};
use platform_standin::store::Mode;
use rstest::rstest;
use site::{HEARTBEAT, ask, configuration, daemon, engine, store, until, web};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use unit::Span;

#[tokio::test]
async fn configuration_reaches_all_hosts_and_never_reverts() {
    let store = store().await;
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let daemons = [daemon(&store, "d1").await, daemon(&store, "d2").await];
    let newest = configuration(9);
    store.put("op/config", &newest);
    for daemon in &daemons {
        let version = || {
            let table = daemon.state().table.lock();
            table.routes.as_ref().unwrap().version
        };
        let start = Instant::now();
        until(|| version() == 9).await;
        assert!(start.elapsed() < Duration::from_secs(2));
    }
    store.put(
        "op/config",
        &serde_json::json!({"version": 10, "routes": "none"}),
    );
    sleep(Duration::from_millis(600)).await;
    for daemon in &daemons {
        let (_, answer) = ask(daemon, "/stream/x", Some("m1")).await;
        assert_eq!(
            answer.status(),
            200,
            "the last valid configuration must stay in force"
        );
    }
}

/// Guards against a route that takes the others with it, and against its requests taking a route with a shorter prefix.
#[tokio::test]
async fn a_route_that_cannot_be_decoded_costs_itself_only() {
    let store = store().await;
    let _replica = web(&store, "i-1").await;
    let mut newest = configuration(9);
    let mut route = newest["routes"][0].clone();
    route["path_prefix"] = "/again/inner/".into();
    route["kind"] = "unknown".into();
    newest["routes"].as_array_mut().unwrap().push(route);
    store.put("op/config", &newest);
    let daemon = daemon(&store, "d1").await;
    for (path, status) in [("/again/x", 200), ("/again/inner/x", 503), ("/none/x", 404)] {
        assert_eq!(ask(&daemon, path, None).await.1.status(), status, "{path}");
    }
}

#[rstest]
#[case::announced(true)]
#[case::silent(false)]
#[tokio::test]
async fn leaving_replica_gets_no_requests(#[case] announced: bool) {
    let store = store().await;
    let leaving = web(&store, "i-1").await;
    let _staying = web(&store, "i-2").await;
    let daemon = daemon(&store, "d1").await;
    match announced {
        true => leaving.announce_departure(),
        false => leaving.remove_entry(),
    }
    sleep(Duration::from_millis(900)).await;
    let before = leaving.arrivals();
    for _ in 0..30 {
        assert_eq!(ask(&daemon, "/again/x", None).await.1.status(), 200);
    }
    assert_eq!(leaving.arrivals(), before);
}

#[rstest]
#[case::busy(Mode::Busy)]
#[case::reset(Mode::Reset)]
#[case::silent(Mode::Silent)]
#[tokio::test]
async fn requests_are_served_during_a_store_outage(#[case] mode: Mode) {
    let store = store().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    store.set_mode(mode);
    until(|| daemon.state().table.lock().view.contact.is_unreachable()).await;
    // No entry lapses before three heartbeats are missed.
    sleep((HEARTBEAT * 2.0).std()).await;
    replica.remove_entry();
    assert_eq!(ask(&daemon, "/again/x", None).await.1.status(), 200);
    store.set_mode(Mode::Up);
    sleep(Duration::from_millis(500)).await;
    assert_eq!(
        ask(&daemon, "/again/x", None).await.1.status(),
        200,
        "an entry that lapsed meanwhile is no departure"
    );
    replica.write_entry();
    sleep(Duration::from_millis(2_600)).await;
    assert_eq!(ask(&daemon, "/again/x", None).await.1.status(), 200);
}

/// Guards against a watch that hangs after a silent outage and delays the next configuration.
#[tokio::test]
async fn configuration_after_a_silent_outage_takes_effect_in_time() {
    let store = store().await;
    let daemon = daemon(&store, "d1").await;
    store.set_mode(Mode::Silent);
    sleep(Duration::from_millis(1_000)).await;
    store.set_mode(Mode::Up);
    store.put("op/config", &configuration(7));
    let start = Instant::now();
    let version = || {
        let table = daemon.state().table.lock();
        table.routes.as_ref().unwrap().version
    };
    until(|| version() == 7).await;
    assert!(
        start.elapsed() < Duration::from_millis(2_500),
        "{:?}",
        start.elapsed()
    );
}

#[tokio::test]
async fn departure_in_compacted_history_is_noticed() {
    let store = store().await;
    let departed = web(&store, "i-1").await;
    let _stays = web(&store, "i-2").await;
    let daemon = daemon(&store, "d1").await;
    let count = || daemon.state().table.lock().view.all().count();
    until(|| count() == 2).await;
    store.remove_and_compact(&departed.key());
    until(|| count() == 1).await;
}

#[tokio::test]
async fn daemon_without_configuration_is_not_ready_and_answers_503() {
    let store = platform_standin::store::spawn().await.unwrap();
    let daemon = front::spawn(site::settings(&store, "d1")).await.unwrap();
    let (_, answer) = ask(&daemon, "/again/x", None).await;
    assert_eq!(answer.status(), 503);
    assert!(!daemon.state().is_ready());
    store.put("op/config", &configuration(1));
    until(|| daemon.state().is_ready()).await;
}

#[tokio::test]
async fn drain_interrupts_no_request() {
    let store = store().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let addr = daemon.callers();
    let state = daemon.state().clone();
    let drain = tokio::spawn(daemon.drain());
    let mut served = 0;
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1_200) {
        let (_, request) = site::request("/again/x", None);
        let mut line = conn::Connection::open(addr, site::WAIT_LIMIT)
            .await
            .unwrap();
        let reply = line
            .exchange(request, site::WAIT_LIMIT, 1 << 20)
            .await
            .unwrap();
        assert_eq!(reply.status.as_u16(), 200);
        assert_eq!(reply.headers["connection"], "close");
        served += 1;
    }
    assert!(!state.is_ready(), "the balancer must be told immediately");
    drain.await.unwrap();
    assert!(served > 10);
    assert_eq!(replica.arrivals(), served);
}

/// Guards against a request that waits for its model until its host has ended.
#[tokio::test]
async fn waiting_request_is_rejected_when_its_host_drains() {
    let store = store().await;
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    let now = daemon.state().now();
    let etas = [("m9".into(), 500)];
    daemon.state().table.lock().set_model_etas(&etas, now);
    let addr = daemon.callers();
    let exchange = tokio::spawn(async move {
        let (_, request) = site::request("/stream/x", Some("m9"));
        let mut line = conn::Connection::open(addr, site::WAIT_LIMIT)
            .await
            .unwrap();
        line.exchange(request, site::WAIT_LIMIT, 1 << 20)
            .await
            .unwrap()
    });
    until(|| daemon.state().in_flight() == 1).await;
    let start = Instant::now();
    let drain = tokio::spawn(daemon.drain());
    let reply = exchange.await.unwrap();
    assert_eq!(reply.status.as_u16(), 503);
    assert!(reply.headers.contains_key("retry-after"));
    assert!(
        start.elapsed() < Duration::from_millis(250),
        "{:?}",
        start.elapsed()
    );
    drain.await.unwrap();
}

/// Guards against sending a queued request to a replica that left while it waited.
#[tokio::test]
async fn waiting_request_is_not_sent_to_a_departed_replica() {
    let store = store().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    let state = daemon.state().clone();
    let busy = tokio::spawn(async move {
        // Another host has prompts of lower priority there, so this request is queued.
        let load = Load {
            requests: 1.0,
            reserved_tokens: 100.0,
            prefill_ms: [0.0, 0.0, 0.0, 5_000.0],
        };
        loop {
            let (row, now) = (PackedLoad::new("i-1", &load), state.now());
            state.table.lock().set_host_loads(&"d2".into(), &[row], now);
            sleep(Duration::from_millis(50)).await;
        }
    });
    sleep(Duration::from_millis(100)).await;
    let addr = daemon.callers();
    let exchange = tokio::spawn(async move {
        let (_, request) = site::request("/stream/x", Some("m1"));
        let mut line = conn::Connection::open(addr, site::WAIT_LIMIT)
            .await
            .unwrap();
        line.exchange(request, site::WAIT_LIMIT, 1 << 20)
            .await
            .unwrap()
    });
    until(|| daemon.state().in_flight() == 1).await;
    replica.announce_departure();
    let reply = exchange.await.unwrap();
    busy.abort();
    assert_eq!(replica.arrivals(), 0);
    assert_eq!(reply.status.as_u16(), 503);
}

#[tokio::test]
async fn next_leader_has_a_higher_token() {
    let store = store().await;
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let first = daemon(&store, "d1").await;
    let leader = |daemon: &front::Daemon| daemon.state().leader.lock().clone();
    until(|| leader(&first).is_some()).await;
    let second = daemon(&store, "d2").await;
    until(|| leader(&second).is_some()).await;
    let before = leader(&second).unwrap();
    assert_eq!(&*before.name, "d1");
    first.drain().await;
    until(|| leader(&second).is_some_and(|l| &*l.name == "d2")).await;
    assert!(leader(&second).unwrap().term > before.term);
}

/// The leader is killed and restarted long before its lease ends. No other host can lead until
/// then, so it must replace its own entry, with a higher token, and keep it beyond the old lease.
#[tokio::test]
async fn restarted_leader_replaces_its_entry() {
    let store = store().await;
    let _replica = engine(&store, "i-1", &["m1"]).await;
    let first = daemon(&store, "d1").await;
    let leader = |daemon: &front::Daemon| daemon.state().leader.lock().clone();
    until(|| leader(&first).is_some()).await;
    let second = daemon(&store, "d2").await;
    until(|| leader(&second).is_some()).await;
    let before = leader(&first).unwrap();
    let settings = first.state().settings.clone();
    drop(first);
    sleep(Duration::from_millis(100)).await;
    let restart = Instant::now();
    let first = front::spawn(settings).await.unwrap();
    until(|| leader(&second).is_some_and(|l| l.term > before.term)).await;
    assert!(
        restart.elapsed() < Duration::from_millis(1_500),
        "{:?}",
        restart.elapsed()
    );
    assert_eq!(&*leader(&second).unwrap().name, "d1");
    let term = leader(&first).unwrap().term;
    sleep(Duration::from_millis(3_500)).await;
    assert_eq!(leader(&second).map(|l| l.term), Some(term));
}

/// Guards against a host that takes another leader's entry, learned of just before its own write,
/// for its own and replaces it.
#[test]
fn entry_of_another_host_is_never_replaced() {
    let own = "127.0.0.1:7001".parse().unwrap();
    let leader = |peers: &str| front::state::Leader {
        name: "d1".into(),
        peers: peers.parse().unwrap(),
        term: 3,
    };
    assert_eq!(front::leader::expected_revision(None, own), 0);
    assert_eq!(
        front::leader::expected_revision(Some(&leader("127.0.0.1:7002")), own),
        0
    );
    assert_eq!(
        front::leader::expected_revision(Some(&leader("127.0.0.1:7001")), own),
        3
    );
}

/// Guards against stepping down although the lease outlived the outage: the next leader sends its
/// first order seconds later.
#[tokio::test]
async fn leader_resumes_when_its_lease_outlives_an_outage() {
    let store = store().await;
    let first = daemon(&store, "d1").await;
    let second = daemon(&store, "d2").await;
    let leader = |daemon: &front::Daemon| daemon.state().leader.lock().clone();
    let before = leader(&second);
    store.set_mode(Mode::Silent);
    for _ in 0..45 {
        store.extend_leases();
        sleep(Duration::from_millis(100)).await;
    }
    let plans_age = |daemon: &front::Daemon| {
        let state = daemon.state();
        state.table.lock().planner_status_age(state.now())
    };
    let age = plans_age(&second);
    assert!(
        age < Span::from_secs(1),
        "load must still be broadcast: {age}"
    );
    store.set_mode(Mode::Up);
    let engine = engine(&store, "i-1", &["m1"]).await;
    let start = Instant::now();
    until(|| engine.models().contains_key("m2")).await;
    let took = start.elapsed();
    assert!(took < Duration::from_millis(2_500), "{took:?}");
    assert_eq!(leader(&first), before);
    assert_eq!(leader(&second), before);
}

/// A lease that ended in the outage is not resumed: another host may have led meanwhile.
#[tokio::test]
async fn leader_starts_a_new_term_when_its_lease_ended_in_an_outage() {
    let store = store().await;
    let first = daemon(&store, "d1").await;
    let leader = |daemon: &front::Daemon| daemon.state().leader.lock().clone();
    let before = leader(&first).unwrap();
    store.set_mode(Mode::Silent);
    sleep(Duration::from_millis(4_500)).await;
    store.end_leases();
    store.set_mode(Mode::Up);
    until(|| leader(&first).is_some_and(|l| l.term > before.term)).await;
}

/// Guards against rejecting a request for a model whose load the leader has ordered, because the digest that says so
/// comes later than the time that the request may wait for it.
#[tokio::test]
async fn request_between_the_order_of_a_load_and_the_next_digest_is_served() {
    let store = store().await;
    let slow = |id: &str| replica::Options {
        id: id.into(),
        load_time: Duration::from_millis(600),
        ..replica::Options::default()
    };
    let replica = replica::spawn(&store, slow("i-1")).await.unwrap();
    let daemon = daemon(&store, "d1").await;
    let state = daemon.state();
    // There is memory for one more model.
    let announced = || {
        let table = state.table.lock();
        let is_announced = |model: &&str| table.model_eta(&(*model).into(), state.now()).is_some();
        ["m2", "m3"].into_iter().find(is_announced)
    };
    until(|| announced().is_some()).await;
    let model = announced();
    // What the host knows just before the first digest after the order.
    state.table.lock().set_model_etas(&[], state.now());
    let (_, answer) = ask(&daemon, "/stream/x", model).await;
    assert_eq!(answer.status(), 200, "{}", answer.text());
    assert!(!replica.is_overcommitted());
}

#[tokio::test]
async fn unloaded_model_is_loaded_and_served() {
    let store = store().await;
    let replicas = [
        engine(&store, "i-1", &["m1"]).await,
        engine(&store, "i-2", &["m1"]).await,
    ];
    let daemon = daemon(&store, "d1").await;
    // A load takes 0.2 s of a target of 1 s: a request waits for it once the leader has announced
    // it.
    let m2 = "m2".into();
    let is_loading = || {
        let state = daemon.state();
        let eta = state.table.lock().model_eta(&m2, state.now());
        eta.is_some() || replicas.iter().any(|r| r.models().contains_key("m2"))
    };
    until(is_loading).await;
    let (_, answer) = ask(&daemon, "/stream/x", Some("m2")).await;
    assert_eq!(answer.status(), 200);
    // A model that cannot be loaded is rejected once the leader has had time to announce it.
    let start = Instant::now();
    let (_, answer) = ask(&daemon, "/stream/x", Some("m9")).await;
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert!(start.elapsed() < Duration::from_millis(500));
    until(|| replicas.iter().any(|r| r.models().contains_key("m2"))).await;
    until(|| replicas.iter().any(|r| r.models().contains_key("m3"))).await;
    sleep(Duration::from_millis(400)).await;
    assert_eq!(ask(&daemon, "/stream/x", Some("m2")).await.1.status(), 200);
    assert!(replicas.iter().all(|r| !r.is_overcommitted()));
    assert!(replicas.iter().any(|r| r.models().contains_key("m1")));
}

#[tokio::test]
async fn adapters_load_on_demand_within_the_slots() {
    let store = store().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    until(|| daemon.state().leader.lock().is_some()).await;
    sleep(Duration::from_millis(1_200)).await;
    let mut served = 0;
    for round in 0..6 {
        let model = format!("m1/a{}", round % 3 + 1);
        for _ in 0..20 {
            let (_, answer) = ask(&daemon, "/stream/x", Some(&model)).await;
            if answer.status() == 200 {
                served += 1;
                break;
            }
            assert_eq!(answer.status(), 503);
            sleep(Duration::from_millis(300)).await;
        }
    }
    assert_eq!(served, 6);
    assert!(!replica.is_overcommitted());
}

#[tokio::test]
async fn leader_entry_creation_survives_a_lost_answer() {
    let store = store().await;
    store.set_mode(Mode::Lossy);
    let daemon = front::spawn(site::settings(&store, "d1")).await.unwrap();
    until(|| daemon.state().leader.lock().is_some()).await;
    assert_eq!(&*daemon.state().leader.lock().clone().unwrap().name, "d1");
}

#[tokio::test]
async fn failing_replica_gets_fewer_requests() {
    let store = store().await;
    let bad = web(&store, "i-1").await;
    let good = web(&store, "i-2").await;
    let daemon = daemon(&store, "d1").await;
    bad.set_fault(Fault::InternalError);
    for _ in 0..60 {
        ask(&daemon, "/once/x", None).await;
    }
    assert!(bad.arrivals() < 20, "{}", bad.arrivals());
    assert!(good.arrivals() > 40);
}
