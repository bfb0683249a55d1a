//! One play: a site is set up, disturbed, left in peace, and judged.

use crate::accounts;
use crate::check;
use crate::client::{self, Workload};
use crate::error::{Error, SystemSnafu};
use crate::faults;
use crate::host::{self, Host};
use crate::options::Options;
use platform::config::Kind;
use platform_standin::Route;
use platform_standin::replica::{self, Options as ReplicaOptions, Replica};
use platform_standin::store::{self, Store};
use serde_json::Value;
use snafu::ResultExt;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Clients of a play.
const CLIENTS: u64 = 24;

/// Time that the site has to come up, and to recover when all faults are over.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Time until a replica that a request has ended is back.
const RESTART_TIME: Duration = Duration::from_millis(1_500);

/// Time of peace in which requests are judged for recovery.
const RECOVERY_WINDOW: Duration = Duration::from_secs(2);

/// What a play came to.
#[derive(Debug, Default)]
pub struct Summary {
    /// Requests that were sent.
    pub requests: usize,
    /// Whole answers.
    pub succeeded: usize,
    /// Requests that were told not to have run.
    pub not_run: usize,
    /// Requests without a whole answer otherwise.
    pub failed: usize,
    /// Faults that were injected.
    pub faults: usize,
    /// Promises that were broken.
    pub violations: Vec<String>,
}

/// Site under test.
pub struct Site {
    /// The store.
    pub store: Store,
    /// Replicas, those included that have left.
    pub replicas: Vec<Replica>,
    /// Daemons.
    pub hosts: Vec<Host>,
    /// Version of the newest configuration.
    pub version: u64,
    /// When each version was written.
    pub config_written: Vec<Instant>,
    /// When the store or a host was disturbed, or a disturbance ended.
    pub disturbances: Vec<Instant>,
    /// When hosts stood still.
    pub pauses: Vec<Pause>,
    next_replica: u32,
}

/// Plays one seed.
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
    let faults = faults::inject(&mut site, seed, options.duration).await?;
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
    // Logs stay for a look only if a promise was broken.
    match summary.violations.is_empty() {
        true => drop(std::fs::remove_dir_all(&dir)),
        false => eprintln!("logs of seed {seed}: {}", dir.display()),
    }
    Ok(summary)
}

fn create_dir(seed: u64) -> Result<PathBuf, Error> {
    let name = format!("coveford-soak-{}-{seed}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    let what = dir.display().to_string();
    std::fs::create_dir_all(&dir).context(SystemSnafu { what })?;
    Ok(dir)
}

async fn set_up(options: &Options, dir: &std::path::Path) -> Result<Site, Error> {
    let what = "the store's stand-in";
    let store = store::spawn().await.context(SystemSnafu { what })?;
    let mut site = Site {
        store,
        replicas: Vec::new(),
        hosts: Vec::new(),
        version: 0,
        config_written: Vec::new(),
        disturbances: Vec::new(),
        pauses: Vec::new(),
        next_replica: 1,
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
        let host = host::spawn(&options.program, dir, &name, site.store.addr).await?;
        site.hosts.push(host);
    }
    Ok(site)
}

/// Time in which a host's process was paused.
#[derive(Debug, Clone, Copy)]
pub struct Pause {
    /// The host, by index.
    pub host: usize,
    from: Instant,
    to: Option<Instant>,
}

impl Pause {
    /// A pause that starts now.
    pub fn start(host: usize) -> Pause {
        Pause {
            host,
            from: Instant::now(),
            to: None,
        }
    }

    /// Part of a span of time that falls into the pause.
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

    /// Notes that the store or a host is disturbed now.
    pub fn record_disturbance(&mut self) {
        self.disturbances.push(Instant::now());
    }

    /// Writes a configuration of a new version, with a route of that version.
    pub fn write_config(&mut self) {
        self.version += 1;
        self.store
            .put(platform::names::CONFIG, &configuration(self.version));
        self.config_written.push(Instant::now());
    }

    /// Hosts on which the newest configuration is not in force although all is at peace.
    async fn check_active_config(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for host in &self.hosts {
            let path = format!("/v{}/x", self.version);
            let status = client::probe(host.caller_addr, &path).await;
            if status == Some(404) || status.is_none() {
                let (name, version) = (&host.name, self.version);
                violations.push(format!(
                    "configuration {version} is not in force on {name}: {status:?}"
                ));
            }
        }
        violations
    }

    /// Starts a replica.
    pub async fn add_replica(&mut self, service: &str, models: &[&str]) -> Result<(), Error> {
        let id = format!("i-{}", self.next_replica);
        self.next_replica += 1;
        let options = ReplicaOptions {
            id,
            service: service.into(),
            models: models.iter().map(|m| (*m).to_owned()).collect(),
            events: client::EVENTS_PER_STREAM,
            delay: Duration::from_millis(15),
            fatal_request: (service == "web").then_some((client::FATAL_BODY, RESTART_TIME)),
            ..ReplicaOptions::default()
        };
        let what = "a replica's stand-in";
        let replica = replica::spawn(&self.store, options)
            .await
            .context(SystemSnafu { what })?;
        self.replicas.push(replica);
        Ok(())
    }
}

/// Configuration whose last route is one of its version only.
fn configuration(version: u64) -> Value {
    let stream = |resumable| Kind::Stream { resumable };
    let routes = [
        Route::new("stream", stream(false), "llm", 1),
        Route::new("resume", stream(true), "llm", 2),
        Route::new("once", Kind::NonIdempotent, "web", 2),
        Route::new("again", Kind::Idempotent, "web", 2),
        Route::new(&format!("v{version}"), Kind::Idempotent, "web", 2),
    ];
    let configuration = platform_standin::configuration(version, &routes);
    platform_standin::with_accounts(configuration, &accounts::for_version(version))
}

fn summarize(site: &Site, workload: &Workload, settled_at: Instant) -> Summary {
    let outcomes = workload.outcomes.lock();
    let violations = check::all(&outcomes, site, settled_at);
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
        violations,
    }
}
