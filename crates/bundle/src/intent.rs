//! Typed content of a bundle.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use unit::{Bytes, Name, Span};

/// Content of a bundle.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Intent {
    /// Title, for display.
    pub title: Name,
    /// Weights of the placement objective.
    pub weights: Weights,
    /// Limits for all callers.
    pub limits: Limits,
    /// Properties of upstreams.
    pub upstreams: Upstreams,
    /// Public keys (hex) whose signatures no longer count.
    pub revoked: BTreeSet<Name>,
    /// Request classes by name.
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

/// Weights of the placement objective.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Value of one request that meets its target.
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

/// Limits on requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body: Bytes,
    /// Maximum number of requests queued at one daemon.
    pub queue: u32,
    /// Retry budget, in percent of recent successful requests.
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

/// Properties of upstreams that the host list does not show.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Upstreams {
    /// Names, or prefixes ending in `*`, of upstreams that reject orders by their fence.
    pub fencing: Vec<Name>,
}

impl Upstreams {
    /// Whether an upstream rejects orders by their fence.
    pub fn checks_fences(&self, upstream: &str) -> bool {
        self.fencing
            .iter()
            .any(|pattern| matches(pattern, upstream))
    }
}

/// Class of requests: latency targets and priority.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Priority in queues; higher goes first.
    pub priority: u8,
    /// Target time to the first token, or to the response of a plain service.
    pub first_token: Span,
    /// Target time between tokens.
    pub between_tokens: Span,
    /// Time after which the response is no longer needed.
    pub deadline: Span,
}

/// Model that must be served.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Version of its weights.
    pub version: Name,
    /// Accelerator memory of one replica.
    pub memory: Bytes,
    /// Class of requests that do not name one.
    pub class: Name,
    /// Minimum number of replicas in the whole fleet.
    pub least: u32,
    /// Whether its requests must not be retried.
    pub unrepeatable: bool,
}

/// Adapter of a model. Callers use its name like that of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct Adapter {
    /// Model it belongs to.
    pub model: Name,
    /// Accelerator memory in addition to the model's.
    pub memory: Bytes,
}

/// Organization or program that sends requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Caller {
    /// SHA-256 hashes (hex) of its bearer keys.
    pub keys: Vec<Name>,
    /// Weight of its fair share under overload.
    pub weight: u32,
    /// Classes its requests may name; others have the class of their model.
    pub classes: Vec<Name>,
    /// Names, or prefixes ending in `*`, of the models and adapters it may use.
    pub models: Vec<Name>,
}

/// Plain service, which is not a model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Path prefix of its requests.
    pub path: Name,
    /// Class of its requests.
    pub class: Name,
    /// Routes whose requests must not be retried.
    pub unrepeatable: Vec<Route>,
    /// Status with which the service indicates that it has not processed a request.
    pub refusal_status: Option<u16>,
}

/// Pattern of methods and paths.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// HTTP method, or `*` for any.
    pub method: Name,
    /// Path, or a prefix ending in `*`.
    pub path: Name,
}

/// Whether a name matches a pattern: a name, or a prefix followed by `*`.
pub fn matches(pattern: &str, name: &str) -> bool {
    match pattern.strip_suffix('*') {
        Some(prefix) => name.starts_with(prefix),
        None => pattern == name,
    }
}

/// Model, and adapter if any, that a request addresses.
#[derive(Debug, Clone, PartialEq)]
pub struct Target<'a> {
    /// Name of the model.
    pub model: &'a Name,
    /// Name of the adapter, if the request named one.
    pub adapter: Option<&'a Name>,
    /// Entry of the model.
    pub entry: &'a Model,
}

impl Intent {
    /// Finds a model or adapter by name.
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

    /// Finds the caller of a bearer key by the key's hash (hex).
    pub fn caller(&self, hash: &str) -> Option<(&Name, &Caller)> {
        self.callers
            .iter()
            .find(|(_, caller)| caller.keys.iter().any(|k| &**k == hash))
    }

    /// Finds the service with the longest matching path prefix.
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
    /// Whether a request may be retried; `path` is relative to the service's prefix.
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        !self.unrepeatable.iter().any(|route| {
            (&*route.method == "*" || &*route.method == method) && matches(&route.path, path)
        })
    }
}
