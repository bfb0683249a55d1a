//! Calls between daemons, one frame each way.

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

/// Time for an answer, beyond the wait that the call asks for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum wait that a peer may ask for.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Maximum number of parts in one answer.
const MAX_PARTS: usize = 1_024;

/// Why a call to another daemon failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The HTTP exchange failed.
    #[snafu(display("{source}"), context(false))]
    Conn {
        /// Cause.
        source: conn::Error,
    },
    /// The request or the answer could not be encoded, decoded or authenticated.
    #[snafu(display("{source}"), context(false))]
    Wire {
        /// Cause.
        source: wire::Error,
    },
    /// The peer refused.
    #[snafu(display("The daemon at {addr} refused: {reason}"))]
    Refused {
        /// Address of the daemon.
        addr: SocketAddr,
        /// Text of its answer.
        reason: String,
    },
}

/// Sends a frame to another daemon, reads its answer and counts the bytes in the metrics.
///
/// `wait` is how long the daemon may hold back its answer.
pub async fn call(
    core: &Core,
    addr: SocketAddr,
    request: &Frame,
    wait: Duration,
) -> Result<Frame, Error> {
    let key = &core.settings.wire_key;
    let (answer, traffic) = exchange(&core.pool, key, addr, request, wait).await?;
    let counter = |way| {
        core.metrics
            .counter("coveford_control_bytes_total", &[("way", way)])
    };
    counter("out").increment(traffic.sent as u64);
    counter("in").increment(traffic.received as u64);
    Ok(answer)
}

/// Body bytes of one exchange.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Bytes of the request.
    pub sent: usize,
    /// Bytes of the answer.
    pub received: usize,
}

/// Sends a frame to a daemon and reads its answer.
///
/// `wait` is how long the daemon may hold back its answer.
pub async fn exchange(
    pool: &Pool,
    key: &wire::Key,
    addr: SocketAddr,
    request: &Frame,
    wait: Duration,
) -> Result<(Frame, Traffic), Error> {
    let encoded = wire::encode(key, &[], request)?;
    let post = Request::post(wire::PATH)
        .header(HOST, addr.to_string())
        .body(conn::Body::new(Bytes::from(encoded.clone())))
        .expect("a constant path makes a valid request");
    let timeout = wait + ANSWER_TIMEOUT;
    let reply = pool
        .exchange(addr, post, timeout, wire::MAX_MESSAGE_BYTES)
        .await?;
    if reply.status != StatusCode::OK {
        let reason = String::from_utf8_lossy(&reply.body).into_owned();
        return Err(Error::Refused { addr, reason });
    }
    let traffic = Traffic {
        sent: encoded.len(),
        received: reply.body.len(),
    };
    Ok((wire::decode(key, &encoded, &reply.body)?, traffic))
}

/// Answers a frame of another daemon.
pub async fn handle(core: &Arc<Core>, request: Frame) -> Frame {
    match request {
        Frame::Follow { after, wait_ms } => {
            let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
            newer_head(core, after, wait).await
        }
        Frame::Fetch { hashes } => parts(core, &hashes),
        Frame::GetDemand => Frame::Demands {
            demands: core.demands(),
        },
        Frame::GetLoads => Frame::Loads { loads: loads(core) },
        Frame::Drain => {
            core.shutdown.notify_one();
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

/// Waits at most `wait` for a sequence above `after` and returns the head with it.
///
/// The head is sent as a delta if the one that `after` names is still kept.
async fn newer_head(core: &Arc<Core>, after: u64, wait: Duration) -> Frame {
    let mut sequence = core.active_bundle.subscribe();
    // On timeout, the answer carries the current sequence and no head.
    let _ = timeout(wait, sequence.wait_for(|s| *s > after)).await;
    let current = core.in_force();
    let sequence = current.as_ref().map_or(0, |c| c.head.sequence);
    if let (Some(current), Some(past)) = (&current, core.active_bundle.past_head(after))
        && sequence > after
    {
        let delta = Delta::between(&past, &current.head);
        let delta = serde_json::to_string(&delta).expect("a delta is always serializable");
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
    let requested = hashes.iter().take(MAX_PARTS);
    let texts = requested.filter_map(|hash| current.parts.get(hash).cloned());
    Frame::Parts {
        texts: texts.collect(),
    }
}

fn loads(core: &Core) -> Vec<wire::Load> {
    let now = core.now();
    let entries = core.fleet.entries();
    let reported = entries.iter().filter(|e| e.report.is_some());
    let load = |e: &crate::fleet::Entry| wire::Load {
        upstream: e.host.name.clone(),
        age: now.since(e.load_at),
        running: e.load.running,
        waiting: e.load.waiting,
    };
    reported.map(load).collect()
}
