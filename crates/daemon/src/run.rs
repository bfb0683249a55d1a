//! Startup, drain and shutdown of a daemon.

use crate::cli::Options;
use crate::core::{self, Core};
use crate::entry;
use crate::error::{
    DrainTimeoutSnafu, Error, FrontSnafu, ListenSnafu, ReadSettingsSnafu, RuntimeSnafu,
};
use crate::settings::{self, Settings};
use crate::{distribution, log, operator, planner, polling};
use conn::Server;
use futures::FutureExt;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;
use tracing::info;

/// Running daemon.
pub struct Daemon {
    core: Arc<Core>,
    callers: Server,
    operators: Server,
    tasks: JoinSet<()>,
}

/// Runs the daemon, or checks its settings, as the command line requests.
pub fn run(options: Options) -> Result<(), Error> {
    if is_on_platform(&options.settings) {
        return run_front(&options);
    }
    let settings = settings::load(&options.settings)?;
    if options.check {
        println!("{} is in order.", options.settings.display());
        return Ok(());
    }
    log::start(&settings.log);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(serve(settings))
}

/// Whether a settings file is for a daemon on a platform. False if the file cannot be read,
/// which is reported when it is loaded.
fn is_on_platform(path: &Path) -> bool {
    std::fs::read_to_string(path).is_ok_and(|text| front::settings::is_on_platform(&text))
}

/// Runs a daemon on a platform, or checks its settings.
fn run_front(options: &Options) -> Result<(), Error> {
    let path = &options.settings;
    let text = std::fs::read_to_string(path).context(ReadSettingsSnafu { path })?;
    let settings = front::settings::read(&path.display().to_string(), &text)
        .map_err(|problems| Error::Settings { problems })?;
    if options.check {
        println!("{} is in order.", path.display());
        return Ok(());
    }
    front::run(path, settings).context(FrontSnafu)
}

async fn serve(settings: Settings) -> Result<(), Error> {
    let daemon = spawn(settings).await?;
    let mut term = signal(SignalKind::terminate()).context(RuntimeSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(RuntimeSnafu)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
        _ = daemon.core.shutdown.notified() => {}
    }
    daemon.drain().await
}

/// Starts a daemon; returns once it listens.
pub async fn spawn(settings: Settings) -> Result<Daemon, Error> {
    let callers = listen(settings.caller_addr).await?;
    let operators = listen(settings.operator_addr).await?;
    let core = core::open(settings);
    let max_connections = core.settings.limits.connections;
    let callers = {
        let core = core.clone();
        let handler = move |request| entry::handle(core.clone(), request).map(Ok);
        conn::serve(callers, max_connections, handler)
    }
    .context(RuntimeSnafu)?;
    let operators = {
        let core = core.clone();
        let handler = move |request| operator::handle(core.clone(), request).map(Ok);
        conn::serve(operators, operator::MAX_CONNECTIONS, handler)
    }
    .context(RuntimeSnafu)?;
    let mut tasks = JoinSet::new();
    tasks.spawn(polling::hosts(core.clone()));
    tasks.spawn(polling::reports(core.clone()));
    tasks.spawn(polling::metrics_upkeep(core.clone()));
    tasks.spawn(distribution::follow(core.clone()));
    tasks.spawn(distribution::run_anti_entropy(core.clone()));
    tasks.spawn(planner::run(core.clone()));
    info!(target: "daemon", "{} listens on {} for callers and on {} for operators", core.settings.name, callers.addr, operators.addr);
    Ok(Daemon {
        core,
        callers,
        operators,
        tasks,
    })
}

async fn listen(addr: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(addr).await.context(ListenSnafu { addr })
}

impl Daemon {
    /// Address of the API for callers.
    pub fn callers(&self) -> SocketAddr {
        self.callers.addr
    }

    /// Address of the API for operators.
    pub fn operator(&self) -> SocketAddr {
        self.operators.addr
    }

    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }

    /// Shuts down gracefully: fails the readiness check for the grace period, then refuses new
    /// connections and waits for the open ones.
    ///
    /// # Errors
    ///
    /// Fails if connections are still open when the drain times out.
    pub async fn drain(mut self) -> Result<(), Error> {
        let settings = &self.core.settings;
        self.core.set_draining();
        info!(target: "daemon", "draining: readiness check fails from now, new connections are refused in {}", settings.drain_delay);
        tokio::time::sleep(settings.drain_delay.std()).await;
        let open = self.callers.drain(settings.drain_timeout.std()).await;
        self.tasks.shutdown().await;
        self.operators.abort();
        if open > 0 {
            let limit = settings.drain_timeout;
            return DrainTimeoutSnafu { open, limit }.fail();
        }
        info!(target: "daemon", "drained: no request was interrupted");
        Ok(())
    }

    /// Closes all connections at once, as a killed process would; for tests.
    pub fn kill(self) {
        self.callers.abort();
        self.operators.abort();
    }
}
