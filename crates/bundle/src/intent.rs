//! What a bundle asks for, typed.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use unit::{Bytes, Name, Span};

/// Whole content of a bundle.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Intent {
    /// Title for people.
    pub title: Name,
    /// What a placement is worth.
    pub weights: Weights,
    /// Bounds that hold for all callers.
    pub limits: Limits,
    /// Upstreams that check fences, and adapters' space.
    pub upstreams: Upstreams,
    /// Public keys (hex) whose approvals count no more.
    pub revoked: BTreeSet<Name>,
    /// Classes by name.
    pub classes: BTreeMap<Name, Class>,
    /// Models by name.
    pub models: BTreeMap<Name, Model>,
    /// Adapters by name.
    pub adapters: BTreeMap<Name, Adapter>,
    /// Callers by name.
    pub callers: BTreeMap<Name, Caller>,
    /// Plain services by name.
    pub services: BTreeMap<Name, Service>,
}

/// Weight of attainment against moves in placement.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Worth of one request a second that meets its target.
    pub attainment: f64,
    /// Cost of one move.
    pub moves: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights {
            attainment: 1.0,
            moves: 1.0,
        }
    }
}

/// Bounds on what callers send and wait for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Longest request body.
    pub body: Bytes,
    /// Requests that may wait at one daemon.
    pub queue: u32,
    /// Share of recent successes that may be spent on retries, in percent.
    pub retry_percent: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body: Bytes::from_mb(4),
            queue: 1_000,
            retry_percent: 20,
        }
    }
}

/// What is known of upstreams beyond the host list.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Upstreams {
    /// Names (or prefixes ending in `*`) of upstreams that check fences.
    pub fencing: Vec<Name>,
}

impl Upstreams {
    /// Whether the upstream of that name checks who gives it an order.
    pub fn checks_fences(&self, upstream: &str) -> bool {
        self.fencing
            .iter()
            .any(|pattern| matches(pattern, upstream))
    }
}

/// Requests of one kind: their targets and their rank.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Rank in queues; a higher one goes first.
    pub priority: u8,
    /// Target for the first token, or for a plain answer.
    pub first_token: Span,
    /// Target between tokens.
    pub between_tokens: Span,
    /// Time after which nobody needs the answer.
    pub deadline: Span,
}

/// Model that must be served.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Version of its weights.
    pub version: Name,
    /// Accelerator memory of one replica.
    pub memory: Bytes,
    /// Class of requests that name none.
    pub class: Name,
    /// Least number of replicas in the whole fleet.
    pub least: u32,
    /// Whether its requests may never be repeated.
    pub unrepeatable: bool,
}

/// Adapter on a model; callers use its name as a model's.
#[derive(Debug, Clone, PartialEq)]
pub struct Adapter {
    /// Model it belongs to.
    pub model: Name,
    /// Accelerator memory it takes besides the model's.
    pub memory: Bytes,
}

/// Caller: one of the organisations or programs that send requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Caller {
    /// SHA-256 hashes (hex) of its bearer keys.
    pub keys: Vec<Name>,
    /// Weight of its share under overload.
    pub weight: u32,
    /// Classes its requests may name; without one they have the model's own.
    pub classes: Vec<Name>,
    /// Models it may use, or prefixes ending in `*`.
    pub models: Vec<Name>,
}

/// Plain service beside the engines.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Path prefix under which callers reach it.
    pub path: Name,
    /// Class of its requests.
    pub class: Name,
    /// Routes that may not be repeated.
    pub unrepeatable: Vec<Route>,
    /// Status by which the service states that it did not run a request.
    pub refusal_status: Option<u16>,
}

/// Method and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// HTTP method, or `*` for any.
    pub method: Name,
    /// Path, or a prefix ending in `*`.
    pub path: Name,
}

/// Whether a name fits a pattern: equal, or beginning with it before a `*`.
pub fn matches(pattern: &str, name: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => name.starts_with(prefix),
        None => pattern == name,
    }
}

/// What a model name of a request stands for.
#[derive(Debug, Clone, PartialEq)]
pub struct Target<'a> {
    /// The model that answers.
    pub model: &'a Name,
    /// Its adapter, when the request named one.
    pub adapter: Option<&'a Name>,
    /// The model's entry.
    pub entry: &'a Model,
}

impl Intent {
    /// Finds the model or adapter of a name that a request gave.
    pub fn target(&self, name: &str) -> Option<Target<'_>> {
        if let Some((model, entry)) = self.models.get_key_value(name) {
            return Some(Target {
                model,
                adapter: None,
                entry,
            });
        }
        let (adapter, found) = self.adapters.get_key_value(name)?;
        let (model, entry) = self.models.get_key_value(&found.model)?;
        Some(Target {
            model,
            adapter: Some(adapter),
            entry,
        })
    }

    /// Finds the caller that holds a key of that hash (hex).
    pub fn caller(&self, hash: &str) -> Option<(&Name, &Caller)> {
        self.callers
            .iter()
            .find(|(_, caller)| caller.keys.iter().any(|k| &**k == hash))
    }

    /// Finds the service of a path: the one with the longest prefix.
    pub fn service(&self, path: &str) -> Option<(&Name, &Service)> {
        self.services
            .iter()
            .filter(|(_, service)| path.starts_with(&*service.path))
            .max_by_key(|(_, service)| service.path.len())
    }
}

impl Caller {
    /// Whether the caller may use a model or adapter.
    pub fn may_use(&self, model: &str) -> bool {
        self.models.iter().any(|pattern| matches(pattern, model))
    }
}

impl Service {
    /// Whether a request to that path (below the service's prefix) may be repeated.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        !self.unrepeatable.iter().any(|route| {
            (&*route.method == "*" || &*route.method == method) && matches(&route.path, path)
        })
    }
}
