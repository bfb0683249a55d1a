//! Settings of a daemon on a platform, read from an INI file.

use bundle::ini::{self, Document, Fields, Problem, Problems, Section};
use std::net::SocketAddr;
use std::time::Duration;
use unit::Name;

#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of this host.
    pub name: Name,
    /// Data hall of this host.
    pub hall: Name,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for readiness checks.
    pub readiness: SocketAddr,
    /// Listener for metrics.
    pub metrics: SocketAddr,
    /// Listener for other daemons: UDP for datagrams, TCP for polls of store changes.
    pub peers: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Bounds set by the platform.
    pub bounds: Bounds,
    /// Resource limits of this process.
    pub limits: Limits,
    /// Optional parts of scheduling.
    pub scheduling: Scheduling,
    pub log: Log,
}

/// Whether an optional part of scheduling is in use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Mode {
    /// In use for the services whose configuration calls for it (see [`crate::features`]).
    #[default]
    Auto,
    On,
    Off,
}

/// Optional parts of scheduling.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Scheduling {
    /// Speeds learned for each replica rather than for each model.
    pub replica_speeds: Mode,
    /// A limit on prompts beside streams that follows from the pauses their routes allow.
    pub pause_limits: Mode,
    /// Admission by a forecast: late service, and work that waits for idle capacity.
    pub waiting_room: Mode,
    /// Places of small plain services given out by one host.
    pub dispatch: Mode,
    /// Copies of models placed ahead of demand.
    pub early_copies: Mode,
    /// Whether the last copy of an idle model may give way to a model in demand while its weights lie in memory or on
    /// disk of several replicas. Requests for it then wait for an unload and a load; by default it stays.
    pub evict_idle_models: Mode,
    /// New connections that are closed unread while this process is short of processor time.
    pub shedding: Mode,
}

/// Log settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Log {
    /// Filter in the syntax of `EnvFilter`, such as `info`.
    pub level: Name,
    /// One request in this many is logged completely.
    pub sample: u64,
}

/// Bounds set by the platform.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Grace period from the stop signal until the process is killed.
    pub grace: Duration,
    /// Minimum time between the last order of one leader and the first of the next.
    pub lease: Duration,
    /// Time within which a configuration must be in force.
    pub configuration: Duration,
    /// Time within which a leaving replica must stop receiving requests.
    pub leaving: Duration,
    /// Interval at which a replica writes its entry; the store drops the entry after three missed writes.
    pub heartbeat: Duration,
    /// Time within which a revoked key must be rejected by every host; none if this binds only hosts that reach the
    /// store.
    pub withdrawal: Option<Duration>,
    /// Window over which the usage of client accounts is measured.
    pub quota_window: Duration,
    /// Fraction by which an account may exceed its quota in that window.
    pub quota_overage: f64,
    /// Units by which an account may exceed its quota in addition.
    pub quota_slack: f64,
    /// Retry budget as a fraction of a service's requests.
    pub retry_share: f64,
    /// Additional retries over all hosts.
    pub retry_slack: f64,
    /// Window over which retries are measured.
    pub retry_window: Duration,
    /// Window over which loads from the weight store are counted.
    pub load_window: Duration,
    /// Factor by which loads may exceed their rate in that window.
    pub load_overage: f64,
}

impl Bounds {
    /// Propagation bound: the shortest time within which a change in the store must take effect.
    pub fn propagation(&self) -> Duration {
        self.leaving.min(self.configuration)
    }
}

/// Resource limits of this process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum open file descriptors.
    pub descriptors: usize,
    /// Memory, in MB.
    pub memory_mb: usize,
    /// CPU, in cores.
    pub cores: f64,
}

/// Default of `sample`. A line costs about 20 µs, a request about 200 µs.
const DEFAULT_SAMPLE: u64 = 64;

/// Sections of a settings file.
const SECTIONS: [&str; 6] = ["daemon", "store", "bounds", "limits", "scheduling", "log"];

/// Whether the settings are of a daemon on a platform: they name a store.
pub fn is_on_platform(text: &str) -> bool {
    let document = ini::parse(text, &mut Problems::new(""));
    document.sections.iter().any(|s| &*s.kind == "store")
}

/// Parses settings; all problems are reported at once.
pub fn read(file: &str, text: &str) -> Result<Settings, Vec<Problem>> {
    let mut problems = Problems::new(file);
    let document = ini::parse(text, &mut problems);
    for section in &document.sections {
        if !SECTIONS.contains(&&*section.kind) || !section.name.is_empty() {
            let header = ini::header(section);
            let known = SECTIONS.join(", ");
            problems.add(
                section.line,
                format!("[{header}] is not a section of the settings; known are: {known}."),
            );
        }
    }
    let settings = assemble(&document, &mut problems);
    let settings = problems.into_result(settings)?;
    Ok(settings.expect("settings without problems are complete"))
}

fn assemble(document: &Document, problems: &mut Problems) -> Option<Settings> {
    let section = document.section("daemon");
    let mut fields = Fields::new(&section, problems);
    let name = fields.required("name");
    let hall = fields.required("hall");
    let callers = fields.parsed("callers");
    let readiness = fields.parsed("readiness");
    let metrics = fields.parsed("metrics");
    let peers = fields.parsed("peers");
    fields.finish();
    let section = document.section("store");
    let mut fields = Fields::new(&section, problems);
    let store = fields.parsed("address");
    fields.finish();
    let bounds = read_bounds(&document.section("bounds"), problems);
    let limits = read_limits(&document.section("limits"), problems);
    let scheduling = read_scheduling(&document.section("scheduling"), problems);
    let log = read_log(&document.section("log"), problems);
    Some(Settings {
        name: name?,
        hall: hall?,
        callers: callers?,
        readiness: readiness?,
        metrics: metrics?,
        peers: peers?,
        store: store?,
        bounds,
        limits,
        scheduling,
        log,
    })
}

/// The defaults are the bounds of the two sites that coveford was first deployed on.
fn read_bounds(section: &Section, problems: &mut Problems) -> Bounds {
    let mut fields = Fields::new(section, problems);
    let seconds = |s: f64| Duration::from_secs_f64(s);
    let bounds = Bounds {
        grace: seconds(fields.value("grace_seconds", 8.0, 0.5..=3_600.0)),
        lease: seconds(fields.value("lease_ms", 3_000.0, 100.0..=600_000.0) / 1e3),
        configuration: seconds(fields.value("configuration_ms", 2_000.0, 10.0..=600_000.0) / 1e3),
        leaving: seconds(fields.value("leaving_ms", 2_000.0, 10.0..=600_000.0) / 1e3),
        heartbeat: seconds(fields.value("heartbeat_ms", 1_200.0, 10.0..=600_000.0) / 1e3),
        withdrawal: fields
            .optional("withdrawal_ms", 100.0..=600_000.0)
            .map(|ms: f64| seconds(ms / 1e3)),
        quota_window: seconds(fields.value("quota_window_seconds", 8.0, 0.1..=3_600.0)),
        quota_overage: fields.value("quota_overage", 0.0, 0.0..=100.0),
        quota_slack: fields.value("quota_slack", 0.0, 0.0..=1e12),
        retry_share: fields.value("retry_share", 0.2, 0.0..=10.0),
        retry_slack: fields.value("retry_slack", 10.0, 0.0..=1e6),
        retry_window: seconds(fields.value("retry_window_seconds", 10.0, 0.1..=3_600.0)),
        load_window: seconds(fields.value("load_window_seconds", 5.0, 0.1..=3_600.0)),
        load_overage: fields.value("load_overage", 1.0, 0.1..=100.0),
    };
    fields.finish();
    bounds
}

fn read_limits(section: &Section, problems: &mut Problems) -> Limits {
    let mut fields = Fields::new(section, problems);
    let limits = Limits {
        descriptors: fields.value("descriptors", 4_096, 256..=10_000_000),
        memory_mb: fields.value("memory_mb", 256, 32..=1_000_000),
        cores: fields.value("cores", 1.0, 0.001..=1_024.0),
    };
    fields.finish();
    limits
}

fn read_scheduling(section: &Section, problems: &mut Problems) -> Scheduling {
    let mut fields = Fields::new(section, problems);
    let scheduling = Scheduling {
        replica_speeds: read_mode(&mut fields, "replica_speeds"),
        pause_limits: read_mode(&mut fields, "pause_limits"),
        waiting_room: read_mode(&mut fields, "waiting_room"),
        dispatch: read_mode(&mut fields, "dispatch"),
        early_copies: read_mode(&mut fields, "early_copies"),
        evict_idle_models: read_mode(&mut fields, "evict_idle_models"),
        shedding: read_mode(&mut fields, "shedding"),
    };
    fields.finish();
    scheduling
}

fn read_mode(fields: &mut Fields, key: &'static str) -> Mode {
    match fields.text(key).as_deref() {
        None | Some("auto") => Mode::Auto,
        Some("on") => Mode::On,
        Some("off") => Mode::Off,
        Some(other) => {
            let text = format!("'{other}' is not allowed; give auto, on or off.");
            fields.report(key, text);
            Mode::Auto
        }
    }
}

fn read_log(section: &Section, problems: &mut Problems) -> Log {
    let mut fields = Fields::new(section, problems);
    let level = fields.text("level").unwrap_or_else(|| "info".into());
    if tracing_subscriber::EnvFilter::try_new(&*level).is_err() {
        let text = format!(
            "'{level}' is not allowed; give error, warn, info, debug or trace, or PART=LEVEL pairs."
        );
        fields.report("level", text);
    }
    let sample = fields.value("sample", DEFAULT_SAMPLE, 1..=1_000_000);
    fields.finish();
    Log { level, sample }
}
