//! What replicas say of themselves in answers and nowhere else: that they leave, and that they want rest. Checked from what
//! each replica recorded.

use crate::host::Host;
use crate::site::Site;
use hyper::header::HeaderValue;
use platform_standin::replica::{Replica, SentSignal, Signal, Signals};
use rand::RngExt;
use rand::rngs::SmallRng;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Steps of which one changes what a replica says.
const STEPS_PER_CHANGE: u32 = 3;

/// Changes of which one lets a replica leave.
const CHANGES_PER_DEPARTURE: u32 = 4;

/// Seconds for which replicas ask, and values that are no time.
const RESTS: [&str; 8] = ["0.3", "0.7", "1", "2.5", "4", "NaN", "-1", "in a while"];

/// Time after the word that it leaves in which a replica may get requests of a host.
const LEAVING: Duration = Duration::from_millis(2_000);

/// Time after a refusal in which requests may come that were on their way, and the requests that may come later.
const ON_THEIR_WAY: Duration = Duration::from_millis(500);
const MOST_IN_A_REST: usize = 2;

/// Field by which a replica tells hosts apart.
pub fn field(host: SocketAddr) -> HeaderValue {
    let text = host.to_string();
    HeaderValue::from_str(&text).expect("an address can stand in a header")
}

/// Changes, now and then, what a replica says in its answers; gives one that leaves by its word alone, in whose place another
/// is to be started.
pub fn change(site: &Site, rng: &mut SmallRng) -> Option<usize> {
    let at = rng.random_range(0..site.replicas.len());
    let rest = RESTS[rng.random_range(0..RESTS.len())];
    let departs = rng.random_ratio(1, CHANGES_PER_DEPARTURE);
    if !rng.random_ratio(1, STEPS_PER_CHANGE) {
        return None;
    }
    let replica = &site.replicas[at];
    let before = replica.signals();
    let leaves = before.leaving || departs;
    let rests = before.backoff.is_none() && !departs;
    replica.set_signals(Signals {
        leaving: leaves,
        backoff: rests.then(|| rest.to_owned()),
    });
    (leaves && !before.leaving && replica.announced_departure_at().is_none()).then_some(at)
}

/// Lets all replicas take requests again.
pub fn end_rests(site: &Site) {
    for replica in &site.replicas {
        let words = replica.signals();
        replica.set_signals(Signals {
            backoff: None,
            ..words
        });
    }
}

/// What hosts sent to replicas that had told them that they leave, or asked them for rest.
pub fn check(site: &Site) -> Vec<String> {
    let mut violations = Vec::new();
    for replica in &site.replicas {
        let said = replica.sent_signals();
        for host in &site.hosts {
            let name = host.callers.to_string();
            let said: Vec<&SentSignal> = said.iter().filter(|asked| asked.host == name).collect();
            violations.extend(leaving(replica, host, &said));
            violations.extend(said.iter().filter_map(|asked| rest(replica, host, asked)));
        }
    }
    violations
}

/// Requests that a replica got from a host between two moments, up to the next start of either.
fn arrived(
    replica: &Replica,
    host: &Host,
    told: Instant,
    from: Instant,
    to: Option<Instant>,
) -> usize {
    let starts = replica
        .restarts()
        .into_iter()
        .chain(host.disturbed.iter().copied());
    let end = starts.filter(|at| *at > told).chain(to).min();
    let arrivals = replica.arrivals_from(&host.callers.to_string()).into_iter();
    let within = |at: &Instant| *at > from && end.is_none_or(|end| *at < end);
    arrivals.filter(within).count()
}

fn leaving(replica: &Replica, host: &Host, said: &[&SentSignal]) -> Option<String> {
    let words = said
        .iter()
        .filter(|asked| asked.signal == Signal::Departure);
    let late = words.map(|told| arrived(replica, host, told.at, told.at + LEAVING, None));
    let late = late.max().filter(|late| *late > 0)?;
    let (id, name) = (&replica.options.id, &host.name);
    Some(format!(
        "{late} requests reached replica {id} from {name} long after it had told that it leaves"
    ))
}

fn rest(replica: &Replica, host: &Host, asked: &SentSignal) -> Option<String> {
    let Signal::Backoff(seconds) = asked.signal else {
        return None;
    };
    let time = Duration::try_from_secs_f64(seconds).ok()?;
    let count = arrived(
        replica,
        host,
        asked.at,
        asked.at + ON_THEIR_WAY,
        Some(asked.at + time),
    );
    let (id, name) = (&replica.options.id, &host.name);
    (count > MOST_IN_A_REST).then(|| {
        format!("{count} requests reached replica {id} from {name} in a rest of {seconds} s")
    })
}
