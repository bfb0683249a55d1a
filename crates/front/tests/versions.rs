//! Replicas of several software versions side by side: a stream goes on only at the version that began it.

mod site;

use conn::Connection;
use front::Daemon;
use http_body_util::BodyExt;
use hyper::Request;
use platform_standin::replica::{self, Fault, Options, Replica};
use platform_standin::store::Store;
use rstest::rstest;
use site::{WAIT_LIMIT, hosts, request, store, until};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Path of a stream that may be resumed.
const PATH: &str = "/resume/x";

/// Time within which a request that cannot be served has to be refused.
const AT_ONCE: Duration = Duration::from_millis(600);

/// Starts two replicas of each version that hold model `m1`.
async fn replicas(store: &Store, versions: &[&str]) -> Vec<Replica> {
    let mut started = Vec::new();
    for version in versions {
        for n in 1..=2 {
            let options = Options {
                id: format!("i-{version}-{n}"),
                version: (*version).into(),
                ..Options::default()
            };
            started.push(replica::spawn(store, options).await.unwrap());
        }
    }
    started
}

/// Starts hosts that know all replicas.
async fn hosts_of(store: &Store, count: usize, replicas: &[Replica]) -> Vec<Daemon> {
    let hosts = hosts(store, count).await;
    let knows = |host: &Daemon| {
        let table = host.state().table.lock();
        let mut all = replicas.iter();
        all.all(|r| table.view.get(&r.options.id).is_some())
    };
    until(|| hosts.iter().all(knows)).await;
    hosts
}

/// What a client received of one attempt.
#[derive(Debug, Default, Clone)]
struct Received {
    id: String,
    status: u16,
    /// Numbers of the events.
    events: Vec<u64>,
    /// Versions of the software that wrote them.
    versions: BTreeSet<String>,
    /// Whether the answer ended properly.
    is_complete: bool,
    took: Duration,
}

/// Sends a request and reads the answer until it ends or breaks off.
async fn receive(callers: SocketAddr, (id, request): (String, Request<conn::Body>)) -> Received {
    let sent = Instant::now();
    let mut received = Received {
        id,
        ..Received::default()
    };
    let mut line = Connection::open(callers, WAIT_LIMIT).await.unwrap();
    let Ok(response) = line.send(request, WAIT_LIMIT).await else {
        return received;
    };
    received.status = response.status().as_u16();
    let (mut body, mut text) = (response.into_body(), Vec::new());
    received.is_complete = loop {
        match body.frame().await {
            Some(Ok(frame)) => text.extend(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    for line in String::from_utf8(text).unwrap().lines() {
        let event = line.strip_prefix("id: ").map(|n| n.parse::<u64>().unwrap());
        received.events.extend(event);
        let version = line.rsplit_once(" by ").map(|(_, v)| v.to_owned());
        received.versions.extend(version);
    }
    received.took = sent.elapsed();
    received
}

/// Request for a stream. Each has another body: a broken stream counts against requests with the same one.
fn stream() -> (String, Request<conn::Body>) {
    let (id, mut request) = request(PATH, Some("m1"));
    *request.body_mut() = conn::Body::new(id.clone().into());
    (id, request)
}

/// Request with the same body that takes up a stream after its second event, as clients do that do not name its attempt.
fn unnamed_resumption(first: &str) -> (String, Request<conn::Body>) {
    let (id, mut request) = resumption(first);
    request.headers_mut().remove("resumes");
    *request.body_mut() = conn::Body::new(first.to_owned().into());
    (id, request)
}

/// Request that takes up a stream after its second event.
fn resumption(first: &str) -> (String, Request<conn::Body>) {
    let (id, mut request) = stream();
    let headers = request.headers_mut();
    headers.insert("last-event-id", 2.into());
    headers.insert("resumes", first.parse().unwrap());
    (id, request)
}

fn set_fault(replicas: &[Replica], fault: Fault) {
    replicas.iter().for_each(|replica| replica.set_fault(fault));
}

/// Sends streams that succeed, so that the retry budget covers the resumptions of a test.
async fn earn_retries(hosts: &[Daemon]) {
    let mut streams = JoinSet::new();
    for n in 0..150 {
        streams.spawn(receive(hosts[n % hosts.len()].callers(), stream()));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    streams.join_all().await;
}

/// Streams that broke off after their second event, begun at all replicas by turns.
async fn broken_streams(host: &Daemon, replicas: &[Replica], count: usize) -> Vec<Received> {
    set_fault(replicas, Fault::TruncateEvent);
    let mut streams = JoinSet::new();
    for _ in 0..count {
        streams.spawn(receive(host.callers(), stream()));
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let streams = streams.join_all().await;
    set_fault(replicas, Fault::None);
    let broken = |s: &Received| s.events == [1, 2] && !s.is_complete;
    let broken: Vec<Received> = streams.into_iter().filter(broken).collect();
    assert!(broken.len() > count / 2, "{}", broken.len());
    broken
}

/// Guards against a stream that is resumed within one answer at a replica of another version.
#[tokio::test]
async fn a_stream_resumed_within_an_answer_keeps_its_version() {
    let store = store().await;
    let replicas = replicas(&store, &["v1", "v2"]).await;
    let hosts = hosts_of(&store, 3, &replicas).await;
    earn_retries(&hosts).await;
    replicas[0].set_fault(Fault::TruncateEvent);
    replicas[2].set_fault(Fault::TruncateEvent);
    let (mut resumed, mut mixed, mut whole) = (0, 0, 0);
    for n in 0..60 {
        let received = receive(hosts[n % 3].callers(), stream()).await;
        let runs = |r: &Replica| r.request_log(&received.id).runs;
        resumed += u32::from(replicas.iter().map(runs).sum::<u32>() > 1);
        mixed += u32::from(received.versions.len() > 1);
        whole += usize::from(received.is_complete && received.events == [1, 2, 3, 4, 5]);
    }
    assert!(resumed > 3, "{resumed} streams were resumed");
    assert_eq!(mixed, 0, "of {resumed} resumed streams");
    assert_eq!(whole, 60);
}

/// Guards against a stream that a client takes up, here or at another host, and that goes on at another version; and
/// against hosts that do not know which version began it.
#[rstest]
#[case::at_the_same_host(false, false, true)]
#[case::at_another_host(true, false, true)]
#[case::at_another_host_after_the_first_died(true, true, true)]
#[case::without_the_name_of_its_attempt(true, true, false)]
#[tokio::test]
async fn a_stream_taken_up_by_its_client_keeps_its_version(
    #[case] is_elsewhere: bool,
    #[case] dies: bool,
    #[case] names_attempt: bool,
) {
    let store = store().await;
    let replicas = replicas(&store, &["v1", "v2"]).await;
    let mut hosts = hosts_of(&store, 4, &replicas).await;
    let broken = broken_streams(&hosts[0], &replicas, 40).await;
    let callers = hosts[usize::from(is_elsewhere)].callers();
    if dies {
        drop(hosts.remove(0));
    }
    let (mut whole, mut mixed) = (0, 0);
    for stream in &broken {
        let resumption = match names_attempt {
            true => resumption(&stream.id),
            false => unnamed_resumption(&stream.id),
        };
        let received = receive(callers, resumption).await;
        let all: BTreeSet<_> = stream.versions.union(&received.versions).collect();
        mixed += usize::from(all.len() > 1);
        whole += usize::from(received.events == [3, 4, 5] && received.is_complete);
    }
    assert_eq!(mixed, 0, "of {} streams", broken.len());
    assert_eq!(whole, broken.len());
}

/// Guards against a guess, and against a wait, where no host knows which version began a stream.
/// Guards against streams that no host knows any more once all have been restarted in turn.
#[tokio::test]
async fn streams_are_known_after_all_hosts_were_restarted_in_turn() {
    let store = store().await;
    let replicas = replicas(&store, &["v1", "v2"]).await;
    let mut hosts = hosts_of(&store, 2, &replicas).await;
    let broken = broken_streams(&hosts[0], &replicas, 6).await;
    for _ in 0..2 {
        let host = hosts.remove(0);
        let settings = host.state().settings.clone();
        host.drain().await;
        // Its sockets are closed once its tasks have ended.
        tokio::time::sleep(Duration::from_millis(200)).await;
        let host = front::spawn(settings).await.unwrap();
        until(|| host.state().is_ready() && host.state().table.lock().host_count == 2).await;
        hosts.push(host);
    }
    for first in broken {
        let taken_up = receive(hosts[1].callers(), resumption(&first.id)).await;
        assert_eq!(taken_up.status, 200, "{first:?}");
        assert_eq!(taken_up.versions, first.versions);
    }
}

#[tokio::test]
async fn a_stream_that_no_host_knows_is_refused_at_once() {
    let store = store().await;
    let replicas = replicas(&store, &["v1", "v2"]).await;
    let hosts = hosts_of(&store, 3, &replicas).await;
    let received = receive(hosts[0].callers(), resumption("r-unknown")).await;
    assert_eq!(received.status, 503);
    assert!(received.took < AT_ONCE, "{:?}", received.took);
    let runs = |r: &Replica| r.request_log(&received.id).runs;
    assert_eq!(replicas.iter().map(runs).sum::<u32>(), 0);
}

/// Guards against a stream that is lost since its adapter is on no other replica of its version, although one could load
/// it.
#[tokio::test]
async fn a_stream_goes_on_once_its_adapter_is_loaded_at_its_version() {
    let store = store().await;
    let replicas = replicas(&store, &["v1", "v2"]).await;
    let hosts = hosts_of(&store, 2, &replicas).await;
    earn_retries(&hosts).await;
    let adapted = || {
        let (id, mut request) = stream();
        let headers = request.headers_mut();
        headers.insert("model", "m1/a1".parse().unwrap());
        (id, request)
    };
    let served = |received: &Received| received.is_complete && received.events == [1, 2, 3, 4, 5];
    while !served(&receive(hosts[0].callers(), adapted()).await) {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let holds = |r: &&Replica| r.models()["m1"].contains(&"a1".to_owned());
    let holders: Vec<&Replica> = replicas.iter().filter(holds).collect();
    assert_eq!(holders.len(), 1);
    holders[0].set_fault(Fault::TruncateEvent);
    let received = receive(hosts[0].callers(), adapted()).await;
    assert!(served(&received), "{received:?}");
    assert_eq!(received.versions.len(), 1);
}

/// Guards against a resumption that waits, or goes on elsewhere, although no replica of its version is left.
#[tokio::test]
async fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let store = store().await;
    let replicas = replicas(&store, &["v1", "v2"]).await;
    let hosts = hosts_of(&store, 2, &replicas).await;
    let broken = broken_streams(&hosts[0], &replicas, 20).await;
    replicas[2..].iter().for_each(Replica::remove_entry);
    let knows = |host: &Daemon| host.state().table.lock().view.all().count() == 4;
    until(|| !hosts.iter().any(knows)).await;
    let begun_at_v2 = broken.iter().filter(|s| s.versions.contains("v2"));
    let mut count = 0;
    for stream in begun_at_v2 {
        let received = receive(hosts[1].callers(), resumption(&stream.id)).await;
        assert_eq!(received.status, 503);
        assert!(received.took < AT_ONCE, "{:?}", received.took);
        count += 1;
    }
    assert!(count > 0);
}

/// Guards against a version that is taken from an entry, while the replica has already restarted with other software under
/// its identity, and says so only later.
#[tokio::test]
async fn a_stream_of_a_replica_that_restarted_with_other_software_is_not_guessed() {
    let store = store().await;
    let replicas = replicas(&store, &["v1"]).await;
    let hosts = hosts_of(&store, 2, &replicas).await;
    replicas[0].restart_with("v2");
    let broken = broken_streams(&hosts[0], &replicas, 20).await;
    replicas[0].write_entry();
    let knows = |host: &Daemon| {
        let table = host.state().table.lock();
        table
            .view
            .get("i-v1-1")
            .is_some_and(|r| &*r.entry.software == "v2")
    };
    until(|| hosts.iter().all(knows)).await;
    let restarted = broken.iter().filter(|s| s.versions.contains("v2"));
    let mut count = 0;
    for stream in restarted {
        let received = receive(hosts[1].callers(), resumption(&stream.id)).await;
        assert!(!received.versions.contains("v1"), "{received:?}");
        count += 1;
    }
    assert!(count > 0);
}
