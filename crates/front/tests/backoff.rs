//! Replicas that turn a request away with 503 and a time want nothing from that host for so long.

mod site;

use front::Daemon;
use platform_standin::replica::{Replica, Word, Words};
use platform_standin::store::Mode;
use rstest::rstest;
use site::{ask, daemon, engine, hosts, send_load, store, until, web};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use unit::Span;

/// Time after a refusal in which requests may still come that were on their way.
const ON_THEIR_WAY: Duration = Duration::from_millis(500);

/// Requests that may come in what is left of the time.
const ALLOWED: usize = 2;

fn ask_for_rest(replica: &Replica, seconds: Option<&str>) {
    replica.set_words(Words {
        leaves: false,
        rest: seconds.map(str::to_owned),
    });
}

/// The most requests that came to a replica from a host in a time for which it had asked that host for rest, in any order of
/// longer and shorter times.
fn most_in_a_rest(replica: &Replica, host: &str) -> usize {
    let arrivals = replica.arrived_from(host);
    let said = replica.said();
    let of_host = said.iter().filter(|asked| asked.host == host);
    let within = of_host.map(|asked| {
        let Word::Rests(seconds) = asked.word else {
            return 0;
        };
        let end = asked.at + Duration::from_secs_f64(seconds.max(0.0));
        let from = asked.at + ON_THEIR_WAY;
        arrivals
            .iter()
            .filter(|at| **at > from && **at < end)
            .count()
    });
    within.max().unwrap_or(0)
}

fn most_from_any(replica: &Replica, hosts: &[Daemon]) -> usize {
    let each = hosts
        .iter()
        .map(|host| most_in_a_rest(replica, &host.callers().to_string()));
    each.max().unwrap_or(0)
}

/// Guards against requests that go on to a replica which has asked for rest: 6 to 9 came from each host in 2 s.
#[tokio::test]
async fn a_replica_that_asks_for_rest_gets_it_from_each_host() {
    let store = store().await;
    let tired = engine(&store, "i-1", &["m1"]).await;
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
    ask_for_rest(&tired, Some("2"));
    let statuses = send_load(&hosts, &["/stream/x", "/resume/x"], Duration::from_secs(5)).await;
    let most = most_from_any(&tired, &hosts);
    assert!(
        most <= ALLOWED,
        "{most} from one host; {ALLOWED} are allowed"
    );
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(served, statuses.len(), "the others serve all");
}

/// Guards against the same where all replicas of a service ask for it: 28 came to one.
#[tokio::test]
async fn replicas_of_a_service_that_all_ask_for_rest_get_it() {
    let store = store().await;
    let all = [web(&store, "w-1").await, web(&store, "w-2").await];
    let hosts = hosts(&store, 3).await;
    send_load(&hosts, &["/once/x", "/again/x"], Duration::from_millis(500)).await;
    for (replica, seconds) in all.iter().zip(["2.5", "1.5"]) {
        ask_for_rest(replica, Some(seconds));
    }
    send_load(&hosts, &["/once/x", "/again/x"], Duration::from_secs(5)).await;
    for replica in &all {
        let most = most_from_any(replica, &hosts);
        assert!(
            most <= ALLOWED,
            "{most} from one host; {ALLOWED} are allowed"
        );
    }
}

/// Repeatable and unrepeatable requests of the plain service.
const PLAIN: &[&str] = &["/once/x", "/again/x"];

/// Lets a replica ask a host for rest once, with the next request that it gets from it; gives when it did.
async fn ask_once(replica: &Replica, host: &Daemon, seconds: &str) -> Instant {
    let before = replica.said().len();
    ask_for_rest(replica, Some(seconds));
    while replica.said().len() == before {
        ask(host, "/again/x", None).await;
    }
    ask_for_rest(replica, None);
    replica.said()[before].at
}

/// Guards against callers who are refused while a replica has room: a third were where four of five turn all away.
#[tokio::test]
async fn callers_hardly_notice_where_four_of_five_replicas_turn_all_away() {
    let store = store().await;
    let tired = [
        web(&store, "w-1").await,
        web(&store, "w-2").await,
        web(&store, "w-3").await,
        web(&store, "w-4").await,
    ];
    let _fifth = web(&store, "w-5").await;
    let hosts = hosts(&store, 3).await;
    send_load(&hosts, PLAIN, Duration::from_millis(500)).await;
    for replica in &tired {
        ask_for_rest(replica, Some("3"));
    }
    let statuses = send_load(&hosts, PLAIN, Duration::from_secs(4)).await;
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert!(
        served * 100 >= statuses.len() * 97,
        "{served} of {} are served",
        statuses.len()
    );
    for replica in &tired {
        let most = most_from_any(replica, &hosts);
        assert!(
            most <= ALLOWED,
            "{most} from one host; {ALLOWED} are allowed"
        );
    }
}

/// Guards against a request that is lost or runs twice because the first replica turned it away unrun.
#[tokio::test]
async fn an_unrepeatable_request_that_was_turned_away_runs_once_elsewhere() {
    let store = store().await;
    let (tired, other) = (web(&store, "w-1").await, web(&store, "w-2").await);
    let host = daemon(&store, "d1").await;
    ask_for_rest(&tired, Some("0.5"));
    let mut turned_away = 0;
    for _ in 0..40 {
        let (id, answer) = ask(&host, "/once/x", None).await;
        assert_eq!(answer.status(), 200);
        assert_eq!((tired.seen(&id).ran, other.seen(&id).ran), (0, 1));
        turned_away += tired.seen(&id).arrived;
        sleep(Duration::from_millis(50)).await;
    }
    assert!(turned_away > 0);
}

/// Guards against a time that is read from what is none, and a replica that is then not used.
#[rstest]
#[case::no_number("NaN")]
#[case::negative("-3")]
#[case::endless("inf")]
#[case::beyond_all_numbers("1e999")]
#[case::words("a while")]
#[case::date("Wed, 21 Oct 2026 07:28:00 GMT")]
#[case::nothing("0")]
#[tokio::test]
async fn what_is_no_time_asks_for_nothing(#[case] value: &str) {
    let store = store().await;
    let replica = web(&store, "w-1").await;
    let host = daemon(&store, "d1").await;
    ask_once(&replica, &host, value).await;
    assert_eq!(ask(&host, "/again/x", None).await.1.status(), 200);
}

/// Guards against a replica that is lost for good by a time of hours: other replicas serve, the operator sees it, and it ends
/// with the incarnation.
#[rstest]
#[case::hours("7200")]
#[case::longer_than_anyone_lives("1e18")]
#[tokio::test]
async fn a_rest_of_hours_ends_with_the_incarnation(#[case] value: &str) {
    let store = store().await;
    let replica = web(&store, "w-1").await;
    let host = daemon(&store, "d1").await;
    ask_once(&replica, &host, value).await;
    let resting = || {
        let state = host.state();
        state.table.lock().backing_off(state.now()).len()
    };
    assert_eq!(resting(), 1);
    let (_, answer) = ask(&host, "/again/x", None).await;
    assert_eq!(answer.status(), 503);
    replica.restart();
    until(|| resting() == 0).await;
    assert_eq!(ask(&host, "/again/x", None).await.1.status(), 200);
}

/// Guards against a shorter time that ends a longer one which was asked for before.
#[tokio::test]
async fn a_longer_rest_that_was_asked_for_before_holds_on() {
    let store = store().await;
    let tired = web(&store, "w-1").await;
    let _other = web(&store, "w-2").await;
    let host = daemon(&store, "d1").await;
    let at = ask_once(&tired, &host, "2").await;
    {
        let state = host.state();
        let mut table = state.table.lock();
        let incarnation = table.view.get("w-1").unwrap().entry.incarnation;
        table.record_backoff(&"w-1".into(), incarnation, Span::from_ms(100), state.now());
    }
    while at.elapsed() < Duration::from_millis(1_900) {
        ask(&host, "/again/x", None).await;
    }
    let arrived = tired.arrived_after(at);
    assert_eq!(arrived.len(), 0, "{arrived:?} within the rest");
}

/// Guards against a rest that binds hosts which were not asked.
#[tokio::test]
async fn a_rest_binds_the_host_that_was_asked_alone() {
    let store = store().await;
    let replica = web(&store, "w-1").await;
    let hosts = hosts(&store, 2).await;
    ask_once(&replica, &hosts[0], "3").await;
    assert_eq!(ask(&hosts[0], "/again/x", None).await.1.status(), 503);
    assert_eq!(ask(&hosts[1], "/again/x", None).await.1.status(), 200);
}

/// Guards against a rest that a host loses while it is suspended, or whose age stands still meanwhile.
#[tokio::test]
async fn the_age_of_a_rest_counts_the_time_for_which_a_host_was_suspended() {
    let store = store().await;
    let replica = web(&store, "w-1").await;
    let host = daemon(&store, "d1").await;
    ask_once(&replica, &host, "8").await;
    host.state().clock.simulate_suspend(Span::from_secs(4));
    let (_, answer) = ask(&host, "/again/x", None).await;
    assert_eq!(answer.status(), 503, "half of it is left");
    host.state().clock.simulate_suspend(Span::from_secs(4));
    assert_eq!(ask(&host, "/again/x", None).await.1.status(), 200);
}

/// Guards against a rest that ends with the store, or with a change of the entry.
#[tokio::test]
async fn a_rest_holds_with_the_store_away_and_the_entry_gone_for_a_while() {
    let store = store().await;
    let tired = web(&store, "w-1").await;
    let _other = web(&store, "w-2").await;
    let host = daemon(&store, "d1").await;
    let at = ask_once(&tired, &host, "3").await;
    tired.vanish();
    sleep(Duration::from_millis(400)).await;
    tired.beat();
    sleep(Duration::from_millis(400)).await;
    store.set_mode(Mode::Silent);
    while at.elapsed() < Duration::from_millis(2_900) {
        ask(&host, "/again/x", None).await;
    }
    assert_eq!(tired.arrived_after(at).len(), 0);
}

/// Guards against a replica that all requests come back to at once, and against one that is kept out after its rest.
#[tokio::test]
async fn a_replica_is_used_again_after_its_rest_at_first_carefully() {
    let store = store().await;
    let tired = engine(&store, "i-1", &["m1"]).await;
    let _other = engine(&store, "i-2", &["m1"]).await;
    let hosts = hosts(&store, 1).await;
    ask_for_rest(&tired, Some("1"));
    let first = loop {
        ask(&hosts[0], "/stream/x", Some("m1")).await;
        if let Some(asked) = tired.said().first() {
            break asked.at;
        }
    };
    ask_for_rest(&tired, None);
    let end = first + Duration::from_secs(1);
    send_load(&hosts, &["/stream/x"], Duration::from_millis(3_200)).await;
    let arrived = tired.arrived_after(first);
    let by = |ms| {
        arrived
            .iter()
            .filter(|at| **at < end + Duration::from_millis(ms))
            .count()
    };
    assert_eq!(by(0), 0, "within the rest");
    assert!(by(290) <= 1, "{} in the first step", by(290));
    assert!(by(590) <= 3, "{} in two steps", by(590));
    assert!(by(2_000) >= 1, "it is not used within 2 s");
}

/// Guards against a return that goes on although the replica turns a request away again.
#[tokio::test]
async fn a_further_refusal_ends_the_return() {
    let store = store().await;
    let tired = engine(&store, "i-1", &["m1"]).await;
    let _other = engine(&store, "i-2", &["m1"]).await;
    let hosts = hosts(&store, 1).await;
    ask_for_rest(&tired, Some("1"));
    send_load(&hosts, &["/stream/x"], Duration::from_millis(5_500)).await;
    let asked = tired.said().len();
    assert!(
        (3..=6).contains(&asked),
        "{asked} requests in 5.5 s at a replica that asks for 1 s each time"
    );
}

/// Guards against requests that wait out their deadline for a rest: they are refused at once, with the soonest end as the time
/// to return, and not all with the same.
#[tokio::test]
async fn what_no_replica_takes_in_time_is_refused_with_the_soonest_end() {
    let store = store().await;
    let all = [web(&store, "w-1").await, web(&store, "w-2").await];
    let host = daemon(&store, "d1").await;
    for (replica, seconds) in all.iter().zip(["9", "4"]) {
        ask_for_rest(replica, Some(seconds));
    }
    let told = || all.iter().all(|r| !r.said().is_empty());
    while !told() {
        ask(&host, "/again/x", None).await;
    }
    let mut waits = Vec::new();
    for _ in 0..20 {
        let begun = Instant::now();
        let (_, answer) = ask(&host, "/once/x", None).await;
        assert_eq!(answer.status(), 503);
        assert!(
            begun.elapsed() < Duration::from_millis(200),
            "held for {:?}",
            begun.elapsed()
        );
        let wait: f64 = answer.header("retry-after").unwrap().parse().unwrap();
        assert!((3.0..=5.1).contains(&wait), "come back after {wait} s");
        waits.push(wait);
    }
    let least = waits.iter().copied().fold(f64::MAX, f64::min);
    let most = waits.iter().copied().fold(0.0, f64::max);
    assert!(
        most - least > 0.5,
        "{least} to {most}: all return in one moment"
    );
}
