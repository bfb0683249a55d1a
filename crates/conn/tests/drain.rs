//! Guards against terminating a response that broke off during a drain as if it were complete.

use bytes::Bytes;
use conn::{Connection, serve};
use hyper::body::{Body, Frame};
use hyper::{Request, Response};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::sleep;

const LIMIT: Duration = Duration::from_secs(5);

/// Body that breaks off after one chunk.
struct TruncatedBody {
    started: bool,
}

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let chunk = match self.started {
            false => Ok(Frame::data(Bytes::from_static(b"piece"))),
            true => Err(io::Error::other("body broke off")),
        };
        self.started = true;
        Poll::Ready(Some(chunk))
    }
}

#[tokio::test]
async fn response_that_breaks_off_during_a_drain_is_incomplete() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let respond = |_| async { Ok(Response::new(TruncatedBody { started: false })) };
    let server = Arc::new(serve(listener, 8, respond).unwrap());
    let mut connection = Connection::open(server.addr, LIMIT).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    let draining = server.clone();
    let drain = tokio::spawn(async move { draining.drain(LIMIT).await });
    sleep(Duration::from_millis(50)).await;
    let mut request = Request::new(conn::Body::default());
    *request.uri_mut() = "/".parse().unwrap();
    let headers = request.headers_mut();
    headers.insert("host", "a.example".parse().unwrap());
    let reply = connection.exchange(request, LIMIT, 1_024).await;
    assert!(
        reply.is_err(),
        "the response is complete: {:?}",
        reply.unwrap().body
    );
    assert_eq!(drain.await.unwrap(), 0, "no connection is left open");
}
