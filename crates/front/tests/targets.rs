//! Targets and heads of all forms, valid or not: each is answered, and none costs the host a connection.

mod site;

use front::Daemon;
use platform_standin::replica::Replica;
use platform_standin::store::Store;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use serde_json::json;
use site::{WAIT_LIMIT, ask, configuration, daemon, until, web};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A host whose route `again` takes all paths that no other route takes.
async fn site() -> (Store, Replica, Daemon) {
    let store = site::store().await;
    let mut configuration = configuration(2);
    configuration["routes"][4]["path_prefix"] = json!("/");
    store.put("op/config", &configuration);
    let replica = web(&store, "w-1").await;
    let daemon = daemon(&store, "d1").await;
    let version = || {
        daemon
            .state()
            .table
            .lock()
            .routes
            .as_ref()
            .map(|r| r.version)
    };
    until(|| version() == Some(2)).await;
    (store, replica, daemon)
}

/// Sends the head of a request and returns the status of its answer; none if the connection closes without one.
async fn status(daemon: &Daemon, head: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(daemon.callers()).await.unwrap();
    stream.write_all(head).await.unwrap();
    let mut answer = vec![0; 4_096];
    let read = timeout(WAIT_LIMIT, stream.read(&mut answer)).await;
    let length = read.expect("it is answered in time").unwrap_or(0);
    let text = String::from_utf8_lossy(&answer[..length]);
    text.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

#[rstest]
#[case::path("/x?y=1", 200)]
#[case::absolute("http://a.example/x?y=1", 200)]
#[case::absolute_without_path("http://a.example", 200)]
#[case::absolute_with_query_only("http://a.example?y=1", 200)]
#[case::empty_query("http://a.example?", 200)]
#[case::asterisk("*", 404)]
#[tokio::test]
async fn targets_of_all_forms_are_answered(#[case] target: &str, #[case] expected: u16) {
    let (_store, replica, daemon) = site().await;
    let head = format!(
        "POST {target} HTTP/1.1\r\nhost: a.example\r\nrequest-id: t-1\r\ndeadline-ms: 3000\r\n\r\n"
    );
    assert_eq!(status(&daemon, head.as_bytes()).await, Some(expected));
    let runs = u32::from(expected == 200);
    assert_eq!(replica.request_log("t-1").runs, runs);
}

/// Parts of heads.
const METHODS: [&str; 5] = ["GET", "POST", "OPTIONS", "CONNECT", "x"];
const AUTHORITIES: [&str; 6] = [
    "",
    "http://a.example",
    "http://a.example:80",
    "http://",
    "a.example:80",
    "http://u@[::1]",
];
const PATHS: [&str; 6] = ["", "/", "/x", "*", "%zz", "//"];
const QUERIES: [&str; 5] = ["", "?", "?y=1", "#f", "?#"];
const FIELDS: [&str; 10] = [
    "host: a.example",
    "host:",
    "content-length: 0",
    "content-length: -1",
    "transfer-encoding: chunked",
    "transfer-encoding: gzip",
    "deadline-ms: 9999999999999999999999",
    "token-usage: ,",
    "prompt-prefix: :,::1",
    "expect: 100-continue",
];

fn draw<'a>(rng: &mut SmallRng, from: &[&'a str]) -> &'a str {
    from[rng.random_range(0..from.len())]
}

/// Head of a request from random parts, with an empty body in chunks behind it.
fn head(rng: &mut SmallRng) -> Vec<u8> {
    let mut head = format!("{} ", draw(rng, &METHODS));
    for parts in [&AUTHORITIES[..], &PATHS, &QUERIES] {
        head.push_str(draw(rng, parts));
    }
    head.push_str(" HTTP/1.1\r\n");
    for _ in 0..rng.random_range(0..4) {
        head.push_str(draw(rng, &FIELDS));
        head.push_str("\r\n");
    }
    head.push_str("\r\n0\r\n\r\n");
    head.into_bytes()
}

/// Guards against a head that makes a handler panic: its caller gets no answer.
#[rstest]
#[tokio::test]
async fn random_heads_are_answered(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (_store, _replica, daemon) = site().await;
    let mut unanswered = Vec::new();
    for _ in 0..200 {
        let head = head(&mut rng);
        if status(&daemon, &head).await.is_none() {
            unanswered.push(String::from_utf8(head).unwrap());
        }
    }
    assert_eq!(unanswered, Vec::<String>::new());
    assert_eq!(ask(&daemon, "/x", None).await.1.status(), 200);
}
