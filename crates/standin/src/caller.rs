//! A caller, as simple as callers are: it sends requests and keeps what it was told.

use bytes::Bytes;
use conn::{Body, Connection};
use http_body_util::BodyExt;
use hyper::{HeaderMap, Method, Request};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Time for a connection.
const CONNECT: Duration = Duration::from_secs(2);

/// Caller with its key.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Daemon it talks to.
    pub addr: SocketAddr,
    /// Its bearer key.
    pub key: String,
    /// Time it gives a request.
    pub patience: Duration,
}

/// Request to a model.
#[derive(Debug, Clone)]
pub struct Ask {
    /// Model or adapter.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether it is marked as unrepeatable.
    pub unrepeatable: bool,
    /// Idempotency key.
    pub key: Option<String>,
}

impl Ask {
    /// Plain request for so many tokens.
    pub fn new(model: &str, prompt: &str, tokens: u32) -> Ask {
        Ask {
            model: model.into(),
            prompt: prompt.into(),
            tokens,
            stream: false,
            unrepeatable: false,
            key: None,
        }
    }

    /// The same, streamed.
    pub fn streamed(self) -> Ask {
        Ask {
            stream: true,
            ..self
        }
    }

    /// The same, unrepeatable, with a key or without.
    pub fn unrepeatable(self, key: Option<&str>) -> Ask {
        Ask {
            unrepeatable: true,
            key: key.map(String::from),
            ..self
        }
    }
}

/// What a caller was told.
#[derive(Debug, Clone, Default)]
pub struct Got {
    /// HTTP status; 0 when the connection broke before one.
    pub status: u16,
    /// Outcome header, or for a stream its last word.
    pub outcome: String,
    /// Request id.
    pub request: String,
    /// Text received.
    pub text: String,
    /// Whether the answer came to its proper end.
    pub whole: bool,
    /// Error code.
    pub code: String,
    /// Error message.
    pub message: String,
    /// Seconds after which to come back.
    pub retry_after: Option<u64>,
    /// Whether the caller's library would be kept from sending it again by itself.
    pub must_not_retry: bool,
    /// Time to the first token, or to the whole answer.
    pub first: Duration,
    /// Times between pieces.
    pub gaps: Vec<Duration>,
}

impl Caller {
    /// Makes a caller.
    pub fn new(addr: SocketAddr, key: &str) -> Caller {
        Caller {
            addr,
            key: key.into(),
            patience: Duration::from_secs(30),
        }
    }

    /// Sends a chat request and reads what comes.
    pub async fn chat(&self, ask: &Ask) -> Got {
        let body = json!({
            "model": ask.model,
            "messages": [{"role": "user", "content": ask.prompt}],
            "max_tokens": ask.tokens,
            "stream": ask.stream,
        });
        let mut headers = HeaderMap::new();
        if ask.unrepeatable {
            headers.insert("coveford-unrepeatable", "yes".parse().expect("a constant"));
        }
        if let Some(key) = &ask.key {
            headers.insert("idempotency-key", key.parse().expect("a visible key"));
        }
        let body = body.to_string().into_bytes();
        self.send(Method::POST, "/v1/chat/completions", headers, body)
            .await
    }

    /// Sends any request and reads what comes.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: impl Into<Bytes>,
    ) -> Got {
        let mut request = Request::new(Body::new(body.into()));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().expect("a valid path");
        *request.headers_mut() = headers;
        let bearer = format!("Bearer {}", self.key);
        let headers = request.headers_mut();
        headers.insert("authorization", bearer.parse().expect("a visible key"));
        headers.insert("host", self.addr.to_string().parse().expect("an address"));
        let mut got = Got::default();
        let exchanged = timeout(self.patience, self.exchange(request, &mut got)).await;
        if exchanged.is_err() {
            got.message = "the caller's patience ran out".into();
        }
        got
    }

    async fn exchange(&self, request: Request<Body>, got: &mut Got) {
        let start = Instant::now();
        let mut line = match Connection::open(self.addr, CONNECT).await {
            Ok(line) => line,
            Err(e) => return got.message = e.to_string(),
        };
        let response = match line.send(request, self.patience).await {
            Ok(response) => response,
            Err(e) => return got.message = e.to_string(),
        };
        got.head(&response);
        let streamed = response
            .headers()
            .get("content-type")
            .is_some_and(|v| v.as_bytes() == b"text/event-stream");
        let mut body = response.into_body();
        let mut bytes: Vec<u8> = Vec::new();
        let mut last = start;
        loop {
            match body.frame().await {
                Some(Ok(frame)) => {
                    let now = Instant::now();
                    match last == start {
                        true => got.first = now - start,
                        false => got.gaps.push(now - last),
                    }
                    last = now;
                    if let Ok(data) = frame.into_data() {
                        bytes.extend_from_slice(&data);
                    }
                }
                Some(Err(e)) => {
                    got.message = e.to_string();
                    break;
                }
                None => {
                    got.whole = !streamed;
                    break;
                }
            }
        }
        match streamed {
            true => got.events(&bytes),
            false => got.body(&bytes),
        }
    }
}

impl Got {
    fn head<B>(&mut self, response: &hyper::Response<B>) {
        let text = |name: &str| {
            let value = response.headers().get(name);
            value.and_then(|v| v.to_str().ok()).unwrap_or("").to_owned()
        };
        self.status = response.status().as_u16();
        self.outcome = text("coveford-outcome");
        self.request = text("coveford-request");
        self.retry_after = text("retry-after").parse().ok();
        self.must_not_retry = text("x-should-retry") == "false";
    }

    fn error(&mut self, value: &Value) {
        let text = |key: &str| value["error"][key].as_str().unwrap_or("").to_owned();
        self.code = text("code");
        self.message = text("message");
        self.outcome = text("outcome");
    }

    fn body(&mut self, bytes: &[u8]) {
        let Ok(value) = serde_json::from_slice::<Value>(bytes) else {
            self.text = String::from_utf8_lossy(bytes).into_owned();
            return;
        };
        if value.get("error").is_some() {
            return self.error(&value);
        }
        let choice = &value["choices"][0];
        let text = choice["message"]["content"]
            .as_str()
            .or(choice["text"].as_str());
        match text {
            Some(text) => self.text = text.to_owned(),
            None => self.text = value.to_string(),
        }
    }

    fn events(&mut self, bytes: &[u8]) {
        for line in String::from_utf8_lossy(bytes).lines() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            if data == "[DONE]" {
                self.whole = true;
                self.outcome = "complete".into();
                continue;
            }
            let Ok(value) = serde_json::from_str::<Value>(data) else {
                continue;
            };
            if value.get("error").is_some() {
                self.error(&value);
            }
            let choice = &value["choices"][0];
            let text = choice["delta"]["content"]
                .as_str()
                .or(choice["text"].as_str());
            self.text.push_str(text.unwrap_or(""));
        }
    }
}
