//! Injects overlapping faults into a site, in an order derived from a seed.

use crate::brittle;
use crate::client::Workload;
use crate::copies::Copies;
use crate::error::Error;
use crate::signals;
use crate::site::{Pause, Site};
use crate::stray;
use nix::sys::signal::Signal;
use platform_standin::link::Mode as LinkMode;
use platform_standin::proxy::Mode as ProxyMode;
use platform_standin::replica::{Fault, Replica};
use platform_standin::store::Mode;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause between two steps, in milliseconds.
const STEP_INTERVAL_MS: std::ops::Range<u64> = 80..500;

/// Time for which a fault lasts, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..2_500;

/// Time in which stopped hosts are started again; longer than their drain timeout, which is `grace_seconds = 6` in their
/// settings.
const RESTART_PERIOD: Duration = Duration::from_secs(7);

/// Fault to undo at `at`.
struct Undo {
    at: Instant,
    action: UndoAction,
}

/// How a fault is undone; hosts and replicas by index.
enum UndoAction {
    /// Make the store available again.
    RestoreStore,
    /// Let the host's proxy to the store pass everything again.
    RestoreProxy(usize),
    /// Resume the paused process of a host.
    Resume(usize),
    /// Start the process of a host if it has ended.
    Start(usize),
    /// Clear the fault of a replica.
    ClearFault(usize),
    /// Remove the entry of a crashed replica.
    RemoveEntry(usize),
}

/// Injects faults for `duration`, then undoes them all; returns the number of steps.
pub async fn inject(
    site: &mut Site,
    workload: &Workload,
    seed: u64,
    duration: Duration,
) -> Result<usize, Error> {
    let mut rng = SmallRng::seed_from_u64(seed);
    // Separate generators, so that a seed gives the same faults whatever the other generators draw.
    let mut restart_rng = SmallRng::seed_from_u64(!seed);
    let mut rate_limit_rng = SmallRng::seed_from_u64(seed.rotate_left(32));
    let mut signal_rng = SmallRng::seed_from_u64(seed.rotate_left(16));
    let mut link_rng = SmallRng::seed_from_u64(seed.rotate_left(48));
    let mut brittle_rng = SmallRng::seed_from_u64(!seed.rotate_left(48));
    let mut copy_rng = SmallRng::seed_from_u64(!seed.rotate_left(16));
    let mut balancer_rng = SmallRng::seed_from_u64(!seed.rotate_left(32));
    let mut framing_rng = SmallRng::seed_from_u64(seed.rotate_left(24));
    let mut repetition_rng = SmallRng::seed_from_u64(!seed.rotate_left(24));
    let mut stray_rng = SmallRng::seed_from_u64(seed.rotate_left(40));
    let mut copies = Copies::default();
    let mut brittle_phase = None;
    let end = Instant::now() + duration;
    let mut undos: Vec<Undo> = Vec::new();
    let mut faults = 0;
    while Instant::now() < end {
        let pause = rng.random_range(STEP_INTERVAL_MS);
        sleep(Duration::from_millis(pause)).await;
        undo_due(site, &mut undos, false).await?;
        let fault_duration = Duration::from_millis(rng.random_range(FAULT_DURATION_MS));
        if let Some(action) = inject_one(site, &mut rng).await? {
            let at = Instant::now() + fault_duration;
            undos.push(Undo { at, action });
        }
        restart(site, &mut restart_rng);
        change_rate_limit(site, &mut rate_limit_rng);
        if let Some(replica) = signals::change(site, &mut signal_rng) {
            replace(site, replica).await?;
        }
        change_links(site, &mut link_rng);
        copies.change(site, &mut copy_rng);
        change_balancer(workload, &mut balancer_rng);
        change_framing(site, &mut framing_rng);
        change_repetition(site, &mut repetition_rng);
        stray::change(site, &mut stray_rng);
        brittle::change(site, &mut brittle_phase, &mut brittle_rng);
        faults += 1;
    }
    brittle::end(site, &mut brittle_phase);
    copies.end(site);
    *workload.favored.lock() = None;
    clear_framing(site);
    clear_refusals(site);
    stray::end(site);
    undo_due(site, &mut undos, true).await?;
    for host in &mut site.hosts {
        host.signal(Signal::SIGCONT);
        host.store_proxy.set(ProxyMode::Pass);
        host.set_links(LinkMode::Up);
    }
    site.store.set_mode(Mode::Up);
    let restart_began = Instant::now();
    // A host that got SIGTERM can only start again once it has drained.
    while restart_began.elapsed() < RESTART_PERIOD {
        for host in &mut site.hosts {
            host.start()?;
        }
        sleep(Duration::from_millis(200)).await;
    }
    signals::clear_backoffs(site);
    set_final_rate_limits(site).await;
    brittle::set_final(site);
    Ok(faults)
}

/// Average number of steps between two changes of the balancer.
const STEPS_PER_BALANCER_CHANGE: u32 = 8;

/// Randomly lets the balancer favor a host, or none.
fn change_balancer(workload: &Workload, rng: &mut SmallRng) {
    let host = rng.random_range(0..workload.hosts.len());
    if rng.random_ratio(1, STEPS_PER_BALANCER_CHANGE) {
        let mut favored = workload.favored.lock();
        *favored = favored.is_none().then_some(host);
    }
}

/// Average number of steps between two changes of how a replica tells the end of its answers.
const STEPS_PER_FRAMING_CHANGE: u32 = 4;

/// Faults of answers that end with their connection.
const UNFRAMED: [Fault; 2] = [Fault::Unframed, Fault::UnframedEmpty];

/// Randomly lets answers of a sound replica end with their connection, or no longer. Streams do so only before their first
/// event: between events a crash looks like their end.
fn change_framing(site: &Site, rng: &mut SmallRng) {
    let replica = &site.replicas[rng.random_range(0..site.replicas.len())];
    let is_stream = replica.options.service == "llm";
    let fault = UNFRAMED[rng.random_range(usize::from(is_stream)..UNFRAMED.len())];
    if !rng.random_ratio(1, STEPS_PER_FRAMING_CHANGE) {
        return;
    }
    match replica.fault() {
        Fault::None => replica.set_fault(fault),
        current if UNFRAMED.contains(&current) => replica.set_fault(Fault::None),
        _ => {}
    }
}

/// Average number of steps between two changes of the links that repeat answers, and of replicas that refuse requests once.
const STEPS_PER_REPETITION_CHANGE: u32 = 3;

/// Statuses with which replicas refuse requests once.
const REFUSALS: [u16; 3] = [503, 429, 421];

/// Randomly lets the links of a host send answers once more, late, and a sound replica refuse each request once, or no
/// longer.
fn change_repetition(site: &Site, rng: &mut SmallRng) {
    let host = &site.hosts[rng.random_range(0..site.hosts.len())];
    let replica = &site.replicas[rng.random_range(0..site.replicas.len())];
    let modes = [
        LinkMode::RepeatFailures,
        LinkMode::RepeatLater,
        LinkMode::RepeatAll,
        LinkMode::RepeatElsewhere,
    ];
    let mode = modes[rng.random_range(0..modes.len())];
    let fault = Fault::RefuseOnce(REFUSALS[rng.random_range(0..REFUSALS.len())]);
    let is_named = rng.random();
    if rng.random_ratio(1, STEPS_PER_REPETITION_CHANGE) {
        site.add_answers(host, mode);
    }
    if rng.random_ratio(1, STEPS_PER_REPETITION_CHANGE) {
        replica.name_refused(is_named);
        match replica.fault() {
            Fault::None => replica.set_fault(fault),
            Fault::RefuseOnce(_) => replica.set_fault(Fault::None),
            _ => {}
        }
    }
}

fn clear_refusals(site: &Site) {
    let refuses = |replica: &&Replica| matches!(replica.fault(), Fault::RefuseOnce(_));
    for replica in site.replicas.iter().filter(refuses) {
        replica.set_fault(Fault::None);
    }
}

fn clear_framing(site: &Site) {
    let is_unframed = |replica: &&Replica| UNFRAMED.contains(&replica.fault());
    for replica in site.replicas.iter().filter(is_unframed) {
        replica.set_fault(Fault::None);
    }
}

/// Failure modes of the store.
const STORE_MODES: [Mode; 4] = [Mode::Busy, Mode::Reset, Mode::Silent, Mode::Lossy];

/// Faults of replicas.
const REPLICA_FAULTS: [Fault; 8] = [
    Fault::Shed,
    Fault::DropResponse,
    Fault::WrongRequestId,
    Fault::Unsigned,
    Fault::TruncateEvent,
    Fault::InternalError,
    Fault::Hang,
    Fault::Replaced,
];

/// Injects one random fault; returns how to undo it, if it does not end by itself.
async fn inject_one(site: &mut Site, rng: &mut SmallRng) -> Result<Option<UndoAction>, Error> {
    let host = rng.random_range(0..site.hosts.len());
    let replica = rng.random_range(0..site.replicas.len());
    Ok(match rng.random_range(0..16) {
        0 => {
            site.record_disturbance();
            site.store
                .set_mode(STORE_MODES[rng.random_range(0..STORE_MODES.len())]);
            Some(UndoAction::RestoreStore)
        }
        1 => {
            site.record_disturbance();
            site.store.end_leases();
            None
        }
        2 | 3 => Some(degrade_proxy(site, host, rng)),
        4 => Some(signal(site, host, Signal::SIGKILL)),
        5 | 6 => Some(signal(site, host, Signal::SIGTERM)),
        7 => {
            signal(site, host, Signal::SIGSTOP);
            site.pauses.push(Pause::start(host));
            Some(UndoAction::Resume(host))
        }
        8 => {
            site.hosts[host].signal(Signal::SIGHUP);
            None
        }
        9 | 10 => {
            site.write_config();
            None
        }
        11 | 12 => {
            let fault = REPLICA_FAULTS[rng.random_range(0..REPLICA_FAULTS.len())];
            site.replicas[replica].set_fault(fault);
            Some(UndoAction::ClearFault(replica))
        }
        13 | 14 => {
            depart(site, replica).await?;
            None
        }
        _ => {
            // Its entry stays until `RemoveEntry`, as after missed heartbeats.
            site.replicas[replica].crash();
            replace(site, replica).await?;
            Some(UndoAction::RemoveEntry(replica))
        }
    })
}

/// Average number of steps between two restarts of a replica under the same ID.
const STEPS_PER_RESTART: u32 = 6;

/// Randomly restarts a replica under the same ID, unless it has announced its departure.
fn restart(site: &Site, rng: &mut SmallRng) {
    let replica = rng.random_range(0..site.replicas.len());
    let is_due = rng.random_ratio(1, STEPS_PER_RESTART);
    if is_due && site.replicas[replica].announced_departure_at().is_none() {
        site.replicas[replica].restart();
    }
}

/// Average number of steps between two changes of the links of a host.
const STEPS_PER_LINK_CHANGE: u32 = 5;

/// Randomly cuts hosts off from the replicas, one, most or all of them, or restores their links.
///
/// It counts as a disturbance of these hosts.
fn change_links(site: &mut Site, rng: &mut SmallRng) {
    let first = rng.random_range(0..site.hosts.len());
    let count = rng.random_range(1..=site.hosts.len());
    let modes = [LinkMode::Hang, LinkMode::Reset, LinkMode::RefuseNew];
    let mode = match rng.random_ratio(1, 2) {
        true => LinkMode::Up,
        false => modes[rng.random_range(0..modes.len())],
    };
    if !rng.random_ratio(1, STEPS_PER_LINK_CHANGE) {
        return;
    }
    let total = site.hosts.len();
    for n in first..first + count {
        site.hosts[n % total].set_links(mode);
    }
}

/// Average number of steps between two changes of a replica's rate limit.
const STEPS_PER_RATE_LIMIT: u32 = 5;

/// Rate limits that replicas advertise, in requests per second.
const RATE_LIMITS: std::ops::Range<f64> = 0.0..8.0;

/// Time in which a running replica must answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_PROBE_RESPONSE_BYTES: usize = 64 * 1_024;

/// Rate limit advertised after all faults, in requests per second.
const FINAL_RATE_LIMIT: &str = "2";

/// Randomly sets or clears the rate limit of a replica.
fn change_rate_limit(site: &Site, rng: &mut SmallRng) {
    let replica = &site.replicas[rng.random_range(0..site.replicas.len())];
    let rate = rng.random_range(RATE_LIMITS).to_string();
    if rng.random_ratio(1, STEPS_PER_RATE_LIMIT) {
        let is_limited = replica
            .rate_limits()
            .last()
            .is_some_and(|(_, advertised)| advertised.is_some());
        replica.set_rate_limit((!is_limited).then_some(&rate));
    }
}

/// Leaves a rate limit on one replica per service after all faults, where no disturbance excuses a host that exceeds it.
/// Only a replica whose models others have loaded is chosen, so that the excess can be served.
async fn set_final_rate_limits(site: &Site) {
    let mut active = Vec::new();
    for replica in &site.replicas {
        replica.set_rate_limit(None);
        if replica.announced_departure_at().is_none() && is_responsive(replica).await {
            active.push(replica);
        }
    }
    for service in ["llm", "web"] {
        let of_service = |r: &&Replica| r.options.service == service;
        let active: Vec<&Replica> = active.iter().copied().filter(of_service).collect();
        let has_substitute = |candidate: &Replica| {
            let others = active
                .iter()
                .filter(|r| r.options.id != candidate.options.id);
            let loaded: Vec<String> = others.flat_map(|r| r.models().into_keys()).collect();
            active.len() > 1
                && candidate
                    .models()
                    .keys()
                    .all(|model| loaded.contains(model))
        };
        if let Some(replica) = active.iter().rev().find(|r| has_substitute(r)) {
            replica.set_rate_limit(Some(FINAL_RATE_LIMIT));
        }
    }
}

/// Whether a replica answers a probe.
async fn is_responsive(replica: &Replica) -> bool {
    let Ok(mut connection) = conn::Connection::open(replica.addr, PROBE_TIMEOUT).await else {
        return false;
    };
    let mut request = hyper::Request::new(conn::Body::default());
    *request.uri_mut() = "/".parse().expect("the path is valid");
    connection
        .exchange(request, PROBE_TIMEOUT, MAX_PROBE_RESPONSE_BYTES)
        .await
        .is_ok()
}

/// Sets a random fault on a host's proxy to the store.
fn degrade_proxy(site: &mut Site, host: usize, rng: &mut SmallRng) -> UndoAction {
    let delay = ProxyMode::Delay(Duration::from_millis(rng.random_range(20..400)));
    let modes = [
        delay,
        ProxyMode::Reset,
        ProxyMode::DropToTarget,
        ProxyMode::DropFromTarget,
    ];
    site.record_disturbance();
    let mode = modes[rng.random_range(0..modes.len())];
    site.hosts[host].store_proxy.set(mode);
    UndoAction::RestoreProxy(host)
}

/// Sends a signal to a host's process, which may end it.
fn signal(site: &mut Site, host: usize, signal: Signal) -> UndoAction {
    site.record_disturbance();
    site.hosts[host].signal(signal);
    UndoAction::Start(host)
}

/// Lets a replica announce its departure, and starts a replacement.
async fn depart(site: &mut Site, replica: usize) -> Result<(), Error> {
    if site.replicas[replica].announced_departure_at().is_none() {
        site.replicas[replica].announce_departure();
        replace(site, replica).await?;
    }
    Ok(())
}

/// Starts a replica with the service and models of one that has left or crashed.
async fn replace(site: &mut Site, replica: usize) -> Result<(), Error> {
    let departed = &site.replicas[replica].options;
    let (service, models) = (departed.service.clone(), departed.models.clone());
    let models: Vec<&str> = models.iter().map(String::as_str).collect();
    site.add_replica(&service, &models).await
}

/// Undoes the faults that are due, or all.
async fn undo_due(site: &mut Site, undos: &mut Vec<Undo>, all: bool) -> Result<(), Error> {
    let now = Instant::now();
    let (due, rest): (Vec<Undo>, Vec<Undo>) = std::mem::take(undos)
        .into_iter()
        .partition(|u| all || u.at <= now);
    *undos = rest;
    for undo in due {
        if !matches!(
            undo.action,
            UndoAction::ClearFault(_) | UndoAction::RemoveEntry(_)
        ) {
            site.record_disturbance();
        }
        match undo.action {
            UndoAction::RestoreStore => site.store.set_mode(Mode::Up),
            UndoAction::RestoreProxy(host) => site.hosts[host].store_proxy.set(ProxyMode::Pass),
            UndoAction::Resume(host) => {
                site.hosts[host].signal(Signal::SIGCONT);
                site.end_pauses(host);
            }
            UndoAction::Start(host) => site.hosts[host].start()?,
            UndoAction::ClearFault(replica) => site.replicas[replica].set_fault(Fault::None),
            UndoAction::RemoveEntry(replica) => site.replicas[replica].remove_entry(),
        }
    }
    Ok(())
}
