//! Pool of idle connections to replicas.
//!
//! A repeatable request may use a connection until shortly before the replica closes it. Any other
//! request uses only one that was used very recently: if the replica closes a connection while a
//! request is sent, its outcome is unknown. It should use none if the replica has lately answered
//! without naming a request ([`Pool::answers_unnamed`]): a refusal of that kind proves nothing on a
//! connection that has carried another request.

use conn::{Connection, Error};
use parking_lot::Mutex;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use unit::{Name, Span, Time};

/// Idle time up to which a connection may carry a request that is not repeatable.
const MAX_IDLE_UNREPEATABLE: Span = Span::from_ms(800);

/// Keep-alive time of a replica that does not announce one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Margin before the end of the keep-alive time at which a connection is no longer used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_000);

/// Timeout for opening a connection; hosts and replicas are milliseconds apart. A lost SYN is retransmitted only after
/// one second: another replica or host is faster.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Most idle connections kept for one replica.
const MAX_IDLE_PER_REPLICA: usize = 24;

/// Most requests that may be refused on one connection; it is closed after the last.
const MAX_REFUSED: usize = 8;

/// Time after an answer that names no request in which others of that kind are expected.
const UNNAMED_TIMEOUT: Span = Span::from_secs(10);

/// Connection, and what it has carried.
pub struct Line {
    pub connection: Connection,
    /// Request that it carried last; none if it has carried none.
    pub last: Option<Name>,
    /// Requests that were refused on it.
    refused: Vec<Name>,
}

struct Idle {
    line: Line,
    since: Time,
    until: Time,
}

impl Line {
    pub fn new(connection: Connection) -> Line {
        Line {
            connection,
            last: None,
            refused: Vec::new(),
        }
    }

    /// Records an answer that names its request.
    pub fn record(&mut self, request: &Name, is_refusal: bool) {
        self.last = Some(request.clone());
        if is_refusal {
            self.refused.push(request.clone());
        }
    }

    /// Whether it has carried no request before.
    pub fn is_first(&self) -> bool {
        self.last.is_none()
    }

    /// Whether it is known to have carried the request: an answer to it is then a copy of one that was read before.
    pub fn has_carried(&self, request: &str) -> bool {
        let mut known = self.last.iter().chain(&self.refused);
        known.any(|carried| &**carried == request)
    }

    /// Whether it may carry the request. A replica may send an answer once more, late: a copy of the refusal would pass
    /// for the answer to the next send of its request.
    fn may_carry(&self, request: &Name) -> bool {
        !self.refused.contains(request)
    }
}

impl Idle {
    fn is_usable(&self, now: Time) -> bool {
        self.until > now && self.line.connection.is_reusable()
    }
}

/// What an answer that names no request tells about.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Scope {
    /// The first answer on a connection is the replica's to this request: others of its service answer alike.
    Service(Name),
    /// Any other may be bytes that a faulty replica sends after a whole answer.
    Replica(Name),
}

/// Idle connections by replica.
#[derive(Default)]
pub struct Pool {
    idle: Mutex<HashMap<Name, Vec<Idle>>>,
    /// When answers that name no request came last.
    unnamed: Mutex<HashMap<Scope, Time>>,
}

impl Pool {
    /// Takes the most recently used idle connection that may carry the request.
    pub fn take(
        &self,
        replica: &str,
        request: &Name,
        is_idempotent: bool,
        now: Time,
    ) -> Option<Line> {
        let mut idle = self.idle.lock();
        let lines = idle.get_mut(replica)?;
        lines.retain(|idle_line| idle_line.is_usable(now));
        // The most recently used connection is last.
        let newest = lines
            .iter()
            .rposition(|idle| idle.line.may_carry(request))?;
        if !is_idempotent && now.since(lines[newest].since) > MAX_IDLE_UNREPEATABLE {
            return None;
        }
        Some(lines.remove(newest).line)
    }

    /// Records an answer that names no request.
    pub fn record_unnamed(&self, scope: Scope, now: Time) {
        self.unnamed.lock().insert(scope, now);
    }

    /// Whether answers that name no request are expected from a replica of a service.
    pub fn answers_unnamed(&self, service: &Name, replica: &Name, now: Time) -> bool {
        let unnamed = self.unnamed.lock();
        let scopes = [
            Scope::Service(service.clone()),
            Scope::Replica(replica.clone()),
        ];
        let mut last = scopes.iter().filter_map(|scope| unnamed.get(scope));
        last.any(|at| now.since(*at) < UNNAMED_TIMEOUT)
    }

    pub async fn open(&self, addr: SocketAddr, remaining: Duration) -> Result<Connection, Error> {
        Connection::open(addr, CONNECT_TIMEOUT.min(remaining)).await
    }

    /// Returns a connection after its answer was read completely.
    pub fn give(&self, replica: &Name, line: Line, keeps_for: Option<Duration>, now: Time) {
        let keeps_for = keeps_for.unwrap_or(DEFAULT_KEEP_ALIVE + KEEP_ALIVE_MARGIN);
        let Some(until) = keeps_for
            .checked_sub(KEEP_ALIVE_MARGIN)
            .map(|remaining| now + Span::from(remaining))
        else {
            return;
        };
        let mut idle = self.idle.lock();
        let lines = idle.entry(replica.clone()).or_default();
        if lines.len() < MAX_IDLE_PER_REPLICA && line.refused.len() < MAX_REFUSED {
            lines.push(Idle {
                line,
                since: now,
                until,
            });
        }
    }

    /// Closes all idle connections to a replica.
    pub fn close_all(&self, replica: &str) {
        self.idle.lock().remove(replica);
    }

    /// Closes connections that may no longer be used.
    pub fn close_expired(&self, now: Time) {
        let mut idle = self.idle.lock();
        for lines in idle.values_mut() {
            lines.retain(|idle_line| idle_line.is_usable(now));
        }
        idle.retain(|_, lines| !lines.is_empty());
        let is_recent = |at: &Time| now.since(*at) < UNNAMED_TIMEOUT;
        self.unnamed.lock().retain(|_, at| is_recent(at));
    }
}
