//! Requests that come late in the grace of a host that stops.

mod site;

use platform_standin::replica::{self, Fault, Options};
use rstest::rstest;
use site::{WAIT_LIMIT, daemon, store};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time after the stop signal at which new connections are still accepted, and from which the timeout of a route ends after
/// the grace.
const LATE: Duration = Duration::from_millis(1_000);

/// Sends a request whose body is complete `body_after` its head, and returns the whole answer as text.
async fn send_slowly(callers: SocketAddr, path: &str, id: &str, body_after: Duration) -> String {
    let mut stream = TcpStream::connect(callers).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nrequest-id: {id}\r\ndeadline-ms: 9000\r\ncontent-length: 4\r\n\r\nab"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    sleep(body_after).await;
    let _ = stream.write_all(b"cd").await;
    let mut answer = Vec::new();
    let _ = timeout(WAIT_LIMIT, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against requests that are passed on late in the grace and cut at its end with no answer.
#[rstest]
#[case::not_repeatable("/once/x", 2_000, 503, 0)]
#[case::repeatable("/again/x", 2_000, 503, 0)]
#[case::in_time("/once/x", 300, 200, 1)]
#[tokio::test]
async fn a_request_that_is_complete_late_in_the_grace_is_refused(
    #[case] path: &'static str,
    #[case] body_after_ms: u64,
    #[case] status: u16,
    #[case] runs: u32,
) {
    let store = store().await;
    let options = Options {
        id: "i-1".into(),
        service: "web".into(),
        models: Vec::new(),
        delay: Duration::from_millis(1_000),
        ..Options::default()
    };
    let replica = replica::spawn(&store, options).await.unwrap();
    let daemon = daemon(&store, "d1").await;
    let callers = daemon.callers();
    let drain = tokio::spawn(daemon.drain());
    sleep(LATE).await;
    let body_after = Duration::from_millis(body_after_ms);
    let answer = send_slowly(callers, path, "r-1", body_after).await;
    drain.await.unwrap();
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer:?}"
    );
    assert_eq!(answer.contains("retry-after"), status == 503, "{answer:?}");
    assert_eq!(replica.request_log("r-1").runs, runs);
}

/// Guards against requests that are cut with no answer at the end of the grace, and against an answer that says that they
/// have not run.
#[rstest]
#[case::not_repeatable("/once/x")]
#[case::repeatable("/again/x")]
#[tokio::test]
async fn a_request_at_a_silent_replica_is_answered_before_its_host_ends(
    #[case] path: &'static str,
) {
    let store = store().await;
    let replica = site::web(&store, "i-1").await;
    replica.set_fault(Fault::Hang);
    let daemon = daemon(&store, "d1").await;
    let callers = daemon.callers();
    let drain = tokio::spawn(daemon.drain());
    sleep(LATE).await;
    let answer = send_slowly(callers, path, "r-1", Duration::ZERO).await;
    let status = answer.get(9..12).unwrap_or_default();
    assert!(["502", "504"].contains(&status), "{answer:?}");
    drain.await.unwrap();
}
