//! Replicas that refuse a request with 503 and `Retry-After` get no requests from that host for so
//! long.

mod site;

use front::Daemon;
use platform_standin::replica::{Replica, Signal, Signals};
use platform_standin::store::Mode;
use rstest::rstest;
use site::{ask, daemon, engine, hosts, send_load, store, until, web};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use unit::Span;

/// Time after a refusal in which requests that were already sent may arrive.
const IN_TRANSIT: Duration = Duration::from_millis(500);

/// Requests that may arrive during the remaining backoff.
const ALLOWED: usize = 2;

fn request_backoff(replica: &Replica, seconds: Option<&str>) {
    replica.set_signals(Signals {
        leaving: false,
        backoff: seconds.map(str::to_owned),
    });
}

/// Most requests that a replica received from a host during any backoff that it asked of that host.
fn max_during_backoff(replica: &Replica, host: &str) -> usize {
    let arrivals = replica.arrivals_from(host);
    let announcements = replica.sent_signals();
    let of_host = announcements.iter().filter(|request| request.host == host);
    let within = of_host.map(|request| {
        let Signal::Backoff(seconds) = request.signal else {
            return 0;
        };
        let end = request.at + Duration::from_secs_f64(seconds.max(0.0));
        let from = request.at + IN_TRANSIT;
        arrivals
            .iter()
            .filter(|at| **at > from && **at < end)
            .count()
    });
    within.max().unwrap_or(0)
}

fn max_from_any_host(replica: &Replica, hosts: &[Daemon]) -> usize {
    let each = hosts
        .iter()
        .map(|host| max_during_backoff(replica, &host.callers().to_string()));
    each.max().unwrap_or(0)
}

/// Guards against requests to a replica that asked for a backoff.
#[tokio::test]
async fn each_host_keeps_a_backoff() {
    let store = store().await;
    let refusing = engine(&store, "i-1", &["m1"]).await;
    let _others = [
        engine(&store, "i-2", &["m1"]).await,
        engine(&store, "i-3", &["m1"]).await,
        engine(&store, "i-4", &["m1"]).await,
    ];
    let hosts = hosts(&store, 3).await;
    send_load(
        &hosts,
        &["/stream/x", "/resume/x"],
        Duration::from_millis(500),
    )
    .await;
    request_backoff(&refusing, Some("2"));
    let statuses = send_load(&hosts, &["/stream/x", "/resume/x"], Duration::from_secs(5)).await;
    let max = max_from_any_host(&refusing, &hosts);
    assert!(max <= ALLOWED, "{max} from one host; {ALLOWED} are allowed");
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(served, statuses.len(), "the other replicas serve all");
}

/// Guards against the same where all replicas of a service ask for a backoff.
#[tokio::test]
async fn backoffs_of_all_replicas_of_a_service_are_kept() {
    let store = store().await;
    let all = [web(&store, "w-1").await, web(&store, "w-2").await];
    let hosts = hosts(&store, 3).await;
    send_load(&hosts, &["/once/x", "/again/x"], Duration::from_millis(500)).await;
    for (replica, seconds) in all.iter().zip(["2.5", "1.5"]) {
        request_backoff(replica, Some(seconds));
    }
    send_load(&hosts, &["/once/x", "/again/x"], Duration::from_secs(5)).await;
    for replica in &all {
        let max = max_from_any_host(replica, &hosts);
        assert!(max <= ALLOWED, "{max} from one host; {ALLOWED} are allowed");
    }
}

/// Unrepeatable and repeatable requests to the service without models.
const PLAIN_PATHS: &[&str] = &["/once/x", "/again/x"];

/// Lets a replica ask a host for a backoff once, with its next request; returns when it did.
async fn request_backoff_once(replica: &Replica, host: &Daemon, seconds: &str) -> Instant {
    let before = replica.sent_signals().len();
    request_backoff(replica, Some(seconds));
    while replica.sent_signals().len() == before {
        ask(host, "/again/x", None).await;
    }
    request_backoff(replica, None);
    replica.sent_signals()[before].at
}

/// Guards against callers that are refused while one of five replicas still accepts requests.
#[tokio::test]
async fn callers_are_served_while_four_of_five_replicas_refuse() {
    let store = store().await;
    let refusing = [
        web(&store, "w-1").await,
        web(&store, "w-2").await,
        web(&store, "w-3").await,
        web(&store, "w-4").await,
    ];
    let _accepting = web(&store, "w-5").await;
    let hosts = hosts(&store, 3).await;
    send_load(&hosts, PLAIN_PATHS, Duration::from_millis(500)).await;
    for replica in &refusing {
        request_backoff(replica, Some("3"));
    }
    let statuses = send_load(&hosts, PLAIN_PATHS, Duration::from_secs(4)).await;
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert!(
        served * 100 >= statuses.len() * 97,
        "{served} of {} are served",
        statuses.len()
    );
    for replica in &refusing {
        let max = max_from_any_host(replica, &hosts);
        assert!(max <= ALLOWED, "{max} from one host; {ALLOWED} are allowed");
    }
}

/// Guards against a request that is lost or runs twice because the first replica refused it.
#[tokio::test]
async fn a_refused_unrepeatable_request_runs_once_elsewhere() {
    let store = store().await;
    let (refusing, other) = (web(&store, "w-1").await, web(&store, "w-2").await);
    let host = daemon(&store, "d1").await;
    request_backoff(&refusing, Some("0.5"));
    let mut refused = 0;
    for _ in 0..40 {
        let (id, answer) = ask(&host, "/once/x", None).await;
        assert_eq!(answer.status(), 200);
        assert_eq!(
            (refusing.request_log(&id).runs, other.request_log(&id).runs),
            (0, 1)
        );
        refused += refusing.request_log(&id).arrivals;
        sleep(Duration::from_millis(50)).await;
    }
    assert!(refused > 0);
}

/// Guards against a replica that is not used because of an invalid `Retry-After`.
#[rstest]
#[case::not_a_number("NaN")]
#[case::negative("-3")]
#[case::infinite("inf")]
#[case::out_of_range("1e999")]
#[case::words("a while")]
#[case::date("Wed, 21 Oct 2026 07:28:00 GMT")]
#[case::zero("0")]
#[tokio::test]
async fn an_invalid_backoff_is_ignored(#[case] value: &str) {
    let store = store().await;
    let replica = web(&store, "w-1").await;
    let host = daemon(&store, "d1").await;
    request_backoff_once(&replica, &host, value).await;
    assert_eq!(ask(&host, "/again/x", None).await.1.status(), 200);
}

/// Guards against a backoff of hours that outlives the incarnation.
#[rstest]
#[case::hours("7200")]
#[case::far_future("1e18")]
#[tokio::test]
async fn a_backoff_of_hours_ends_with_the_incarnation(#[case] value: &str) {
    let store = store().await;
    let replica = web(&store, "w-1").await;
    let host = daemon(&store, "d1").await;
    request_backoff_once(&replica, &host, value).await;
    let backing_off = || {
        let state = host.state();
        state.table.lock().backing_off(state.now()).len()
    };
    assert_eq!(backing_off(), 1);
    let (_, answer) = ask(&host, "/again/x", None).await;
    assert_eq!(answer.status(), 503);
    replica.restart();
    until(|| backing_off() == 0).await;
    assert_eq!(ask(&host, "/again/x", None).await.1.status(), 200);
}

/// Guards against a shorter backoff that ends a longer one.
#[tokio::test]
async fn a_shorter_backoff_does_not_end_a_longer_one() {
    let store = store().await;
    let refusing = web(&store, "w-1").await;
    let _other = web(&store, "w-2").await;
    let host = daemon(&store, "d1").await;
    let at = request_backoff_once(&refusing, &host, "2").await;
    {
        let state = host.state();
        let mut table = state.table.lock();
        let incarnation = table.view.get("w-1").unwrap().entry.incarnation;
        table.record_backoff(&"w-1".into(), incarnation, Span::from_ms(100), state.now());
    }
    while at.elapsed() < Duration::from_millis(1_900) {
        ask(&host, "/again/x", None).await;
    }
    let arrived = refusing.arrivals_after(at);
    assert_eq!(arrived.len(), 0, "{arrived:?} during the backoff");
}

/// Guards against a backoff that is applied by hosts that were not asked for it.
#[tokio::test]
async fn a_backoff_applies_to_the_asked_host_only() {
    let store = store().await;
    let replica = web(&store, "w-1").await;
    let hosts = hosts(&store, 2).await;
    request_backoff_once(&replica, &hosts[0], "3").await;
    assert_eq!(ask(&hosts[0], "/again/x", None).await.1.status(), 503);
    assert_eq!(ask(&hosts[1], "/again/x", None).await.1.status(), 200);
}

/// Guards against a backoff that ends or is extended because its host is suspended.
#[tokio::test]
async fn a_backoff_elapses_while_its_host_is_suspended() {
    let store = store().await;
    let replica = web(&store, "w-1").await;
    let host = daemon(&store, "d1").await;
    request_backoff_once(&replica, &host, "8").await;
    host.state().clock.simulate_suspend(Span::from_secs(4));
    let (_, answer) = ask(&host, "/again/x", None).await;
    assert_eq!(answer.status(), 503, "half of the backoff is left");
    host.state().clock.simulate_suspend(Span::from_secs(4));
    assert_eq!(ask(&host, "/again/x", None).await.1.status(), 200);
}

/// Guards against a backoff that ends with a store outage or a change of the entry.
#[tokio::test]
async fn a_backoff_is_kept_during_a_store_outage_and_without_an_entry() {
    let store = store().await;
    let refusing = web(&store, "w-1").await;
    let _other = web(&store, "w-2").await;
    let host = daemon(&store, "d1").await;
    let at = request_backoff_once(&refusing, &host, "3").await;
    refusing.remove_entry();
    sleep(Duration::from_millis(400)).await;
    refusing.write_entry();
    sleep(Duration::from_millis(400)).await;
    store.set_mode(Mode::Silent);
    while at.elapsed() < Duration::from_millis(2_900) {
        ask(&host, "/again/x", None).await;
    }
    assert_eq!(refusing.arrivals_after(at).len(), 0);
}

/// Guards against full load directly after a backoff, and against a replica that stays unused after
/// it.
#[tokio::test]
async fn load_ramps_up_after_a_backoff() {
    let store = store().await;
    let refusing = engine(&store, "i-1", &["m1"]).await;
    let _other = engine(&store, "i-2", &["m1"]).await;
    let hosts = hosts(&store, 1).await;
    request_backoff(&refusing, Some("1"));
    let first = loop {
        ask(&hosts[0], "/stream/x", Some("m1")).await;
        if let Some(request) = refusing.sent_signals().first() {
            break request.at;
        }
    };
    request_backoff(&refusing, None);
    let end = first + Duration::from_secs(1);
    send_load(&hosts, &["/stream/x"], Duration::from_millis(3_200)).await;
    let arrived = refusing.arrivals_after(first);
    let arrivals_by = |ms| {
        arrived
            .iter()
            .filter(|at| **at < end + Duration::from_millis(ms))
            .count()
    };
    assert_eq!(arrivals_by(0), 0, "during the backoff");
    assert!(
        arrivals_by(290) <= 1,
        "{} in the first step",
        arrivals_by(290)
    );
    assert!(arrivals_by(590) <= 3, "{} in two steps", arrivals_by(590));
    assert!(
        arrivals_by(2_000) >= 1,
        "the replica is not used within 2 s"
    );
}

/// Guards against a ramp-up that continues although the replica refuses again.
#[tokio::test]
async fn a_further_refusal_ends_the_ramp_up() {
    let store = store().await;
    let refusing = engine(&store, "i-1", &["m1"]).await;
    let _other = engine(&store, "i-2", &["m1"]).await;
    let hosts = hosts(&store, 1).await;
    request_backoff(&refusing, Some("1"));
    send_load(&hosts, &["/stream/x"], Duration::from_millis(5_500)).await;
    let refusals = refusing.sent_signals().len();
    assert!(
        (3..=6).contains(&refusals),
        "{refusals} requests in 5.5 s at a replica that asks for a backoff of 1 s each time"
    );
}

/// Guards against requests that wait for a long backoff instead of being refused at once, and
/// against clients that are all told to retry at the same time.
#[tokio::test]
async fn requests_during_long_backoffs_are_refused_with_the_earliest_end() {
    let store = store().await;
    let all = [web(&store, "w-1").await, web(&store, "w-2").await];
    let host = daemon(&store, "d1").await;
    for (replica, seconds) in all.iter().zip(["9", "4"]) {
        request_backoff(replica, Some(seconds));
    }
    let all_refused = || all.iter().all(|r| !r.sent_signals().is_empty());
    while !all_refused() {
        ask(&host, "/again/x", None).await;
    }
    let mut waits = Vec::new();
    for _ in 0..20 {
        let started_at = Instant::now();
        let (_, answer) = ask(&host, "/once/x", None).await;
        assert_eq!(answer.status(), 503);
        assert!(
            started_at.elapsed() < Duration::from_millis(200),
            "waited {:?}",
            started_at.elapsed()
        );
        let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        assert!((3.0..=5.1).contains(&wait), "retry after {wait} s");
        waits.push(wait);
    }
    let min = waits.iter().copied().fold(f64::MAX, f64::min);
    let max = waits.iter().copied().fold(0.0, f64::max);
    assert!(
        max - min > 0.5,
        "{min} to {max}: all retry at the same time"
    );
}
