//! Patient requests that wait at a host for idle replicas, when the host stops, when the replicas leave, and when another
//! host has sent them to a replica before.

mod site;

use bytes::Bytes;
use front::Daemon;
use front::settings::{Mode, Scheduling};
use hyper::{Method, Request};
use platform_standin::replica::{self, Options, Replica};
use platform_standin::store::Store;
use rstest::rstest;
use serde_json::json;
use site::{Answer, ask_at, daemon_with, request, send, send_to, until};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Time that the streams of [`occupy`] take.
const STREAMS_TAKE: Duration = Duration::from_millis(1_500);

/// Store whose route `/later/` has a target of five seconds.
async fn store() -> Store {
    let store = site::store().await;
    let mut configuration = site::configuration(2);
    let route = &mut configuration["routes"][1];
    route["target_latency_ms"] = json!(5_000);
    route["timeout_ms"] = json!(12_000);
    store.put("op/config", &configuration);
    store
}

/// A host that admits by forecast.
async fn host(store: &Store) -> Daemon {
    let scheduling = Scheduling {
        replica_speeds: Mode::On,
        waiting_room: Mode::On,
        ..Scheduling::default()
    };
    daemon_with(store, "d1", scheduling).await
}

/// Replica of model `m1` with eight slots and long streams.
async fn engine(store: &Store) -> Replica {
    let options = Options {
        events: 30,
        delay: STREAMS_TAKE / 30,
        ..Options::default()
    };
    replica::spawn(store, options).await.unwrap()
}

/// Header fields of a request to pass on.
type Headers = Vec<(String, Bytes)>;

/// Passes a request on to a host in the name of another one, which has sent it to `attempted`.
async fn pass_on(host: &Daemon, path: &str, attempted: &str) -> (String, Answer) {
    let (id, request) = request(path, Some("m1"));
    let headers = request.headers().iter();
    let headers: Headers = headers
        .map(|(name, value)| (name.to_string(), Bytes::copy_from_slice(value.as_bytes())))
        .collect();
    let (elapsed_ms, left_ms) = (0u32, 8_000u32);
    let edition = (2u64, 0u64);
    let (key, last_event, run) = (None::<String>, None::<u64>, None::<String>);
    let (unnamed_runs, reserved_runs) = (0u32, 0u32);
    // The fields of `front::detour`'s envelope, in its order.
    let envelope = (
        "d0",
        "POST",
        path,
        "a.example",
        headers,
        Bytes::from("body"),
        key,
        elapsed_ms,
        left_ms,
        edition,
        last_event,
        vec![attempted],
        Vec::<String>::new(),
        unnamed_runs,
        reserved_runs,
        run,
    );
    let body = rmp_serde::to_vec(&envelope).unwrap();
    let mut request = Request::new(conn::Body::new(body.into()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = front::detour::PATH.parse().unwrap();
    send_to(host.state().settings.peers, (id, request)).await
}

/// Fills all slots of the replica with streams.
async fn occupy(host: &Daemon, replica: &Replica) {
    let before = replica.arrivals();
    for _ in 0..8 {
        let callers = host.callers();
        tokio::spawn(async move { ask_at(callers, "/stream/x", Some("m1")).await });
    }
    until(|| replica.arrivals() >= before + 8).await;
}

/// Sends a patient request; gives its answer and the time that it took.
fn ask_later(host: &Arc<Daemon>) -> JoinHandle<(Answer, Duration)> {
    let host = host.clone();
    tokio::spawn(async move {
        let (id, mut request) = request("/later/x", Some("m1"));
        let headers = request.headers_mut();
        headers.insert("deadline-ms", "12000".parse().unwrap());
        let start = Instant::now();
        let (_, answer) = send(&host, (id, request)).await;
        (answer, start.elapsed())
    })
}

#[tokio::test]
async fn a_patient_request_waits_until_the_streams_end() {
    let store = store().await;
    let replica = engine(&store).await;
    let host = Arc::new(host(&store).await);
    let start = Instant::now();
    occupy(&host, &replica).await;
    let (answer, took) = ask_later(&host).await.unwrap();
    assert_eq!(answer.status(), 200);
    assert!(took < Duration::from_secs(5), "{took:?}");
    let arrivals = replica.arrivals_after(start);
    let held = arrivals[8] - arrivals[0];
    assert!(held >= STREAMS_TAKE, "sent {held:?} after the first stream");
}

#[tokio::test]
async fn a_host_that_stops_sends_what_it_holds() {
    let store = store().await;
    let replica = engine(&store).await;
    let host = Arc::new(host(&store).await);
    occupy(&host, &replica).await;
    let later = [ask_later(&host), ask_later(&host), ask_later(&host)];
    sleep(STREAMS_TAKE / 5).await;
    host.state().start_drain();
    until(|| replica.arrivals() == 11).await;
    for later in later {
        assert_eq!(later.await.unwrap().0.status(), 200);
    }
}

#[tokio::test]
async fn held_requests_are_refused_at_once_when_their_replicas_leave() {
    let store = store().await;
    let replica = engine(&store).await;
    let host = Arc::new(host(&store).await);
    occupy(&host, &replica).await;
    let later = ask_later(&host);
    sleep(STREAMS_TAKE / 5).await;
    replica.announce_departure();
    let (answer, took) = later.await.unwrap();
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert!(took < STREAMS_TAKE, "{took:?}");
}

/// Guards against a second send to a replica that has refused the request, which could not tell a copy of the first refusal
/// from a second one: the request waits for another replica, by the forecast and in the queue.
#[rstest]
#[case::by_forecast(Mode::On)]
#[case::in_the_queue(Mode::Off)]
#[tokio::test]
async fn a_request_waits_for_no_replica_that_another_host_sent_it_to(#[case] waiting_room: Mode) {
    let store = store().await;
    let busy = engine(&store).await;
    let scheduling = Scheduling {
        replica_speeds: Mode::On,
        waiting_room,
        ..Scheduling::default()
    };
    let host = daemon_with(&store, "d1", scheduling).await;
    occupy(&host, &busy).await;
    let options = Options {
        id: "i-2".into(),
        ..Options::default()
    };
    let attempted = replica::spawn(&store, options).await.unwrap();
    until(|| host.state().table.lock().view.get("i-2").is_some()).await;
    let (_, served) = ask_at(host.callers(), "/stream/x", Some("m1")).await;
    assert_eq!(served.status(), 200, "the new replica is in use");
    let (id, answer) = pass_on(&host, "/later/x", "i-2").await;
    assert_eq!(answer.status(), 200, "{}", answer.text());
    assert_eq!(attempted.request_log(&id).runs, 0, "{}", answer.text());
}
