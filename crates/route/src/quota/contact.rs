//! Contact of the limiter with the hosts.

use super::FALLBACK_DURATION;
use std::collections::{HashMap, VecDeque};
use unit::{Name, Span, Time};

/// Time without a heartbeat after which a host is assumed to use its share; hosts report their load at least three times
/// per second.
const HEARTBEAT_TIMEOUT: Span = Span::from_ms(700);

/// Interval of the check for silent hosts.
const SILENCE_CHECK_INTERVAL: Span = Span::from_ms(100);

/// Heartbeats of hosts, and the times in which silent hosts may have used their shares.
#[derive(Debug, Default)]
pub(super) struct Contact {
    heartbeats: HashMap<Name, Heartbeats>,
    /// Silent hosts, with the time of their last heartbeat.
    silent: HashMap<Name, Time>,
    /// Silences that ended, ordered by the time at which that was recorded.
    ended: VecDeque<Silence>,
    /// Time of the last check for silent hosts.
    last_check: Time,
}

/// Heartbeats of one host.
#[derive(Debug, Clone, Copy)]
struct Heartbeats {
    last: Time,
    /// Time of the first heartbeat, or of the first one after a silence.
    since: Time,
}

/// Silence of a host that ended.
#[derive(Debug)]
struct Silence {
    host: Name,
    last_heartbeat: Time,
    ended_at: Time,
}

impl Contact {
    pub(super) fn record_heartbeat(&mut self, host: &Name, now: Time) {
        self.silent.remove(host);
        let first = Heartbeats {
            last: now,
            since: now,
        };
        match self.heartbeats.get_mut(host) {
            Some(known) if now.since(known.last) > HEARTBEAT_TIMEOUT => {
                self.ended.push_back(Silence {
                    host: host.clone(),
                    last_heartbeat: known.last,
                    ended_at: now,
                });
                *known = first;
            }
            Some(known) => known.last = now,
            None => {
                self.heartbeats.insert(host.clone(), first);
            }
        }
    }

    /// Start of the current contact with a host.
    pub(super) fn since(&self, host: &Name) -> Time {
        self.heartbeats.get(host).map_or(Time(0), |h| h.since)
    }

    /// Updates the silent hosts, and evicts those whose shares ended more than a window ago and the silences that ended
    /// longer ago than `retention`.
    pub(super) fn update_silent(&mut self, window: Span, retention: Span, now: Time) {
        if now.since(self.last_check) < SILENCE_CHECK_INTERVAL {
            return;
        }
        self.last_check = now;
        let eviction = HEARTBEAT_TIMEOUT + FALLBACK_DURATION + window;
        let evicted = self
            .heartbeats
            .extract_if(|_, h| now.since(h.last) >= eviction);
        self.ended.extend(evicted.map(|(host, h)| Silence {
            host,
            last_heartbeat: h.last,
            ended_at: now,
        }));
        let last = self.heartbeats.iter().map(|(host, h)| (host, h.last));
        let silent = last.filter(|(_, at)| now.since(*at) >= HEARTBEAT_TIMEOUT);
        self.silent = silent.map(|(host, at)| (host.clone(), at)).collect();
        let is_expired = |silence: &Silence| now.since(silence.ended_at) >= retention;
        while self.ended.front().is_some_and(is_expired) {
            self.ended.pop_front();
        }
    }

    /// Hosts that may have used their shares between two times, each with its last heartbeat before that and with the
    /// duration. `until` is the current time.
    pub(super) fn fallbacks(
        &self,
        from: Time,
        until: Time,
    ) -> impl Iterator<Item = (&Name, Time, Span)> {
        let ended = self.ended.iter().rev();
        let ended = ended
            .take_while(move |silence| silence.ended_at > from)
            .map(|silence| (&silence.host, silence.last_heartbeat, silence.ended_at));
        let silent = self.silent.iter().map(move |(host, at)| (host, *at, until));
        ended
            .chain(silent)
            .map(move |(host, last, end)| (host, last, overlap(fallback(last, end), (from, until))))
            .filter(|(_, _, duration)| *duration > Span::ZERO)
    }
}

/// Time in which a host may use its share, of which the limiter last heard at `last` and again at `end`.
fn fallback(last: Time, end: Time) -> (Time, Time) {
    let from = last + HEARTBEAT_TIMEOUT;
    (from, end.min(from + FALLBACK_DURATION))
}

/// Duration of the overlap of two periods.
pub(super) fn overlap(a: (Time, Time), b: (Time, Time)) -> Span {
    a.1.min(b.1).since(a.0.max(b.0))
}
