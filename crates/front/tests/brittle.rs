//! Replicas that say that they are brittle: they fall over when they turn more than some requests away within a second.

mod site;

use front::Daemon;
use platform_standin::replica::{self, Options, Replica};
use platform_standin::store::Store;
use rstest::rstest;
use site::{ask_at, hosts, store};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Time from the first word until a replica may have less room than its entry names.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Time that an answer takes.
const WORK: Duration = Duration::from_millis(200);

/// Time for which more is sent than fits.
const PRESSURE: Duration = Duration::from_millis(4_000);

/// Replicas of the service.
const REPLICAS: u32 = 3;

/// What is sent, as a multiple of what fits.
const LOAD: f64 = 5.0;

/// Starts a replica of service `web` with 8 slots.
async fn web(store: &Store, id: &str) -> Replica {
    let options = Options {
        id: id.into(),
        service: "web".into(),
        models: Vec::new(),
        delay: WORK,
        ..Options::default()
    };
    replica::spawn(store, options).await.unwrap()
}

async fn replicas(store: &Store) -> Vec<Replica> {
    let mut replicas = Vec::new();
    for n in 0..REPLICAS {
        replicas.push(web(store, &format!("w-{n}")).await);
    }
    replicas
}

/// Sends `rate` requests a second over all hosts for a time; returns how many were answered, refused with a time, and
/// otherwise.
async fn send(hosts: &[Daemon], rate: f64, time: Duration) -> (usize, usize, usize) {
    let start = Instant::now();
    let mut answers = JoinSet::new();
    let mut sent = 0;
    while start.elapsed() < time {
        while f64::from(sent) < start.elapsed().as_secs_f64() * rate {
            let callers = hosts[sent as usize % hosts.len()].callers();
            let path = ["/once/x", "/again/x"][(sent / 2) as usize % 2];
            answers.spawn(async move { ask_at(callers, path, None).await.1 });
            sent += 1;
        }
        sleep(Duration::from_millis(5)).await;
    }
    let answers = answers.join_all().await;
    let count = |status| answers.iter().filter(|a| a.status() == status).count();
    let timed = |a: &&site::Answer| a.status() == 503 && a.header("retry-after").is_some();
    let refused = answers.iter().filter(timed).count();
    let answered = count(200);
    (answered, refused, answers.len() - answered - refused)
}

/// Most requests that a replica turned away within a second.
fn most_turned_away(replica: &Replica) -> usize {
    let times = replica.turned_away();
    let within = |from: &Instant| {
        let window = times.iter().filter(|at| *at >= from);
        window
            .filter(|at| **at - *from < Duration::from_secs(1))
            .count()
    };
    times.iter().map(within).max().unwrap_or_default()
}

/// Guards against hosts that together turn up with more requests than a brittle replica may turn away, and against
/// leaving such a replica idle.
#[rstest]
#[case::three_hosts(3, 3, 3)]
#[case::three_hosts_and_a_tolerance_of_two(3, 3, 2)]
#[case::all_slots_remain(3, 8, 2)]
#[case::no_room_is_left(3, 0, 2)]
#[case::thirty_hosts(30, 3, 3)]
#[tokio::test]
async fn brittle_replicas_turn_away_no_more_than_they_tolerate(
    #[case] host_count: usize,
    #[case] room: u32,
    #[case] tolerance: u32,
) {
    let store = store().await;
    let replicas = replicas(&store).await;
    let hosts = hosts(&store, host_count).await;
    let fits = f64::from(REPLICAS * room.max(1)) / WORK.as_secs_f64();
    for replica in &replicas {
        replica.set_brittle(Some((8, tolerance)));
    }
    send(&hosts, fits / 2.0, CONTACT).await;
    for replica in &replicas {
        replica.set_brittle(Some((room, tolerance)));
    }
    let (answered, refused, other) = send(&hosts, fits * LOAD, PRESSURE).await;
    for replica in &replicas {
        let (most, falls) = (most_turned_away(replica), replica.falls().len());
        assert!(
            most <= tolerance as usize,
            "{most} turned away, {falls} falls"
        );
    }
    assert_eq!(other, 0);
    let due = f64::from(REPLICAS * room) / WORK.as_secs_f64() * PRESSURE.as_secs_f64();
    assert!(
        answered as f64 >= due / 2.0,
        "{answered} of {due}, {refused} refused"
    );
}

/// Guards against callers that are refused while replicas which tolerate a single request hold a fifth of what fits.
#[tokio::test]
async fn replicas_that_tolerate_one_request_serve_a_light_load() {
    const ROOM: u32 = 8;
    let store = store().await;
    let replicas = replicas(&store).await;
    for replica in &replicas {
        replica.set_brittle(Some((ROOM, 1)));
    }
    let hosts = hosts(&store, 4).await;
    let fits = f64::from(REPLICAS * ROOM) / WORK.as_secs_f64();
    send(&hosts, fits / 5.0, CONTACT).await;
    let (answered, refused, other) = send(&hosts, fits / 5.0, PRESSURE).await;
    for replica in &replicas {
        let most = most_turned_away(replica);
        assert!(most <= 1, "{most} turned away");
    }
    let sent = answered + refused + other;
    assert!(
        answered as f64 >= 0.95 * sent as f64,
        "{answered} of {sent}"
    );
}
