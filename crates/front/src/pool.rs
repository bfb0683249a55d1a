//! Kept connections to replicas, by incarnation.
//!
//! A connection is trusted by its idle age: a request that may be repeated takes one until shortly
//! before the replica closes it; one that may not takes only one that was used a moment ago, since
//! a connection that closes meanwhile leaves its outcome unknown.

use conn::{Error, Line};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use unit::{Name, Span, Time};

/// Idle age up to which a connection carries a request that may not be repeated.
const FRESH: Span = Span::from_ms(800);

/// Idle time of a connection whose replica does not say how long it keeps one.
const KEPT: Duration = Duration::from_secs(4);

/// Time before the replica's own limit at which a connection is no longer used.
const MARGIN: Duration = Duration::from_millis(1_000);

/// Time allowed to open a connection: a lost opening packet is sent again after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_200);

/// Idle connections kept for one replica.
const KEPT_PER_REPLICA: usize = 24;

struct Idle {
    line: Line,
    since: Time,
    until: Time,
}

/// Pool of connections to replicas.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<Name, Vec<Idle>>>,
}

impl Pool {
    /// Takes a kept connection that may carry such a request.
    pub fn take(&self, replica: &str, repeatable: bool, now: Time) -> Option<Line> {
        let mut idle = self.idle.lock();
        let lines = idle.get_mut(replica)?;
        lines.retain(|kept| kept.until > now && kept.line.is_idle());
        // The one used last stands last.
        let newest = lines.last()?;
        if !repeatable && now.since(newest.since) > FRESH {
            return None;
        }
        lines.pop().map(|kept| kept.line)
    }

    /// Opens a connection.
    pub async fn open(&self, addr: SocketAddr, left: Duration) -> Result<Line, Error> {
        Line::open(addr, CONNECT_LIMIT.min(left)).await
    }

    /// Gives a connection back once its answer was read whole.
    pub fn give(&self, replica: &Name, line: Line, keeps_for: Option<Duration>, now: Time) {
        let keeps_for = keeps_for.unwrap_or(KEPT + MARGIN);
        let Some(until) = keeps_for
            .checked_sub(MARGIN)
            .map(|left| now + Span::from(left))
        else {
            return;
        };
        let mut idle = self.idle.lock();
        let lines = idle.entry(replica.clone()).or_default();
        if lines.len() < KEPT_PER_REPLICA {
            lines.push(Idle {
                line,
                since: now,
                until,
            });
        }
    }

    /// Closes the connections to a replica that is gone or has failed.
    pub fn close_all(&self, replica: &str) {
        self.idle.lock().remove(replica);
    }

    /// Closes connections that are too old to be used.
    pub fn close_expired(&self, now: Time) {
        let mut idle = self.idle.lock();
        for lines in idle.values_mut() {
            lines.retain(|kept| kept.until > now && kept.line.is_idle());
        }
        idle.retain(|_, lines| !lines.is_empty());
    }
}
