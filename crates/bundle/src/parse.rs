//! Reading an intent out of an INI document, with every problem at once.

use crate::ini::{self, Fields, Problem, Problems, Section};
use crate::intent::*;
use std::collections::{BTreeMap, HashMap};
use unit::{Bytes, Name, Span};

/// Kinds of section a bundle may have.
const KINDS: &str = "bundle, weights, limits, upstreams, revoked, class NAME, model NAME, adapter NAME, caller NAME, service NAME";

/// Largest weight of a caller or of an aim.
const MOST_WEIGHT: u32 = 1_000;

/// Reads and checks a whole bundle.
pub fn parse(file: &str, text: &str) -> Result<Intent, Vec<Problem>> {
    let mut problems = Problems::new(file);
    let document = ini::parse(text, &mut problems);
    let mut intent = Intent::default();
    let mut lines = HashMap::new();
    for section in &document.sections {
        let header = ini::header(section);
        if let Some(first) = lines.insert(header.clone(), section.line) {
            problems.add(
                section.line,
                format!("[{header}] stands already at line {first}; join the two."),
            );
        }
        parse_section(section, &mut intent, &mut problems);
    }
    check_references(&intent, &lines, &mut problems);
    problems.into_result(intent)
}

fn parse_section(section: &Section, intent: &mut Intent, problems: &mut Problems) {
    let name = section.name.clone();
    let named = matches!(
        &*section.kind,
        "class" | "model" | "adapter" | "caller" | "service"
    );
    if named && !is_name(&name) {
        problems.add(
            section.line,
            format!(
                "[{}] needs a name of letters, digits, '-', '_', '.' and '/'.",
                ini::header(section)
            ),
        );
    }
    if !named && !name.is_empty() {
        problems.add(section.line, format!("[{}] takes no name.", section.kind));
    }
    let mut fields = Fields::new(section, problems);
    match &*section.kind {
        "bundle" => intent.title = fields.required("title").unwrap_or_default(),
        "weights" => intent.weights = parse_weights(&mut fields),
        "limits" => intent.limits = parse_limits(&mut fields),
        "upstreams" => intent.upstreams.fencing = fields.list("fencing"),
        "revoked" => intent.revoked = fields.list("keys").into_iter().collect(),
        "class" => insert(&mut intent.classes, name, parse_class(&mut fields)),
        "model" => insert(&mut intent.models, name, parse_model(&mut fields)),
        "adapter" => insert(&mut intent.adapters, name, parse_adapter(&mut fields)),
        "caller" => insert(&mut intent.callers, name, parse_caller(&mut fields)),
        "service" => insert(&mut intent.services, name, parse_service(&mut fields)),
        other => {
            problems.add(
                section.line,
                format!("[{other}] is not a section of a bundle; known are: {KINDS}."),
            );
            return;
        }
    }
    fields.finish();
}

fn insert<T>(map: &mut BTreeMap<Name, T>, name: Name, value: Option<T>) {
    if let Some(value) = value {
        map.insert(name, value);
    }
}

/// Whether a text may name something in a bundle.
fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    !text.is_empty() && text.len() <= 128 && text.chars().all(allowed)
}

fn parse_weights(fields: &mut Fields) -> Weights {
    let most = f64::from(MOST_WEIGHT);
    Weights {
        attainment: fields.value("attainment", 1.0, 0.0..=most),
        moves: fields.value("moves", 1.0, 0.0..=most),
    }
}

fn parse_limits(fields: &mut Fields) -> Limits {
    let default = Limits::default();
    Limits {
        body: fields.value("body", default.body, Bytes(1_000)..=Bytes::from_mb(64)),
        queue: fields.value("queue", default.queue, 1..=100_000),
        retry_percent: fields.value("retry_percent", default.retry_percent, 0..=100),
    }
}

fn parse_class(fields: &mut Fields) -> Option<Class> {
    let least = Span::from_ms(1);
    let most = Span::from_secs(3_600);
    let between = Span::from_ms(100);
    let deadline = Span::from_secs(60);
    let class = Class {
        priority: fields.value("priority", 5, 0..=9),
        first_token: fields.parsed("first_token")?,
        between_tokens: fields.value("between_tokens", between, least..=most),
        deadline: fields.value("deadline", deadline, least..=most),
    };
    if class.first_token > class.deadline {
        let text = format!(
            "{} lies after the deadline of {}; make it shorter.",
            class.first_token, class.deadline
        );
        fields.report("first_token", text);
    }
    Some(class)
}

fn parse_model(fields: &mut Fields) -> Option<Model> {
    let version = fields.text("version").unwrap_or_else(|| "1".into());
    let memory = fields.parsed("memory");
    let class = fields.required("class");
    let least = fields.value("least", 1, 1..=64);
    let unrepeatable = fields.flag("unrepeatable", false);
    Some(Model {
        version,
        memory: memory?,
        class: class?,
        least,
        unrepeatable,
    })
}

fn parse_adapter(fields: &mut Fields) -> Option<Adapter> {
    let model = fields.required("model");
    let memory = fields.parsed("memory");
    Some(Adapter {
        model: model?,
        memory: memory?,
    })
}

fn parse_caller(fields: &mut Fields) -> Option<Caller> {
    let keys = fields.list("keys");
    for key in &keys {
        let is_hash = key.len() == 64 && key.chars().all(|c| c.is_ascii_hexdigit());
        if !is_hash {
            fields.report(
                "keys",
                format!("'{key}' is not a SHA-256 in hex; make one with 'coveford key hash'."),
            );
        }
    }
    if keys.is_empty() {
        fields.report("keys", "a caller needs at least one key's hash.");
    }
    let models = match fields.list("models") {
        none if none.is_empty() => vec!["*".into()],
        some => some,
    };
    Some(Caller {
        keys: keys.iter().map(|k| k.to_lowercase().into()).collect(),
        weight: fields.value("weight", 1, 1..=MOST_WEIGHT),
        classes: fields.list("classes"),
        models,
    })
}

fn parse_service(fields: &mut Fields) -> Option<Service> {
    let path = fields.required("path");
    let class = fields.required("class");
    if let Some(path) = &path {
        let reserved = path.starts_with("/v1/");
        if reserved || !path.starts_with('/') || !path.ends_with('/') {
            fields.report(
                "path",
                format!("'{path}' must begin and end with '/' and not lie below /v1/."),
            );
        }
    }
    let routes = fields.list("unrepeatable");
    let unrepeatable = routes
        .iter()
        .filter_map(|r| parse_route(fields, r))
        .collect();
    let refusal_status = match fields.value("refusal_status", 0, 0..=599) {
        0 => None,
        status => Some(status),
    };
    Some(Service {
        path: path?,
        class: class?,
        unrepeatable,
        refusal_status,
    })
}

fn parse_route(fields: &mut Fields, text: &str) -> Option<Route> {
    let route = text.split_once(' ').map(|(method, path)| Route {
        method: method.into(),
        path: path.trim().into(),
    });
    if route.as_ref().is_none_or(|r| !r.path.starts_with('/')) {
        fields.report(
            "unrepeatable",
            format!("'{text}' is not a method and a path, such as 'POST /print'."),
        );
    }
    route
}

fn check_references(intent: &Intent, lines: &HashMap<String, u32>, problems: &mut Problems) {
    let line = |kind: &str, name: &Name| lines.get(&format!("{kind} {name}")).copied().unwrap_or(1);
    if !lines.contains_key("bundle") {
        problems.add(1, "[bundle] with a title is missing; add it.");
    }
    let mut needs_class = |line: u32, class: &Name| {
        if !intent.classes.contains_key(class) {
            problems.add(
                line,
                format!("class '{class}' is not in this bundle; add [class {class}]."),
            );
        }
    };
    for (name, model) in &intent.models {
        needs_class(line("model", name), &model.class);
    }
    for (name, service) in &intent.services {
        needs_class(line("service", name), &service.class);
    }
    for (name, caller) in &intent.callers {
        for class in &caller.classes {
            needs_class(line("caller", name), class);
        }
    }
    for (name, adapter) in &intent.adapters {
        let at = line("adapter", name);
        if !intent.models.contains_key(&adapter.model) {
            problems.add(
                at,
                format!(
                    "model '{}' is not in this bundle; add [model {}].",
                    adapter.model, adapter.model
                ),
            );
        }
        if intent.models.contains_key(name) {
            problems.add(
                at,
                format!("'{name}' is a model's name already; rename the adapter."),
            );
        }
    }
    check_shared_keys(intent, &line, problems);
}

fn check_shared_keys(intent: &Intent, line: &dyn Fn(&str, &Name) -> u32, problems: &mut Problems) {
    let mut holders: HashMap<&Name, &Name> = HashMap::new();
    for (name, caller) in &intent.callers {
        for key in &caller.keys {
            if let Some(other) = holders.insert(key, name) {
                problems.add(
                    line("caller", name),
                    format!(
                        "a key of '{name}' is also one of '{other}'; give each caller its own."
                    ),
                );
            }
        }
    }
}
