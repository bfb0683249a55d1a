//! Replicas in need name in their answers how many requests a second they take from all hosts together.
//!
//! Two replicas of the model service named 1 and 1.2 a second while they stayed in service; eight hosts went on sending
//! them some four a second, 12 and 22 in 4 s where 11 and 12 are allowed. Callers were served, since the replicas
//! bore it, but a replica that asks for less and gets as much as before falls next.

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

/// Time after the first naming from which all hosts keep to a limit.
const BOUND: Duration = Duration::from_millis(3_000);

/// Window in which requests to a limited replica are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which a host is suspended: longer than a lease and than a window.
const AWAY: Span = Span::from_secs(6);

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

/// Two replicas of one model, and three hosts before them.
async fn two_replicas() -> (Store, [Replica; 2], Vec<Daemon>) {
    let store = store().await;
    let replicas = [
        engine(&store, "i-1", &["m1"]).await,
        engine(&store, "i-2", &["m1"]).await,
    ];
    let hosts = hosts(&store, 3).await;
    (store, replicas, hosts)
}

/// Sends requests until a replica has named its limit, then for the bound, and then on; gives the statuses of the last
/// part and the most that reached the replica in a window of it.
async fn pressed(
    hosts: &[Daemon],
    replica: &Replica,
    paths: &[&'static str],
    limit: &str,
) -> (Vec<u16>, usize) {
    send_load(hosts, paths, Duration::from_millis(500)).await;
    replica.name_limit(Some(limit));
    send_load(hosts, paths, BOUND).await;
    let from = Instant::now();
    let statuses = send_load(hosts, paths, Duration::from_secs(6)).await;
    (statuses, most_in_a_window(&replica.arrived_after(from)))
}

#[tokio::test]
async fn a_limited_replica_gets_no_more_than_it_takes_from_three_hosts() {
    let (_store, [needy, _other], hosts) = two_replicas().await;
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

/// Requests that reached a replica in the windows of a time.
async fn watch(hosts: &[Daemon], replica: &Replica, time: Duration) -> (Vec<u16>, usize) {
    let from = Instant::now();
    let statuses = send_load(hosts, &["/stream/x"], time).await;
    (statuses, most_in_a_window(&replica.arrived_after(from)))
}

fn all_served(statuses: &[u16]) {
    let served = statuses.iter().filter(|s| **s == 200).count();
    assert_eq!(served, statuses.len(), "the other replica takes the rest");
}

/// The host that gives out ends without a word: the others send no more than their shares, and the next one goes on.
#[tokio::test]
async fn a_limit_holds_while_the_leader_dies_and_a_host_begins() {
    let (store, [needy, _other], mut hosts) = two_replicas().await;
    needy.name_limit(Some("3"));
    send_load(&hosts, &["/stream/x"], BOUND).await;
    let leader = hosts.iter().position(|h| h.state().leads()).unwrap();
    drop(hosts.remove(leader));
    let (statuses, most) = watch(&hosts, &needy, Duration::from_secs(5)).await;
    assert!(most <= allowed(3.0), "{most} in 4 s after the death");
    all_served(&statuses);
    hosts.push(daemon(&store, "d4").await);
    let (statuses, most) = watch(&hosts, &needy, Duration::from_secs(5)).await;
    assert!(
        most <= allowed(3.0),
        "{most} in 4 s with a host that begins"
    );
    assert!(most >= 6, "half of the limit is used: {most} in 4 s");
    all_served(&statuses);
}

/// Hosts are suspended one after the other, the leader among them: their steady clocks stand still, and what they count by
/// goes on with the time of the world.
#[tokio::test]
async fn a_limit_holds_while_hosts_are_suspended() {
    let (_store, [needy, _other], hosts) = two_replicas().await;
    needy.name_limit(Some("2"));
    send_load(&hosts, &["/stream/x"], BOUND).await;
    let from = Instant::now();
    for host in &hosts {
        host.state().clock.simulate_suspend(AWAY);
        send_load(&hosts, &["/stream/x"], Duration::from_millis(1_500)).await;
    }
    send_load(&hosts, &["/stream/x"], WINDOW).await;
    let most = most_in_a_window(&needy.arrived_after(from));
    assert!(most <= allowed(2.0), "{most} in 4 s");
    let knows = |h: &Daemon| h.state().table.lock().limit_of("i-1", h.state().now());
    assert!(hosts.iter().all(|h| knows(h) == Some(2.0)));
}

/// The store is away for longer than a lease: the leader, whose term is in doubt, gives out half.
#[tokio::test]
async fn a_limit_holds_and_is_used_while_the_store_is_away() {
    let (store, [needy, _other], hosts) = two_replicas().await;
    needy.name_limit(Some("3"));
    send_load(&hosts, &["/stream/x"], BOUND).await;
    store.set_mode(Mode::Silent);
    let (statuses, most) = watch(&hosts, &needy, Duration::from_secs(5)).await;
    assert!(most <= allowed(3.0), "{most} in 4 s");
    all_served(&statuses);
    let (_, most) = watch(&hosts, &needy, Duration::from_secs(5)).await;
    assert!(
        (6..=allowed(3.0)).contains(&most),
        "{most} in 4 s, long away"
    );
    store.set_mode(Mode::Up);
}

/// All replicas of a service are in need, each with a limit of its own: each gets no more than it takes, together at least half.
#[tokio::test]
async fn limits_on_all_replicas_of_a_service_hold_each() {
    let store = store().await;
    let needy = [
        site::web(&store, "w-1").await,
        site::web(&store, "w-2").await,
        site::web(&store, "w-3").await,
    ];
    let hosts = hosts(&store, 3).await;
    let limits = [("1", 1.0), ("2.5", 2.5), ("4", 4.0)];
    for (replica, (named, _)) in needy.iter().zip(limits) {
        replica.name_limit(Some(named));
    }
    send_load(&hosts, &["/once/x", "/again/x"], BOUND).await;
    let from = Instant::now();
    let statuses = send_load(&hosts, &["/once/x", "/again/x"], Duration::from_secs(6)).await;
    for (replica, (_, rate)) in needy.iter().zip(limits) {
        let most = most_in_a_window(&replica.arrived_after(from));
        assert!(most <= allowed(rate), "{most} in 4 s of {rate} a second");
        let half = (rate * WINDOW.as_secs_f64() / 2.0) as usize;
        assert!(most >= half, "{most} in 4 s of {rate} a second");
    }
    assert!(statuses.iter().all(|s| [200, 503].contains(s)));
}

/// A replica that names none any more is back at its share within seconds.
#[tokio::test]
async fn a_replica_whose_need_is_over_is_back_within_seconds() {
    let (_store, [needy, _other], hosts) = two_replicas().await;
    needy.name_limit(Some("0"));
    send_load(&hosts, &["/stream/x"], BOUND).await;
    let (_, most) = watch(&hosts, &needy, Duration::from_secs(5)).await;
    assert!((1..=5).contains(&most), "a limit of zero: {most} in 4 s");
    needy.name_limit(None);
    send_load(&hosts, &["/stream/x"], Duration::from_secs(6)).await;
    let from = Instant::now();
    send_load(&hosts, &["/stream/x"], Duration::from_secs(2)).await;
    let back = needy.arrived_after(from).len();
    assert!(back > 15, "{back} of 80 requests in 2 s");
}

/// What is no number of requests a second is no limit, and does not end one.
#[tokio::test]
async fn what_is_no_number_changes_nothing() {
    let store = store().await;
    let odd = engine(&store, "i-1", &["m1"]).await;
    let host = daemon(&store, "d1").await;
    for value in ["-1", "inf", "NaN", "two", "", "1e999"] {
        odd.name_limit(Some(value));
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
    odd.name_limit(Some("2.5"));
    site::ask(&host, "/stream/x", Some("m1")).await;
    odd.name_limit(Some("nothing"));
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

/// A refusal may name a limit as well; one that names none does not end it.
#[tokio::test]
async fn refusals_tell_limits_and_do_not_end_them() {
    let store = store().await;
    let needy = site::web(&store, "w-1").await;
    let host = daemon(&store, "d1").await;
    let limit = || {
        host.state()
            .table
            .lock()
            .limit_of("w-1", host.state().now())
    };
    needy.set_fault(Fault::Sheds);
    needy.name_limit(Some("50"));
    site::ask(&host, "/again/x", None).await;
    assert_eq!(limit(), Some(50.0));
    needy.name_limit(None);
    for _ in 0..5 {
        site::ask(&host, "/again/x", None).await;
        sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(limit(), Some(50.0));
}

/// A limit goes with the incarnation that named it, on all hosts.
#[tokio::test]
async fn a_limit_goes_with_its_incarnation() {
    let store = store().await;
    let needy = site::web(&store, "w-1").await;
    let hosts = hosts(&store, 3).await;
    needy.name_limit(Some("1"));
    site::ask(&hosts[0], "/again/x", None).await;
    let knows = |h: &Daemon| {
        h.state()
            .table
            .lock()
            .limit_of("w-1", h.state().now())
            .is_some()
    };
    site::until(|| hosts.iter().all(knows)).await;
    needy.restart();
    site::until(|| !hosts.iter().any(knows)).await;
    let statuses = send_load(&hosts, &["/again/x"], Duration::from_secs(2)).await;
    all_served(&statuses);
}

/// A broken stream goes before what has not begun, and is taken up within the limits of all replicas that are left.
#[tokio::test]
async fn resumed_streams_keep_to_limits_and_go_first() {
    let (_store, [needy, breaks], hosts) = two_replicas().await;
    needy.name_limit(Some("2"));
    send_load(&hosts, &["/resume/x"], BOUND).await;
    breaks.set_fault(Fault::CutsEvents);
    let from = Instant::now();
    send_load(&hosts, &["/resume/x"], Duration::from_secs(5)).await;
    let most = most_in_a_window(&needy.arrived_after(from));
    assert!(most <= allowed(2.0), "{most} in 4 s");
}

/// While more urgent requests come than a replica in need takes, the others do not get their places.
#[tokio::test]
async fn the_more_urgent_go_first() {
    let store = store().await;
    let needy = engine(&store, "i-1", &["m1"]).await;
    let hosts = hosts(&store, 3).await;
    needy.name_limit(Some("4"));
    send_load(&hosts, &["/stream/x", "/later/x"], BOUND).await;
    let statuses = send_load(&hosts, &["/stream/x", "/later/x"], Duration::from_secs(5)).await;
    let served = |turn: usize| {
        let of = statuses.iter().skip(turn).step_by(2);
        of.filter(|s| **s == 200).count()
    };
    let (urgent, later) = (served(0), served(1));
    assert!(
        urgent >= 10 && later * 4 <= urgent,
        "{urgent} urgent, {later} later"
    );
}

/// What is told of limits fits the usual packet, however large its numbers; a question and its answer are small.
#[test]
fn what_is_told_fits_a_datagram() {
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
    let question = QuotaRequest {
        number: u32::MAX,
        host,
        subject: Subject::Replica(row),
        units: 1.0,
        reserved: 0.3,
        will_retry: true,
        local_use: 0.5,
    };
    let verdict = QuotaResponse::Refused {
        retry_after_ms: 9_000,
        available: -1.5,
    };
    let asked = encode(&Message::QuotaRequest(question)).len();
    let answered = encode(&Message::QuotaResponse(u32::MAX, verdict)).len();
    assert!(
        asked <= 140 && answered <= 50,
        "{asked} and {answered} bytes"
    );
}
