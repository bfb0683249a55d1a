//! Answers that break off while a server drains.
//!
//! A caller got two of five events of a stream as a whole answer, from a host that was stopping. It had opened its connection
//! before the stop and asked after it; its replica broke the stream off within half a second of that. The connection, which had ended by
//! that failure, was worked on once more, and wrote the end of the body.

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

/// Body that breaks off after one piece.
struct Breaks {
    begun: bool,
}

impl Body for Breaks {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let piece = match self.begun {
            false => Ok(Frame::data(Bytes::from_static(b"piece"))),
            true => Err(io::Error::other("broken off")),
        };
        self.begun = true;
        Poll::Ready(Some(piece))
    }
}

#[tokio::test]
async fn an_answer_that_breaks_off_in_a_drain_does_not_look_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let answer = |_| async { Ok(Response::new(Breaks { begun: false })) };
    let server = Arc::new(serve(listener, 8, answer).unwrap());
    let mut line = Connection::open(server.addr, LIMIT).await.unwrap();
    sleep(Duration::from_millis(50)).await;
    let draining = server.clone();
    let drained = tokio::spawn(async move { draining.drain(LIMIT).await });
    sleep(Duration::from_millis(50)).await;
    let mut request = Request::new(conn::Body::default());
    *request.uri_mut() = "/".parse().unwrap();
    let headers = request.headers_mut();
    headers.insert("host", "a.example".parse().unwrap());
    let reply = line.exchange(request, LIMIT, 1_024).await;
    assert!(reply.is_err(), "it looks whole: {:?}", reply.unwrap().body);
    assert_eq!(drained.await.unwrap(), 0, "nothing is left open");
}
