//! Reuse of idle connections.

use conn::{Abort, Body, Pool, Reuse};
use hyper::{Request, Response};
use rstest::rstest;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;
use unit::Span;

const LIMIT: Duration = Duration::from_secs(5);

/// Guards against calls that wait for an answer on a connection that has gone silent while it was idle.
#[rstest]
#[case::idle_for_less(100, 2)]
#[case::idle_for_longer(500, 1)]
#[tokio::test]
async fn a_connection_is_reused_within_its_idle_time(#[case] idle_ms: u64, #[case] requests: u64) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let respond = |_| async { Ok::<_, Abort>(Response::new(Body::default())) };
    let server = conn::serve(listener, 8, respond).unwrap();
    let pool = Pool::with_idle_timeout(Span::from_ms(300));
    let reply = pool.exchange(server.addr, Request::new(Body::default()), LIMIT, 1_024);
    assert!(reply.await.is_ok());
    sleep(Duration::from_millis(idle_ms)).await;
    let mut connection = pool.acquire(server.addr, Reuse::Pooled).await.unwrap();
    let reply = connection.exchange(Request::new(Body::default()), LIMIT, 1_024);
    assert!(reply.await.is_ok());
    assert_eq!(connection.request_count(), requests);
}
