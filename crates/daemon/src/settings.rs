//! Settings of a daemon, read from INI and checked whole.

use crate::error::{Error, ReadSettingsSnafu};
use backing::store::Capacity;
use bundle::ini::{self, Document, Fields, Problem, Problems, Section};
use bundle::key::{Trust, parse_public_key};
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use unit::{Bytes, Name, Span};

/// Checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of this host, unique over the fleet.
    pub name: Name,
    /// Data hall it stands in.
    pub hall: Name,
    /// Where it answers callers.
    pub callers: SocketAddr,
    /// Where it answers operators and other daemons.
    pub operator: SocketAddr,
    /// Longest time that requests in flight have to end when the daemon stops.
    pub drain: Span,
    /// Time between failing readiness and refusing connections, for the balancer to notice.
    pub grace: Span,
    /// Key-value service, one or more addresses.
    pub kv: Vec<SocketAddr>,
    /// Host list.
    pub hosts: SocketAddr,
    /// Time for one call on the platform.
    pub call_limit: Span,
    /// Key that seals messages between daemons.
    pub wire_key: wire::Key,
    /// Operators whose signatures count.
    pub trust: Trust,
    /// Bounds of this process.
    pub limits: Limits,
    /// Reports of upstreams.
    pub reports: Reports,
    /// The planner, when this host holds its hall's lease.
    pub planner: Planner,
    /// Delay to other halls, one way.
    pub distance: BTreeMap<Name, Span>,
    /// Logs.
    pub log: Log,
}

/// Bounds of one process.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Open connections of callers.
    pub connections: usize,
    /// Memory of request bodies held at once.
    pub bodies: Bytes,
    /// Time without a token after which a stream is held to be lost.
    pub stall: Span,
}

/// How upstreams' reports are had.
#[derive(Debug, Clone, Copy)]
pub struct Reports {
    /// Time between two polls of an upstream whose reports do not ride on answers.
    pub every: Span,
    /// Polls a second in all, so that control traffic does not grow with the fleet.
    pub per_second: u32,
    /// Age a report has already when it comes.
    pub lag: Span,
}

/// How the planner works.
#[derive(Debug, Clone, Copy)]
pub struct Planner {
    /// Time between two ticks.
    pub tick: Span,
    /// Time to live of the lease.
    pub lease: Span,
    /// Time for an order to be answered.
    pub order_limit: Span,
    /// Bounds of the weight store.
    pub store: Capacity,
}

/// How logs are written.
#[derive(Debug, Clone)]
pub struct Log {
    /// Filter such as `info` or `info,spread=debug`.
    pub level: Name,
    /// Form.
    pub format: LogFormat,
}

/// Form of logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// A line of text each.
    Text,
    /// A JSON object each.
    Json,
}

/// Sections a settings file may have.
const KINDS: &str =
    "daemon, platform, wire, approvals, operator NAME, limits, reports, planner, distance, log";

/// Reads settings from a file.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(path).context(ReadSettingsSnafu { path })?;
    read(&path.display().to_string(), &text).map_err(|problems| Error::Settings { problems })
}

/// Reads settings from text; every problem is reported at once.
pub fn read(file: &str, text: &str) -> Result<Settings, Vec<Problem>> {
    let mut problems = Problems::new(file);
    let document = ini::parse(text, &mut problems);
    check_kinds(&document, &mut problems);
    let settings = assemble(&document, &mut problems);
    let settings = problems.into_result(settings)?;
    Ok(settings.expect("settings without a problem are whole"))
}

/// What an operator's tool needs of the settings; a daemon's own file serves as well.
#[derive(Debug, Clone)]
pub struct Tool {
    /// Key-value service.
    pub kv: Vec<SocketAddr>,
    /// Host list.
    pub hosts: SocketAddr,
    /// Time for one call on the platform.
    pub call_limit: Span,
    /// Key that seals messages to daemons.
    pub wire_key: wire::Key,
    /// Operators whose signatures count.
    pub trust: Trust,
}

/// Reads a tool's settings from a file.
pub fn load_tool(path: &Path) -> Result<Tool, Error> {
    let text = std::fs::read_to_string(path).context(ReadSettingsSnafu { path })?;
    let read = read_tool(&path.display().to_string(), &text);
    read.map_err(|problems| Error::Settings { problems })
}

/// Reads a tool's settings from text; every problem is reported at once.
pub fn read_tool(file: &str, text: &str) -> Result<Tool, Vec<Problem>> {
    let mut problems = Problems::new(file);
    let document = ini::parse(text, &mut problems);
    check_kinds(&document, &mut problems);
    let platform = read_platform(&document.section("platform"), &mut problems);
    let wire_key = read_wire(&document.section("wire"), &mut problems);
    let approvals = document.section("approvals");
    let trust = read_trust(&operators(&document), &approvals, &mut problems);
    let whole = platform.zip(wire_key).map(|(platform, wire_key)| Tool {
        kv: platform.kv,
        hosts: platform.hosts,
        call_limit: platform.call_limit,
        wire_key,
        trust,
    });
    let whole = problems.into_result(whole)?;
    Ok(whole.expect("settings without a problem are whole"))
}

fn operators(document: &Document) -> Vec<&Section> {
    let sections = document.sections.iter();
    sections.filter(|s| &*s.kind == "operator").collect()
}

fn check_kinds(document: &Document, problems: &mut Problems) {
    let mut lines: BTreeMap<String, u32> = BTreeMap::new();
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
                format!("[{header}] is not a section of the settings; known are: {KINDS}."),
            );
        }
        if let Some(first) = lines.insert(header.clone(), section.line) {
            problems.add(
                section.line,
                format!("[{header}] stands already at line {first}; join the two."),
            );
        }
    }
}

fn assemble(document: &Document, problems: &mut Problems) -> Option<Settings> {
    let find = |kind: &str| document.section(kind);
    let host = read_host(&find("daemon"), problems);
    let platform = read_platform(&find("platform"), problems);
    let wire_key = read_wire(&find("wire"), problems);
    let trust = read_trust(&operators(document), &find("approvals"), problems);
    let limits = read_limits(&find("limits"), problems);
    let reports = read_reports(&find("reports"), problems);
    let planner = read_planner(&find("planner"), problems);
    let distance = read_distance(&find("distance"), problems);
    let log = read_log(&find("log"), problems);
    let (host, platform) = (host?, platform?);
    Some(Settings {
        name: host.name,
        hall: host.hall,
        callers: host.callers,
        operator: host.operator,
        drain: host.drain,
        grace: host.grace,
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

struct Host {
    name: Name,
    hall: Name,
    callers: SocketAddr,
    operator: SocketAddr,
    drain: Span,
    grace: Span,
}

fn read_host(section: &Section, problems: &mut Problems) -> Option<Host> {
    let mut fields = Fields::new(section, problems);
    let name = fields.required("name");
    let hall = fields.required("hall");
    let callers = address(&mut fields, "callers");
    let operator = address(&mut fields, "operator");
    let hour = Span::from_secs(3_600);
    let drain = fields.value("drain", Span::from_secs(600), Span::from_ms(1)..=hour);
    let grace = fields.value("grace", Span::from_secs(2), Span::ZERO..=hour);
    fields.finish();
    Some(Host {
        name: name?,
        hall: hall?,
        callers: callers?,
        operator: operator?,
        drain,
        grace,
    })
}

fn address(fields: &mut Fields, key: &'static str) -> Option<SocketAddr> {
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

struct Services {
    kv: Vec<SocketAddr>,
    hosts: SocketAddr,
    call_limit: Span,
}

fn read_platform(section: &Section, problems: &mut Problems) -> Option<Services> {
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
    let hosts = address(&mut fields, "hosts");
    let bounds = Span::from_ms(10)..=Span::from_secs(60);
    let call_limit = fields.value("call_limit", Span::from_secs(1), bounds);
    fields.finish();
    Some(Services {
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
        bodies: fields.value(
            "bodies",
            Bytes::from_mb(64),
            Bytes::from_mb(1)..=Bytes::from_gb(64),
        ),
        stall: fields.value(
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
    let (least, most) = (Span::from_ms(10), Span::from_secs(60));
    let reports = Reports {
        every: fields.value("every", Span::from_ms(500), least..=most),
        per_second: fields.value("per_second", 50, 1..=10_000),
        lag: fields.value("lag", Span::from_ms(500), Span::ZERO..=most),
    };
    fields.finish();
    reports
}

fn read_planner(section: &Section, problems: &mut Problems) -> Planner {
    let mut fields = Fields::new(section, problems);
    let (least, most) = (Span::from_ms(10), Span::from_secs(600));
    let default = Capacity::default();
    let planner = Planner {
        tick: fields.value("tick", Span::from_secs(1), least..=most),
        lease: fields.value("lease", Span::from_secs(5), Span::from_ms(100)..=most),
        order_limit: fields.value("order_limit", Span::from_secs(2), least..=most),
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
            Err(why) => problems.add(entry.line, format!("{}: {why}", entry.key)),
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
