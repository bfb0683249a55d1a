//! Status of daemons on a platform, from the metrics endpoint of each.

use crate::error::Error;
use crate::render;
use conn::{Connection, Reply};
use futures::future::join_all;
use hyper::Request;
use hyper::header::HOST;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of connecting and of the request, each.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest response body accepted from a daemon, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Age of a daemon's key data that is reported as a finding, in milliseconds. Daemons that reach the
/// store or a reader stay below half of it.
const STALE_KEYS_MS: u64 = 3_000;

const PATH: &str = "/metrics";

/// Gauges of one daemon.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Daemon {
    /// Its metrics address.
    pub addr: SocketAddr,
    /// Why its metrics could not be read; `None` if they were read.
    pub unreachable: Option<String>,
    /// Version of the configuration that it applies.
    pub configuration: u64,
    /// Replicas in its view of the fleet.
    pub replicas: u64,
    /// Hosts known to the leader.
    pub hosts: u64,
    /// Whether it is the leader.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// Whether it cannot reach the store.
    #[serde(rename = "store_away")]
    pub store_unreachable: bool,
    pub in_flight: u64,
    /// Client accounts in its configuration; `None` if requests need no key.
    pub accounts: Option<u64>,
    /// Age of its key data, in milliseconds.
    pub keys_age_ms: Option<u64>,
    /// Requests that are quarantined, since they crash the replicas that run them.
    #[serde(rename = "kept_out")]
    pub quarantined: u64,
    /// Advertised rate limits by replica, in requests a second from all hosts together.
    #[serde(rename = "limits")]
    pub rate_limits: BTreeMap<String, f64>,
    /// Replicas that announced their departure in a response.
    #[serde(rename = "leaving")]
    pub departures: u64,
    /// Remaining backoff by replica that this host sends nothing to, in seconds.
    #[serde(rename = "rests")]
    pub backoffs: BTreeMap<String, f64>,
}

/// Fetches the metrics of all daemons concurrently; a failure is kept in [`Daemon::unreachable`].
pub async fn fetch_all(addrs: &[SocketAddr]) -> Vec<Daemon> {
    join_all(addrs.iter().map(|addr| fetch_one(*addr))).await
}

async fn fetch_one(addr: SocketAddr) -> Daemon {
    match get(addr).await {
        Ok(reply) => parse(addr, &String::from_utf8_lossy(&reply.body)),
        Err(error) => Daemon {
            unreachable: Some(error.to_string()),
            ..parse(addr, "")
        },
    }
}

async fn get(addr: SocketAddr) -> Result<Reply, conn::Error> {
    let mut request = Request::new(conn::Body::default());
    *request.uri_mut() = PATH.parse().expect("the path is a valid URI");
    let host = addr
        .to_string()
        .parse()
        .expect("a socket address is a valid host header");
    request.headers_mut().insert(HOST, host);
    let mut connection = Connection::open(addr, TIMEOUT).await?;
    connection
        .exchange(request, TIMEOUT, MAX_RESPONSE_BYTES)
        .await
}

/// Parses the gauges in a daemon's metrics; without a configuration version, the text is not a daemon's.
pub fn parse(addr: SocketAddr, text: &str) -> Daemon {
    let gauge = |name: &str| {
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value.and_then(|v| v.trim().parse::<f64>().ok())
    };
    let integer = |name| gauge(name).map(|value| value as u64);
    let missing = || "its answer has no metrics of coveford".to_owned();
    let configuration = integer("coveford_configuration_version ");
    Daemon {
        addr,
        unreachable: configuration.is_none().then(missing),
        configuration: configuration.unwrap_or_default(),
        replicas: integer("coveford_replicas ").unwrap_or_default(),
        hosts: integer("coveford_hosts ").unwrap_or_default(),
        is_leader: integer("coveford_leads ") == Some(1),
        store_unreachable: integer("coveford_store_away ") == Some(1),
        in_flight: integer("coveford_in_flight ").unwrap_or_default(),
        accounts: integer("coveford_accounts "),
        keys_age_ms: gauge("coveford_keys_age_seconds ").map(|s| (s * 1e3) as u64),
        quarantined: integer("coveford_requests_kept_out ").unwrap_or_default(),
        // A limit that no longer holds is exported as infinity, and a backoff as zero.
        rate_limits: by_replica(text, "coveford_replica_limit", f64::is_finite),
        departures: integer("coveford_leaving_replicas ").unwrap_or_default(),
        backoffs: by_replica(text, "coveford_replica_rest_seconds", |remaining| {
            remaining > 0.0
        }),
    }
}

/// Values of a gauge by replica, without those that `is_active` rejects.
fn by_replica(text: &str, gauge: &str, is_active: impl Fn(f64) -> bool) -> BTreeMap<String, f64> {
    let value = |line: &str| {
        let line = line.strip_prefix(gauge)?.strip_prefix("{replica=\"")?;
        let (replica, value) = line.split_once("\"} ")?;
        let value: f64 = value.trim().parse().ok()?;
        is_active(value).then(|| (replica.to_owned(), value))
    };
    text.lines().filter_map(value).collect()
}

/// Formats the daemons as a table.
pub fn table(daemons: &[Daemon]) -> String {
    let header = [
        "DAEMON",
        "CONFIGURATION",
        "REPLICAS",
        "HOSTS",
        "IN FLIGHT",
        "LEADS",
        "STORE",
        "ACCOUNTS",
        "KEYS AGE",
        "KEPT OUT",
        "IN NEED",
        "LEAVING",
        "RESTING",
    ];
    let rows = daemons.iter().map(row);
    render::table(header, rows.collect())
}

/// A daemon's address with its gauges, or with the reason why they could not be read.
fn row(daemon: &Daemon) -> [String; 13] {
    let addr = daemon.addr.to_string();
    if let Some(reason) = &daemon.unreachable {
        let mut row = [const { String::new() }; 13];
        row[0] = addr;
        row[1] = reason.clone();
        return row;
    }
    [
        addr,
        daemon.configuration.to_string(),
        daemon.replicas.to_string(),
        daemon.hosts.to_string(),
        daemon.in_flight.to_string(),
        if daemon.is_leader { "yes" } else { "" }.to_owned(),
        if daemon.store_unreachable {
            "away"
        } else {
            "there"
        }
        .to_owned(),
        daemon.accounts.map_or(String::new(), |n| n.to_string()),
        daemon
            .keys_age_ms
            .map_or(String::new(), |ms| format!("{ms} ms")),
        daemon.quarantined.to_string(),
        daemon.rate_limits.len().to_string(),
        daemon.departures.to_string(),
        daemon.backoffs.len().to_string(),
    ]
}

/// Problems that the gauges show across the daemons, a sentence each.
pub fn findings(daemons: &[Daemon]) -> Vec<String> {
    let answered: Vec<&Daemon> = daemons.iter().filter(|d| d.unreachable.is_none()).collect();
    let mut findings = Vec::new();
    let newest = answered.iter().map(|d| d.configuration).max().unwrap_or(0);
    let behind = answered.iter().filter(|d| d.configuration < newest).count();
    if behind > 0 {
        findings.push(format!(
            "{behind} of {} daemons are behind configuration {newest}; ask again in some seconds, then read their 'config' and 'store' lines.",
            answered.len()
        ));
    }
    let leaders = answered.iter().filter(|d| d.is_leader).count();
    if leaders != 1 && answered.len() == daemons.len() {
        findings.push(format!(
            "{leaders} of these daemons lead; one does where all were asked, some seconds after a change."
        ));
    }
    let unreachable = answered.iter().filter(|d| d.store_unreachable).count();
    if unreachable > 0 {
        findings.push(format!(
            "The store does not answer {unreachable} of them; they route on by what they knew."
        ));
    }
    let quarantined = answered.iter().map(|d| d.quarantined).max().unwrap_or(0);
    if quarantined > 0 {
        findings.push(format!(
            "{quarantined} requests are kept out, or prompts by their segments, since they ended each replica that ran them; the lines 'kept_out' of part 'quarantine' tell which."
        ));
    }
    for (replica, rate) in lowest_limits(&answered) {
        findings.push(format!(
            "Replica {replica} is in need: it takes {rate} requests a second from all hosts together; the lines of part 'limit' tell since when."
        ));
    }
    let departures = answered.iter().map(|d| d.departures).max().unwrap_or(0);
    if departures > 0 {
        findings.push(format!(
            "{departures} replicas have said in answers that they leave; the lines 'leaving' of part 'replica' tell which and since when."
        ));
    }
    for (replica, (hosts, longest)) in longest_backoffs(&answered) {
        findings.push(format!(
            "Replica {replica} wants nothing from {hosts} of {} daemons, for {longest:.1} s at the most; the lines 'rests' of part 'replica' tell what it asked for.",
            answered.len()
        ));
    }
    let has_stale_keys = |d: &&&Daemon| d.keys_age_ms.is_some_and(|ms| ms > STALE_KEYS_MS);
    let stale = answered.iter().filter(has_stale_keys).count();
    if stale > 0 {
        findings.push(format!(
            "{stale} of them last heard of keys over {} s ago; beyond 0.8 of the bound on withdrawals they refuse requests with keys.",
            STALE_KEYS_MS / 1_000
        ));
    }
    findings
}

/// Replicas with a rate limit, each with the lowest that any daemon knows.
fn lowest_limits(daemons: &[&Daemon]) -> BTreeMap<String, f64> {
    let mut limits: BTreeMap<String, f64> = BTreeMap::new();
    for (replica, rate) in daemons.iter().flat_map(|d| &d.rate_limits) {
        let lowest = limits.entry(replica.clone()).or_insert(*rate);
        *lowest = lowest.min(*rate);
    }
    limits
}

/// Replicas in backoff, each with the number of daemons that back off and the longest remaining time in seconds.
fn longest_backoffs(daemons: &[&Daemon]) -> BTreeMap<String, (usize, f64)> {
    let mut backoffs: BTreeMap<String, (usize, f64)> = BTreeMap::new();
    for (replica, remaining) in daemons.iter().flat_map(|d| &d.backoffs) {
        let (hosts, longest) = backoffs.entry(replica.clone()).or_default();
        *hosts += 1;
        *longest = longest.max(*remaining);
    }
    backoffs
}

/// Fails if the metrics of no daemon could be read.
pub fn ensure_reachable(daemons: &[Daemon]) -> Result<(), Error> {
    match daemons.iter().all(|d| d.unreachable.is_some()) {
        true => Err(Error::Unreachable {
            what: format!("All {} daemons asked", daemons.len()),
            reason: "no metrics address answered.".into(),
        }),
        false => Ok(()),
    }
}
