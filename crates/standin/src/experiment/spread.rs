//! Time from an accepted roll to in force everywhere, calls on the key-value service and control
//! bytes, over the number of daemons: the relay tree against every daemon watching the service.

use super::Options;
use super::measure::Latency;
use crate::fleet::{self, Fleet, Plan};
use crate::kv::Faults;
use backing::hosts::{Host, Kind};
use cli::render::{print_json, print_line, table};
use conn::Server;
use daemon::core::{self, Core};
use daemon::{distribution, operator};
use futures::FutureExt;
use serde_json::json;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// Numbers of daemons.
const SIZES: [usize; 4] = [9, 50, 150, 300];

/// Bundles rolled at each size.
const ROLLS: usize = 12;

/// Models of the bundle.
const MODELS: usize = 200;

/// Halls.
const HALLS: usize = 3;

/// Time in which a bundle must be in force everywhere.
const LIMIT: Duration = Duration::from_secs(20);

/// Way a bundle goes to the daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Relays watch the service, the others follow them.
    Tree,
    /// The same, with the first relay of each hall dead.
    TreeRelayDead,
    /// The same, with the service cut off as soon as the first daemon has the bundle.
    TreeServiceDies,
    /// Every daemon watches the service.
    Flat,
}

impl Way {
    fn name(self) -> &'static str {
        match self {
            Way::Tree => "relay tree",
            Way::TreeRelayDead => "relay tree, a relay of each hall dead",
            Way::TreeServiceDies => "relay tree, service lost mid-spread",
            Way::Flat => "every daemon watches",
        }
    }
}

/// Daemon with nothing but its spread part.
struct Part {
    core: Arc<Core>,
    _server: Server,
    _tasks: JoinSet<()>,
}

/// Figures of one way at one size.
struct Figures {
    way: Way,
    daemons: usize,
    lag: Latency,
    calls_per_roll: f64,
    bytes_per_roll: f64,
}

/// Measures and prints.
pub(super) fn run(options: &Options) -> io::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    let mut figures = Vec::new();
    for daemons in SIZES {
        for way in [
            Way::Tree,
            Way::TreeRelayDead,
            Way::TreeServiceDies,
            Way::Flat,
        ] {
            figures.push(runtime.block_on(measure(daemons, way))?);
        }
    }
    print(options, &figures);
    Ok(())
}

async fn measure(daemons: usize, way: Way) -> io::Result<Figures> {
    let fleet = fleet::bind(Plan {
        halls: HALLS,
        engines: 100,
        daemons: 0,
        services: 0,
        ..Plan::default()
    })
    .await?;
    let parts = parts(&fleet, daemons, way).await?;
    let mut lag = Latency::new();
    fleet.roll(&bundle(0)).await.map_err(io::Error::other)?;
    reached(&parts, 1, &mut Latency::new()).await?;
    let (mut calls, bytes) = (0, bytes(&parts));
    for i in 1..=ROLLS {
        fleet.kv.set_faults(Faults::default());
        let head = fleet.roll(&bundle(i)).await.map_err(io::Error::other)?;
        let rolled = fleet.kv.calls();
        let cut = async {
            if way == Way::TreeServiceDies {
                while parts
                    .iter()
                    .all(|p| p.core.active_bundle.sequence() < head.sequence)
                {
                    sleep(Duration::from_millis(1)).await;
                }
                fleet.kv.set_faults(Faults {
                    down: true,
                    ..Faults::default()
                });
            }
        };
        let (reached, ()) = tokio::join!(reached(&parts, head.sequence, &mut lag), cut);
        reached?;
        // The roll's own calls are the operator's, not the spread's.
        calls += fleet.kv.calls().saturating_sub(rolled);
    }
    let sent = self::bytes(&parts) - bytes;
    Ok(Figures {
        way,
        daemons,
        lag,
        calls_per_roll: calls as f64 / ROLLS as f64,
        bytes_per_roll: sent / ROLLS as f64 / daemons as f64,
    })
}

/// A bundle in which one model differs from roll to roll.
fn bundle(i: usize) -> String {
    fleet::sample(MODELS, 0).replacen("version = 1", &format!("version = {}", i + 1), 1)
}

async fn parts(fleet: &Fleet, daemons: usize, way: Way) -> io::Result<Vec<Part>> {
    let mut parts = Vec::new();
    let mut hosts = Vec::new();
    for i in 0..daemons {
        let settings = fleet.settings(&format!("d{i:03}"), i % HALLS)?;
        let core = core::open(settings);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let shared = core.clone();
        let server = conn::serve(listener, operator::MAX_CONNECTIONS, move |request| {
            operator::handle(shared.clone(), request).map(Ok)
        })?;
        hosts.push(Host {
            name: core.settings.name.clone(),
            addr: server.addr,
            hall: core.settings.hall.clone(),
            leaving: false,
            kind: Kind::Daemon {
                callers: server.addr,
            },
        });
        parts.push(Part {
            core,
            _server: server,
            _tasks: JoinSet::new(),
        });
    }
    for part in &parts {
        // A daemon that knows of no peers watches the service itself.
        *part.core.peers.write() = match way {
            Way::Flat => Vec::new(),
            _ => hosts.clone(),
        };
    }
    if way == Way::TreeRelayDead {
        kill_relays(&mut parts);
    }
    for part in &mut parts {
        part._tasks.spawn(distribution::follow(part.core.clone()));
        part._tasks
            .spawn(distribution::run_anti_entropy(part.core.clone()));
    }
    Ok(parts)
}

/// Takes one relay of each hall away, while the host list still names it.
fn kill_relays(parts: &mut Vec<Part>) {
    for hall in 0..HALLS {
        let hall = fleet::hall(hall);
        let relay = |p: &Part| p.core.settings.hall == hall && distribution::is_relay(&p.core);
        if let Some(at) = parts.iter().position(relay) {
            parts.remove(at);
        }
    }
}

/// Waits until every daemon has a bundle; notes each one's lag.
async fn reached(parts: &[Part], sequence: u64, lag: &mut Latency) -> io::Result<()> {
    let from = Instant::now();
    let mut waiting = JoinSet::new();
    for part in parts {
        let mut current = part.core.active_bundle.subscribe();
        waiting.spawn(async move {
            let reached = timeout(LIMIT, current.wait_for(|s| *s >= sequence)).await;
            reached.is_ok().then(|| from.elapsed())
        });
    }
    while let Some(done) = waiting.join_next().await {
        match done {
            Ok(Some(took)) => lag.add(took),
            _ => return Err(io::Error::other("a daemon did not get the bundle in time")),
        }
    }
    Ok(())
}

/// Control bytes that daemons have sent and received between each other.
fn bytes(parts: &[Part]) -> f64 {
    let of = |part: &Part| -> f64 {
        let text = part.core.metrics.render();
        let lines = text
            .lines()
            .filter(|l| l.starts_with("coveford_control_bytes_total{"));
        lines
            .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    };
    parts.iter().map(of).sum()
}

fn print(options: &Options, figures: &[Figures]) {
    if options.json {
        let list: Vec<_> = figures
            .iter()
            .map(|f| {
                json!({
                    "way": f.way.name(),
                    "daemons": f.daemons,
                    "lag_ms": {"p50": f.lag.at(0.5).ms(), "p99": f.lag.at(0.99).ms(), "most": f.lag.at(1.0).ms()},
                    "kv_calls_per_roll": f.calls_per_roll,
                    "bytes_per_daemon_per_roll": f.bytes_per_roll,
                })
            })
            .collect();
        return print_json(&list);
    }
    let rows = figures.iter().map(|f| {
        [
            f.daemons.to_string(),
            f.way.name().to_owned(),
            f.lag.at(0.5).to_string(),
            f.lag.at(0.99).to_string(),
            f.lag.at(1.0).to_string(),
            format!("{:.1}", f.calls_per_roll),
            format!("{:.0}", f.bytes_per_roll),
        ]
    });
    print_line(table(
        [
            "DAEMONS",
            "WAY",
            "p50",
            "p99",
            "MOST",
            "KV CALLS A ROLL",
            "BYTES A DAEMON A ROLL",
        ],
        rows.collect(),
    ));
}
