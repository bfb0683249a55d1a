//! One run of the soak: sets up a site, injects faults, lets it recover, and checks it.

use crate::accounts;
use crate::check;
use crate::client::{self, Workload};
use crate::error::{Error, SystemSnafu};
use crate::faults;
use crate::host::{self, Host};
use crate::options::Options;
use crate::pressure;
use crate::resumption;
use crate::segments;
use platform::config::Kind;
use platform_standin::Route;
use platform_standin::link::Mode as LinkMode;
use platform_standin::replica::{self, Options as ReplicaOptions, Replica};
use platform_standin::store::{self, Store};
use serde_json::Value;
use snafu::ResultExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Number of clients in a run.
const CLIENTS: u64 = 24;

/// Number of further clients that take up broken streams.
const TAKING_UP: u64 = 8;

/// Time for the site to start, and to recover once all faults are over.
pub const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Time until a replica that was crashed by a request is back.
const RESTART_TIME: Duration = Duration::from_millis(1_500);

/// Time after recovery in which requests must succeed.
const RECOVERY_WINDOW: Duration = Duration::from_secs(2);

/// Result of a run.
#[derive(Debug, Default)]
pub struct Summary {
    /// Requests sent.
    pub requests: usize,
    /// Requests with status 200.
    pub succeeded: usize,
    /// Requests whose status guarantees that they did not run.
    pub not_run: usize,
    /// All other requests.
    pub failed: usize,
    /// Steps in which faults were injected.
    pub faults: usize,
    /// Streams that clients took up, and that went on.
    pub taken_up: usize,
    /// Violations found by the checks.
    pub violations: Vec<String>,
}

/// Site under test.
pub struct Site {
    pub store: Store,
    /// Replicas, including those that have left or crashed.
    pub replicas: Vec<Replica>,
    pub hosts: Vec<Host>,
    /// Version of the latest configuration.
    pub version: u64,
    /// Time at which each version was written, in order.
    pub config_written: Vec<Instant>,
    /// Times at which a fault of the store or a host began or ended.
    pub disturbances: Vec<Instant>,
    /// Pauses of hosts.
    pub pauses: Vec<Pause>,
    next_replica: u32,
    /// Requests that each replica of the plain service runs at once, if it refuses more.
    places: Option<u32>,
}

/// Runs one seed.
pub async fn run_seed(options: &Options, seed: u64) -> Result<Summary, Error> {
    let dir = create_dir(seed)?;
    let mut site = set_up(options, &dir).await?;
    sleep(SETTLE_TIME).await;
    let workload = client::workload(site.hosts.iter().map(|h| h.caller_addr).collect());
    let mut clients: Vec<_> = (0..CLIENTS)
        .map(|n| tokio::spawn(client::run(workload.clone(), seed * 1_000 + n)))
        .collect();
    clients.push(tokio::spawn(client::send_fatal_requests(
        workload.clone(),
        seed,
    )));
    if options.fatal_segments {
        let sender = segments::send_fatal(workload.clone(), !seed);
        clients.push(tokio::spawn(sender));
    }
    for n in 0..TAKING_UP {
        let seed = !(seed * 1_000 + n);
        clients.push(tokio::spawn(resumption::run(workload.clone(), seed)));
    }
    if options.few_places {
        let pressing = (0..pressure::CLIENTS)
            .map(|n| tokio::spawn(pressure::run(workload.clone(), seed.rotate_left(8) + n)));
        clients.extend(pressing);
    }
    let faults = faults::inject(&mut site, &workload, seed, options.duration).await?;
    workload.pressing.store(false, Ordering::Relaxed);
    site.end_shortage();
    sleep(SETTLE_TIME).await;
    let config_violations = site.check_active_config().await;
    let settled_at = Instant::now();
    sleep(RECOVERY_WINDOW).await;
    workload.running.store(false, Ordering::Relaxed);
    for client in clients {
        let _ = client.await;
    }
    let mut summary = summarize(&site, &workload, settled_at);
    summary.violations.extend(config_violations);
    summary.faults = faults;
    keep_logs(&dir, seed, !summary.violations.is_empty());
    Ok(summary)
}

/// Removes the logs of a seed, or keeps them and tells where they are.
pub fn keep_logs(dir: &Path, seed: u64, is_kept: bool) {
    match is_kept {
        true => eprintln!("logs of seed {seed}: {}", dir.display()),
        false => drop(std::fs::remove_dir_all(dir)),
    }
}

pub fn create_dir(seed: u64) -> Result<PathBuf, Error> {
    let name = format!("coveford-soak-{}-{seed}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    let resource = dir.display().to_string();
    std::fs::create_dir_all(&dir).context(SystemSnafu { resource })?;
    Ok(dir)
}

pub async fn set_up(options: &Options, dir: &Path) -> Result<Site, Error> {
    let resource = "the store's stand-in";
    let store = store::spawn().await.context(SystemSnafu { resource })?;
    let mut site = Site {
        store,
        replicas: Vec::new(),
        hosts: Vec::new(),
        version: 0,
        config_written: Vec::new(),
        disturbances: Vec::new(),
        pauses: Vec::new(),
        next_replica: 1,
        places: options.few_places.then_some(pressure::PLACES),
    };
    site.write_config();
    for models in [["m1", "m2"], ["m2", "m3"], ["m1", "m3"], ["m1", "m2"]] {
        site.add_replica("llm", &models).await?;
    }
    for _ in 0..3 {
        site.add_replica("web", &[]).await?;
    }
    for n in 1..=options.hosts {
        let name = format!("h{n}");
        let host = host::spawn(&options.program, dir, &name, &site.store).await?;
        site.hosts.push(host);
    }
    Ok(site)
}

/// Period in which a host's process was paused.
#[derive(Debug, Clone, Copy)]
pub struct Pause {
    /// Index of the host.
    pub host: usize,
    from: Instant,
    to: Option<Instant>,
}

impl Pause {
    /// Starts a pause now.
    pub fn start(host: usize) -> Pause {
        Pause {
            host,
            from: Instant::now(),
            to: None,
        }
    }

    /// Length of the overlap of the pause with the time from `from` to `to`.
    pub fn overlap(&self, from: Instant, to: Instant) -> Duration {
        let end = self.to.unwrap_or(to).min(to);
        end.saturating_duration_since(self.from.max(from))
    }
}

impl Site {
    /// Ends the pauses of a host.
    pub fn end_pauses(&mut self, host: usize) {
        let now = Instant::now();
        let paused = self.pauses.iter_mut().filter(|p| p.host == host);
        for pause in paused.filter(|p| p.to.is_none()) {
            pause.to = Some(now);
        }
    }

    /// Records that a fault of the store or a host begins or ends now.
    pub fn record_disturbance(&mut self) {
        self.disturbances.push(Instant::now());
    }

    /// Writes the next version of the configuration, which has a route named after the version.
    pub fn write_config(&mut self) {
        self.version += 1;
        self.store
            .put(platform::names::CONFIG, &configuration(self.version));
        self.config_written.push(Instant::now());
    }

    /// Writes the next version of the configuration, with one route to a service that it does not hold.
    pub fn write_config_with_bad_route(&mut self) {
        self.version += 1;
        let configuration = platform_standin::with_malformed_route(configuration(self.version));
        self.store.put(platform::names::CONFIG, &configuration);
        self.config_written.push(Instant::now());
    }

    /// Writes the latest configuration again, after the store has lost it.
    pub fn rewrite_config(&self) {
        let configuration = configuration(self.version);
        self.store.put(platform::names::CONFIG, &configuration);
    }

    /// Lets the links of a host, or of all under a shortage, add answers, or no longer. Under a shortage the cause is a
    /// faulty replica, which does so to all hosts.
    pub fn add_answers(&self, host: &Host, mode: LinkMode) {
        match self.places {
            Some(_) => self.hosts.iter().for_each(|h| h.repeat_answers(mode)),
            None => host.repeat_answers(mode),
        }
    }

    /// Lets the replicas of the plain service run all requests.
    fn end_shortage(&mut self) {
        self.places = None;
        self.replicas.iter().for_each(|r| r.set_places(None));
    }

    /// Reports hosts that do not use the latest configuration.
    async fn check_active_config(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for host in &self.hosts {
            let path = format!("/v{}/x", self.version);
            let status = client::probe(host.caller_addr, &path).await;
            if status == Some(404) || status.is_none() {
                let (name, version) = (&host.name, self.version);
                violations.push(format!(
                    "{name} does not use configuration {version}: its route answered {status:?}"
                ));
            }
        }
        violations
    }

    pub async fn add_replica(&mut self, service: &str, models: &[&str]) -> Result<(), Error> {
        let models = models.iter().map(|m| (*m).to_owned()).collect();
        let options = ReplicaOptions {
            models,
            ..ReplicaOptions::default()
        };
        self.spawn_replica(service, options).await
    }

    /// Adds a replica that has no model loaded, and these on its disk.
    pub async fn add_empty_replica(
        &mut self,
        on_disk: Vec<String>,
        load_time: Duration,
    ) -> Result<(), Error> {
        let options = ReplicaOptions {
            models: Vec::new(),
            on_disk,
            load_time,
            ..ReplicaOptions::default()
        };
        self.spawn_replica("llm", options).await
    }

    async fn spawn_replica(&mut self, service: &str, options: ReplicaOptions) -> Result<(), Error> {
        let id = format!("i-{}", self.next_replica);
        let version = resumption::VERSIONS[self.next_replica as usize % resumption::VERSIONS.len()];
        self.next_replica += 1;
        let options = ReplicaOptions {
            id,
            service: service.into(),
            version: version.into(),
            events: client::EVENTS_PER_STREAM,
            delay: match self.places {
                Some(_) if service == "web" => pressure::WORK,
                _ => Duration::from_millis(15),
            },
            fatal_request: (service == "web").then_some((client::FATAL_BODY, RESTART_TIME)),
            downtime: RESTART_TIME,
            ..options
        };
        let resource = "a replica's stand-in";
        let replica = replica::spawn(&self.store, options)
            .await
            .context(SystemSnafu { resource })?;
        if service == "web" {
            replica.set_places(self.places);
        }
        if service == "llm" {
            replica.set_fatal_segments(&segments::FATAL);
        }
        self.replicas.push(replica);
        Ok(())
    }
}

/// Configuration whose last route exists only in this version.
fn configuration(version: u64) -> Value {
    let stream = |resumable| Kind::Stream { resumable };
    let routes = [
        Route::new("stream", stream(false), "llm", 1),
        Route::new("resume", stream(true), "llm", 2),
        Route::new("once", Kind::NonIdempotent, "web", 2),
        Route::new("single", Kind::NonIdempotent, "web", 1),
        Route::new("again", Kind::Idempotent, "web", 2),
        Route::new(&format!("v{version}"), Kind::Idempotent, "web", 2),
    ];
    let configuration = platform_standin::configuration(version, &routes);
    platform_standin::with_accounts(configuration, &accounts::for_version(version))
}

fn summarize(site: &Site, workload: &Workload, settled_at: Instant) -> Summary {
    let outcomes = workload.outcomes.lock();
    let mut violations = check::all(&outcomes, site, settled_at);
    violations.extend(resumption::check(&workload.streams.lock()));
    let is_not_run = |t: &client::Outcome| check::NOT_RUN_STATUSES.contains(&t.status);
    Summary {
        requests: outcomes.len(),
        succeeded: outcomes.iter().filter(|t| t.status == 200).count(),
        not_run: outcomes.iter().filter(|t| is_not_run(t)).count(),
        failed: outcomes
            .iter()
            .filter(|t| t.status != 200 && !is_not_run(t))
            .count(),
        faults: 0,
        taken_up: workload
            .streams
            .lock()
            .iter()
            .filter(|s| s.attempts > 1)
            .count(),
        violations,
    }
}
