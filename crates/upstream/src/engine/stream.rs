//! Requests to an engine and their streams.

use super::format::*;
use bytes::{Buf, Bytes, BytesMut};
use conn::{Body, Error, Line, Pool, Reuse};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Longest line of a stream, in bytes.
const MOST_LINE: usize = 1_000_000;

/// Longest refusal, in bytes.
const MOST_REFUSAL: usize = 64_000;

/// Time in which a whole refusal must arrive, and a cancel be answered.
const SHORT_LIMIT: Duration = Duration::from_secs(2);

/// How an attempt failed.
#[derive(Debug)]
pub enum Failure {
    /// Proven not to have run: nothing was sent.
    Unsent(Error),
    /// Proven not to have run: the engine's documented refusal.
    Refused(RefusalReason),
    /// It may have run, or run in part.
    Lost(String),
}

/// Open stream of an attempt.
pub struct Stream {
    addr: SocketAddr,
    attempt: Attempt,
    body: Incoming,
    buffer: BytesMut,
    scanned: usize,
    next: u32,
    line: Option<Line>,
    pool: Option<Pool>,
    /// Events of other attempts that were dropped.
    pub foreign: u64,
    /// Events that repeated tokens already received and were dropped.
    pub doubled: u64,
}

/// What a stream gives next.
#[derive(Debug, PartialEq)]
pub enum Item {
    /// New tokens.
    Tokens {
        /// Their text.
        text: String,
        /// Their number.
        count: u32,
    },
    /// The end of the whole answer.
    End(End),
}

/// Starts (or resumes) a run and waits at most `limit` for the head of its answer.
pub async fn start(
    pool: &Pool,
    addr: SocketAddr,
    reuse: Reuse,
    run: &Run,
    limit: Duration,
) -> Result<Stream, Failure> {
    let request =
        conn::json_request(addr, RUN_PATH, Some(run)).map_err(|e| Failure::Lost(e.to_string()))?;
    let mut line = pool.line(addr, reuse).await.map_err(Failure::Unsent)?;
    let response = match line.send(request, limit).await {
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
        line: Some(line),
        pool: Some(pool.clone()),
        foreign: 0,
        doubled: 0,
    })
}

/// Reads a refusal; anything that is not this attempt's own proves nothing.
async fn refusal(response: Response<Incoming>, attempt: &Attempt) -> Failure {
    let status = response.status();
    let body = Limited::new(response.into_body(), MOST_REFUSAL).collect();
    let whole = match timeout(SHORT_LIMIT, body).await {
        Ok(Ok(whole)) => whole.to_bytes(),
        _ => return Failure::Lost(format!("status {status} and no readable body")),
    };
    match serde_json::from_slice::<Refusal>(&whole) {
        Ok(refusal) if refusal.attempt == *attempt => Failure::Refused(refusal.refused),
        _ => Failure::Lost(format!("status {status} without a refusal of this attempt")),
    }
}

impl Stream {
    /// Offset of the next token.
    pub fn offset(&self) -> u32 {
        self.next
    }

    /// Waits at most `limit` for the next tokens or the end.
    pub async fn next(&mut self, limit: Duration) -> Result<Item, Failure> {
        match timeout(limit, self.advance()).await {
            Ok(item) => item,
            Err(_) => Err(Failure::Lost(format!(
                "no token within {} ms",
                limit.as_millis()
            ))),
        }
    }

    /// The next item if it has arrived already; none when it has not.
    pub fn buffered(&mut self) -> Option<Result<Item, Failure>> {
        while let Some(line) = self.take_line() {
            if let Some(item) = self.read(&line).transpose() {
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
        if self.buffer.len() > MOST_LINE {
            return Err(Failure::Lost(format!(
                "a line longer than {MOST_LINE} bytes"
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

    /// Reads a line; none when it was dropped as foreign or doubled.
    fn read(&mut self, line: &[u8]) -> Result<Option<Item>, Failure> {
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
            self.doubled += 1;
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

    /// Reads what follows the end and keeps the connection for others.
    pub async fn finish(mut self) {
        let rest = timeout(SHORT_LIMIT, self.body.frame()).await;
        if let (Ok(None), Some(line), Some(pool)) = (rest, self.line.take(), self.pool.take()) {
            pool.give(self.addr, line);
        }
    }
}

/// Tells an engine that nobody waits for a request any more.
pub async fn cancel(pool: &Pool, addr: SocketAddr, attempt: &Attempt) -> Result<(), Error> {
    let request: hyper::Request<Body> = conn::json_request(addr, CANCEL_PATH, Some(attempt))?;
    pool.exchange(addr, request, SHORT_LIMIT, MOST_REFUSAL)
        .await
        .map(|_| ())
}
