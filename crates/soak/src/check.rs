//! Checks of the daemons' guarantees, from what callers and replicas recorded.

use crate::accounts::{self, Caller};
use crate::brittle;
use crate::client::{Outcome, REQUEST_TIMEOUT, TIMEOUT_TOLERANCE};
use crate::host::{Host, MEMORY_MB};
use crate::segments;
use crate::signals;
use crate::site::Site;
use platform_standin::replica::Replica;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time after a replica announces its departure from which it must get no new requests.
const DEPARTURE_BOUND: Duration = Duration::from_millis(2_000);

/// Time without a disturbance that a bound requires before it is checked.
const QUIET_PERIOD: Duration = Duration::from_millis(3_000);

/// Statuses that guarantee that a request has not run.
pub const NOT_RUN_STATUSES: [u16; 5] = [401, 408, 421, 429, 503];

/// Fraction of requests that must succeed once all faults are over.
const MIN_SUCCESS_RATIO: f64 = 0.9;

/// All violations of a run; `settled_at` is when the site had had its time to recover from the last fault.
pub fn all(outcomes: &[Outcome], site: &Site, settled_at: Instant) -> Vec<String> {
    let replicas = &site.replicas;
    let mut violations = Vec::new();
    for outcome in outcomes {
        let ran: u32 = replicas
            .iter()
            .map(|r| r.request_log(&outcome.id).runs)
            .sum();
        let ended = outcome.sent + outcome.elapsed;
        let paused = site.pauses.iter().filter(|p| p.host == outcome.host);
        let paused: Duration = paused.map(|p| p.overlap(outcome.sent, ended)).sum();
        violations.extend(check_request(outcome, ran, paused));
    }
    violations.extend(replicas.iter().filter_map(check_memory));
    violations.extend(site.hosts.iter().filter_map(check_host_memory));
    violations.extend(
        replicas
            .iter()
            .filter_map(|r| check_departure(r, &site.disturbances)),
    );
    violations.extend(replicas.iter().filter_map(|r| check_rate_limit(site, r)));
    violations.extend(signals::check(site));
    violations.extend(check_fencing_tokens(replicas));
    violations.extend(accounts::check(outcomes, replicas, &site.config_written));
    violations.extend(check_crashes(replicas, settled_at));
    violations.extend(segments::check(replicas, &site.disturbances, QUIET_PERIOD));
    violations.extend(brittle::check(replicas, settled_at));
    violations.extend(check_recovery(outcomes, settled_at));
    violations
}

/// Violations of one request that replicas ran `ran` times. `paused` is how long its host was paused
/// meanwhile; the bound on the response time is extended by it.
pub fn check_request(outcome: &Outcome, ran: u32, paused: Duration) -> Vec<String> {
    let mut violations = Vec::new();
    let Outcome { id, kind, .. } = outcome;
    if let Some(mismatch) = &outcome.mismatch {
        violations.push(format!("request {id} ({kind:?}) got {mismatch}"));
    }
    if NOT_RUN_STATUSES.contains(&outcome.status) && ran > 0 {
        violations.push(format!(
            "request {id} ({kind:?}) ran although its status says that it did not"
        ));
    }
    if !kind.is_idempotent() && ran > 1 {
        violations.push(format!("request {id} ({kind:?}) ran {ran} times"));
    }
    if outcome.connected && outcome.elapsed > REQUEST_TIMEOUT + TIMEOUT_TOLERANCE + paused {
        let (ms, paused) = (outcome.elapsed.as_millis(), paused.as_millis());
        violations.push(format!(
            "request {id} ({kind:?}) took {ms} ms, during {paused} ms of which its host was paused"
        ));
    }
    violations
}

/// Reports requests that reached a replica later than `DEPARTURE_BOUND` after it announced its departure, unless there was
/// a disturbance between `QUIET_PERIOD` before the announcement and the request.
fn check_departure(replica: &Replica, disturbances: &[Instant]) -> Option<String> {
    let departed_at = replica.announced_departure_at()?;
    let is_disturbed = |at: Instant| {
        let from = departed_at.checked_sub(QUIET_PERIOD).unwrap_or(departed_at);
        disturbances.iter().any(|d| (from..=at).contains(d))
    };
    let late = replica
        .arrivals_after(departed_at + DEPARTURE_BOUND)
        .into_iter()
        .filter(|at| !is_disturbed(*at))
        .count();
    let id = &replica.options.id;
    (late > 0).then(|| format!("{late} requests reached replica {id} more than {DEPARTURE_BOUND:?} after it announced its departure"))
}

/// Window in which requests to a replica with a rate limit are counted.
const RATE_WINDOW: Duration = Duration::from_secs(4);

/// Allowed arrivals in a window: 1.5 times the limit, and 5 that were in flight when it changed.
fn max_arrivals(rate: f64) -> usize {
    (rate * RATE_WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Reports a window in which a replica got more requests than its rate limit allows, if the limit was advertised at
/// least `QUIET_PERIOD` before the window and there was no disturbance from `QUIET_PERIOD` before that to its end.
fn check_rate_limit(site: &Site, replica: &Replica) -> Option<String> {
    let arrivals = replica.arrivals_after(site.config_written[0]);
    let limits = replica.rate_limits();
    let is_disturbed = |from: Instant, to: Instant| {
        let from = from.checked_sub(QUIET_PERIOD).unwrap_or(from);
        site.disturbances.iter().any(|d| (from..=to).contains(d))
    };
    let excess = arrivals.iter().enumerate().find_map(|(i, end)| {
        let begin = end.checked_sub(RATE_WINDOW)?;
        let known_since = begin.checked_sub(QUIET_PERIOD)?;
        let before = limits.iter().rposition(|(at, _)| *at <= known_since)?;
        let until = limits.partition_point(|(at, _)| at <= end);
        let rates = limits[before..until]
            .iter()
            .map(|(_, advertised)| advertised.as_ref()?.parse().ok());
        let rate = rates.reduce(|a, b: Option<f64>| Some(a?.max(b?)))??;
        let count = arrivals[..=i].iter().filter(|at| **at > begin).count();
        (count > max_arrivals(rate) && !is_disturbed(known_since, *end)).then_some((count, rate))
    });
    let id = &replica.options.id;
    excess.map(|(count, rate)| {
        format!("{count} requests reached replica {id} in {RATE_WINDOW:?}; its rate limit is {rate} per second")
    })
}

fn check_host_memory(host: &Host) -> Option<String> {
    let peak = host.peak_memory_mb().filter(|mb| *mb > MEMORY_MB)?;
    let name = &host.name;
    Some(format!(
        "host {name} had {peak} MB resident; it has {MEMORY_MB}"
    ))
}

fn check_memory(replica: &Replica) -> Option<String> {
    let id = &replica.options.id;
    replica
        .is_overcommitted()
        .then(|| format!("replica {id} was ordered to load more than its memory holds"))
}

/// Reports fencing tokens under which two holders issued orders.
fn check_fencing_tokens(replicas: &[Replica]) -> Vec<String> {
    let mut holders: HashMap<u64, String> = HashMap::new();
    let mut violations = Vec::new();
    for order in replicas.iter().flat_map(Replica::orders) {
        let (token, holder) = platform_standin::replica::issuer(&order);
        let first = holders.entry(token).or_insert_with(|| holder.clone());
        if *first != holder {
            violations.push(format!(
                "{first} and {holder} both issued orders under fencing token {token}"
            ));
        }
    }
    violations
}

/// Reports replicas that the fatal request or segments still crashed after all faults were over.
fn check_crashes(replicas: &[Replica], settled_at: Instant) -> Option<String> {
    let crashes: Vec<Instant> = replicas.iter().flat_map(Replica::crashes).collect();
    let late = crashes.iter().filter(|at| **at > settled_at).count();
    let all = crashes.len();
    (late > 0).then(|| {
        format!("fatal requests and segments crashed replicas {late} times after all faults were over, {all} times in all")
    })
}

fn check_recovery(outcomes: &[Outcome], settled_at: Instant) -> Option<String> {
    let steady = outcomes.iter().filter(|t| t.caller == Caller::Steady);
    let after: Vec<&Outcome> = steady.filter(|t| t.sent > settled_at).collect();
    let succeeded = after.iter().filter(|t| t.status == 200).count();
    let enough = succeeded as f64 >= after.len() as f64 * MIN_SUCCESS_RATIO && !after.is_empty();
    let count = after.len();
    (!enough)
        .then(|| format!("after all faults were over, {succeeded} of {count} requests succeeded"))
}
