//! A daemon in its own process, connected to the store through a proxy.

use crate::accounts::{QUOTA, REVOCATION_BOUND};
use crate::error::{Error, StartSnafu, SystemSnafu};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use platform_standin::link::{self, Endless, Links, Mode as LinkMode};
use platform_standin::ports;
use platform_standin::proxy::{self, Proxy};
use platform_standin::replica::Replica;
use platform_standin::store::Store;
use snafu::ResultExt;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::time::Instant;

/// Daemon that the soak has started.
pub struct Host {
    pub name: String,
    /// Address on which it serves callers.
    pub caller_addr: SocketAddr,
    /// Links between it and the replicas.
    links: Links,
    /// Proxy between it and the store.
    pub store_proxy: Proxy,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
    /// Times at which its process was started or sent a signal, or its links changed.
    pub disturbances: Vec<Instant>,
    /// Changes of its links to the replicas.
    link_changes: Vec<(Instant, LinkMode)>,
}

/// Memory of a host, in MB.
pub const MEMORY_MB: usize = 256;

/// Time after its links are back in which a host may still pass requests on.
const RECONNECT_TIME: Duration = Duration::from_secs(3);

/// Starts a daemon with its settings and log in `dir`.
pub async fn spawn(program: &Path, dir: &Path, name: &str, store: &Store) -> Result<Host, Error> {
    let resource = "links";
    let links = link::spawn(store).await.context(SystemSnafu { resource })?;
    let resource = "a proxy";
    let store_proxy = proxy::spawn(links.store)
        .await
        .context(SystemSnafu { resource })?;
    let caller_addr = ports::free();
    let (window, overage, slack) = QUOTA;
    let text = format!(
        "[daemon]\nname = {name}\nhall = a\ncallers = {caller_addr}\nreadiness = {}\nmetrics = {}\npeers = {}\n\
         [store]\naddress = {}\n[limits]\nmemory_mb = {MEMORY_MB}\n[bounds]\ngrace_seconds = 6\nlease_ms = 1000\n\
         withdrawal_ms = {}\nquota_window_seconds = {}\nquota_overage = {}\nquota_slack = {}\n",
        ports::free(),
        ports::free(),
        ports::free(),
        store_proxy.addr,
        REVOCATION_BOUND.as_millis(),
        window.as_secs_f64(),
        overage,
        slack,
    );
    let settings = dir.join(format!("{name}.ini"));
    let resource = settings.display().to_string();
    std::fs::write(&settings, text).context(SystemSnafu { resource })?;
    let mut host = Host {
        name: name.to_owned(),
        caller_addr,
        links,
        store_proxy,
        program: program.to_owned(),
        log: dir.join(format!("{name}.log")),
        settings,
        process: None,
        disturbances: Vec::new(),
        link_changes: Vec::new(),
    };
    host.start()?;
    Ok(host)
}

impl Host {
    /// Starts its process unless it is running.
    pub fn start(&mut self) -> Result<(), Error> {
        if self.is_running() {
            return Ok(());
        }
        let resource = self.log.display().to_string();
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .context(SystemSnafu { resource })?;
        let program = self.program.clone();
        let process = Command::new(&program)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .context(StartSnafu { program })?;
        self.process = Some(process);
        self.disturbances.push(Instant::now());
        Ok(())
    }

    /// Changes its links to the replicas.
    pub fn set_links(&mut self, mode: LinkMode) {
        self.links.set(mode);
        let now = Instant::now();
        self.disturbances.push(now);
        self.link_changes.push((now, mode));
    }

    /// Lets its links repeat answers, or no longer, unless they are cut. It counts as no disturbance.
    pub fn repeat_answers(&self, mode: LinkMode) {
        match self.links.mode() {
            LinkMode::Up => self.links.set(mode),
            LinkMode::Hang | LinkMode::Reset | LinkMode::RefuseNew => {}
            _ => self.links.set(LinkMode::Up),
        }
    }

    /// Lets a replica answer this host with bytes without end, or as it does. It counts as no disturbance.
    pub fn set_endless(&self, replica: SocketAddr, form: Option<Endless>) {
        self.links.set_endless(replica, form);
    }

    /// Lets all replicas answer this host as they do.
    pub fn clear_endless(&self, replicas: &[Replica]) {
        for replica in replicas {
            self.links.set_endless(replica.addr, None);
        }
    }

    /// Most memory that its running process has had resident, in MB; none if it has ended.
    pub fn peak_memory_mb(&self) -> Option<usize> {
        let id = self.process.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|l| l.starts_with("VmHWM:"))?;
        let kb: usize = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb / 1_024)
    }

    /// Whether another host may have sent its requests at a time.
    pub fn was_cut(&self, at: Instant) -> bool {
        let changes = self.link_changes.iter();
        let last = changes.rev().find(|(changed, _)| *changed <= at);
        last.is_some_and(|(changed, mode)| *mode != LinkMode::Up || at - *changed < RECONNECT_TIME)
    }

    pub fn is_running(&mut self) -> bool {
        match &mut self.process {
            Some(process) => matches!(process.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Sends a signal to its process, if it is still running.
    pub fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        if let Some(process) = &self.process {
            let _ = kill(Pid::from_raw(process.id() as i32), signal);
            self.disturbances.push(Instant::now());
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
