//! Runs of requests at an engine, and the streams of their tokens.

use super::message::*;
use bytes::{Buf, Bytes, BytesMut};
use conn::{Body, Connection, Error, Pool, Reuse};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Maximum length of a line of a stream, in bytes.
const MAX_LINE_BYTES: usize = 1_000_000;

/// Maximum size of a refusal and of the response to a cancellation, in bytes.
const MAX_REFUSAL_BYTES: usize = 64_000;

/// Timeout of the body of a refusal, of the end of a finished stream and of a cancellation.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why an attempt failed.
#[derive(Debug)]
pub enum Failure {
    /// Nothing was sent, so the request did not run.
    Unsent(Error),
    /// The engine refused the request and guarantees that it did not run.
    Refused(RefusalReason),
    /// The request may have run, completely or in part; holds the reason.
    Lost(String),
}

/// Stream of the tokens of an attempt.
pub struct Stream {
    addr: SocketAddr,
    attempt: Attempt,
    body: Incoming,
    buffer: BytesMut,
    /// Length of the prefix of `buffer` that contains no newline.
    scanned: usize,
    /// Offset of the next token.
    next: u32,
    connection: Option<Connection>,
    pool: Option<Pool>,
    /// Number of dropped events that belonged to other attempts.
    pub foreign: u64,
    /// Number of dropped events that repeated tokens.
    pub duplicates: u64,
}

/// Item of a stream.
#[derive(Debug, PartialEq)]
pub enum Item {
    /// New tokens.
    Tokens {
        /// Their text.
        text: String,
        /// Their number.
        count: u32,
    },
    /// The end of the stream.
    End(End),
}

/// Starts or resumes a run, and waits up to `limit` for the head of the response.
pub async fn start(
    pool: &Pool,
    addr: SocketAddr,
    reuse: Reuse,
    run: &Run,
    limit: Duration,
) -> Result<Stream, Failure> {
    let request =
        conn::json_request(addr, RUN_PATH, Some(run)).map_err(|e| Failure::Lost(e.to_string()))?;
    let mut connection = pool.acquire(addr, reuse).await.map_err(Failure::Unsent)?;
    let response = match connection.send(request, limit).await {
        Ok(response) => response,
        Err(e) if e.proves_unsent() => return Err(Failure::Unsent(e)),
        Err(e) => return Err(Failure::Lost(e.to_string())),
    };
    if response.status() != StatusCode::OK {
        return Err(refusal(response, &run.attempt).await);
    }
    Ok(Stream {
        addr,
        attempt: run.attempt.clone(),
        body: response.into_body(),
        buffer: BytesMut::new(),
        scanned: 0,
        next: run.resume_at.unwrap_or(run.given_tokens),
        connection: Some(connection),
        pool: Some(pool.clone()),
        foreign: 0,
        duplicates: 0,
    })
}

/// Reads a refusal. Only a refusal of this attempt guarantees that it did not run.
async fn refusal(response: Response<Incoming>, attempt: &Attempt) -> Failure {
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_REFUSAL_BYTES).collect();
    let bytes = match timeout(CONTROL_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        _ => return Failure::Lost(format!("status {status} and no readable body")),
    };
    match serde_json::from_slice::<Refusal>(&bytes) {
        Ok(refusal) if refusal.attempt == *attempt => Failure::Refused(refusal.refused),
        _ => Failure::Lost(format!("status {status} without a refusal of this attempt")),
    }
}

impl Stream {
    /// Offset of the next token.
    pub fn offset(&self) -> u32 {
        self.next
    }

    /// Waits up to `limit` for the next tokens or the end.
    pub async fn next(&mut self, limit: Duration) -> Result<Item, Failure> {
        match timeout(limit, self.advance()).await {
            Ok(item) => item,
            Err(_) => Err(Failure::Lost(format!(
                "no token within {} ms",
                limit.as_millis()
            ))),
        }
    }

    /// Returns the next item if it has been received already.
    pub fn buffered(&mut self) -> Option<Result<Item, Failure>> {
        while let Some(line) = self.take_line() {
            if let Some(item) = self.parse(&line).transpose() {
                return Some(item);
            }
        }
        None
    }

    async fn advance(&mut self) -> Result<Item, Failure> {
        loop {
            if let Some(item) = self.buffered() {
                return item;
            }
            self.fill().await?;
        }
    }

    async fn fill(&mut self) -> Result<(), Failure> {
        if self.buffer.len() > MAX_LINE_BYTES {
            return Err(Failure::Lost(format!(
                "a line longer than {MAX_LINE_BYTES} bytes"
            )));
        }
        match self.body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    self.buffer.extend_from_slice(&data);
                }
                Ok(())
            }
            Some(Err(e)) => Err(Failure::Lost(format!("the stream broke: {e}"))),
            None => Err(Failure::Lost(
                "the stream ended without its end marker".into(),
            )),
        }
    }

    fn take_line(&mut self) -> Option<Bytes> {
        let found = self.buffer[self.scanned..].iter().position(|b| *b == b'\n');
        let Some(found) = found else {
            self.scanned = self.buffer.len();
            return None;
        };
        let mut line = self.buffer.split_to(self.scanned + found + 1).freeze();
        self.scanned = 0;
        line.truncate(line.len() - 1);
        Some(line)
    }

    /// Parses a line; none if it is empty or was dropped as another attempt's or a duplicate.
    fn parse(&mut self, line: &[u8]) -> Result<Option<Item>, Failure> {
        if !line.has_remaining() {
            return Ok(None);
        }
        let event: Event = serde_json::from_slice(line)
            .map_err(|e| Failure::Lost(format!("an unreadable event: {e}")))?;
        if !event.is_of(&self.attempt) {
            self.foreign += 1;
            return Ok(None);
        }
        if event.offset > self.next {
            return Err(Failure::Lost(format!(
                "tokens {} to {} are missing",
                self.next, event.offset
            )));
        }
        if event.offset < self.next {
            self.duplicates += 1;
            return Ok(None);
        }
        if let Some(end) = event.end {
            return Ok(Some(Item::End(end)));
        }
        self.next += event.tokens;
        Ok(Some(Item::Tokens {
            text: event.text.into_owned(),
            count: event.tokens,
        }))
    }

    /// Reads the end of the body and returns the connection to the pool.
    pub async fn finish(mut self) {
        let end = timeout(CONTROL_TIMEOUT, self.body.frame()).await;
        if let (Ok(None), Some(connection), Some(pool)) =
            (end, self.connection.take(), self.pool.take())
        {
            pool.release(self.addr, connection);
        }
    }
}

/// Cancels an attempt, because no caller waits for it any more.
pub async fn cancel(pool: &Pool, addr: SocketAddr, attempt: &Attempt) -> Result<(), Error> {
    let request: hyper::Request<Body> = conn::json_request(addr, CANCEL_PATH, Some(attempt))?;
    pool.exchange(addr, request, CONTROL_TIMEOUT, MAX_REFUSAL_BYTES)
        .await
        .map(|_| ())
}
