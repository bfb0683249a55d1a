//! Gauges of what this host believes, brought up to date before they are read.

use crate::accounts;
use crate::peers::Peers;
use crate::state::State;
use unit::Span;

/// Brings all gauges up to date.
pub(super) fn update(state: &State, peers: &Peers) {
    own(state);
    limit_gauges(state);
    word_gauges(state);
    account_gauges(state, peers);
}

/// Accounts whose use is told each by itself at the host that gives out; the rest are not told.
const MOST_ACCOUNTS: usize = 100;

/// Tells what accounts were given in the last window, at the host that gives out.
fn account_gauges(state: &State, peers: &Peers) {
    let routes = state.table.lock().routes.clone();
    let known = routes.as_ref().and_then(|r| r.accounts.as_ref());
    let Some(known) = known else { return };
    let metrics = &state.log.metrics;
    metrics
        .gauge("coveford_accounts", &[])
        .set(known.all().count() as f64);
    let age = accounts::data_age(state);
    metrics
        .gauge("coveford_keys_age_seconds", &[])
        .set(age.secs());
    for account in known.all().take(MOST_ACCOUNTS) {
        let given = peers.granted(&account.name);
        if let (Some(given), Some(quota)) = (given, account.quota) {
            let labels = [("account", &*account.name)];
            metrics.gauge("coveford_account_given", &labels).set(given);
            metrics
                .gauge("coveford_account_rate", &labels)
                .set(quota.rate);
        }
    }
}

/// What this host is, knows and has in hand.
fn own(state: &State) {
    use std::sync::atomic::Ordering::Relaxed;
    let metrics = &state.log.metrics;
    let set = |name, labels: &[(&'static str, &str)], value: f64| {
        metrics.gauge(name, labels).set(value);
    };
    let calls = state.store.calls();
    let kinds = [
        ("read", &calls.reads),
        ("watch", &calls.watches),
        ("write", &calls.writes),
        ("lease", &calls.leases),
    ];
    for (kind, count) in kinds {
        set(
            "coveford_store_calls",
            &[("kind", kind)],
            count.load(Relaxed) as f64,
        );
    }
    set("coveford_in_flight", &[], state.in_flight() as f64);
    set("coveford_leads", &[], f64::from(u8::from(state.leads())));
    let (suspected, kept_out) = state.quarantine.counts(state.now());
    set("coveford_requests_suspected", &[], suspected as f64);
    set("coveford_requests_kept_out", &[], kept_out as f64);
    let table = state.table.lock();
    let version = table.routes.as_ref().map_or(0, |r| r.version);
    set("coveford_configuration_version", &[], version as f64);
    set("coveford_replicas", &[], table.view.all().count() as f64);
    set("coveford_hosts", &[], table.host_count as f64);
    let away = f64::from(u8::from(table.view.contact.is_unreachable()));
    set("coveford_store_away", &[], away);
}

/// Replicas whose limits or rests are told each by itself; the others are counted only.
const MOST_REPLICAS: usize = 100;

/// Tells which replicas have named limits; one that is over is told as endless, since a gauge cannot be taken back.
fn limit_gauges(state: &State) {
    let mut limited = state.table.lock().limits_by_replica(state.now());
    let metrics = &state.log.metrics;
    let in_need = limited.iter().filter(|(_, rate)| rate.is_some()).count();
    metrics
        .gauge("coveford_limited_replicas", &[])
        .set(in_need as f64);
    limited.sort_by_key(|(_, rate)| rate.is_none());
    for (replica, rate) in limited.iter().take(MOST_REPLICAS) {
        let labels = [("replica", &**replica)];
        let rate = rate.unwrap_or(f64::INFINITY);
        metrics.gauge("coveford_replica_limit", &labels).set(rate);
    }
}

/// Tells which replicas leave by their word, and which want nothing from this host and for how long.
fn word_gauges(state: &State) {
    let (leaving, resting) = {
        let table = state.table.lock();
        (table.view.departures().len(), table.backoffs(state.now()))
    };
    let metrics = &state.log.metrics;
    let count = |name, count: usize| metrics.gauge(name, &[]).set(count as f64);
    count("coveford_leaving_replicas", leaving);
    let resting_now = resting.iter().filter(|(_, left)| *left > Span::ZERO);
    count("coveford_resting_replicas", resting_now.count());
    for (replica, left) in resting.iter().take(MOST_REPLICAS) {
        let labels = [("replica", &**replica)];
        metrics
            .gauge("coveford_replica_rest_seconds", &labels)
            .set(left.secs());
    }
}
