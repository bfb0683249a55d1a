//! State of daemons on a platform, from the text that each serves at its metrics address.

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

/// Time for a daemon to answer; it answers in milliseconds.
const LIMIT: Duration = Duration::from_millis(1_500);

/// Longest text that is read, in bytes.
const MOST_BYTES: usize = 4 << 20;

/// Age of what a daemon knows of keys that is told as a finding, in milliseconds: daemons that reach the
/// store or a reader know them to be less than half as old.
const OLD_KEYS_MS: u64 = 3_000;

/// Path of the metrics.
const PATH: &str = "/metrics";

/// What one daemon says of itself.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Daemon {
    /// Its metrics address.
    pub addr: SocketAddr,
    /// Why it gave no figures, if it did not.
    pub unreachable: Option<String>,
    /// Version of the configuration in force.
    pub configuration: u64,
    /// Replicas that it knows.
    pub replicas: u64,
    /// Hosts that the leader knows of.
    pub hosts: u64,
    /// Whether it leads.
    pub leads: bool,
    /// Whether the store does not answer it.
    pub store_away: bool,
    /// Requests in flight.
    pub in_flight: u64,
    /// Client accounts of its configuration; none when requests need no key.
    pub accounts: Option<u64>,
    /// Age of what it knows of keys, in milliseconds.
    pub keys_age_ms: Option<u64>,
    /// Requests that are kept out, since they end the replicas that run them.
    pub kept_out: u64,
    /// Replicas in need by identity, with the requests a second that each takes from all hosts together.
    pub limits: BTreeMap<String, f64>,
    /// Replicas that have said in answers that they leave.
    pub leaving: u64,
    /// Replicas that want nothing from this host, with the seconds that are left.
    pub rests: BTreeMap<String, f64>,
}

/// Asks all daemons at once; one that does not answer says why in [`Daemon::unreachable`].
pub async fn ask(addrs: &[SocketAddr]) -> Vec<Daemon> {
    join_all(addrs.iter().map(|addr| ask_one(*addr))).await
}

async fn ask_one(addr: SocketAddr) -> Daemon {
    match fetch(addr).await {
        Ok(reply) => read(addr, &String::from_utf8_lossy(&reply.body)),
        Err(why) => Daemon {
            unreachable: Some(why.to_string()),
            ..read(addr, "")
        },
    }
}

async fn fetch(addr: SocketAddr) -> Result<Reply, conn::Error> {
    let mut request = Request::new(conn::Body::default());
    *request.uri_mut() = PATH.parse().expect("it is a path");
    let host = addr.to_string().parse().expect("an address is a host");
    request.headers_mut().insert(HOST, host);
    let mut line = Connection::open(addr, LIMIT).await?;
    line.exchange(request, LIMIT, MOST_BYTES).await
}

/// Reads the gauges out of a daemon's metrics; a text without them is no daemon's.
pub fn read(addr: SocketAddr, text: &str) -> Daemon {
    let gauge = |name: &str| {
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        value.and_then(|v| v.trim().parse::<f64>().ok())
    };
    let whole = |name| gauge(name).map(|value| value as u64);
    let missing = || "its answer has no metrics of coveford".to_owned();
    let configuration = whole("coveford_configuration_version ");
    Daemon {
        addr,
        unreachable: configuration.is_none().then(missing),
        configuration: configuration.unwrap_or_default(),
        replicas: whole("coveford_replicas ").unwrap_or_default(),
        hosts: whole("coveford_hosts ").unwrap_or_default(),
        leads: whole("coveford_leads ") == Some(1),
        store_away: whole("coveford_store_away ") == Some(1),
        in_flight: whole("coveford_in_flight ").unwrap_or_default(),
        accounts: whole("coveford_accounts "),
        keys_age_ms: gauge("coveford_keys_age_seconds ").map(|s| (s * 1e3) as u64),
        kept_out: whole("coveford_requests_kept_out ").unwrap_or_default(),
        // A limit that is over is told as endless, and a rest as nothing.
        limits: by_replica(text, "coveford_replica_limit", f64::is_finite),
        leaving: whole("coveford_leaving_replicas ").unwrap_or_default(),
        rests: by_replica(text, "coveford_replica_rest_seconds", |left| left > 0.0),
    }
}

/// Values of a gauge by replica, without those that do not hold any more.
fn by_replica(text: &str, gauge: &str, holds: impl Fn(f64) -> bool) -> BTreeMap<String, f64> {
    let value = |line: &str| {
        let line = line.strip_prefix(gauge)?.strip_prefix("{replica=\"")?;
        let (replica, value) = line.split_once("\"} ")?;
        let value: f64 = value.trim().parse().ok()?;
        holds(value).then(|| (replica.to_owned(), value))
    };
    text.lines().filter_map(value).collect()
}

/// The daemons as a table.
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

/// A daemon's address, and its figures or why it gave none.
fn row(daemon: &Daemon) -> [String; 13] {
    let addr = daemon.addr.to_string();
    if let Some(why) = &daemon.unreachable {
        let mut row = [const { String::new() }; 13];
        row[0] = addr;
        row[1] = why.clone();
        return row;
    }
    [
        addr,
        daemon.configuration.to_string(),
        daemon.replicas.to_string(),
        daemon.hosts.to_string(),
        daemon.in_flight.to_string(),
        if daemon.leads { "yes" } else { "" }.to_owned(),
        if daemon.store_away { "away" } else { "there" }.to_owned(),
        daemon.accounts.map_or(String::new(), |n| n.to_string()),
        daemon
            .keys_age_ms
            .map_or(String::new(), |ms| format!("{ms} ms")),
        daemon.kept_out.to_string(),
        daemon.limits.len().to_string(),
        daemon.leaving.to_string(),
        daemon.rests.len().to_string(),
    ]
}

/// What an operator should know of the daemons together, one sentence each.
pub fn findings(daemons: &[Daemon]) -> Vec<String> {
    let answered: Vec<&Daemon> = daemons.iter().filter(|d| d.unreachable.is_none()).collect();
    let mut found = Vec::new();
    let newest = answered.iter().map(|d| d.configuration).max().unwrap_or(0);
    let behind = answered.iter().filter(|d| d.configuration < newest).count();
    if behind > 0 {
        found.push(format!(
            "{behind} of {} daemons are behind configuration {newest}; ask again in some seconds, then read their 'config' and 'store' lines.",
            answered.len()
        ));
    }
    let leaders = answered.iter().filter(|d| d.leads).count();
    if leaders != 1 && answered.len() == daemons.len() {
        found.push(format!(
            "{leaders} of these daemons lead; one does where all were asked, some seconds after a change."
        ));
    }
    let away = answered.iter().filter(|d| d.store_away).count();
    if away > 0 {
        found.push(format!(
            "The store does not answer {away} of them; they route on by what they knew."
        ));
    }
    let kept_out = answered.iter().map(|d| d.kept_out).max().unwrap_or(0);
    if kept_out > 0 {
        found.push(format!(
            "{kept_out} requests are kept out, since they ended each replica that ran them; the lines 'kept_out' of part 'quarantine' tell which."
        ));
    }
    for (replica, rate) in in_need(&answered) {
        found.push(format!(
            "Replica {replica} is in need: it takes {rate} requests a second from all hosts together; the lines of part 'limit' tell since when."
        ));
    }
    let leaving = answered.iter().map(|d| d.leaving).max().unwrap_or(0);
    if leaving > 0 {
        found.push(format!(
            "{leaving} replicas have said in answers that they leave; the lines 'leaving' of part 'replica' tell which and since when."
        ));
    }
    for (replica, (hosts, longest)) in at_rest(&answered) {
        found.push(format!(
            "Replica {replica} wants nothing from {hosts} of {} daemons, for {longest:.1} s at the most; the lines 'rests' of part 'replica' tell what it asked for.",
            answered.len()
        ));
    }
    let old = |d: &&&Daemon| d.keys_age_ms.is_some_and(|ms| ms > OLD_KEYS_MS);
    let unsure = answered.iter().filter(old).count();
    if unsure > 0 {
        found.push(format!(
            "{unsure} of them last heard of keys over {} s ago; beyond 0.8 of the bound on withdrawals they refuse requests with keys.",
            OLD_KEYS_MS / 1_000
        ));
    }
    found
}

/// Replicas in need, and the least that any daemon knows each to take.
fn in_need(daemons: &[&Daemon]) -> BTreeMap<String, f64> {
    let mut limits: BTreeMap<String, f64> = BTreeMap::new();
    for (replica, rate) in daemons.iter().flat_map(|d| &d.limits) {
        let least = limits.entry(replica.clone()).or_insert(*rate);
        *least = least.min(*rate);
    }
    limits
}

/// Replicas that rest, with the daemons that each wants nothing from and the longest time of any, in seconds.
fn at_rest(daemons: &[&Daemon]) -> BTreeMap<String, (usize, f64)> {
    let mut rests: BTreeMap<String, (usize, f64)> = BTreeMap::new();
    for (replica, left) in daemons.iter().flat_map(|d| &d.rests) {
        let (hosts, longest) = rests.entry(replica.clone()).or_default();
        *hosts += 1;
        *longest = longest.max(*left);
    }
    rests
}

/// Fails if no daemon answered.
pub fn check(daemons: &[Daemon]) -> Result<(), Error> {
    match daemons.iter().all(|d| d.unreachable.is_some()) {
        true => Err(Error::Unreachable {
            what: format!("All {} daemons asked", daemons.len()),
            reason: "no metrics address answered.".into(),
        }),
        false => Ok(()),
    }
}
