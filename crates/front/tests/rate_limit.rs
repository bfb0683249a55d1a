//! Rate limits that replicas advertise in their answers: the requests per second that they take
//! from all hosts together.
//!
//! Guards against hosts that go on sending as before to a replica that advertises a limit, which
//! may crash it.

mod site;

use front::Daemon;
use front::message::{
    LimitDigest, MAX_DATAGRAM, Message, QuotaRequest, QuotaResponse, ReplicaLimit, Subject, encode,
    limit,
};
use platform_standin::replica::{Fault, Replica};
use platform_standin::store::{Mode, Store};
use site::{daemon, engine, hosts, send_load, store};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use unit::Span;

/// Time after the first advertisement within which all hosts must keep to a limit.
const BOUND: Duration = Duration::from_millis(3_000);

/// Sliding window in which requests to a limited replica are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which a host is suspended: longer than a lease and a window.
const SUSPENSION: Span = Span::from_secs(6);

/// Most requests in a window under a limit of `rate` per second.
fn allowed(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Most arrivals in any window.
fn max_in_window(arrivals: &[Instant]) -> usize {
    let within = |(i, end): (usize, &Instant)| {
        let since = arrivals[..=i].iter().filter(|at| *end - **at < WINDOW);
        since.count()
    };
    arrivals.iter().enumerate().map(within).max().unwrap_or(0)
}

/// Two replicas of one model, and three hosts.
async fn two_replicas() -> (Store, [Replica; 2], Vec<Daemon>) {
    let store = store().await;
    let replicas = [
        engine(&store, "i-1", &["m1"]).await,
        engine(&store, "i-2", &["m1"]).await,
    ];
    let hosts = hosts(&store, 3).await;
    (store, replicas, hosts)
}

/// Sends load before a replica advertises a limit, for the bound after it, and then for 6 s;
/// returns the statuses of those 6 s and the most requests that reached the replica in a window of
/// them.
async fn load_under_limit(
    hosts: &[Daemon],
    replica: &Replica,
    paths: &[&'static str],
    limit: &str,
) -> (Vec<u16>, usize) {
    send_load(hosts, paths, Duration::from_millis(500)).await;
    replica.set_rate_limit(Some(limit));
    send_load(hosts, paths, BOUND).await;
    let from = Instant::now();
    let statuses = send_load(hosts, paths, Duration::from_secs(6)).await;
    (statuses, max_in_window(&replica.arrivals_after(from)))
}

#[tokio::test]
async fn three_hosts_keep_to_a_limit() {
    let (_store, [limited, _other], hosts) = two_replicas().await;
    let (statuses, max) =
        load_under_limit(&hosts, &limited, &["/stream/x", "/resume/x"], "1.3").await;
    assert!(
        max <= allowed(1.3),
        "{max} in 4 s; {} are allowed",
        allowed(1.3)
    );
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(
        served,
        statuses.len(),
        "the other replica serves the others"
    );
}

/// Guards against requests that wait although they cannot get a unit of the limit in time.
#[tokio::test]
async fn requests_without_a_unit_in_time_are_refused_at_once() {
    let store = store().await;
    let limited = engine(&store, "i-1", &["m1"]).await;
    let hosts = hosts(&store, 3).await;
    let (statuses, max) = load_under_limit(&hosts, &limited, &["/stream/x"], "2").await;
    assert!(
        max <= allowed(2.0),
        "{max} in 4 s; {} are allowed",
        allowed(2.0)
    );
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert!(served >= 6, "{served} in 6 s: half of the limit is used");
    // More requests at once than get a unit while they may wait, which is half of their target.
    let mut requests = JoinSet::new();
    for host in hosts.iter().cycle().take(30) {
        let callers = host.callers();
        requests.spawn(async move {
            let started_at = Instant::now();
            let (_, answer) = site::ask_at(callers, "/stream/x", Some("m1")).await;
            (answer, started_at.elapsed())
        });
    }
    let answers = requests.join_all().await;
    let (served, refused): (Vec<_>, Vec<_>) = answers
        .iter()
        .partition(|(answer, _)| answer.status() == 200);
    assert!(served.len() <= allowed(2.0), "{} were served", served.len());
    for (answer, took) in &refused {
        assert_eq!(answer.status(), 503);
        let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        assert!((0.1..=10.0).contains(&wait), "retry after {wait} s");
        assert!(*took < Duration::from_millis(700), "waited {took:?}");
    }
    let at_once = refused
        .iter()
        .filter(|(_, took)| *took < Duration::from_millis(200));
    assert!(
        at_once.count() >= 20,
        "requests without a unit in time are not refused at once"
    );
}

/// Guards against unrepeatable requests that bypass the limit.
#[tokio::test]
async fn unrepeatable_requests_keep_to_a_limit() {
    let store = store().await;
    let limited = site::web(&store, "w-1").await;
    let _others = [
        site::web(&store, "w-2").await,
        site::web(&store, "w-3").await,
    ];
    let hosts = hosts(&store, 3).await;
    let (statuses, max) = load_under_limit(&hosts, &limited, &["/once/x", "/again/x"], "1").await;
    assert!(
        max <= allowed(1.0),
        "{max} in 4 s; {} are allowed",
        allowed(1.0)
    );
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(
        served,
        statuses.len(),
        "the other replicas serve the others"
    );
}

/// Sends load for a time; returns the statuses and the most requests that reached a replica in a
/// window.
async fn measure_load(hosts: &[Daemon], replica: &Replica, time: Duration) -> (Vec<u16>, usize) {
    let from = Instant::now();
    let statuses = send_load(hosts, &["/stream/x"], time).await;
    (statuses, max_in_window(&replica.arrivals_after(from)))
}

fn assert_all_served(statuses: &[u16]) {
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(
        served,
        statuses.len(),
        "the other replica serves the others"
    );
}

/// Guards against exceeding the limit when the limiter dies: hosts must use their local shares
/// until the next leader.
#[tokio::test]
async fn a_limit_is_kept_when_the_leader_dies_and_a_host_joins() {
    let (store, [limited, _other], mut hosts) = two_replicas().await;
    limited.set_rate_limit(Some("3"));
    send_load(&hosts, &["/stream/x"], BOUND).await;
    let leader = hosts.iter().position(|h| h.state().leads()).unwrap();
    drop(hosts.remove(leader));
    let (statuses, max) = measure_load(&hosts, &limited, Duration::from_secs(5)).await;
    assert!(max <= allowed(3.0), "{max} in 4 s after the leader died");
    assert_all_served(&statuses);
    hosts.push(daemon(&store, "d4").await);
    let (statuses, max) = measure_load(&hosts, &limited, Duration::from_secs(5)).await;
    assert!(max <= allowed(3.0), "{max} in 4 s after a host joined");
    assert!(max >= 6, "half of the limit is used: {max} in 4 s");
    assert_all_served(&statuses);
}

/// Guards against exceeding the limit after a host was suspended, during which its monotonic clock
/// stands still.
#[tokio::test]
async fn a_limit_is_kept_while_hosts_are_suspended() {
    let (_store, [limited, _other], hosts) = two_replicas().await;
    limited.set_rate_limit(Some("2"));
    send_load(&hosts, &["/stream/x"], BOUND).await;
    let from = Instant::now();
    for host in &hosts {
        host.state().clock.simulate_suspend(SUSPENSION);
        send_load(&hosts, &["/stream/x"], Duration::from_millis(1_500)).await;
    }
    send_load(&hosts, &["/stream/x"], WINDOW).await;
    let max = max_in_window(&limited.arrivals_after(from));
    assert!(max <= allowed(2.0), "{max} in 4 s");
    let knows = |h: &Daemon| h.state().table.lock().limit_of("i-1", h.state().now());
    assert!(hosts.iter().all(|h| knows(h) == Some(2.0)));
}

/// Guards against a limit that is exceeded or unused while the store is unreachable for longer than
/// a lease, when the leader grants only half of it.
#[tokio::test]
async fn a_limit_is_kept_and_used_during_a_store_outage() {
    let (store, [limited, _other], hosts) = two_replicas().await;
    limited.set_rate_limit(Some("3"));
    send_load(&hosts, &["/stream/x"], BOUND).await;
    store.set_mode(Mode::Silent);
    let (statuses, max) = measure_load(&hosts, &limited, Duration::from_secs(5)).await;
    assert!(max <= allowed(3.0), "{max} in 4 s");
    assert_all_served(&statuses);
    let (_, max) = measure_load(&hosts, &limited, Duration::from_secs(5)).await;
    assert!(
        (6..=allowed(3.0)).contains(&max),
        "{max} in 4 s, late in the outage"
    );
    store.set_mode(Mode::Up);
}

/// Guards against exceeding any limit, or using less than half of it, where all replicas of a
/// service advertise one.
#[tokio::test]
async fn limits_on_all_replicas_of_a_service_are_kept() {
    let store = store().await;
    let limited = [
        site::web(&store, "w-1").await,
        site::web(&store, "w-2").await,
        site::web(&store, "w-3").await,
    ];
    let hosts = hosts(&store, 3).await;
    let limits = [("1", 1.0), ("2.5", 2.5), ("4", 4.0)];
    for (replica, (named, _)) in limited.iter().zip(limits) {
        replica.set_rate_limit(Some(named));
    }
    send_load(&hosts, &["/once/x", "/again/x"], BOUND).await;
    let from = Instant::now();
    let statuses = send_load(&hosts, &["/once/x", "/again/x"], Duration::from_secs(6)).await;
    for (replica, (_, rate)) in limited.iter().zip(limits) {
        let max = max_in_window(&replica.arrivals_after(from));
        assert!(max <= allowed(rate), "{max} in 4 s of {rate} a second");
        let half = (rate * WINDOW.as_secs_f64() / 2.0) as usize;
        assert!(max >= half, "{max} in 4 s of {rate} a second");
    }
    assert!(statuses.iter().all(|s| [200, 503].contains(s)));
}

/// Guards against a replica that stays limited after it withdrew its limit.
#[tokio::test]
async fn a_withdrawn_limit_ends_within_seconds() {
    let (_store, [limited, _other], hosts) = two_replicas().await;
    limited.set_rate_limit(Some("0"));
    send_load(&hosts, &["/stream/x"], BOUND).await;
    let (_, max) = measure_load(&hosts, &limited, Duration::from_secs(5)).await;
    assert!((1..=5).contains(&max), "a limit of zero: {max} in 4 s");
    limited.set_rate_limit(None);
    send_load(&hosts, &["/stream/x"], Duration::from_secs(6)).await;
    let from = Instant::now();
    send_load(&hosts, &["/stream/x"], Duration::from_secs(2)).await;
    let arrived = limited.arrivals_after(from).len();
    assert!(arrived > 15, "{arrived} of 80 requests in 2 s");
}

/// Guards against an invalid limit that is applied, or that withdraws a valid one.
#[tokio::test]
async fn an_invalid_limit_is_ignored() {
    let store = store().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let host = daemon(&store, "d1").await;
    for value in ["-1", "inf", "NaN", "two", "", "1e999"] {
        replica.set_rate_limit(Some(value));
        let (_, answer) = site::ask(&host, "/stream/x", Some("m1")).await;
        assert_eq!(answer.status(), 200, "{value}");
        assert!(
            host.state()
                .table
                .lock()
                .limits_by_replica(host.state().now())
                .is_empty()
        );
    }
    replica.set_rate_limit(Some("2.5"));
    site::ask(&host, "/stream/x", Some("m1")).await;
    replica.set_rate_limit(Some("nothing"));
    for _ in 0..3 {
        site::ask(&host, "/stream/x", Some("m1")).await;
    }
    sleep(Duration::from_millis(1_500)).await;
    let limited = host
        .state()
        .table
        .lock()
        .limits_by_replica(host.state().now());
    assert_eq!(limited, [("i-1".into(), Some(2.5))]);
}

/// Guards against a refusal that withdraws a limit, or whose limit is ignored.
#[tokio::test]
async fn refusals_advertise_limits_but_do_not_withdraw_them() {
    let store = store().await;
    let limited = site::web(&store, "w-1").await;
    let host = daemon(&store, "d1").await;
    let limit = || {
        host.state()
            .table
            .lock()
            .limit_of("w-1", host.state().now())
    };
    limited.set_fault(Fault::Shed);
    limited.set_rate_limit(Some("50"));
    site::ask(&host, "/again/x", None).await;
    assert_eq!(limit(), Some(50.0));
    limited.set_rate_limit(None);
    for _ in 0..5 {
        site::ask(&host, "/again/x", None).await;
        sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(limit(), Some(50.0));
}

/// Guards against a limit that is applied to the next incarnation.
#[tokio::test]
async fn a_limit_ends_with_its_incarnation() {
    let store = store().await;
    let limited = site::web(&store, "w-1").await;
    let hosts = hosts(&store, 3).await;
    limited.set_rate_limit(Some("1"));
    site::ask(&hosts[0], "/again/x", None).await;
    let knows = |h: &Daemon| {
        h.state()
            .table
            .lock()
            .limit_of("w-1", h.state().now())
            .is_some()
    };
    site::until(|| hosts.iter().all(knows)).await;
    limited.restart();
    site::until(|| !hosts.iter().any(knows)).await;
    let statuses = send_load(&hosts, &["/again/x"], Duration::from_secs(2)).await;
    assert_all_served(&statuses);
}

/// Guards against resumed streams that bypass the limit of the remaining replica.
#[tokio::test]
async fn resumed_streams_keep_to_limits() {
    let (_store, [limited, breaking], hosts) = two_replicas().await;
    limited.set_rate_limit(Some("2"));
    send_load(&hosts, &["/resume/x"], BOUND).await;
    breaking.set_fault(Fault::TruncateEvent);
    let from = Instant::now();
    send_load(&hosts, &["/resume/x"], Duration::from_secs(5)).await;
    let max = max_in_window(&limited.arrivals_after(from));
    assert!(max <= allowed(2.0), "{max} in 4 s");
}

/// Guards against less urgent requests that take units which urgent ones need.
#[tokio::test]
async fn urgent_requests_get_units_first() {
    let store = store().await;
    let limited = engine(&store, "i-1", &["m1"]).await;
    let hosts = hosts(&store, 3).await;
    limited.set_rate_limit(Some("4"));
    send_load(&hosts, &["/stream/x", "/later/x"], BOUND).await;
    let statuses = send_load(&hosts, &["/stream/x", "/later/x"], Duration::from_secs(5)).await;
    let served = |offset: usize| {
        let of = statuses.iter().skip(offset).step_by(2);
        of.filter(|s| **s == 200).count()
    };
    let (urgent, less_urgent) = (served(0), served(1));
    assert!(
        urgent >= 10 && less_urgent * 4 <= urgent,
        "{urgent} urgent, {less_urgent} less urgent"
    );
}

/// Guards against messages about limits that do not fit a datagram, and against large quota
/// requests and responses.
#[test]
fn limit_messages_fit_a_datagram() {
    let row = ReplicaLimit {
        replica: u32::MAX,
        rate: 1.0e-30,
        advertised_ms: u32::MAX,
        withdrawn_ms: Some(u32::MAX),
    };
    let host: unit::Name = "a-host-with-a-rather-long-name-12".into();
    let limits = LimitDigest {
        term: u64::MAX,
        host: host.clone(),
        limits: vec![row; limit::MAX_LIMITS],
    };
    let bytes = encode(&Message::LimitDigest(limits)).len();
    assert!(bytes <= MAX_DATAGRAM, "{bytes} bytes");
    let request = QuotaRequest {
        number: u32::MAX,
        host,
        subject: Subject::Replica(row),
        units: 1.0,
        reserved: 0.3,
        will_retry: true,
        local_use: 0.5,
    };
    let response = QuotaResponse::Refused {
        retry_after_ms: 9_000,
        available: -1.5,
    };
    let request_bytes = encode(&Message::QuotaRequest(request)).len();
    let response_bytes = encode(&Message::QuotaResponse(u32::MAX, response)).len();
    assert!(
        request_bytes <= 140 && response_bytes <= 50,
        "{request_bytes} and {response_bytes} bytes"
    );
}
