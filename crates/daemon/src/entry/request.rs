//! Requests to models: parsing of headers and JSON bodies.

use super::error::ApiError;
use super::{CLASS_HEADER, IDEMPOTENCY_HEADER, UNREPEATABLE_HEADER};
use crate::active_bundle::Bundle;
use crate::fleet::{self, Target};
use bundle::intent::{Caller, Class};
use hyper::{HeaderMap, StatusCode};
use route::choose;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::sync::Arc;
use unit::{Name, Time};

/// Maximum number of output tokens if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Largest `max_tokens` that a request may set.
const MAX_TOKENS: u32 = 100_000;

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;

/// Fields of the body that are forwarded to the engine unchanged.
const SAMPLING_FIELDS: [&str; 8] = [
    "temperature",
    "top_p",
    "stop",
    "seed",
    "presence_penalty",
    "frequency_penalty",
    "logit_bias",
    "response_format",
];

/// API endpoint, which determines the format of request and response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Metadata of a request to a model or a service.
#[derive(Clone)]
pub struct Metadata {
    pub id: Name,
    /// Client account.
    pub caller: Name,
    /// Weight of the caller in fair queueing.
    pub weight: u32,
    pub class_name: Name,
    /// Latency targets, deadline and priority.
    pub class: Class,
    /// Whether the request may be retried after it may have run.
    pub repeatable: bool,
    pub idempotency_key: Option<Name>,
    pub arrived: Time,
    /// Bundle in force at arrival; it applies until the request ends.
    pub bundle: Arc<Bundle>,
}

impl Metadata {
    /// Time after which the response is of no use to the caller.
    pub fn deadline(&self) -> Time {
        self.arrived + self.class.deadline
    }

    /// Builds the request for a reservation in the fleet.
    pub fn fleet_request(&self, target: Target, criteria: choose::Request) -> fleet::Request {
        fleet::Request {
            target,
            caller: self.caller.clone(),
            weight: self.weight,
            priority: self.class.priority,
            arrived: self.arrived,
            deadline: self.deadline(),
            criteria,
        }
    }
}

/// Request to a model.
#[derive(Clone)]
pub struct Completion {
    pub meta: Metadata,
    /// Name of the model or adapter in the request, echoed in the response.
    pub requested_model: Name,
    /// Base model.
    pub model: Name,
    pub adapter: Option<Name>,
    pub prompt: Name,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    pub stream: bool,
    /// Whether a stream ends with an event of the token usage.
    pub include_usage: bool,
    pub endpoint: Endpoint,
    /// Sampling parameters, forwarded unchanged.
    pub sampling: Map<String, Value>,
}

/// Body of a request; `rest` holds the fields that are not interpreted here.
#[derive(Deserialize)]
struct Body {
    model: String,
    #[serde(default)]
    messages: Option<Vec<Message>>,
    #[serde(default)]
    prompt: Option<Value>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    n: Option<u64>,
    #[serde(flatten)]
    rest: Map<String, Value>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Value,
}

/// Returns the caller of the API key in the `Authorization` header.
pub fn authenticate<'a>(
    headers: &HeaderMap,
    bundle: &'a Bundle,
) -> Result<(&'a Name, &'a Caller), ApiError> {
    let unauthorized = |message: &str| {
        ApiError::client_error(StatusCode::UNAUTHORIZED, "invalid_api_key", message)
    };
    let key = headers
        .get(hyper::header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| unauthorized("A key is missing; send it as 'Authorization: Bearer KEY'."))?;
    let hash = bundle::part::hash(key.trim().as_bytes());
    bundle
        .intent
        .caller(&hash)
        .ok_or_else(|| unauthorized("The key is not one of a known caller."))
}

/// Whether [`UNREPEATABLE_HEADER`] is set to anything but `no`.
pub fn is_marked_unrepeatable(headers: &HeaderMap) -> bool {
    headers
        .get(UNREPEATABLE_HEADER)
        .is_some_and(|value| !value.as_bytes().eq_ignore_ascii_case(b"no"))
}

/// Returns the idempotency key, or an error if it is empty, too long or not visible ASCII.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<Name>, ApiError> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.into())),
        _ => Err(ApiError::bad_request(
            "bad_idempotency_key",
            format!("The idempotency key must be 1 to {MAX_KEY_BYTES} visible characters."),
        )),
    }
}

/// Class of a request: the one in [`CLASS_HEADER`] if the caller may use it, else the default of
/// the model or service.
pub fn class<'a>(
    headers: &HeaderMap,
    bundle: &'a Bundle,
    caller: &Caller,
    default_class: &'a Name,
) -> Result<(&'a Name, &'a Class), ApiError> {
    let classes = &bundle.intent.classes;
    let name = match headers.get(CLASS_HEADER).map(|v| v.to_str()) {
        None => default_class,
        Some(Ok(requested)) if caller.classes.iter().any(|c| &**c == requested) => classes
            .get_key_value(requested)
            .map_or(default_class, |(name, _)| name),
        Some(_) => {
            return Err(ApiError::client_error(
                StatusCode::FORBIDDEN,
                "class_not_allowed",
                format!("The class named in {CLASS_HEADER} is not one of this caller's."),
            ));
        }
    };
    classes.get_key_value(name).ok_or_else(|| {
        ApiError::bad_request(
            "unknown_class",
            format!("Class '{name}' is not in the bundle in force."),
        )
    })
}

/// Parsed body, not validated yet.
pub struct Parsed {
    body: Body,
    endpoint: Endpoint,
}

/// Parses a body.
pub fn parse(bytes: &[u8], endpoint: Endpoint) -> Result<Parsed, ApiError> {
    let body: Body = serde_json::from_slice(bytes).map_err(|e| {
        ApiError::bad_request(
            "invalid_json",
            format!("The body is not a request in JSON: {e}."),
        )
    })?;
    Ok(Parsed { body, endpoint })
}

impl Parsed {
    /// Name of the requested model or adapter.
    pub fn model(&self) -> &str {
        &self.body.model
    }

    /// Validates the fields and builds the request.
    pub fn into_completion(
        self,
        meta: Metadata,
        model: Name,
        adapter: Option<Name>,
    ) -> Result<Completion, ApiError> {
        let body = self.body;
        if body.n.is_some_and(|n| n != 1) {
            return Err(ApiError::bad_request(
                "unsupported",
                "Only n = 1 is supported.",
            ));
        }
        let prompt = match self.endpoint {
            Endpoint::Chat => chat_prompt(body.messages)?,
            Endpoint::Text => text_prompt(body.prompt)?,
        };
        let requested = body.max_completion_tokens.or(body.max_tokens);
        let max_tokens = match requested {
            None => DEFAULT_MAX_TOKENS,
            Some(n) if (1..=u64::from(MAX_TOKENS)).contains(&n) => n as u32,
            Some(n) => {
                return Err(ApiError::bad_request(
                    "bad_max_tokens",
                    format!("max_tokens is {n}; it must be from 1 to {MAX_TOKENS}."),
                ));
            }
        };
        let mut sampling = body.rest;
        sampling.retain(|key, value| SAMPLING_FIELDS.contains(&key.as_str()) && !value.is_null());
        Ok(Completion {
            meta,
            requested_model: body.model.into(),
            model,
            adapter,
            prompt,
            max_tokens,
            stream: body.stream.unwrap_or(false),
            include_usage: body.stream_options.is_some_and(|o| o.include_usage),
            endpoint: self.endpoint,
            sampling,
        })
    }
}

/// Joins messages into one prompt; parts other than text are included as JSON.
fn chat_prompt(messages: Option<Vec<Message>>) -> Result<Name, ApiError> {
    let messages = messages.unwrap_or_default();
    if messages.is_empty() {
        return Err(ApiError::bad_request(
            "missing_messages",
            "'messages' must hold at least one message.",
        ));
    }
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match message.content {
            Value::String(text) => prompt.push_str(&text),
            Value::Null => {}
            Value::Array(parts) => parts.iter().for_each(|part| match &part["text"] {
                Value::String(text) => prompt.push_str(text),
                _ => prompt.push_str(&part.to_string()),
            }),
            _ => {
                return Err(ApiError::bad_request(
                    "bad_content",
                    "The content of a message must be text or a list of parts.",
                ));
            }
        }
        prompt.push('\n');
    }
    Ok(prompt.into())
}

fn text_prompt(prompt: Option<Value>) -> Result<Name, ApiError> {
    match prompt {
        Some(Value::String(text)) => Ok(text.into()),
        Some(Value::Array(prompts)) if prompts.len() == 1 && prompts[0].is_string() => {
            Ok(prompts[0].as_str().unwrap_or_default().into())
        }
        _ => Err(ApiError::bad_request(
            "missing_prompt",
            "'prompt' must be one text.",
        )),
    }
}
