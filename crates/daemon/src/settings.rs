//! Settings of a daemon, read from INI; all problems are reported together.

use crate::error::{Error, ReadSettingsSnafu};
use backing::store::Capacity;
use bundle::ini::{self, Document, Fields, Problem, Problems, Section};
use bundle::key::{Trust, parse_public_key};
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use unit::{Bytes, Name, Span};

/// Valid settings of a daemon.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host, unique in the fleet.
    pub name: Name,
    /// Data hall that the host is in.
    pub hall: Name,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for operators and other daemons.
    pub operator_addr: SocketAddr,
    /// Maximum time for requests in flight to end when the daemon stops.
    pub drain_timeout: Span,
    /// Time from failing readiness to refusing connections, for the load balancer to notice.
    pub drain_delay: Span,
    /// Addresses of the key-value service.
    pub kv: Vec<SocketAddr>,
    /// Address of the host list.
    pub hosts: SocketAddr,
    /// Timeout of one call on the key-value service or the host list.
    pub call_limit: Span,
    /// Key that authenticates messages between daemons.
    pub wire_key: wire::Key,
    /// Operators whose signatures are accepted, and the number of approvals required.
    pub trust: Trust,
    /// Resource limits of this process.
    pub limits: Limits,
    /// Polling of upstreams' reports.
    pub reports: Reports,
    /// Planner, used while this host holds its hall's lease.
    pub planner: Planner,
    /// One-way delay to other halls.
    pub distance: BTreeMap<Name, Span>,
    /// Logging.
    pub log: Log,
}

/// Resource limits of the process.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open connections of callers.
    pub connections: usize,
    /// Total memory for the bodies of requests.
    pub body_memory: Bytes,
    /// Time without a token after which a stream counts as lost.
    pub stall_timeout: Span,
}

/// Polling of upstreams' reports.
#[derive(Debug, Clone, Copy)]
pub struct Reports {
    /// Age of an upstream's last report at which it is polled again.
    pub poll_interval: Span,
    /// Maximum polls per second over all upstreams, to keep traffic independent of the fleet size.
    pub polls_per_second: u32,
    /// Age of a report when it arrives.
    pub lag: Span,
}

/// Settings of the planner.
#[derive(Debug, Clone, Copy)]
pub struct Planner {
    /// Time between two ticks.
    pub tick: Span,
    /// Time to live of the lease.
    pub lease: Span,
    /// Timeout of a report or order on an upstream's order connection.
    pub order_limit: Span,
    /// Capacity of the weight store.
    pub store: Capacity,
}

/// Settings of the log.
#[derive(Debug, Clone)]
pub struct Log {
    /// Level filter, such as `info` or `info,spread=debug`.
    pub level: Name,
    /// Output format.
    pub format: LogFormat,
}

/// Output format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per event.
    Text,
    /// One JSON object per event.
    Json,
}

/// Sections that a settings file may have, as listed in problems.
const SECTIONS: &str =
    "daemon, platform, wire, approvals, operator NAME, limits, reports, planner, distance, log";

/// Reads a daemon's settings from a file.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(path).context(ReadSettingsSnafu { path })?;
    read(&path.display().to_string(), &text).map_err(|problems| Error::Settings { problems })
}

/// Reads a daemon's settings from text; `file` names it in problems.
pub fn read(file: &str, text: &str) -> Result<Settings, Vec<Problem>> {
    let mut problems = Problems::new(file);
    let document = ini::parse(text, &mut problems);
    check_sections(&document, &mut problems);
    let settings = read_document(&document, &mut problems);
    let settings = problems.into_result(settings)?;
    Ok(settings.expect("settings without problems are complete"))
}

/// Settings of the command line, which can read a daemon's file too.
#[derive(Debug, Clone)]
pub struct Tool {
    /// Addresses of the key-value service.
    pub kv: Vec<SocketAddr>,
    /// Address of the host list.
    pub hosts: SocketAddr,
    /// Timeout of one call on the key-value service or the host list.
    pub call_limit: Span,
    /// Key that authenticates messages to daemons.
    pub wire_key: wire::Key,
    /// Operators whose signatures are accepted, and the number of approvals required.
    pub trust: Trust,
}

/// Reads the command line's settings from a file.
pub fn load_tool(path: &Path) -> Result<Tool, Error> {
    let text = std::fs::read_to_string(path).context(ReadSettingsSnafu { path })?;
    let settings = read_tool(&path.display().to_string(), &text);
    settings.map_err(|problems| Error::Settings { problems })
}

/// Reads the command line's settings from text; `file` names it in problems.
pub fn read_tool(file: &str, text: &str) -> Result<Tool, Vec<Problem>> {
    let mut problems = Problems::new(file);
    let document = ini::parse(text, &mut problems);
    check_sections(&document, &mut problems);
    let platform = read_platform(&document.section("platform"), &mut problems);
    let wire_key = read_wire(&document.section("wire"), &mut problems);
    let approvals = document.section("approvals");
    let trust = read_trust(&operators(&document), &approvals, &mut problems);
    let tool = platform.zip(wire_key).map(|(platform, wire_key)| Tool {
        kv: platform.kv,
        hosts: platform.hosts,
        call_limit: platform.call_limit,
        wire_key,
        trust,
    });
    let tool = problems.into_result(tool)?;
    Ok(tool.expect("settings without problems are complete"))
}

fn operators(document: &Document) -> Vec<&Section> {
    let sections = document.sections.iter();
    sections.filter(|s| &*s.kind == "operator").collect()
}

/// Reports sections that are unknown or occur twice.
fn check_sections(document: &Document, problems: &mut Problems) {
    let mut first_lines: BTreeMap<String, u32> = BTreeMap::new();
    for section in &document.sections {
        let known = match &*section.kind {
            "operator" => !section.name.is_empty(),
            "daemon" | "platform" | "wire" | "approvals" | "limits" | "reports" | "planner"
            | "distance" | "log" => section.name.is_empty(),
            _ => false,
        };
        let header = ini::header(section);
        if !known {
            problems.add(
                section.line,
                format!("[{header}] is not a section of the settings; known are: {SECTIONS}."),
            );
        }
        if let Some(first) = first_lines.insert(header.clone(), section.line) {
            problems.add(
                section.line,
                format!("[{header}] stands already at line {first}; join the two."),
            );
        }
    }
}

fn read_document(document: &Document, problems: &mut Problems) -> Option<Settings> {
    let section = |kind: &str| document.section(kind);
    let host = read_host(&section("daemon"), problems);
    let platform = read_platform(&section("platform"), problems);
    let wire_key = read_wire(&section("wire"), problems);
    let trust = read_trust(&operators(document), &section("approvals"), problems);
    let limits = read_limits(&section("limits"), problems);
    let reports = read_reports(&section("reports"), problems);
    let planner = read_planner(&section("planner"), problems);
    let distance = read_distance(&section("distance"), problems);
    let log = read_log(&section("log"), problems);
    let (host, platform) = (host?, platform?);
    Some(Settings {
        name: host.name,
        hall: host.hall,
        caller_addr: host.caller_addr,
        operator_addr: host.operator_addr,
        drain_timeout: host.drain_timeout,
        drain_delay: host.drain_delay,
        kv: platform.kv,
        hosts: platform.hosts,
        call_limit: platform.call_limit,
        wire_key: wire_key?,
        trust,
        limits,
        reports,
        planner,
        distance,
        log,
    })
}

/// Section `daemon`.
struct Host {
    name: Name,
    hall: Name,
    caller_addr: SocketAddr,
    operator_addr: SocketAddr,
    drain_timeout: Span,
    drain_delay: Span,
}

fn read_host(section: &Section, problems: &mut Problems) -> Option<Host> {
    let mut fields = Fields::new(section, problems);
    let name = fields.required("name");
    let hall = fields.required("hall");
    let caller_addr = read_address(&mut fields, "callers");
    let operator_addr = read_address(&mut fields, "operator");
    let hour = Span::from_secs(3_600);
    let drain_timeout = fields.value("drain", Span::from_secs(600), Span::from_ms(1)..=hour);
    let drain_delay = fields.value("grace", Span::from_secs(2), Span::ZERO..=hour);
    fields.finish();
    Some(Host {
        name: name?,
        hall: hall?,
        caller_addr: caller_addr?,
        operator_addr: operator_addr?,
        drain_timeout,
        drain_delay,
    })
}

fn read_address(fields: &mut Fields, key: &'static str) -> Option<SocketAddr> {
    let text = fields.required(key)?;
    match text.parse() {
        Ok(addr) => Some(addr),
        Err(_) => {
            fields.report(
                key,
                format!("'{text}' is not an address; give an IP number and a port, such as 127.0.0.1:8080."),
            );
            None
        }
    }
}

/// Section `platform`.
struct Platform {
    kv: Vec<SocketAddr>,
    hosts: SocketAddr,
    call_limit: Span,
}

fn read_platform(section: &Section, problems: &mut Problems) -> Option<Platform> {
    let mut fields = Fields::new(section, problems);
    let texts = match fields.required("kv") {
        Some(_) => fields.list("kv"),
        None => Vec::new(),
    };
    let kv: Vec<SocketAddr> = texts.iter().filter_map(|t| t.parse().ok()).collect();
    if kv.len() < texts.len() {
        fields.report(
            "kv",
            "give IP numbers and ports, such as 127.0.0.1:7000, separated by commas.",
        );
    }
    let hosts = read_address(&mut fields, "hosts");
    let bounds = Span::from_ms(10)..=Span::from_secs(60);
    let call_limit = fields.value("call_limit", Span::from_secs(1), bounds);
    fields.finish();
    Some(Platform {
        kv,
        hosts: hosts?,
        call_limit,
    })
}

fn read_wire(section: &Section, problems: &mut Problems) -> Option<wire::Key> {
    let mut fields = Fields::new(section, problems);
    let text = fields.required("key");
    let key = text
        .as_ref()
        .and_then(|t| hex::decode(&**t).ok())
        .and_then(wire::Key::new);
    if text.is_some() && key.is_none() {
        fields.report(
            "key",
            "give at least 32 bytes in hex, the same on every host; 'coveford key wire' makes one.",
        );
    }
    fields.finish();
    key
}

fn read_trust(operators: &[&Section], approvals: &Section, problems: &mut Problems) -> Trust {
    let mut trust = Trust::default();
    for section in operators {
        let mut fields = Fields::new(section, problems);
        if let Some(key) = fields.required("key") {
            if parse_public_key(&key).is_none() {
                fields.report("key", format!("'{key}' is not an ed25519 public key in hex; 'coveford key show' prints one."));
            }
            trust.operators.insert(section.name.clone(), key);
        }
        fields.finish();
    }
    let mut fields = Fields::new(approvals, problems);
    trust.required_approvals = fields.value("needed", 1, 1..=16);
    fields.finish();
    if trust.operators.len() <= trust.required_approvals {
        let text = format!(
            "{} operators are named, but {} approvals besides the proposer's are needed; add [operator NAME] sections.",
            trust.operators.len(),
            trust.required_approvals
        );
        problems.add(approvals.line, text);
    }
    trust
}

fn read_limits(section: &Section, problems: &mut Problems) -> Limits {
    let mut fields = Fields::new(section, problems);
    let limits = Limits {
        connections: fields.value("connections", 10_000, 1..=1_000_000),
        body_memory: fields.value(
            "bodies",
            Bytes::from_mb(64),
            Bytes::from_mb(1)..=Bytes::from_gb(64),
        ),
        stall_timeout: fields.value(
            "stall",
            Span::from_secs(5),
            Span::from_ms(10)..=Span::from_secs(600),
        ),
    };
    fields.finish();
    limits
}

fn read_reports(section: &Section, problems: &mut Problems) -> Reports {
    let mut fields = Fields::new(section, problems);
    let (min, max) = (Span::from_ms(10), Span::from_secs(60));
    let reports = Reports {
        poll_interval: fields.value("every", Span::from_ms(500), min..=max),
        polls_per_second: fields.value("per_second", 50, 1..=10_000),
        lag: fields.value("lag", Span::from_ms(500), Span::ZERO..=max),
    };
    fields.finish();
    reports
}

fn read_planner(section: &Section, problems: &mut Problems) -> Planner {
    let mut fields = Fields::new(section, problems);
    let (min, max) = (Span::from_ms(10), Span::from_secs(600));
    let default = Capacity::default();
    let planner = Planner {
        tick: fields.value("tick", Span::from_secs(1), min..=max),
        lease: fields.value("lease", Span::from_secs(5), Span::from_ms(100)..=max),
        order_limit: fields.value("order_limit", Span::from_secs(2), min..=max),
        store: Capacity {
            loads_per_second: fields.value(
                "loads_per_second",
                default.loads_per_second,
                0.01..=1e4,
            ),
            concurrent: fields.value("concurrent_loads", default.concurrent, 1..=10_000),
        },
    };
    fields.finish();
    planner
}

fn read_distance(section: &Section, problems: &mut Problems) -> BTreeMap<Name, Span> {
    let mut distance = BTreeMap::new();
    for entry in &section.entries {
        match entry.value.parse() {
            Ok(span) => {
                distance.insert(entry.key.clone(), span);
            }
            Err(reason) => problems.add(entry.line, format!("{}: {reason}", entry.key)),
        }
    }
    distance
}

fn read_log(section: &Section, problems: &mut Problems) -> Log {
    let mut fields = Fields::new(section, problems);
    let level = fields.text("level").unwrap_or_else(|| "info".into());
    if tracing_subscriber::EnvFilter::try_new(&*level).is_err() {
        fields.report("level", format!("'{level}' is not allowed; give error, warn, info, debug or trace, or PART=LEVEL pairs."));
    }
    let format = match fields.text("format").as_deref() {
        None | Some("text") => LogFormat::Text,
        Some("json") => LogFormat::Json,
        Some(other) => {
            let text = format!("'{other}' is not allowed; give text or json.");
            fields.report("format", text);
            LogFormat::Text
        }
    };
    fields.finish();
    Log { level, format }
}
