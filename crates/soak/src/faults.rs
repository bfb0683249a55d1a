//! Faults from outside, in series that overlap, by a seed.

use crate::error::Error;
use crate::signals;
use crate::site::{Pause, Site};
use nix::sys::signal::Signal;
use platform_standin::proxy::Mode as Way;
use platform_standin::replica::{Fault, Replica};
use platform_standin::store::Mode;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pause between two steps.
const STEP_MS: std::ops::Range<u64> = 80..500;

/// Time for which a disturbance lasts.
const LASTS_MS: std::ops::Range<u64> = 300..2_500;

/// Time in which hosts that were told to stop are started again: a little over the grace of their
/// settings, which is 6 s.
const RESTART: Duration = Duration::from_secs(7);

/// What is to be undone, and when.
struct Undo {
    at: Instant,
    what: What,
}

/// What is to be undone; hosts and replicas by index.
enum What {
    /// The store's fault.
    Store,
    /// The harm on a host's way to the store.
    Way(usize),
    /// The pause of a host's process.
    Wake(usize),
    /// The end of a host's process.
    Start(usize),
    /// A replica's fault.
    Heal(usize),
    /// The entry of a replica that fell.
    Vanish(usize),
}

/// Injects faults for a time, then undoes them all; tells how many there were.
pub async fn inject(site: &mut Site, seed: u64, length: Duration) -> Result<usize, Error> {
    let mut rng = SmallRng::seed_from_u64(seed);
    // Restarts have numbers of their own, so that a seed does all else as it did without them.
    let mut restarts = SmallRng::seed_from_u64(!seed);
    let mut needs = SmallRng::seed_from_u64(seed.rotate_left(32));
    let mut words = SmallRng::seed_from_u64(seed.rotate_left(16));
    let end = Instant::now() + length;
    let mut undos: Vec<Undo> = Vec::new();
    let mut faults = 0;
    while Instant::now() < end {
        let pause = rng.random_range(STEP_MS);
        sleep(Duration::from_millis(pause)).await;
        undo_due(site, &mut undos, false).await?;
        let lasts = Duration::from_millis(rng.random_range(LASTS_MS));
        if let Some(what) = strike(site, &mut rng).await? {
            let at = Instant::now() + lasts;
            undos.push(Undo { at, what });
        }
        restart(site, &mut restarts);
        change_need(site, &mut needs);
        if let Some(replica) = signals::change(site, &mut words) {
            replace(site, replica).await?;
        }
        faults += 1;
    }
    undo_due(site, &mut undos, true).await?;
    for host in &mut site.hosts {
        host.signal(Signal::SIGCONT);
        host.store.set(Way::Pass);
    }
    site.store.set_mode(Mode::Up);
    let stopped = Instant::now();
    // A host that was told to stop needs its grace before it can start again.
    while stopped.elapsed() < RESTART {
        for host in &mut site.hosts {
            host.start()?;
        }
        sleep(Duration::from_millis(200)).await;
    }
    signals::end_rests(site);
    last_needs(site).await;
    Ok(faults)
}

/// Ways in which the store fails.
const MODES: [Mode; 4] = [Mode::Busy, Mode::Reset, Mode::Silent, Mode::Lossy];

/// Ways in which a replica treats requests wrongly.
const FAULTS: [Fault; 8] = [
    Fault::Shed,
    Fault::DropResponse,
    Fault::WrongRequestId,
    Fault::Unsigned,
    Fault::TruncateEvent,
    Fault::InternalError,
    Fault::Hang,
    Fault::Replaced,
];

/// Does one thing; gives what is to be undone later.
async fn strike(site: &mut Site, rng: &mut SmallRng) -> Result<Option<What>, Error> {
    let host = rng.random_range(0..site.hosts.len());
    let replica = rng.random_range(0..site.replicas.len());
    Ok(match rng.random_range(0..16) {
        0 => {
            site.disturb();
            site.store.set_mode(MODES[rng.random_range(0..MODES.len())]);
            Some(What::Store)
        }
        1 => {
            site.disturb();
            site.store.end_leases();
            None
        }
        2 | 3 => Some(harm_way(site, host, rng)),
        4 => Some(signal(site, host, Signal::SIGKILL)),
        5 | 6 => Some(signal(site, host, Signal::SIGTERM)),
        7 => {
            signal(site, host, Signal::SIGSTOP);
            site.pauses.push(Pause::start(host));
            Some(What::Wake(host))
        }
        8 => {
            site.hosts[host].signal(Signal::SIGHUP);
            None
        }
        9 | 10 => {
            site.configure();
            None
        }
        11 | 12 => {
            let fault = FAULTS[rng.random_range(0..FAULTS.len())];
            site.replicas[replica].set_fault(fault);
            Some(What::Heal(replica))
        }
        13 | 14 => {
            leave(site, replica).await?;
            None
        }
        _ => {
            // Its entry stays until its heartbeats are missed.
            site.replicas[replica].crash();
            replace(site, replica).await?;
            Some(What::Vanish(replica))
        }
    })
}

/// Steps of which one starts a replica again under its identity.
const STEPS_PER_RESTART: u32 = 6;

/// Starts a replica again under its identity, now and then, unless it has announced that it leaves.
fn restart(site: &Site, rng: &mut SmallRng) {
    let replica = rng.random_range(0..site.replicas.len());
    let is_due = rng.random_ratio(1, STEPS_PER_RESTART);
    if is_due && site.replicas[replica].announced_departure_at().is_none() {
        site.replicas[replica].restart();
    }
}

/// Steps of which one lets a replica name another limit, or none any more.
const STEPS_PER_NEED: u32 = 5;

/// Requests a second that replicas in need name.
const NEEDS: std::ops::Range<f64> = 0.0..8.0;

/// Time in which a replica that runs answers, and its longest answer in bytes.
const ASKED_FOR: Duration = Duration::from_millis(500);
const MOST_ANSWER: usize = 64 * 1_024;

/// What two replicas name at last.
const LAST_NEED: &str = "2";

/// Lets a replica get into need or out of it, now and then.
fn change_need(site: &Site, rng: &mut SmallRng) {
    let replica = &site.replicas[rng.random_range(0..site.replicas.len())];
    let rate = rng.random_range(NEEDS).to_string();
    if rng.random_ratio(1, STEPS_PER_NEED) {
        let is_named = replica
            .rate_limits()
            .last()
            .is_some_and(|(_, named)| named.is_some());
        replica.set_rate_limit((!is_named).then_some(&rate));
    }
}

/// Leaves one replica of each service in need through the peace after all faults, in which nothing excuses a host: one
/// that others can stand in for, so that what it does not take is served all the same.
async fn last_needs(site: &Site) {
    let mut staying = Vec::new();
    for replica in &site.replicas {
        replica.set_rate_limit(None);
        if replica.announced_departure_at().is_none() && answers(replica).await {
            staying.push(replica);
        }
    }
    for service in ["llm", "web"] {
        let of_service = |r: &&Replica| r.options.service == service;
        let staying: Vec<&Replica> = staying.iter().copied().filter(of_service).collect();
        let stands_in = |one: &Replica| {
            let others = staying.iter().filter(|r| r.options.id != one.options.id);
            let held: Vec<String> = others.flat_map(|r| r.models().into_keys()).collect();
            staying.len() > 1 && one.models().keys().all(|model| held.contains(model))
        };
        if let Some(replica) = staying.iter().rev().find(|r| stands_in(r)) {
            replica.set_rate_limit(Some(LAST_NEED));
        }
    }
}

/// Whether a replica's process runs.
async fn answers(replica: &Replica) -> bool {
    let Ok(mut line) = conn::Connection::open(replica.addr, ASKED_FOR).await else {
        return false;
    };
    let mut request = hyper::Request::new(conn::Body::default());
    *request.uri_mut() = "/".parse().expect("it is a path");
    line.exchange(request, ASKED_FOR, MOST_ANSWER).await.is_ok()
}

/// Harms a host's way to the store.
fn harm_way(site: &mut Site, host: usize, rng: &mut SmallRng) -> What {
    let delay = Way::Delay(Duration::from_millis(rng.random_range(20..400)));
    let ways = [delay, Way::Reset, Way::DropToTarget, Way::DropFromTarget];
    site.disturb();
    let way = ways[rng.random_range(0..ways.len())];
    site.hosts[host].store.set(way);
    What::Way(host)
}

/// Sends a host's process a signal; it may have to be started again.
fn signal(site: &mut Site, host: usize, signal: Signal) -> What {
    site.disturb();
    site.hosts[host].signal(signal);
    What::Start(host)
}

/// A replica announces that it leaves; another takes its place.
async fn leave(site: &mut Site, replica: usize) -> Result<(), Error> {
    if site.replicas[replica].announced_departure_at().is_none() {
        site.replicas[replica].announce_departure();
        replace(site, replica).await?;
    }
    Ok(())
}

/// Starts a replica in the place of one that is gone.
async fn replace(site: &mut Site, replica: usize) -> Result<(), Error> {
    let gone = &site.replicas[replica].options;
    let (service, models) = (gone.service.clone(), gone.models.clone());
    let models: Vec<&str> = models.iter().map(String::as_str).collect();
    site.add_replica(&service, &models).await
}

/// Undoes the disturbances whose time is over, or all.
async fn undo_due(site: &mut Site, undos: &mut Vec<Undo>, all: bool) -> Result<(), Error> {
    let now = Instant::now();
    let (due, rest): (Vec<Undo>, Vec<Undo>) = std::mem::take(undos)
        .into_iter()
        .partition(|u| all || u.at <= now);
    *undos = rest;
    for undo in due {
        if !matches!(undo.what, What::Heal(_) | What::Vanish(_)) {
            site.disturb();
        }
        match undo.what {
            What::Store => site.store.set_mode(Mode::Up),
            What::Way(host) => site.hosts[host].store.set(Way::Pass),
            What::Wake(host) => {
                site.hosts[host].signal(Signal::SIGCONT);
                site.wake(host);
            }
            What::Start(host) => site.hosts[host].start()?,
            What::Heal(replica) => site.replicas[replica].set_fault(Fault::None),
            What::Vanish(replica) => site.replicas[replica].remove_entry(),
        }
    }
    Ok(())
}
