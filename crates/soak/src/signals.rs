//! Departure and backoff signals that replicas send only in responses, and the check that hosts obey them.

use crate::host::Host;
use crate::site::Site;
use hyper::header::HeaderValue;
use platform_standin::replica::{Replica, SentSignal, Signal, Signals};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Average number of steps between two changes of a replica's signals.
const STEPS_PER_CHANGE: u32 = 3;

/// Average number of changes between two departures.
const CHANGES_PER_DEPARTURE: u32 = 4;

/// Backoff values that replicas send, in seconds; some are invalid.
const BACKOFFS: [&str; 8] = ["0.3", "0.7", "1", "2.5", "4", "NaN", "-1", "in a while"];

/// Time after a departure signal in which the host may still send requests.
const DEPARTURE_BOUND: Duration = Duration::from_millis(2_000);

/// Time after a backoff signal in which requests that were in flight may arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Requests that may arrive later during a backoff.
const MAX_IN_BACKOFF: usize = 2;

/// Value of the header by which replicas tell hosts apart.
pub fn host_header(host: SocketAddr) -> HeaderValue {
    let text = host.to_string();
    HeaderValue::from_str(&text).expect("a socket address is a valid header value")
}

/// Randomly changes the signals of a replica. Returns the index of one that now departs by signal alone; the caller has to
/// replace it.
pub fn change(site: &Site, rng: &mut SmallRng) -> Option<usize> {
    let at = rng.random_range(0..site.replicas.len());
    let backoff = BACKOFFS[rng.random_range(0..BACKOFFS.len())];
    let departs = rng.random_ratio(1, CHANGES_PER_DEPARTURE);
    if !rng.random_ratio(1, STEPS_PER_CHANGE) {
        return None;
    }
    let replica = &site.replicas[at];
    let previous = replica.signals();
    let leaving = previous.leaving || departs;
    let backs_off = previous.backoff.is_none() && !departs;
    replica.set_signals(Signals {
        leaving,
        backoff: backs_off.then(|| backoff.to_owned()),
    });
    (leaving && !previous.leaving && replica.announced_departure_at().is_none()).then_some(at)
}

/// Clears the backoff signals of all replicas.
pub fn clear_backoffs(site: &Site) {
    for replica in &site.replicas {
        let signals = replica.signals();
        replica.set_signals(Signals {
            backoff: None,
            ..signals
        });
    }
}

/// Violations of departure and backoff signals, for each replica and host.
pub fn check(site: &Site) -> Vec<String> {
    let mut violations = Vec::new();
    for replica in &site.replicas {
        let sent_signals = replica.sent_signals();
        for host in &site.hosts {
            let name = host.caller_addr.to_string();
            // Replicas know the host that a caller asked, not the one that sent its request in its place.
            let sent_signals: Vec<&SentSignal> = sent_signals
                .iter()
                .filter(|sent| sent.host == name && !host.was_cut(sent.at))
                .collect();
            violations.extend(check_departure(replica, host, &sent_signals));
            violations.extend(
                sent_signals
                    .iter()
                    .filter_map(|sent| check_backoff(replica, host, sent)),
            );
        }
    }
    violations
}

/// Requests that a replica got from a host between `from` and `to`, up to the next restart of the replica or disturbance of
/// the host after `sent_at`.
fn count_arrivals(
    replica: &Replica,
    host: &Host,
    sent_at: Instant,
    from: Instant,
    to: Option<Instant>,
) -> usize {
    let starts = replica
        .restarts()
        .into_iter()
        .chain(host.disturbances.iter().copied());
    let end = starts.filter(|at| *at > sent_at).chain(to).min();
    let arrivals = replica
        .arrivals_from(&host.caller_addr.to_string())
        .into_iter();
    let within = |at: &Instant| *at > from && end.is_none_or(|end| *at < end);
    arrivals.filter(within).count()
}

fn check_departure(replica: &Replica, host: &Host, sent_signals: &[&SentSignal]) -> Option<String> {
    let departures = sent_signals
        .iter()
        .filter(|sent| sent.signal == Signal::Departure);
    let late = departures
        .map(|sent| count_arrivals(replica, host, sent.at, sent.at + DEPARTURE_BOUND, None));
    let late = late.max().filter(|late| *late > 0)?;
    let (id, name) = (&replica.options.id, &host.name);
    Some(format!(
        "{late} requests reached replica {id} from {name} more than {DEPARTURE_BOUND:?} after its departure signal"
    ))
}

fn check_backoff(replica: &Replica, host: &Host, sent: &SentSignal) -> Option<String> {
    let Signal::Backoff(seconds) = sent.signal else {
        return None;
    };
    let time = Duration::try_from_secs_f64(seconds).ok()?;
    let count = count_arrivals(
        replica,
        host,
        sent.at,
        sent.at + IN_FLIGHT_TIME,
        Some(sent.at + time),
    );
    let (id, name) = (&replica.options.id, &host.name);
    (count > MAX_IN_BACKOFF).then(|| {
        format!("{count} requests reached replica {id} from {name} during a backoff of {seconds} s")
    })
}
