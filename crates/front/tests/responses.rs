//! Responses to clients for each way in which replicas may fail.

mod site;

use conn::Connection;
use front::settings::{Mode, Scheduling};
use platform_standin::replica::{self, Fault, Options};
use rstest::rstest;
use site::{WAIT_LIMIT, ask, daemon, engine, request, store, until, web};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn a_stream_is_forwarded_complete_and_signed() {
    let store = store().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    let (id, answer) = ask(&daemon, "/stream/x", Some("m1")).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.events(), [1, 2, 3, 4, 5]);
    assert!(answer.header("server-stamp").is_some());
    let seen = replica.request_log(&id);
    assert_eq!((seen.arrivals, seen.runs), (1, 1));
    assert!(seen.deadline_ms <= 3_000, "the remaining time is forwarded");
}

#[tokio::test]
async fn an_unknown_path_is_not_found() {
    let store = store().await;
    let daemon = daemon(&store, "d1").await;
    assert_eq!(ask(&daemon, "/nowhere/x", None).await.1.status(), 404);
}

/// Guards against a request that runs twice although it is not repeatable, and against a status
/// that hides that it ran.
#[rstest]
#[case::sheds(Fault::Shed, 503, 0)]
#[case::loses_answers(Fault::DropResponse, 502, 1)]
#[case::crosses(Fault::WrongRequestId, 502, 1)]
#[case::unsigned(Fault::Unsigned, 502, 1)]
#[case::fails(Fault::InternalError, 500, 1)]
#[case::hangs(Fault::Hang, 504, 1)]
#[tokio::test]
async fn an_unrepeatable_request_runs_at_most_once(
    #[case] fault: Fault,
    #[case] status: u16,
    #[case] ran: u32,
) {
    let store = store().await;
    let replicas = [web(&store, "i-1").await, web(&store, "i-2").await];
    let daemon = daemon(&store, "d1").await;
    for replica in &replicas {
        replica.set_fault(fault);
    }
    let (id, answer) = ask(&daemon, "/once/x", None).await;
    assert_eq!(answer.status(), status);
    let runs: u32 = replicas.iter().map(|r| r.request_log(&id).runs).sum();
    assert_eq!(runs, ran);
    if status == 503 {
        assert!(
            answer.header("retry-after").is_some(),
            "retry-after is missing"
        );
    }
    if status != 500 {
        assert_eq!(
            answer.header("server-stamp"),
            None,
            "not an answer of a replica"
        );
    }
}

/// Guards against a status that is none in HTTP, which a client would get as an answer.
#[rstest]
#[case::three_zeros("000")]
#[case::one("001")]
#[case::below_the_range("099")]
#[case::another_protocol("101")]
#[case::two_digits("20")]
#[case::four_digits("2000")]
#[case::above_the_range("600")]
#[case::the_highest_of_three_digits("999")]
#[case::empty("")]
#[case::a_word("fine")]
#[tokio::test]
async fn an_answer_whose_status_is_invalid_reaches_no_client(#[case] status: &'static str) {
    let store = store().await;
    let addr = answer_with_status(status).await;
    let entry = serde_json::json!({
        "service": "web", "address": addr.to_string(), "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "models": [], "sequence": 1, "born": 1,
    });
    store.put("servers/i-1", &entry);
    let daemon = daemon(&store, "d1").await;
    for path in ["/once/x", "/again/x"] {
        let (_, answer) = ask(&daemon, path, None).await;
        assert_eq!(answer.status(), 502, "{path}");
        assert_eq!(answer.header("server-stamp"), None, "{path}");
    }
}

/// Replica that answers each request in full and signed, with this text in the place of the status.
async fn answer_with_status(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = vec![0; 4_096];
            let count = stream.read(&mut head).await.unwrap_or(0);
            let head = String::from_utf8_lossy(&head[..count]).into_owned();
            let id = head.lines().find_map(|l| l.strip_prefix("request-id: "));
            let answer = format!(
                "HTTP/1.1 {status} x\r\nrequest-id: {}\r\nserver-stamp: 3e1b.07\r\ncontent-length: 2\r\n\r\nok",
                id.unwrap_or_default()
            );
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    addr
}

/// Guards against a repeatable request that is not retried at a healthy replica.
#[rstest]
#[case::sheds(Fault::Shed)]
#[case::loses_answers(Fault::DropResponse)]
#[case::crosses(Fault::WrongRequestId)]
#[case::unsigned(Fault::Unsigned)]
#[case::fails(Fault::InternalError)]
#[tokio::test]
async fn a_repeatable_request_is_retried_at_another_replica(#[case] fault: Fault) {
    let store = store().await;
    let faulty = web(&store, "i-1").await;
    let _healthy = web(&store, "i-2").await;
    let daemon = daemon(&store, "d1").await;
    faulty.set_fault(fault);
    for _ in 0..12 {
        let (id, answer) = ask(&daemon, "/again/x", None).await;
        assert_eq!(answer.status(), 200);
        assert!(
            answer
                .text()
                .contains(&format!("i-2 answers {id} at /again/x"))
        );
    }
}

#[tokio::test]
async fn a_server_error_is_forwarded_if_no_replica_succeeds() {
    let store = store().await;
    let replicas = [web(&store, "i-1").await, web(&store, "i-2").await];
    let daemon = daemon(&store, "d1").await;
    for replica in &replicas {
        replica.set_fault(Fault::InternalError);
    }
    let (id, answer) = ask(&daemon, "/again/x", None).await;
    assert_eq!(answer.status(), 500);
    assert!(answer.header("server-stamp").is_some());
    let runs: u32 = replicas.iter().map(|r| r.request_log(&id).runs).sum();
    assert_eq!(runs, 2, "each replica ran it once");
}

/// Guards against a less urgent prompt that is sent to a replica whose prefill backlog already
/// stalls its streams.
#[rstest]
#[case::less_urgent_is_refused("/later/x", 503, Mode::Off, "7500,20")]
#[case::urgent_is_sent("/stream/x", 200, Mode::Off, "7500,20")]
#[case::less_urgent_is_refused_by_speed("/later/x", 503, Mode::On, "9000,20")]
#[case::urgent_is_sent_by_speed("/stream/x", 200, Mode::On, "9000,20")]
#[tokio::test]
async fn a_request_at_a_replica_with_a_full_prefill_backlog(
    #[case] path: &str,
    #[case] status: u16,
    #[case] replica_speeds: Mode,
    #[case] usage: &str,
) {
    let store = store().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    daemon.state().table.lock().scheduling = Scheduling {
        replica_speeds,
        waiting_room: Mode::Off,
        ..Scheduling::default()
    };
    replica.set_fault(Fault::Hang);
    let mut line = Connection::open(daemon.callers(), WAIT_LIMIT)
        .await
        .unwrap();
    let (id, mut long) = request("/stream/x", Some("m1"));
    long.headers_mut()
        .insert("token-usage", usage.parse().unwrap());
    let reading =
        tokio::spawn(async move { line.exchange(long, WAIT_LIMIT, 1 << 20).await.is_ok() });
    until(|| replica.request_log(&id).arrivals == 1).await;
    replica.set_fault(Fault::None);
    let (_, answer) = ask(&daemon, path, Some("m1")).await;
    assert_eq!(answer.status(), status, "{}", answer.text());
    if status == 503 {
        assert!(answer.header("retry-after").is_some());
    }
    reading.abort();
}

#[tokio::test]
async fn a_disconnect_during_the_body_releases_the_request() {
    let store = store().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let mut client = TcpStream::connect(daemon.callers()).await.unwrap();
    let head = "POST /again/x HTTP/1.1\r\nhost: a.example\r\nrequest-id: half\r\ncontent-length: 1000\r\n\r\nabc";
    client.write_all(head.as_bytes()).await.unwrap();
    until(|| daemon.state().in_flight() == 1).await;
    drop(client);
    until(|| daemon.state().in_flight() == 0).await;
    assert_eq!(replica.request_log("half").arrivals, 0);
}

#[tokio::test]
async fn a_broken_stream_never_looks_complete() {
    let store = store().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    replica.set_fault(Fault::TruncateEvent);
    let (id, answer) = ask(&daemon, "/stream/x", Some("m1")).await;
    assert_eq!(answer.status(), 0, "the connection is aborted");
    assert_eq!(replica.request_log(&id).runs, 1);
}

#[tokio::test]
async fn a_resumable_stream_continues_after_its_last_complete_event() {
    let store = store().await;
    let faulty = engine(&store, "i-1", &["m1"]).await;
    let healthy = engine(&store, "i-2", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    faulty.set_fault(Fault::TruncateEvent);
    let mut resumed = 0;
    for _ in 0..8 {
        let (id, answer) = ask(&daemon, "/resume/x", Some("m1")).await;
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.events(), [1, 2, 3, 4, 5]);
        resumed += faulty.request_log(&id).runs * healthy.request_log(&id).runs;
    }
    assert!(resumed > 0, "none was sent to the faulty replica first");
}

#[tokio::test]
async fn a_disconnect_stops_the_run_at_the_replica() {
    let store = store().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    replica.set_fault(Fault::Hang);
    let (_, request) = site::request("/again/x", None);
    let mut line = conn::Connection::open(daemon.callers(), site::WAIT_LIMIT)
        .await
        .unwrap();
    let sent = line
        .send(request, std::time::Duration::from_millis(200))
        .await;
    assert!(sent.is_err(), "the replica hangs");
    assert_eq!(replica.running().0, 1);
    drop(line);
    until(|| replica.running().0 == 0).await;
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_unsent() {
    let store = store().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let (id, request) = site::request("/again/x", None);
    let (head, _) = request.into_parts();
    let body = conn::Body::new(vec![0; 200_000].into());
    let request = hyper::Request::from_parts(head, body);
    let mut line = conn::Connection::open(daemon.callers(), site::WAIT_LIMIT)
        .await
        .unwrap();
    let reply = line
        .exchange(request, site::WAIT_LIMIT, 1 << 20)
        .await
        .unwrap();
    assert_eq!(reply.status.as_u16(), 413);
    assert_eq!(replica.request_log(&id).arrivals, 0);
}

/// Paths of the test site, with their model.
const ALL_KINDS: [(&str, Option<&str>); 4] = [
    ("/stream/x", Some("m1")),
    ("/resume/x", Some("m1")),
    ("/once/x", None),
    ("/again/x", None),
];

/// Whether an answer is the whole answer of a replica.
fn is_whole(path: &str, answer: &site::Answer) -> bool {
    let is_stream = path != "/once/x" && path != "/again/x";
    match is_stream {
        true => answer.events() == [1, 2, 3, 4, 5],
        false => answer.text().contains(" answers "),
    }
}

/// Guards against taking an answer that ends with its connection for a broken one.
#[tokio::test]
async fn answers_that_end_with_their_connection_are_forwarded() {
    let store = store().await;
    let replicas = [
        engine(&store, "i-1", &["m1"]).await,
        web(&store, "i-2").await,
    ];
    let daemon = daemon(&store, "d1").await;
    for replica in &replicas {
        replica.set_fault(Fault::Unframed);
    }
    for (path, model) in ALL_KINDS {
        for _ in 0..5 {
            let (_, answer) = ask(&daemon, path, model).await;
            assert_eq!(answer.status(), 200, "{path}");
            assert!(is_whole(path, &answer), "{path}: {}", answer.text());
        }
    }
}

/// Guards against a crash that looks like the end of an answer: an answer that ends with its connection before it has
/// begun is none, and is not forwarded as an empty one.
#[rstest]
#[case::before_it_began(Fault::UnframedEmpty)]
#[case::inside_an_event(Fault::UnframedTruncated)]
#[tokio::test]
async fn an_answer_that_ends_too_early_with_its_connection_is_none(#[case] fault: Fault) {
    let store = store().await;
    let broken = [
        engine(&store, "i-1", &["m1"]).await,
        web(&store, "i-2").await,
    ];
    let _sound = [
        engine(&store, "i-3", &["m1"]).await,
        web(&store, "i-4").await,
    ];
    let daemon = daemon(&store, "d1").await;
    for replica in &broken {
        replica.set_fault(fault);
    }
    for (path, model) in ALL_KINDS {
        for _ in 0..12 {
            let (id, answer) = ask(&daemon, path, model).await;
            let is_repeatable = path == "/resume/x" || path == "/again/x";
            let text = answer.text();
            match answer.status() {
                200 => assert!(is_whole(path, &answer), "{path}: {text:?}"),
                status => assert!(
                    !is_repeatable && [0, 502].contains(&status),
                    "{path}: {status}"
                ),
            }
            let runs: u32 = broken.iter().map(|r| r.request_log(&id).runs).sum();
            assert!(runs <= 1, "{path}: ran {runs} times at the broken replica");
        }
    }
}

/// Guards against a stream that a replica is taken away from and that ends as complete.
#[tokio::test]
async fn a_replica_that_is_taken_away_ends_no_stream_as_complete() {
    let store = store().await;
    let options = Options {
        delay: Duration::from_millis(250),
        ..Options::default()
    };
    let leaving = replica::spawn(&store, options).await.unwrap();
    let daemon = daemon(&store, "d1").await;
    leaving.set_fault(Fault::UnframedCrash);
    let prepared = request("/stream/x", Some("m1"));
    let answer = tokio::spawn(site::send_to(daemon.callers(), prepared));
    until(|| leaving.running().0 > 0).await;
    leaving.announce_end(Duration::from_secs(1));
    let (_, answer) = answer.await.unwrap();
    assert!(leaving.is_down() || !leaving.crashes().is_empty());
    assert_ne!(answer.status(), 200, "{}", answer.text());
}

/// Guards against a crash between two events, or within a plain answer, that is taken for the end of an answer with neither
/// a length nor chunks.
#[rstest]
#[case::stream("/stream/x", Some("m1"))]
#[case::resumable_stream("/resume/x", Some("m1"))]
#[case::unrepeatable("/once/x", None)]
#[case::repeatable("/again/x", None)]
#[tokio::test]
async fn a_crash_does_not_end_an_answer_as_complete(
    #[case] path: &str,
    #[case] model: Option<&str>,
) {
    let store = store().await;
    let start = async |id: &str| match model {
        Some(model) => engine(&store, id, &[model]).await,
        None => web(&store, id).await,
    };
    let crashing = start("i-1").await;
    let _sound = start("i-2").await;
    let daemon = daemon(&store, "d1").await;
    crashing.set_fault(Fault::UnframedCrash);
    while crashing.crashes().is_empty() {
        let (_, answer) = ask(&daemon, path, model).await;
        let is_repeatable = path == "/resume/x" || path == "/again/x";
        match answer.status() {
            200 => assert!(is_whole(path, &answer), "{path}: {:?}", answer.text()),
            status => assert!(!is_repeatable && [0, 502].contains(&status), "{status}"),
        }
    }
}
