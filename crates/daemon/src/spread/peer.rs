//! Asking other daemons, and answering them.

use crate::core::Core;
use bundle::Delta;
use bytes::Bytes;
use conn::Pool;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;
use wire::Frame;

/// Time for an answer beyond what it may wait on purpose.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Longest wait that a peer may ask for.
const MOST_WAIT: Duration = Duration::from_secs(30);

/// Most parts given in one answer.
const MOST_PARTS: usize = 1_024;

/// Why a peer's answer could not be had.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The exchange failed.
    #[snafu(display("{source}"), context(false))]
    Conn {
        /// Why.
        source: conn::Error,
    },
    /// The message was not a sealed frame.
    #[snafu(display("{source}"), context(false))]
    Wire {
        /// Why.
        source: wire::Error,
    },
    /// The peer refused.
    #[snafu(display("The daemon at {addr} refused: {reason}"))]
    Refused {
        /// Which.
        addr: SocketAddr,
        /// Why.
        reason: String,
    },
}

/// Sends a frame to another daemon, reads its answer and counts the bytes.
pub async fn ask(
    core: &Core,
    addr: SocketAddr,
    question: &Frame,
    wait: Duration,
) -> Result<Frame, Error> {
    let key = &core.settings.wire_key;
    let (answer, bytes) = exchange(&core.pool, key, addr, question, wait).await?;
    let counter = |way| {
        core.metrics
            .counter("coveford_control_bytes_total", &[("way", way)])
    };
    counter("out").increment(bytes.sent as u64);
    counter("in").increment(bytes.received as u64);
    Ok(answer)
}

/// Bytes of one exchange, without HTTP's own.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Of the question.
    pub sent: usize,
    /// Of the answer.
    pub received: usize,
}

/// Sends a frame to a daemon and reads its answer.
pub async fn exchange(
    pool: &Pool,
    key: &wire::Key,
    addr: SocketAddr,
    question: &Frame,
    wait: Duration,
) -> Result<(Frame, Traffic), Error> {
    let sealed = wire::encode(key, &[], question)?;
    let request = Request::post(wire::PATH)
        .header(HOST, addr.to_string())
        .body(conn::Body::new(Bytes::from(sealed.clone())))
        .expect("a constant path makes a valid request");
    let limit = wait + ANSWER_LIMIT;
    let reply = pool
        .exchange(addr, request, limit, wire::MAX_MESSAGE_BYTES)
        .await?;
    if reply.status != StatusCode::OK {
        let reason = String::from_utf8_lossy(&reply.body).into_owned();
        return Err(Error::Refused { addr, reason });
    }
    let bytes = Traffic {
        sent: sealed.len(),
        received: reply.body.len(),
    };
    Ok((wire::decode(key, &sealed, &reply.body)?, bytes))
}

/// Answers a frame of another daemon.
pub async fn answer(core: &Arc<Core>, question: Frame) -> Frame {
    match question {
        Frame::Follow { after, wait_ms } => {
            let wait = Duration::from_millis(wait_ms).min(MOST_WAIT);
            head_past(core, after, wait).await
        }
        Frame::Fetch { hashes } => parts(core, &hashes),
        Frame::GetDemand => Frame::Demands {
            demands: core.demands(),
        },
        Frame::GetLoads => Frame::Loads { loads: loads(core) },
        Frame::Drain => {
            core.stop.notify_one();
            Frame::Draining {
                in_flight: core.in_flight() as u64,
            }
        }
        Frame::Head { .. }
        | Frame::Delta { .. }
        | Frame::Draining { .. }
        | Frame::Parts { .. }
        | Frame::Demands { .. }
        | Frame::Loads { .. }
        | Frame::Refused { .. } => Frame::Refused {
            reason: "This is an answer, not a question.".into(),
        },
    }
}

async fn head_past(core: &Arc<Core>, after: u64, wait: Duration) -> Frame {
    let mut sequence = core.force.subscribe();
    // A lapsed wait is answered with what is in force.
    let _ = timeout(wait, sequence.wait_for(|s| *s > after)).await;
    let current = core.in_force();
    let sequence = current.as_ref().map_or(0, |c| c.head.sequence);
    if let (Some(current), Some(past)) = (&current, core.force.past(after))
        && sequence > after
    {
        let delta = Delta::between(&past, &current.head);
        let delta = serde_json::to_string(&delta).expect("a delta can always be written");
        return Frame::Delta {
            sequence,
            delta: delta.into(),
        };
    }
    let head = current.filter(|c| c.head.sequence > after);
    Frame::Head {
        sequence,
        head: head.map(|c| c.text.clone()),
    }
}

fn parts(core: &Core, hashes: &[unit::Name]) -> Frame {
    let Some(current) = core.in_force() else {
        return Frame::Parts { texts: Vec::new() };
    };
    let found = hashes.iter().take(MOST_PARTS);
    let texts = found.filter_map(|hash| current.parts.get(hash).cloned());
    Frame::Parts {
        texts: texts.collect(),
    }
}

fn loads(core: &Core) -> Vec<wire::Load> {
    let now = core.now();
    let entries = core.fleet.entries();
    let seen = entries.iter().filter(|e| e.report.is_some());
    let load = |e: &crate::fleet::Entry| wire::Load {
        upstream: e.host.name.clone(),
        age: now.since(e.loaded_at),
        running: e.load.running,
        waiting: e.load.waiting,
    };
    seen.map(load).collect()
}
