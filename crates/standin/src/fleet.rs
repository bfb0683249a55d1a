//! A whole small system in one process: stand-ins, daemons, and operators with keys.

use crate::engine::{self, Engine};
use crate::hosts::{self, Hosts};
use crate::kv::{self, Kv, Rates};
use crate::service::{self, Service};
use backing::hosts::{Host, Kind};
use bundle::Head;
use bundle::key::public_key;
use cli::bundles::{self, Signing};
use cli::{Error, Tool};
use daemon::settings::{self, Settings};
use daemon::{Daemon, spawn};
use ed25519_dalek::SigningKey;
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use tokio::time::{Instant, sleep};
use unit::Name;

/// Key of the first caller.
pub const KEY_ONE: &str = "key-of-nyabarongo";
/// Key of the second caller.
pub const KEY_TWO: &str = "key-of-roasters";

/// Time for a system to come up.
const PATIENCE: Duration = Duration::from_secs(20);

/// What a system is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Halls.
    pub halls: usize,
    /// Engines in each hall.
    pub engines: usize,
    /// Daemons in each hall.
    pub daemons: usize,
    /// Plain services in each hall.
    pub services: usize,
    /// How engines are.
    pub engine: engine::Settings,
    /// Lag of the host list.
    pub host_lag: Duration,
    /// Seed of the key-value service's faults.
    pub seed: u64,
    /// Calls a second that the key-value service takes.
    pub rates: Rates,
    /// Further sections for the daemons' settings.
    pub settings: String,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            halls: 3,
            engines: 2,
            daemons: 1,
            services: 1,
            engine: engine::Settings::default(),
            host_lag: Duration::from_millis(100),
            seed: 1,
            rates: Rates::default(),
            settings: QUICK.into(),
        }
    }
}

/// Settings that make a small system quick: short ticks, and a store without bounds to speak of.
pub const QUICK: &str = "[planner]\ntick = 50ms\nlease = 1s\nloads_per_second = 1000\nconcurrent_loads = 1000\n[reports]\nevery = 100ms\nper_second = 1000\nlag = 20ms\n[log]\nlevel = warn\n";

/// Operator with a key.
pub struct Operator {
    /// Its name.
    pub name: Name,
    /// Its key.
    pub key: SigningKey,
}

/// Running system.
pub struct Fleet {
    /// Key-value service.
    pub kv: Kv,
    /// Host list.
    pub hosts: Hosts,
    /// Engines with their names.
    pub engines: Vec<(Name, Engine)>,
    /// Plain services with their names.
    pub services: Vec<(Name, Service)>,
    /// Daemons.
    pub daemons: Vec<Daemon>,
    /// Operators' tool.
    pub tool: Tool,
    /// Operators.
    pub operators: Vec<Operator>,
    plan: Plan,
    wire_key: String,
}

/// Starts a system; no bundle is in force yet.
pub async fn bind(plan: Plan) -> io::Result<Fleet> {
    let kv = kv::bind(plan.seed, plan.rates).await?;
    let hosts = hosts::bind(plan.host_lag).await?;
    let operators: Vec<Operator> = ["alice", "bob", "carol"]
        .iter()
        .enumerate()
        .map(|(i, name)| Operator {
            name: (*name).into(),
            key: SigningKey::from_bytes(&[i as u8 + 1; 32]),
        })
        .collect();
    let wire_key = "5a".repeat(32);
    let text = shared_settings(&kv, &hosts, &operators, &wire_key);
    let mut fleet = Fleet {
        tool: cli::open(tool_settings(&text)?),
        kv,
        hosts,
        engines: Vec::new(),
        services: Vec::new(),
        daemons: Vec::new(),
        operators,
        plan: plan.clone(),
        wire_key,
    };
    for hall in 0..plan.halls {
        for i in 0..plan.engines {
            fleet.add_engine(hall, i, plan.engine.clone()).await?;
        }
        for i in 0..plan.services {
            fleet.add_service(hall, i).await?;
        }
    }
    for hall in 0..plan.halls {
        for i in 0..plan.daemons {
            fleet.add_daemon(hall, i).await?;
        }
    }
    // The list shows its last change once its lag has passed.
    sleep(plan.host_lag + Duration::from_millis(20)).await;
    Ok(fleet)
}

fn shared_settings(kv: &Kv, hosts: &Hosts, operators: &[Operator], wire_key: &str) -> String {
    let mut text = format!(
        "[platform]\nkv = {}\nhosts = {}\ncall_limit = 500ms\n[wire]\nkey = {wire_key}\n[approvals]\nneeded = 1\n",
        kv.addr, hosts.addr
    );
    for operator in operators {
        let key = public_key(&operator.key);
        let _ = write!(text, "[operator {}]\nkey = {key}\n", operator.name);
    }
    text
}

fn tool_settings(text: &str) -> io::Result<settings::Tool> {
    let read = settings::read_tool("tool.ini", text);
    read.map_err(|problems| io::Error::other(format!("{problems:?}")))
}

/// Port of loopback that is free now.
pub fn free_addr() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Name of a hall.
pub fn hall(i: usize) -> Name {
    format!("hall-{}", (b'a' + i as u8) as char).into()
}

impl Fleet {
    /// Starts an engine and lists it.
    pub async fn add_engine(
        &mut self,
        hall_index: usize,
        i: usize,
        engine: engine::Settings,
    ) -> io::Result<()> {
        let memory = engine.memory;
        let made = engine::bind(engine).await?;
        let name: Name = format!("engine-{}{}", (b'a' + hall_index as u8) as char, i + 1).into();
        self.hosts.put(Host {
            name: name.clone(),
            addr: made.addr,
            hall: hall(hall_index),
            leaving: false,
            kind: Kind::Engine { memory },
        });
        self.engines.push((name, made));
        Ok(())
    }

    async fn add_service(&mut self, hall_index: usize, i: usize) -> io::Result<()> {
        let made = service::bind().await?;
        let name: Name = format!("labels-{}{}", (b'a' + hall_index as u8) as char, i + 1).into();
        self.hosts.put(Host {
            name: name.clone(),
            addr: made.addr,
            hall: hall(hall_index),
            leaving: false,
            kind: Kind::Service {
                service: "labels".into(),
            },
        });
        self.services.push((name, made));
        Ok(())
    }

    /// Starts a daemon and lists it.
    pub async fn add_daemon(&mut self, hall_index: usize, i: usize) -> io::Result<()> {
        let name: Name = format!("d{}{}", (b'a' + hall_index as u8) as char, i + 1).into();
        let daemon = spawn(self.settings(&name, hall_index)?)
            .await
            .map_err(io::Error::other)?;
        self.hosts.put(Host {
            name,
            addr: daemon.operator(),
            hall: hall(hall_index),
            leaving: false,
            kind: Kind::Daemon {
                callers: daemon.callers(),
            },
        });
        self.daemons.push(daemon);
        Ok(())
    }

    /// Text of a daemon's settings at free ports.
    pub fn settings_text(&self, name: &str, hall_index: usize) -> io::Result<String> {
        let (callers, operator) = (free_addr()?, free_addr()?);
        let mut text = format!(
            "[daemon]\nname = {name}\nhall = {}\ncallers = {callers}\noperator = {operator}\ndrain = 30s\ngrace = 100ms\n",
            hall(hall_index)
        );
        text += &shared_settings(&self.kv, &self.hosts, &self.operators, &self.wire_key);
        text += &self.plan.settings;
        text += "[distance]\n";
        for i in 0..self.plan.halls {
            let _ = writeln!(text, "{} = 500us", hall(i));
        }
        Ok(text)
    }

    /// Settings of a daemon at free ports.
    pub fn settings(&self, name: &str, hall_index: usize) -> io::Result<Settings> {
        let text = self.settings_text(name, hall_index)?;
        let read = settings::read(&format!("{name}.ini"), &text);
        let mut settings = read.map_err(|problems| io::Error::other(format!("{problems:?}")))?;
        // In one process the system may choose ports itself: none is taken in between.
        settings.callers.set_port(0);
        settings.operator.set_port(0);
        Ok(settings)
    }

    /// Proposes, approves and rolls a bundle, as two operators would.
    pub async fn roll(&self, text: &str) -> Result<Head, Error> {
        let draft = bundles::propose(&self.tool, "sample.ini", text, &self.signing(0)).await?;
        bundles::approve(&self.tool, &draft.id, &self.signing(1)).await?;
        bundles::roll(&self.tool, &draft.id).await
    }

    /// An operator, ready to sign.
    pub fn signing(&self, i: usize) -> Signing<'_> {
        Signing {
            operator: &self.operators[i].name,
            key: &self.operators[i].key,
        }
    }

    /// Waits until every daemon has the bundle and sees every model ready.
    pub async fn ready(&self, sequence: u64) -> bool {
        self.eventually(PATIENCE, || self.is_ready(sequence)).await
    }

    fn is_ready(&self, sequence: u64) -> bool {
        self.daemons.iter().all(|daemon| {
            let core = daemon.core();
            let Some(current) = core.in_force() else {
                return false;
            };
            let models = current.intent.models.keys().map(|m| (m.clone(), None));
            let adapters = current.intent.adapters.iter();
            let adapters = adapters.map(|(a, e)| (e.model.clone(), Some(a.clone())));
            let reachable = |(model, adapter)| {
                let target = daemon::fleet::Target::Model { model, adapter };
                core.fleet.is_reachable(&target)
            };
            current.head.sequence >= sequence && models.chain(adapters).all(reachable)
        })
    }

    /// Looks again and again until something holds, or patience runs out.
    pub async fn eventually(&self, patience: Duration, holds: impl Fn() -> bool) -> bool {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            if holds() {
                return true;
            }
            sleep(Duration::from_millis(10)).await;
        }
        holds()
    }

    /// Engine of a name.
    pub fn engine(&self, name: &str) -> &Engine {
        let found = self.engines.iter().find(|(n, _)| &**n == name);
        &found.expect("the engine is one of this system's").1
    }
}

/// Sample bundle: models and adapters of two callers, and a service whose prints may not repeat.
pub fn sample(models: usize, adapters: usize) -> String {
    let hash = |key: &str| bundle::part::hash(key.as_bytes());
    let mut text = String::from(
        "[bundle]\ntitle = sample\n[weights]\nattainment = 1\nmoves = 1\n[upstreams]\nfencing = engine-*\n\
         [class defect]\npriority = 9\nfirst_token = 1600ms\nbetween_tokens = 33ms\ndeadline = 20s\n\
         [class lookup]\npriority = 6\nfirst_token = 500ms\ndeadline = 10s\n\
         [class summary]\npriority = 1\nfirst_token = 5s\nbetween_tokens = 200ms\ndeadline = 60s\n\
         [service labels]\npath = /labels/\nclass = lookup\nunrepeatable = POST /print*\nrefusal_status = 503\n",
    );
    let _ = write!(
        text,
        "[caller nyabarongo]\nkeys = {}\nweight = 3\nclasses = defect, lookup, summary\n[caller roasters]\nkeys = {}\nclasses = summary\n",
        hash(KEY_ONE),
        hash(KEY_TWO)
    );
    for i in 0..models {
        let class = ["defect", "lookup", "summary"][i % 3];
        let memory = 6 + i % 4;
        let _ = write!(
            text,
            "[model judge-{i:02}]\nversion = 1\nmemory = {memory}GB\nclass = {class}\nleast = {}\n",
            1 + usize::from(i % 6 == 0)
        );
    }
    for i in 0..adapters {
        let _ = write!(
            text,
            "[adapter lot-{i:02}]\nmodel = judge-{:02}\nmemory = 200MB\n",
            i % models.max(1)
        );
    }
    text
}
