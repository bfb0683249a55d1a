//! Bad input of every kind gets a clear error and harms nobody else.

mod common;

use common::{small, user};
use hyper::{HeaderMap, Method};
use proptest::prelude::*;
use rstest::rstest;
use standin::caller::{Ask, Caller, Got};
use standin::engine::text;
use standin::fleet::{Fleet, KEY_ONE};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn post(fleet: &Fleet, path: &str, key: &str, body: &str) -> Got {
    let caller = Caller::new(fleet.daemons[0].callers(), key);
    caller
        .send(Method::POST, path, HeaderMap::new(), body.to_owned())
        .await
}

/// The daemon still answers a good request.
async fn still_serves(fleet: &Fleet) {
    let ask = Ask::new("judge-00", "still there?", 5);
    let got = Caller::new(fleet.daemons[0].callers(), KEY_ONE)
        .chat(&ask)
        .await;
    assert_eq!(
        got.text,
        text("judge-00", &user(&ask.prompt), 5),
        "{}",
        got.message
    );
}

const CHAT: &str = "/v1/chat/completions";

#[rstest]
#[case::wrong_key(CHAT, "nobody's key", "{}", 401, "invalid_api_key")]
#[case::bad_json(CHAT, KEY_ONE, "{\"model\": ", 400, "invalid_json")]
#[case::no_model(CHAT, KEY_ONE, "{}", 400, "invalid_json")]
#[case::unknown_model(
    CHAT,
    KEY_ONE,
    r#"{"model": "nobody", "messages": []}"#,
    404,
    "model_not_found"
)]
#[case::no_messages(CHAT, KEY_ONE, r#"{"model": "judge-00"}"#, 400, "missing_messages")]
#[case::odd_content(
    CHAT,
    KEY_ONE,
    r#"{"model": "judge-00", "messages": [{"role": "user", "content": 7}]}"#,
    400,
    "bad_content"
)]
#[case::no_tokens(
    CHAT,
    KEY_ONE,
    r#"{"model": "judge-00", "messages": [{"role": "user", "content": "x"}], "max_tokens": 0}"#,
    400,
    "bad_max_tokens"
)]
#[case::two_answers(
    CHAT,
    KEY_ONE,
    r#"{"model": "judge-00", "messages": [{"role": "user", "content": "x"}], "n": 2}"#,
    400,
    "unsupported"
)]
#[case::no_prompt(
    "/v1/completions",
    KEY_ONE,
    r#"{"model": "judge-00"}"#,
    400,
    "missing_prompt"
)]
#[case::no_path("/v2/nothing", KEY_ONE, "{}", 404, "no_such_path")]
#[tokio::test]
async fn a_bad_request_is_refused_clearly(
    #[case] path: &str,
    #[case] key: &str,
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let fleet = small().await;
    let got = post(&fleet, path, key, body).await;
    assert_eq!(
        (got.status, got.code.as_str(), got.outcome.as_str()),
        (status, code, "not-run")
    );
    assert!(
        got.message.ends_with('.'),
        "a full sentence: {}",
        got.message
    );
    still_serves(&fleet).await;
}

#[tokio::test]
async fn an_over_long_body_is_refused() {
    let fleet = small().await;
    let body = format!(
        "{{\"model\": \"judge-00\", \"prompt\": \"{}\"}}",
        "x".repeat(5_000_000)
    );
    let got = post(&fleet, "/v1/completions", KEY_ONE, &body).await;
    assert_eq!((got.status, got.code.as_str()), (413, "body_too_long"));
    still_serves(&fleet).await;
}

/// Sends raw bytes and reads what comes for a while.
async fn raw(addr: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(2), stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

#[rstest]
#[case::not_http(b"hello\r\n\r\n".to_vec())]
#[case::cut_head(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuth".to_vec())]
#[case::huge_head([b"GET / HTTP/1.1\r\nX: ".to_vec(), vec![b'a'; 100_000], b"\r\n\r\n".to_vec()].concat())]
#[case::bad_length(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\n".to_vec())]
#[case::two_lengths(b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde".to_vec())]
#[case::cut_body(format!("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY_ONE}\r\nContent-Length: 400\r\n\r\n{{").into_bytes())]
#[case::nothing(Vec::new())]
#[tokio::test]
async fn raw_garbage_harms_nobody(#[case] bytes: Vec<u8>) {
    let fleet = small().await;
    for addr in [fleet.daemons[0].callers(), fleet.daemons[0].operator()] {
        let answer = raw(addr, &bytes).await;
        assert!(!answer.starts_with("HTTP/1.1 2"), "{answer}");
    }
    still_serves(&fleet).await;
}

#[tokio::test]
async fn slow_and_idle_connections_do_not_hold_up_others() {
    let fleet = small().await;
    let addr = fleet.daemons[0].callers();
    let mut held = Vec::new();
    for i in 0..300 {
        let mut stream = TcpStream::connect(addr).await.unwrap();
        if i % 2 == 0 {
            let head = format!(
                "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY_ONE}\r\nContent-Length: 400\r\n\r\n{{"
            );
            stream.write_all(head.as_bytes()).await.unwrap();
        }
        held.push(stream);
    }
    still_serves(&fleet).await;
    let in_flight = fleet.daemons[0].core().in_flight();
    assert_eq!(in_flight, 0, "an unread body holds no place at an upstream");
}

#[tokio::test]
async fn a_slow_reader_bounds_what_is_held_for_it() {
    let fleet = small().await;
    let addr = fleet.daemons[0].callers();
    let body = r#"{"model": "judge-00", "prompt": "a flood", "max_tokens": 60000, "stream": true}"#;
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY_ONE}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    still_serves(&fleet).await;
    drop(stream);
    let gone = || fleet.daemons[0].core().in_flight() == 0;
    assert!(fleet.eventually(common::PATIENCE, gone).await);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1, failure_persistence: None, ..ProptestConfig::default() })]

    /// One system, many bodies: none is answered with a server error, and it still serves.
    #[test]
    fn any_body_is_answered(bodies in proptest::collection::vec(body(), 200)) {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let fleet = Arc::new(small().await);
            for body in bodies {
                let got = post(&fleet, CHAT, KEY_ONE, &body).await;
                assert!(got.status != 0 && got.status < 500, "{body}: {got:?}");
            }
            still_serves(&fleet).await;
        });
    }
}

/// Bodies near valid ones.
fn body() -> impl Strategy<Value = String> {
    let value = prop_oneof![
        Just("\"judge-00\"".to_owned()),
        Just("[]".to_owned()),
        Just("null".to_owned()),
        Just("-1".to_owned()),
        Just("1e99".to_owned()),
        Just("[{\"role\":\"user\",\"content\":\"x\"}]".to_owned()),
        "\"\\PC{0,20}\"",
    ];
    let key = prop_oneof![
        "model",
        "messages",
        "max_tokens",
        "stream",
        "n",
        "\\PC{0,8}"
    ];
    let field = (key, value).prop_map(|(k, v)| format!("{k:?}:{v}"));
    let object =
        proptest::collection::vec(field, 0..6).prop_map(|f| format!("{{{}}}", f.join(",")));
    prop_oneof![object, "\\PC{0,60}"]
}

#[tokio::test]
async fn the_inner_protocol_takes_only_sealed_frames() {
    let fleet = small().await;
    let addr = fleet.daemons[0].operator();
    let key = &fleet.tool.settings.wire_key;
    let other = wire::Key::new(vec![7; 32]).unwrap();
    let question = wire::Frame::GetDemand;
    let good = wire::encode(key, &[], &question).unwrap();
    let mut flipped = good.clone();
    *flipped.last_mut().unwrap() ^= 1;
    let mut newer = good.clone();
    newer[0] = 9;
    let foreign = wire::encode(&other, &[], &question).unwrap();
    let long = vec![1; wire::MAX_MESSAGE_BYTES + 10];
    let cut = good[..20].to_vec();
    for (message, status) in [
        (good, 200),
        (flipped, 403),
        (newer, 403),
        (foreign, 403),
        (cut, 403),
        (Vec::new(), 403),
        (long, 413),
    ] {
        let request = hyper::Request::post(wire::PATH)
            .header("host", "x")
            .body(conn::Body::from(message))
            .unwrap();
        let reply = fleet
            .tool
            .pool
            .exchange(addr, request, Duration::from_secs(5), 1_000_000)
            .await;
        // An over-long message may be cut off before its answer is read.
        match reply {
            Ok(reply) => assert_eq!(reply.status.as_u16(), status),
            Err(e) => assert_eq!(status, 413, "{e}"),
        }
    }
    still_serves(&fleet).await;
}
