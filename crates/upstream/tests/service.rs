//! Calls of plain services.

use conn::{Pool, Reuse, json_request};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use upstream::service::{Failure, Options, call};

const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nran";

const OPTIONS: Options = Options {
    reuse: Reuse::Pooled,
    refusal_status: Some(503),
    timeout: Duration::from_secs(5),
    max_bytes: 1_000,
};

const NAMED: &[u8] = b"HTTP/1.1 200 OK\r\ncoveford-request: r-1\r\ncontent-length: 3\r\n\r\nran";

/// Service that gives the answers `first` on its first connection, and [`ANSWER`] on all others.
async fn service(first: [&'static [u8]; 2]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let stream = listener.accept().await.unwrap().0;
        tokio::spawn(answer(stream, first));
        while let Ok((next, _)) = listener.accept().await {
            tokio::spawn(answer(next, [ANSWER, ANSWER]));
        }
    });
    addr
}

/// Answers each request, which arrives in one piece, on a connection.
async fn answer(mut stream: TcpStream, answers: [&'static [u8]; 2]) {
    let mut buffer = [0; 4_096];
    for answer in answers {
        if stream.read(&mut buffer).await.unwrap_or(0) == 0 {
            return;
        }
        stream.write_all(answer).await.unwrap();
    }
}

/// Guards against a late copy of a refusal that is taken for the answer to the next call: it would count as not run.
#[tokio::test]
async fn a_late_copy_of_a_refusal_is_not_believed() {
    let addr = service([REFUSAL, REFUSAL]).await;
    let pool = Pool::default();
    let request = || json_request::<()>(addr, "/x", None).unwrap();
    let refused = call(&pool, addr, "r-1", request(), OPTIONS).await;
    assert!(matches!(refused, Err(Failure::Refused(_))), "{refused:?}");
    let answered = call(&pool, addr, "r-1", request(), OPTIONS).await;
    assert_eq!(answered.unwrap().body, "ran");
}

/// Guards against bytes after a whole answer that are taken for the answer to the next call: as a refusal they would prove
/// that it has not run.
#[rstest]
#[tokio::test]
async fn bytes_after_an_answer_belong_to_no_call(#[values(REFUSAL, ANSWER)] bytes: &'static [u8]) {
    let addr = service([NAMED, bytes]).await;
    let pool = Pool::default();
    let request = || json_request::<()>(addr, "/x", None).unwrap();
    let first = call(&pool, addr, "r-1", request(), OPTIONS).await;
    assert_eq!(first.unwrap().body, "ran");
    let second = call(&pool, addr, "r-2", request(), OPTIONS).await;
    assert!(matches!(second, Err(Failure::Lost(_))), "{second:?}");
}

/// Guards against the same bytes after an answer that echoes no ID.
#[tokio::test]
async fn a_connection_without_an_echo_carries_one_call() {
    let addr = service([ANSWER, REFUSAL]).await;
    let pool = Pool::default();
    for id in ["r-1", "r-2"] {
        let request = json_request::<()>(addr, "/x", None).unwrap();
        let answered = call(&pool, addr, id, request, OPTIONS).await;
        assert_eq!(answered.unwrap().body, "ran", "{id}");
    }
}
