//! One play: a site is set up, disturbed, left in peace, and judged.

use crate::accounts;
use crate::check;
use crate::client::{self, Book};
use crate::error::{Error, SystemSnafu};
use crate::faults;
use crate::host::{self, Host};
use crate::options::Options;
use platform::config::Kind;
use platform_standin::Route;
use platform_standin::replica::{self, Options as Replica, Replica as Running};
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
const SETTLES: Duration = Duration::from_secs(8);

/// Time until a replica that a request has ended is back.
const BACK: Duration = Duration::from_millis(1_500);

/// Time of peace in which requests are judged for recovery.
const PEACE: Duration = Duration::from_secs(2);

/// What a play came to.
#[derive(Debug, Default)]
pub struct Played {
    /// Requests that were sent.
    pub requests: usize,
    /// Whole answers.
    pub whole: usize,
    /// Requests that were told not to have run.
    pub not_run: usize,
    /// Requests without a whole answer otherwise.
    pub lost: usize,
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
    pub replicas: Vec<Running>,
    /// Daemons.
    pub hosts: Vec<Host>,
    /// Version of the newest configuration.
    pub version: u64,
    /// When each version was written.
    pub written: Vec<Instant>,
    /// When the store or a host was disturbed, or a disturbance ended.
    pub disturbed: Vec<Instant>,
    /// When hosts stood still.
    pub pauses: Vec<Pause>,
    next_replica: u32,
}

/// Plays one seed.
pub async fn play(options: &Options, seed: u64) -> Result<Played, Error> {
    let folder = folder(seed)?;
    let mut site = set_up(options, &folder).await?;
    sleep(SETTLES).await;
    let book = client::book(site.hosts.iter().map(|h| h.callers).collect());
    let mut clients: Vec<_> = (0..CLIENTS)
        .map(|n| tokio::spawn(client::run(book.clone(), seed * 1_000 + n)))
        .collect();
    clients.push(tokio::spawn(client::insist(book.clone(), seed)));
    let faults = faults::inject(&mut site, seed, options.length).await?;
    sleep(SETTLES).await;
    let in_force = site.in_force().await;
    let peace = Instant::now();
    sleep(PEACE).await;
    book.goes_on.store(false, Ordering::Relaxed);
    for client in clients {
        let _ = client.await;
    }
    let mut played = judge(&site, &book, peace);
    played.violations.extend(in_force);
    played.faults = faults;
    // Logs stay for a look only if a promise was broken.
    match played.violations.is_empty() {
        true => drop(std::fs::remove_dir_all(&folder)),
        false => eprintln!("logs of seed {seed}: {}", folder.display()),
    }
    Ok(played)
}

fn folder(seed: u64) -> Result<PathBuf, Error> {
    let name = format!("coveford-soak-{}-{seed}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let what = folder.display().to_string();
    std::fs::create_dir_all(&folder).context(SystemSnafu { what })?;
    Ok(folder)
}

async fn set_up(options: &Options, folder: &std::path::Path) -> Result<Site, Error> {
    let what = "the store's stand-in";
    let store = store::spawn().await.context(SystemSnafu { what })?;
    let mut site = Site {
        store,
        replicas: Vec::new(),
        hosts: Vec::new(),
        version: 0,
        written: Vec::new(),
        disturbed: Vec::new(),
        pauses: Vec::new(),
        next_replica: 1,
    };
    site.configure();
    for models in [["m1", "m2"], ["m2", "m3"], ["m1", "m3"], ["m1", "m2"]] {
        site.add_replica("llm", &models).await?;
    }
    for _ in 0..3 {
        site.add_replica("web", &[]).await?;
    }
    for n in 1..=options.hosts {
        let name = format!("h{n}");
        let host = host::spawn(&options.program, folder, &name, site.store.addr).await?;
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
    pub fn within(&self, from: Instant, to: Instant) -> Duration {
        let end = self.to.unwrap_or(to).min(to);
        end.saturating_duration_since(self.from.max(from))
    }
}

impl Site {
    /// Ends the pauses of a host.
    pub fn wake(&mut self, host: usize) {
        let now = Instant::now();
        let paused = self.pauses.iter_mut().filter(|p| p.host == host);
        for pause in paused.filter(|p| p.to.is_none()) {
            pause.to = Some(now);
        }
    }

    /// Notes that the store or a host is disturbed now.
    pub fn disturb(&mut self) {
        self.disturbed.push(Instant::now());
    }

    /// Writes a configuration of a new version, with a route of that version.
    pub fn configure(&mut self) {
        self.version += 1;
        self.store
            .put(platform::names::CONFIG, &configuration(self.version));
        self.written.push(Instant::now());
    }

    /// Hosts on which the newest configuration is not in force although all is at peace.
    async fn in_force(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for host in &self.hosts {
            let path = format!("/v{}/x", self.version);
            let status = client::probe(host.callers, &path).await;
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
        let options = Replica {
            id,
            service: service.into(),
            models: models.iter().map(|m| (*m).to_owned()).collect(),
            events: client::EVENTS,
            delay: Duration::from_millis(15),
            fatal_request: (service == "web").then_some((client::FATAL, BACK)),
            ..Replica::default()
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
    platform_standin::with_accounts(configuration, &accounts::of(version))
}

fn judge(site: &Site, book: &Book, peace: Instant) -> Played {
    let told = book.told.lock();
    let violations = check::all(&told, site, peace);
    let is_promise = |t: &client::Told| check::PROMISES.contains(&t.status);
    Played {
        requests: told.len(),
        whole: told.iter().filter(|t| t.status == 200).count(),
        not_run: told.iter().filter(|t| is_promise(t)).count(),
        lost: told
            .iter()
            .filter(|t| t.status != 200 && !is_promise(t))
            .count(),
        faults: 0,
        violations,
    }
}
