//! What the stand-ins' listeners share.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Body of a stand-in's answer.
pub(crate) type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Connections a stand-in takes.
pub(crate) const MOST_CONNECTIONS: usize = 20_000;

/// Listens on any free port of loopback, or again on a known one.
pub(crate) async fn listen(addr: Option<SocketAddr>) -> io::Result<TcpListener> {
    let addr = addr.unwrap_or_else(|| ([127, 0, 0, 1], 0).into());
    TcpListener::bind(addr).await
}

/// Reads a whole body as JSON.
pub(crate) async fn read<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let whole = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&whole).ok()
}

/// Answers with JSON.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).expect("it can always be written");
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    response
}

/// Whole body.
pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Answer to what nobody asks.
pub(crate) fn not_found() -> Response<Body> {
    let mut response = Response::new(full("not found\n"));
    *response.status_mut() = StatusCode::NOT_FOUND;
    response
}
