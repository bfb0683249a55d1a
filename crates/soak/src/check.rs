//! The promises, checked from what callers and replicas saw.

use crate::accounts::{self, Caller};
use crate::client::{HELD, PATIENCE, Told};
use crate::signals;
use crate::site::Site;
use platform_standin::replica::Replica;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time within which a leaving replica must get no new work.
const LEAVING: Duration = Duration::from_millis(2_000);

/// Time without any disturbance before its leaving for which that bound counts.
const UNDISTURBED: Duration = Duration::from_millis(3_000);

/// Statuses that promise that a request has not run.
pub const PROMISES: [u16; 3] = [401, 429, 503];

/// Share of the requests in peace that must be answered whole.
const RECOVERED: f64 = 0.9;

/// All violations of a play; `peace` is when all faults were over and recovery had its time.
pub fn all(told: &[Told], site: &Site, peace: Instant) -> Vec<String> {
    let replicas = &site.replicas;
    let mut violations = Vec::new();
    for one in told {
        let ran: u32 = replicas.iter().map(|r| r.request_log(&one.id).runs).sum();
        let ended = one.sent + one.took;
        let paused = site.pauses.iter().filter(|p| p.host == one.host);
        let paused: Duration = paused.map(|p| p.within(one.sent, ended)).sum();
        violations.extend(request(one, ran, paused));
    }
    violations.extend(replicas.iter().filter_map(memory));
    violations.extend(replicas.iter().filter_map(|r| leaving(r, &site.disturbed)));
    violations.extend(replicas.iter().filter_map(|r| limit(site, r)));
    violations.extend(signals::check(site));
    violations.extend(tokens(replicas));
    violations.extend(accounts::check(told, replicas, &site.written));
    violations.extend(stopped(replicas, peace));
    violations.extend(recovery(told, peace));
    violations
}

/// What is broken about one request that ran so many times, and whose host was paused so long
/// meanwhile: a process that stands still answers nothing.
pub fn request(told: &Told, ran: u32, paused: Duration) -> Vec<String> {
    let mut violations = Vec::new();
    let Told { id, kind, .. } = told;
    if let Some(wrong) = &told.wrong {
        violations.push(format!("request {id} ({kind:?}) got {wrong}"));
    }
    if PROMISES.contains(&told.status) && ran > 0 {
        violations.push(format!(
            "request {id} ({kind:?}) ran, and was told not to have"
        ));
    }
    if !kind.is_repeatable() && ran > 1 {
        violations.push(format!("request {id} ({kind:?}) ran {ran} times"));
    }
    if told.connected && told.took > PATIENCE + HELD + paused {
        let (ms, paused) = (told.took.as_millis(), paused.as_millis());
        violations.push(format!(
            "request {id} ({kind:?}) was held for {ms} ms, in {paused} of which its host was paused"
        ));
    }
    violations
}

/// Whether a replica got new work long after it announced its leaving, with nothing in the way.
fn leaving(replica: &Replica, disturbed: &[Instant]) -> Option<String> {
    let left = replica.announced_departure_at()?;
    let in_the_way = |at: Instant| {
        let from = left.checked_sub(UNDISTURBED).unwrap_or(left);
        disturbed.iter().any(|d| (from..=at).contains(d))
    };
    let late = replica
        .arrivals_after(left + LEAVING)
        .into_iter()
        .filter(|at| !in_the_way(*at))
        .count();
    let id = &replica.options.id;
    (late > 0).then(|| format!("{late} requests reached replica {id} long after it left"))
}

/// Window in which requests to a replica in need are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// The most that may arrive in a window: half more than the replica takes, and some that cross the news.
fn most(rate: f64) -> usize {
    (rate * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Whether a replica got more than it takes in some window, with nothing in the way and the limit known.
fn limit(site: &Site, replica: &Replica) -> Option<String> {
    let arrivals = replica.arrivals_after(site.written[0]);
    let limits = replica.rate_limits();
    let in_the_way = |from: Instant, to: Instant| {
        let from = from.checked_sub(UNDISTURBED).unwrap_or(from);
        site.disturbed.iter().any(|d| (from..=to).contains(d))
    };
    let broken = arrivals.iter().enumerate().find_map(|(i, end)| {
        let begin = end.checked_sub(WINDOW)?;
        let known = begin.checked_sub(UNDISTURBED)?;
        let before = limits.iter().rposition(|(at, _)| *at <= known)?;
        let until = limits.partition_point(|(at, _)| at <= end);
        let rates = limits[before..until]
            .iter()
            .map(|(_, named)| named.as_ref()?.parse().ok());
        let rate = rates.reduce(|a, b: Option<f64>| Some(a?.max(b?)))??;
        let count = arrivals[..=i].iter().filter(|at| **at > begin).count();
        (count > most(rate) && !in_the_way(known, *end)).then_some((count, rate))
    });
    let id = &replica.options.id;
    broken.map(|(count, rate)| {
        format!("{count} requests reached replica {id} in 4 s, which takes {rate} a second")
    })
}

fn memory(replica: &Replica) -> Option<String> {
    let id = &replica.options.id;
    replica
        .is_overcommitted()
        .then(|| format!("replica {id} was told to hold more than it can"))
}

/// A fencing token is one holder's only.
fn tokens(replicas: &[Replica]) -> Vec<String> {
    let mut holders: HashMap<u64, String> = HashMap::new();
    let mut violations = Vec::new();
    for order in replicas.iter().flat_map(Replica::orders) {
        let (token, holder) = platform_standin::replica::issuer(&order);
        let first = holders.entry(token).or_insert_with(|| holder.clone());
        if *first != holder {
            violations.push(format!(
                "{first} and {holder} gave orders under token {token}"
            ));
        }
    }
    violations
}

/// A request that has ended replicas ends none any more.
fn stopped(replicas: &[Replica], peace: Instant) -> Option<String> {
    let falls: Vec<Instant> = replicas.iter().flat_map(Replica::crashes).collect();
    let late = falls.iter().filter(|at| **at > peace).count();
    let all = falls.len();
    (late > 0).then(|| {
        format!("a request ended {late} replicas after all faults, {all} with those before")
    })
}

fn recovery(told: &[Told], peace: Instant) -> Option<String> {
    let steady = told.iter().filter(|t| t.caller == Caller::Steady);
    let after: Vec<&Told> = steady.filter(|t| t.sent > peace).collect();
    let whole = after.iter().filter(|t| t.status == 200).count();
    let enough = whole as f64 >= after.len() as f64 * RECOVERED && !after.is_empty();
    let count = after.len();
    (!enough).then(|| format!("after all faults {whole} of {count} requests were answered whole"))
}
