//! Settings of a daemon on a platform, read from INI and checked whole.

use bundle::ini::{self, Document, Fields, Problem, Problems, Section};
use std::net::SocketAddr;
use std::time::Duration;
use unit::Name;

/// Checked settings.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of this host.
    pub name: Name,
    /// Data hall it stands in.
    pub hall: Name,
    /// Where it answers callers.
    pub callers: SocketAddr,
    /// Where it tells the balancer whether it is ready.
    pub readiness: SocketAddr,
    /// Where it tells its metrics.
    pub metrics: SocketAddr,
    /// Where it exchanges sums with other daemons, over UDP.
    pub peers: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Bounds that the platform sets.
    pub bounds: Bounds,
    /// Bounds of this process.
    pub limits: Limits,
    /// How logs are written.
    pub log: Log,
}

/// How logs are written.
#[derive(Debug, Clone, PartialEq)]
pub struct Log {
    /// Filter of the lines, such as `info`.
    pub level: Name,
    /// One request in that many is told whole, also when nothing was out of the ordinary.
    pub sample: u64,
}

/// Bounds that the platform sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
    /// Time within which two holders may not take turns in giving orders.
    pub lease: Duration,
    /// Time within which a configuration must be in force.
    pub configuration: Duration,
    /// Time within which a leaving replica must get no new work.
    pub leaving: Duration,
    /// Time between two writings of a replica's entry; the store drops it after three that are missed.
    pub heartbeat: Duration,
    /// Time within which a key that was taken away runs nothing more, on every host; none when only hosts
    /// that reach the store are bound.
    pub withdrawal: Option<Duration>,
    /// Window in which the use of client accounts is counted.
    pub quota_window: Duration,
    /// Part by which an account may exceed its limit in that window.
    pub quota_overage: f64,
    /// Units by which it may exceed it beside that part.
    pub quota_slack: f64,
    /// Retries allowed, as a share of the requests of a service.
    pub retry_share: f64,
    /// Retries allowed beside that share, over all hosts.
    pub retry_slack: f64,
    /// Window in which both are counted.
    pub retry_window: Duration,
    /// Window in which loads from the weight store are counted.
    pub load_window: Duration,
    /// Factor by which loads may exceed the rate in that window.
    pub load_overage: f64,
}

impl Bounds {
    /// The shortest time within which what stands in the store must be followed.
    pub fn propagation(&self) -> Duration {
        self.leaving.min(self.configuration)
    }
}

/// Bounds of this process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Descriptors that it may open.
    pub descriptors: usize,
    /// Memory that it may use, in MB.
    pub memory_mb: usize,
    /// Processor that it may use, in cores.
    pub cores: f64,
}

/// Requests of which one is told whole unless the settings say otherwise: a line costs some 20 µs, of
/// the 200 µs that a request takes.
const SAMPLE: u64 = 64;

/// Sections a settings file may have.
const KINDS: [&str; 5] = ["daemon", "store", "bounds", "limits", "log"];

/// Whether a settings file is one of a daemon on a platform: it names a store.
pub fn is_on_platform(text: &str) -> bool {
    let document = ini::parse(text, &mut Problems::new(""));
    document.sections.iter().any(|s| &*s.kind == "store")
}

/// Reads settings from text; every problem is reported at once.
pub fn read(file: &str, text: &str) -> Result<Settings, Vec<Problem>> {
    let mut problems = Problems::new(file);
    let document = ini::parse(text, &mut problems);
    for section in &document.sections {
        if !KINDS.contains(&&*section.kind) || !section.name.is_empty() {
            let header = ini::header(section);
            let known = KINDS.join(", ");
            problems.add(
                section.line,
                format!("[{header}] is not a section of the settings; known are: {known}."),
            );
        }
    }
    let settings = assemble(&document, &mut problems);
    let settings = problems.into_result(settings)?;
    Ok(settings.expect("settings without a problem are whole"))
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
        log,
    })
}

/// The defaults are the bounds of the two sites that coveford was first run on.
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

fn read_log(section: &Section, problems: &mut Problems) -> Log {
    let mut fields = Fields::new(section, problems);
    let level = fields.text("level").unwrap_or_else(|| "info".into());
    if tracing_subscriber::EnvFilter::try_new(&*level).is_err() {
        let text = format!(
            "'{level}' is not allowed; give error, warn, info, debug or trace, or PART=LEVEL pairs."
        );
        fields.report("level", text);
    }
    let sample = fields.value("sample", SAMPLE, 1..=1_000_000);
    fields.finish();
    Log { level, sample }
}
