//! Confirmations that the active bundle is the newest.

use parking_lot::Mutex;
use unit::{Span, Time};

/// Time for which a confirmation counts.
const CONFIRMATION_TTL: Span = Span::from_secs(15);

/// Times of the last confirmations that the active bundle is the newest.
#[derive(Default)]
pub struct Freshness {
    last: Mutex<Last>,
}

#[derive(Default, Clone, Copy)]
struct Last {
    service: Option<Time>,
    peer: Option<Time>,
}

impl Freshness {
    /// Records that the key-value service answered a watch.
    pub fn record_service(&self, now: Time) {
        self.last.lock().service = Some(now);
    }

    /// Records that a peer answered with a sequence that is no lower.
    pub fn record_peer(&self, now: Time) {
        self.last.lock().peer = Some(now);
    }

    /// Whether the key-value service answered a watch within [`CONFIRMATION_TTL`].
    pub fn is_service_reachable(&self, now: Time) -> bool {
        is_recent(self.last.lock().service, now)
    }

    /// Whether the service or a peer confirmed the bundle within [`CONFIRMATION_TTL`].
    pub fn is_confirmed(&self, now: Time) -> bool {
        let last = *self.last.lock();
        is_recent(last.service, now) || is_recent(last.peer, now)
    }
}

fn is_recent(at: Option<Time>, now: Time) -> bool {
    at.is_some_and(|at| now.since(at) < CONFIRMATION_TTL)
}
