//! A daemon in its own process, connected to the store through a proxy.

use crate::accounts::{QUOTA, REVOCATION_BOUND};
use crate::error::{Error, StartSnafu, SystemSnafu};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use platform_standin::ports;
use platform_standin::proxy::{self, Proxy};
use snafu::ResultExt;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use tokio::time::Instant;

/// Daemon that the soak has started.
pub struct Host {
    pub name: String,
    /// Address on which it serves callers.
    pub caller_addr: SocketAddr,
    /// Proxy between it and the store.
    pub store_proxy: Proxy,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
    /// Times at which its process was started or sent a signal.
    pub disturbances: Vec<Instant>,
}

/// Starts a daemon with its settings and log in `dir`.
pub async fn spawn(
    program: &Path,
    dir: &Path,
    name: &str,
    store: SocketAddr,
) -> Result<Host, Error> {
    let resource = "a proxy";
    let store_proxy = proxy::spawn(store)
        .await
        .context(SystemSnafu { resource })?;
    let caller_addr = ports::free();
    let (window, overage, slack) = QUOTA;
    let text = format!(
        "[daemon]\nname = {name}\nhall = a\ncallers = {caller_addr}\nreadiness = {}\nmetrics = {}\npeers = {}\n\
         [store]\naddress = {}\n[bounds]\ngrace_seconds = 6\nlease_ms = 1000\n\
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
        store_proxy,
        program: program.to_owned(),
        log: dir.join(format!("{name}.log")),
        settings,
        process: None,
        disturbances: Vec::new(),
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
