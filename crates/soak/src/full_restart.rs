//! All hosts end at the same moment and start again, beside a store and replicas in trouble.
//!
//! Checks that enough requests are served once the recovery bound has passed since the last start, and that each host serves.

use crate::accounts::Caller;
use crate::client::{self, Kind, Outcome, Workload};
use crate::error::Error;
use crate::host;
use crate::options::Options;
use crate::site::{self, Site, Summary};
use hyper::header::HeaderValue;
use nix::sys::signal::Signal;
use platform_standin::store::{Mode, Store};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Time after the last start from which requests must be served.
const RECOVERY_BOUND: Duration = Duration::from_secs(12);

/// Time after the bound in which they are counted.
const CHECKED_TIME: Duration = Duration::from_secs(4);

/// Share of requests that must be served from the bound on.
const MIN_SERVED: f64 = 0.25;

/// Time between the end of the hosts and their start.
const DOWNTIME: Duration = Duration::from_millis(1_200);

/// Time between two ends of hosts that are ended again while they start.
const REPEAT_INTERVAL: Duration = Duration::from_millis(700);

/// Time for which the store gives no service, in [`Trouble::Away`].
const OUTAGE: Duration = Duration::from_secs(5);

/// Time between two requests to one host.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time to load a model on a replica that has lost its models.
const LOAD_TIME: Duration = Duration::from_millis(2_500);

/// Trouble of the store from the end of the hosts on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Trouble {
    /// None.
    None,
    /// It gives no service for [`OUTAGE`] after the start.
    Away(Mode),
    /// This share of its answers is lost, until the end.
    Lossy(f64),
    /// Each answer takes this time, until the end.
    Slow(Duration),
}

/// What happens beside the end of all hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Trouble of the store.
    pub trouble: Trouble,
    /// Entries of others in the store, some before and some between those of coveford and the replicas.
    pub entries: usize,
    /// Further times that the hosts are ended while they start.
    pub repetitions: u32,
    /// Whether the replicas with models are replaced by ones without.
    pub loses_models: bool,
    /// Whether the newest configuration has a route that no host can decode.
    pub has_bad_route: bool,
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "store {:?}, {} entries", self.trouble, self.entries)?;
        if self.repetitions > 0 {
            write!(f, ", ended {} times more", self.repetitions)?;
        }
        if self.loses_models {
            write!(f, ", models lost")?;
        }
        if self.has_bad_route {
            write!(f, ", bad route")?;
        }
        Ok(())
    }
}

/// Scenario of a seed.
pub fn scenario(seed: u64) -> Scenario {
    let mut rng = SmallRng::seed_from_u64(seed);
    let trouble = match rng.random_range(0..9) {
        0 => Trouble::None,
        1 => Trouble::Away(Mode::Busy),
        2 => Trouble::Away(Mode::Reset),
        3 | 4 => Trouble::Away(Mode::Silent),
        5 => Trouble::Slow(Duration::from_millis(rng.random_range(100..500))),
        _ => Trouble::Lossy(rng.random_range(0.2..0.45)),
    };
    Scenario {
        trouble,
        entries: [0, 60, 180][rng.random_range(0..3)],
        repetitions: [0, 0, 3][rng.random_range(0..3)],
        loses_models: rng.random_ratio(1, 3),
        has_bad_route: rng.random_ratio(1, 4),
    }
}

/// Runs a scenario; the seed decides which requests are sent.
pub async fn run(options: &Options, scenario: &Scenario, seed: u64) -> Result<Summary, Error> {
    let dir = site::create_dir(seed)?;
    let mut site = site::set_up(options, &dir).await?;
    add_entries(&site.store, scenario.entries);
    sleep(site::SETTLE_TIME).await;
    let (back_at, clients, workload) = restart_all(&mut site, scenario, seed).await?;
    sleep_until(back_at + RECOVERY_BOUND + CHECKED_TIME).await;
    workload.running.store(false, Ordering::Relaxed);
    for client in clients {
        let _ = client.await;
    }
    let outcomes = workload.outcomes.lock();
    let violations = check(&mut site, &outcomes, back_at);
    println!(
        "seed {seed}: {scenario}: {}",
        describe(&site, &outcomes, back_at)
    );
    site::keep_logs(&dir, seed, !violations.is_empty());
    Ok(Summary {
        requests: outcomes.len(),
        succeeded: outcomes.iter().filter(|o| o.status == 200).count(),
        violations,
        ..Summary::default()
    })
}

type Clients = Vec<tokio::task::JoinHandle<()>>;

/// Ends all hosts, brings the trouble about, and starts them; returns the time of the last start, and the clients.
async fn restart_all(
    site: &mut Site,
    scenario: &Scenario,
    seed: u64,
) -> Result<(Instant, Clients, Arc<Workload>), Error> {
    site.hosts
        .iter_mut()
        .for_each(|h| h.signal(Signal::SIGKILL));
    begin_trouble(&site.store, scenario.trouble);
    if scenario.has_bad_route {
        site.write_config_with_bad_route();
    }
    if scenario.loses_models {
        lose_models(site).await?;
    }
    sleep(DOWNTIME).await;
    start_all(site)?;
    for _ in 0..scenario.repetitions {
        sleep(REPEAT_INTERVAL).await;
        site.hosts
            .iter_mut()
            .for_each(|h| h.signal(Signal::SIGKILL));
        // The port is free once the process is gone.
        sleep(Duration::from_millis(50)).await;
        start_all(site)?;
    }
    let started = Instant::now();
    let workload = client::workload(site.hosts.iter().map(|h| h.caller_addr).collect());
    let clients = (0..site.hosts.len())
        .map(|host| tokio::spawn(send_steadily(workload.clone(), host, seed)))
        .collect();
    if let Trouble::Away(_) = scenario.trouble {
        sleep(OUTAGE).await;
        site.store.set_mode(Mode::Up);
        return Ok((started + OUTAGE, clients, workload));
    }
    Ok((started, clients, workload))
}

fn start_all(site: &mut Site) -> Result<(), Error> {
    site.hosts.iter_mut().try_for_each(host::Host::start)
}

fn begin_trouble(store: &Store, trouble: Trouble) {
    match trouble {
        Trouble::None => {}
        Trouble::Away(mode) => store.set_mode(mode),
        Trouble::Lossy(share) => store.set_loss(share),
        Trouble::Slow(delay) => store.set_answer_delay(delay),
    }
}

/// Writes entries of others, which hosts read with the rest of the store.
fn add_entries(store: &Store, count: usize) {
    for n in 0..count {
        let prefix = ["op/other", "others"][n % 2];
        store.put(&format!("{prefix}/{n}"), &serde_json::json!({"n": n}));
    }
}

/// Replaces the replicas with models by ones that have them on their disks only.
async fn lose_models(site: &mut Site) -> Result<(), Error> {
    let is_lost = |r: &&platform_standin::replica::Replica| r.options.service == "llm";
    let lost: Vec<Vec<String>> = site
        .replicas
        .iter()
        .filter(is_lost)
        .map(|replica| {
            replica.crash();
            replica.remove_entry();
            replica.options.models.clone()
        })
        .collect();
    for models in lost {
        site.add_empty_replica(models, LOAD_TIME).await?;
    }
    Ok(())
}

/// Sends requests to one host, each over a new connection, whether the ones before were answered or not.
async fn send_steadily(workload: Arc<Workload>, host: usize, seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed + host as u64);
    let mut sent = tokio::task::JoinSet::new();
    while workload.running.load(Ordering::Relaxed) {
        let kind = [Kind::Again, Kind::Stream][rng.random_range(0..2)];
        let model = ["m1", "m2", "m3"][rng.random_range(0..3)];
        let workload = workload.clone();
        sent.spawn(async move {
            let prompt = HeaderValue::from_static("a1:25");
            let _ = client::send(
                &workload,
                (kind, Caller::Steady),
                (model, prompt),
                host,
                None,
            )
            .await;
        });
        sleep(REQUEST_INTERVAL).await;
    }
    while sent.join_next().await.is_some() {}
}

/// Violations after the bound: too few requests served over all hosts, a host that serves none, a process that has ended.
fn check(site: &mut Site, outcomes: &[Outcome], back_at: Instant) -> Vec<String> {
    let due: Vec<&Outcome> = after_bound(outcomes, back_at).collect();
    let served = due.iter().filter(|o| o.status == 200).count();
    let mut violations = Vec::new();
    if (served as f64) < due.len() as f64 * MIN_SERVED {
        let total = due.len();
        violations.push(format!(
            "{served} of {total} requests were served after the recovery bound"
        ));
    }
    for (index, host) in site.hosts.iter_mut().enumerate() {
        let name = &host.name;
        if !due.iter().any(|o| o.host == index && o.status == 200) {
            violations.push(format!("{name} served no request after the recovery bound"));
        }
        if !host.is_running() {
            violations.push(format!("the process of {} has ended", host.name));
        }
    }
    violations
}

fn after_bound(outcomes: &[Outcome], back_at: Instant) -> impl Iterator<Item = &Outcome> {
    outcomes
        .iter()
        .filter(move |o| o.sent >= back_at + RECOVERY_BOUND)
}

/// Time from the hosts' return to the first served request of each host, and what was served after the bound.
fn describe(site: &Site, outcomes: &[Outcome], back_at: Instant) -> String {
    let first = |host: usize, kind: Kind| {
        let served = outcomes
            .iter()
            .filter(|o| o.host == host && o.kind == kind && o.status == 200);
        let ends = served.map(|o| (o.sent + o.elapsed).saturating_duration_since(back_at));
        ends.min()
    };
    let list = |kind| {
        let mut times: Vec<Option<Duration>> =
            (0..site.hosts.len()).map(|h| first(h, kind)).collect();
        times.sort_by_key(|time| time.unwrap_or(Duration::MAX));
        let texts = times.iter().map(|time| match time {
            Some(time) => format!("{:.1}", time.as_secs_f64()),
            None => "never".to_owned(),
        });
        texts.collect::<Vec<String>>().join(" ")
    };
    let total = after_bound(outcomes, back_at).count();
    let served = after_bound(outcomes, back_at)
        .filter(|o| o.status == 200)
        .count();
    format!(
        "first plain answers after {} s, first streams after {} s; {served} of {total} served after the bound",
        list(Kind::Again),
        list(Kind::Stream)
    )
}
