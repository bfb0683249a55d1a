//! Gauges, updated when the metrics are read.

use crate::accounts;
use crate::paths;
use crate::peers::Peers;
use crate::queue::Held;
use crate::startup;
use crate::state::State;
use unit::Span;

pub(super) fn update(state: &State, peers: &Peers, held: Held) {
    update_host(state);
    startup::update_gauge(state);
    update_held(state, held);
    update_limits(state);
    update_replica_states(state);
    update_dispatch(state);
    update_pauses(state);
    update_accounts(state, peers);
    update_speeds(state);
}

/// Updates the late and patient requests that wait here.
fn update_held(state: &State, held: Held) {
    let metrics = &state.log.metrics;
    let set = |standing, count: usize| {
        let labels = [("standing", standing)];
        metrics.gauge("coveford_held", &labels).set(count as f64);
    };
    set("late", held.late);
    set("patient", held.patient);
    metrics
        .gauge("coveford_held_bytes", &[])
        .set(held.bytes as f64);
}

/// Updates the numbers of the services that this host dispatches.
fn update_dispatch(state: &State) {
    let metrics = &state.log.metrics;
    for service in state.dispatch.gauges() {
        let labels = [("service", &*service.service)];
        metrics
            .gauge("coveford_dispatch_waiting", &labels)
            .set(service.waiting as f64);
        metrics
            .gauge("coveford_dispatch_granted", &labels)
            .set(service.granted as f64);
    }
}

/// Maximum accounts with their own series.
const MAX_ACCOUNTS: usize = 100;

/// Updates the usage of accounts, which only the leader knows.
fn update_accounts(state: &State, peers: &Peers) {
    let routes = state.table.lock().routes.clone();
    let accounts = routes.as_ref().and_then(|r| r.accounts.as_ref());
    let Some(accounts) = accounts else { return };
    let metrics = &state.log.metrics;
    metrics
        .gauge("coveford_accounts", &[])
        .set(accounts.all().count() as f64);
    let age = accounts::data_age(state);
    metrics
        .gauge("coveford_keys_age_seconds", &[])
        .set(age.secs());
    for account in accounts.all().take(MAX_ACCOUNTS) {
        let granted = peers.granted(&account.name);
        if let (Some(granted), Some(quota)) = (granted, account.quota) {
            let labels = [("account", &*account.name)];
            metrics
                .gauge("coveford_account_given", &labels)
                .set(granted);
            metrics
                .gauge("coveford_account_rate", &labels)
                .set(quota.rate);
        }
    }
}

/// Updates the gauges of this host's own state.
fn update_host(state: &State) {
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
    let answers = state.answer_memory.used();
    set("coveford_answer_memory_bytes", &[], answers as f64);
    let shedding = state.shedding.status();
    set(
        "coveford_connections_closed_unread",
        &[],
        shedding.closed as f64,
    );
    set(
        "coveford_connections_accepted_share",
        &[],
        shedding.accepted_share,
    );
    set(
        "coveford_processor_wait_seconds",
        &[],
        shedding.delay.secs(),
    );
    let is_isolated = f64::from(u8::from(paths::is_isolated(state)));
    set("coveford_isolated", &[], is_isolated);
    set("coveford_store_era", &[], state.store.era() as f64);
    set("coveford_stream_runs", &[], state.streams.kept() as f64);
    let taken = state.detours.taken(&state.settings.limits);
    set("coveford_detours_in_progress", &[], taken as f64);
    set("coveford_leads", &[], f64::from(u8::from(state.leads())));
    let (suspected, quarantined) = state.quarantine.counts(state.now());
    set("coveford_requests_suspected", &[], suspected as f64);
    set("coveford_requests_kept_out", &[], quarantined as f64);
    let (suspected, quarantined) = state.quarantine.segment_counts(state.now());
    set(
        "coveford_segments",
        &[("status", "suspected")],
        suspected as f64,
    );
    set(
        "coveford_segments",
        &[("status", "kept_out")],
        quarantined as f64,
    );
    let table = state.table.lock();
    let version = table.routes.as_ref().map_or(0, |r| r.version);
    set("coveford_configuration_version", &[], version as f64);
    set("coveford_replicas", &[], table.view.all().count() as f64);
    set("coveford_hosts", &[], table.host_count as f64);
    let away = f64::from(u8::from(table.view.contact.is_unreachable()));
    set("coveford_store_away", &[], away);
}

/// Maximum replicas with their own series for limits and backoffs.
const MAX_REPLICAS: usize = 100;

/// Updates the rate limits of replicas. An ended limit is reported as infinite, since a gauge cannot be removed.
fn update_limits(state: &State) {
    let mut limited = state.table.lock().limits_by_replica(state.now());
    let metrics = &state.log.metrics;
    let limited_count = limited.iter().filter(|(_, rate)| rate.is_some()).count();
    metrics
        .gauge("coveford_limited_replicas", &[])
        .set(limited_count as f64);
    limited.sort_by_key(|(_, rate)| rate.is_none());
    for (replica, rate) in limited.iter().take(MAX_REPLICAS) {
        let labels = [("replica", &**replica)];
        let rate = rate.unwrap_or(f64::INFINITY);
        metrics.gauge("coveford_replica_limit", &labels).set(rate);
    }
}

/// Factor over the expected pause whose frequency is reported.
const LONG_FACTOR: f64 = 1.45;

/// Updates what is known of the pauses of streams beside prompts. No limit is reported as infinite.
fn update_pauses(state: &State) {
    let (profiles, rooms) = {
        let table = state.table.lock();
        (table.pause_profiles(), table.prompt_rooms(state.now()))
    };
    let metrics = &state.log.metrics;
    for (service, profile) in &profiles {
        let set = |name, value| metrics.gauge(name, &[("service", &**service)]).set(value);
        set("coveford_prefill_chunk_tokens", profile.chunk);
        set("coveford_pauses_seen_seconds", profile.seen.secs());
        set("coveford_pauses_expected_seconds", profile.expected.secs());
        let share = profile.slowdown.exceeds(LONG_FACTOR);
        set("coveford_pauses_underestimated_ratio", share);
    }
    for (replica, room) in rooms.iter().take(MAX_REPLICAS) {
        let labels = [("replica", &**replica)];
        let room = room.map_or(f64::INFINITY, Span::secs);
        metrics
            .gauge("coveford_replica_prompt_room_seconds", &labels)
            .set(room);
    }
}

/// Updates the numbers of leaving replicas and of backoffs, and the remaining time of each backoff.
fn update_replica_states(state: &State) {
    let (leaving, backoffs) = {
        let table = state.table.lock();
        let view = &table.view;
        let leaving = view.all().filter(|r| view.leaves(&r.entry.id)).count();
        (leaving, table.backoffs(state.now()))
    };
    let metrics = &state.log.metrics;
    let count = |name, count: usize| metrics.gauge(name, &[]).set(count as f64);
    count("coveford_leaving_replicas", leaving);
    let active = backoffs
        .iter()
        .filter(|(_, remaining)| *remaining > Span::ZERO);
    count("coveford_resting_replicas", active.count());
    for (replica, remaining) in backoffs.iter().take(MAX_REPLICAS) {
        let labels = [("replica", &**replica)];
        metrics
            .gauge("coveford_replica_rest_seconds", &labels)
            .set(remaining.secs());
    }
}

/// Maximum models with their own series.
const MAX_MODELS: usize = 300;

/// Updates the factors of replicas, the furthest from 1 first, and the speeds of models.
fn update_speeds(state: &State) {
    let now = state.now();
    let (mut factors, models) = {
        let table = state.table.lock();
        (table.replica_factors(now), table.model_speeds(now))
    };
    let metrics = &state.log.metrics;
    let distance = |factor: f64| factor.ln().abs();
    factors.sort_by(|(_, a), (_, b)| distance(*b).total_cmp(&distance(*a)));
    for (replica, factor) in factors.iter().take(MAX_REPLICAS) {
        let labels = [("replica", &**replica)];
        metrics
            .gauge("coveford_replica_speed_factor", &labels)
            .set(*factor);
    }
    for (model, speed) in models.iter().take(MAX_MODELS) {
        let labels = [("model", &**model)];
        metrics
            .gauge("coveford_model_prefill_tokens_per_ms", &labels)
            .set(*speed);
    }
}
