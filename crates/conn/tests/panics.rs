//! Guards against a handler that panics and leaves its connection counted, so that the server takes one less from then on.

use bytes::Bytes;
use conn::{Connection, serve};
use hyper::{Request, Response};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

const LIMIT: Duration = Duration::from_secs(5);

fn request(path: &'static str) -> Request<conn::Body> {
    let mut request = Request::new(conn::Body::default());
    *request.uri_mut() = path.parse().unwrap();
    request
}

#[tokio::test]
async fn a_handler_that_panics_leaves_no_connection_counted() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let respond = |request: Request<_>| async move {
        assert_eq!(request.uri().path(), "/", "this path panics");
        Ok(Response::new(http_body_util::Full::new(Bytes::new())))
    };
    let server = serve(listener, 1, respond).unwrap();
    let mut connection = Connection::open(server.addr, LIMIT).await.unwrap();
    let answer = connection.exchange(request("/panic"), LIMIT, 1_024).await;
    assert!(answer.is_err());
    let end = Instant::now() + LIMIT;
    while server.connection_count() > 0 {
        assert!(Instant::now() < end, "the connection stays counted");
        sleep(Duration::from_millis(10)).await;
    }
    let mut connection = Connection::open(server.addr, LIMIT).await.unwrap();
    let answer = connection.exchange(request("/"), LIMIT, 1_024).await;
    assert_eq!(answer.unwrap().status, 200);
    assert_eq!(server.drain(LIMIT).await, 0);
}
