//! Whether this daemon can still confirm that its bundle is the newest.

use parking_lot::Mutex;
use unit::{Span, Time};

/// Time after which a head that nobody confirmed is said to be unconfirmed.
const CONFIRMATION_TTL: Span = Span::from_secs(15);

/// Last confirmations of the head.
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
    /// The key-value service answered a watch.
    pub fn record_service(&self, now: Time) {
        self.last.lock().service = Some(now);
    }

    /// A peer answered with a head that is no older.
    pub fn record_peer(&self, now: Time) {
        self.last.lock().peer = Some(now);
    }

    /// Whether the service answered lately.
    pub fn is_service_reachable(&self, now: Time) -> bool {
        is_recent(self.last.lock().service, now)
    }

    /// Whether the head was confirmed lately by anybody.
    pub fn is_confirmed(&self, now: Time) -> bool {
        let last = *self.last.lock();
        is_recent(last.service, now) || is_recent(last.peer, now)
    }
}

fn is_recent(at: Option<Time>, now: Time) -> bool {
    at.is_some_and(|at| now.since(at) < CONFIRMATION_TTL)
}
