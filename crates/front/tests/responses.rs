//! What clients get, with replicas that fail in each of the ways they may.

mod site;

use conn::Line;
use platform_standin::replica::Fault;
use rstest::rstest;
use site::{WAIT_LIMIT, ask, daemon, engine, request, store, until, web};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

#[tokio::test]
async fn a_stream_is_passed_on_whole_and_signed() {
    let store = store().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    let (id, answer) = ask(&daemon, "/stream/x", Some("m1")).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.events(), [1, 2, 3, 4, 5]);
    assert!(answer.header("server-stamp").is_some());
    let seen = replica.seen(&id);
    assert_eq!((seen.arrived, seen.ran), (1, 1));
    assert!(seen.deadline_ms <= 3_000, "what is left is passed on");
}

#[tokio::test]
async fn a_path_without_a_route_is_not_found() {
    let store = store().await;
    let daemon = daemon(&store, "d1").await;
    assert_eq!(ask(&daemon, "/nowhere/x", None).await.1.status(), 404);
}

/// Each fault, for a request that may not be repeated: it runs at most once, and the status is true.
#[rstest]
#[case::sheds(Fault::Sheds, 503, 0)]
#[case::loses_answers(Fault::LosesAnswers, 502, 1)]
#[case::crosses(Fault::Crosses, 502, 1)]
#[case::unsigned(Fault::Unsigned, 502, 1)]
#[case::fails(Fault::Fails, 500, 1)]
#[case::hangs(Fault::Hangs, 504, 1)]
#[tokio::test]
async fn an_unrepeatable_request(#[case] fault: Fault, #[case] status: u16, #[case] ran: u32) {
    let store = store().await;
    let replicas = [web(&store, "i-1").await, web(&store, "i-2").await];
    let daemon = daemon(&store, "d1").await;
    for replica in &replicas {
        replica.set_fault(fault);
    }
    let (id, answer) = ask(&daemon, "/once/x", None).await;
    assert_eq!(answer.status(), status);
    let runs: u32 = replicas.iter().map(|r| r.seen(&id).ran).sum();
    assert_eq!(runs, ran);
    if status == 503 {
        assert!(answer.header("retry-after").is_some(), "when to come back");
    }
    if status != 500 {
        assert_eq!(
            answer.header("server-stamp"),
            None,
            "it is no replica's answer"
        );
    }
}

/// Each fault of one replica, for a request that may be repeated: the other one answers.
#[rstest]
#[case::sheds(Fault::Sheds)]
#[case::loses_answers(Fault::LosesAnswers)]
#[case::crosses(Fault::Crosses)]
#[case::unsigned(Fault::Unsigned)]
#[case::fails(Fault::Fails)]
#[tokio::test]
async fn a_repeatable_request_is_answered_by_the_other_replica(#[case] fault: Fault) {
    let store = store().await;
    let bad = web(&store, "i-1").await;
    let _good = web(&store, "i-2").await;
    let daemon = daemon(&store, "d1").await;
    bad.set_fault(fault);
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
async fn an_answer_with_a_failure_is_passed_on_where_no_other_is_to_be_had() {
    let store = store().await;
    let replicas = [web(&store, "i-1").await, web(&store, "i-2").await];
    let daemon = daemon(&store, "d1").await;
    for replica in &replicas {
        replica.set_fault(Fault::Fails);
    }
    let (id, answer) = ask(&daemon, "/again/x", None).await;
    assert_eq!(answer.status(), 500);
    assert!(answer.header("server-stamp").is_some());
    let runs: u32 = replicas.iter().map(|r| r.seen(&id).ran).sum();
    assert_eq!(runs, 2, "each was asked once");
}

/// kvikbud-dk: a prompt that was sent where 200 ms of prompts waited made forty streams pause too long.
#[rstest]
#[case::a_less_urgent_one_gives_way("/later/x", 503)]
#[case::an_urgent_one_is_sent("/stream/x", 200)]
#[tokio::test]
async fn a_request_whose_turn_does_not_come(#[case] path: &str, #[case] status: u16) {
    let store = store().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    replica.set_fault(Fault::Hangs);
    let mut line = Line::open(daemon.callers(), WAIT_LIMIT).await.unwrap();
    let (id, mut long) = request("/stream/x", Some("m1"));
    let usage = "7500,20".parse().unwrap();
    long.headers_mut().insert("token-usage", usage);
    let reading =
        tokio::spawn(async move { line.exchange(long, WAIT_LIMIT, 1 << 20).await.is_ok() });
    until(|| replica.seen(&id).arrived == 1).await;
    replica.set_fault(Fault::None);
    let (_, answer) = ask(&daemon, path, Some("m1")).await;
    assert_eq!(answer.status(), status, "{}", answer.text());
    if status == 503 {
        assert!(answer.header("retry-after").is_some());
    }
    reading.abort();
}

#[tokio::test]
async fn a_client_that_leaves_before_its_request_is_read_leaves_nothing_behind() {
    let store = store().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let mut client = TcpStream::connect(daemon.callers()).await.unwrap();
    let head = "POST /again/x HTTP/1.1\r\nhost: a.example\r\nrequest-id: half\r\ncontent-length: 1000\r\n\r\nabc";
    client.write_all(head.as_bytes()).await.unwrap();
    until(|| daemon.state().in_flight() == 1).await;
    drop(client);
    until(|| daemon.state().in_flight() == 0).await;
    assert_eq!(replica.seen("half").arrived, 0);
}

#[tokio::test]
async fn a_stream_that_breaks_never_looks_whole() {
    let store = store().await;
    let replica = engine(&store, "i-1", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    replica.set_fault(Fault::CutsEvents);
    let (id, answer) = ask(&daemon, "/stream/x", Some("m1")).await;
    assert_eq!(answer.status(), 0, "the connection breaks");
    assert_eq!(replica.seen(&id).ran, 1);
}

#[tokio::test]
async fn a_resumable_stream_goes_on_elsewhere_behind_its_last_whole_event() {
    let store = store().await;
    let bad = engine(&store, "i-1", &["m1"]).await;
    let good = engine(&store, "i-2", &["m1"]).await;
    let daemon = daemon(&store, "d1").await;
    bad.set_fault(Fault::CutsEvents);
    let mut resumed = 0;
    for _ in 0..8 {
        let (id, answer) = ask(&daemon, "/resume/x", Some("m1")).await;
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.events(), [1, 2, 3, 4, 5]);
        resumed += bad.seen(&id).ran * good.seen(&id).ran;
    }
    assert!(resumed > 0, "some went to the bad one first");
}

#[tokio::test]
async fn a_client_that_leaves_frees_the_replica_at_once() {
    let store = store().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    replica.set_fault(Fault::Hangs);
    let (_, request) = site::request("/again/x", None);
    let mut line = conn::Line::open(daemon.callers(), site::WAIT_LIMIT)
        .await
        .unwrap();
    let sent = line
        .send(request, std::time::Duration::from_millis(200))
        .await;
    assert!(sent.is_err(), "it hangs");
    assert_eq!(replica.running().0, 1);
    drop(line);
    until(|| replica.running().0 == 0).await;
}

#[tokio::test]
async fn a_body_beyond_the_limit_is_refused_unsent() {
    let store = store().await;
    let replica = web(&store, "i-1").await;
    let daemon = daemon(&store, "d1").await;
    let (id, request) = site::request("/again/x", None);
    let (head, _) = request.into_parts();
    let body = conn::Body::new(vec![0; 200_000].into());
    let request = hyper::Request::from_parts(head, body);
    let mut line = conn::Line::open(daemon.callers(), site::WAIT_LIMIT)
        .await
        .unwrap();
    let reply = line
        .exchange(request, site::WAIT_LIMIT, 1 << 20)
        .await
        .unwrap();
    assert_eq!(reply.status.as_u16(), 413);
    assert_eq!(replica.seen(&id).arrived, 0);
}
