//! Replicas that send bytes without end.

mod site;

use front::memory::{self, Exhausted};
use front::{Daemon, Settings};
use platform_standin::link::{self, Endless};
use rstest::rstest;
use site::{ask_at, engine, settings, store, until, web};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// Memory of the host, in MB, and its eighth part for answers, in bytes.
const MEMORY_MB: usize = 32;
const ANSWER_MEMORY: usize = MEMORY_MB * 1_024 * 1_024 / 8;

/// Clients, and requests of each.
const CLIENTS: usize = 24;
const REQUESTS: usize = 4;

/// Sends requests on a path, and returns the statuses and the longest time that one took.
async fn load(
    daemon: &Daemon,
    path: &'static str,
    model: Option<&'static str>,
) -> (Vec<u16>, Duration) {
    let mut clients = JoinSet::new();
    for _ in 0..CLIENTS {
        let callers = daemon.callers();
        clients.spawn(async move {
            let mut answers = Vec::new();
            for _ in 0..REQUESTS {
                let began = Instant::now();
                let status = ask_at(callers, path, model).await.1.status();
                answers.push((status, began.elapsed()));
            }
            answers
        });
    }
    let answers = clients.join_all().await.concat();
    let longest = answers.iter().map(|(_, took)| *took).max();
    let statuses = answers.into_iter().map(|(status, _)| status);
    (statuses.collect(), longest.unwrap_or_default())
}

/// Guards against a replica that sends without end and so takes a host past its memory, or keeps requests until their
/// deadlines that others could serve.
#[rstest]
#[case::body("/again/x", None, Endless::Body)]
#[case::unframed("/again/x", None, Endless::Unframed)]
#[case::unframed_once("/once/x", None, Endless::Unframed)]
#[case::head("/again/x", None, Endless::Head)]
#[case::informational("/again/x", None, Endless::Informational)]
#[case::event("/resume/x", Some("m1"), Endless::Event)]
#[case::event_once("/stream/x", Some("m1"), Endless::Event)]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bytes_without_end_end_their_own_request_only(
    #[case] path: &'static str,
    #[case] model: Option<&'static str>,
    #[case] form: Endless,
) {
    let store = store().await;
    let mut replicas = Vec::new();
    for n in 1..=3 {
        replicas.push(match model {
            Some(model) => engine(&store, &format!("e-{n}"), &[model]).await,
            None => web(&store, &format!("w-{n}")).await,
        });
    }
    let links = link::spawn(&store).await.unwrap();
    let mut settings = Settings {
        store: links.store,
        ..settings(&store, "d1")
    };
    settings.limits.memory_mb = MEMORY_MB;
    // Each request to the faulty replica is to be sent again.
    settings.bounds.retry_slack = 1_000.0;
    let daemon = front::spawn(settings).await.unwrap();
    let state = daemon.state().clone();
    until(|| state.is_ready() && state.table.lock().knows_host_count).await;
    until(|| state.table.lock().view.all().count() == replicas.len()).await;
    links.set_endless(replicas[0].addr, Some(form));
    let watched = state.clone();
    let watch = tokio::spawn(async move {
        let mut most = 0;
        loop {
            most = most.max(watched.answer_memory.used());
            assert!(most <= ANSWER_MEMORY, "{most} bytes are reserved");
            sleep(Duration::from_millis(2)).await;
        }
    });
    let (statuses, longest) = load(&daemon, path, model).await;
    assert!(!watch.is_finished(), "more was reserved than there is");
    watch.abort();
    let served = statuses.iter().filter(|s| **s == 200).count();
    let lost = statuses.iter().filter(|s| **s == 502).count();
    assert_eq!(served + lost, statuses.len(), "{statuses:?}");
    assert!(served * 10 >= statuses.len() * 7, "{statuses:?}");
    if path == "/again/x" || path == "/resume/x" {
        assert_eq!(lost, 0, "repeatable requests are served: {statuses:?}");
    }
    assert!(longest < Duration::from_millis(2_000), "{longest:?}");
    until(|| state.answer_memory.used() == 0).await;
}

/// Once the memory is used up, the largest reservation that still grows is revoked, never a smaller or a settled one.
#[tokio::test]
async fn the_largest_reservation_gives_way() {
    let account = memory::open(1_000);
    let mut small = account.reserve();
    let mut large = account.reserve();
    assert_eq!(small.resize(200), Ok(()));
    assert_eq!(large.resize(700), Ok(()));
    assert_eq!(
        large.resize(900),
        Err(Exhausted),
        "it is the largest itself"
    );
    assert_eq!(small.resize(400), Ok(()));
    large.revoked().await;
    assert_eq!(large.resize(700), Err(Exhausted), "it was revoked");
    assert_eq!(account.used(), 400);
    drop(large);
    assert_eq!(account.used(), 400);
    drop(small);
    assert_eq!(account.used(), 0);
}
