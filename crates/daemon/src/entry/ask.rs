//! Callers' requests to models, read from their JSON.

use super::fault::Fault;
use super::{CLASS_HEADER, IDEMPOTENCY_HEADER, UNREPEATABLE_HEADER};
use crate::fleet::{Target, Want};
use crate::force::InForce;
use bundle::intent::{Caller, Class};
use hyper::{HeaderMap, StatusCode};
use route::choose;
use serde::Deserialize;
use serde_json::{Map, Value};
use std::sync::Arc;
use unit::{Name, Time};

/// Tokens generated when the caller names no bound.
const DEFAULT_TOKENS: u32 = 256;

/// Most tokens a caller may ask for.
const MOST_TOKENS: u32 = 100_000;

/// Longest idempotency key, in bytes.
const MOST_KEY: usize = 256;

/// Fields handed to the engine as they came.
const SAMPLING: [&str; 8] = [
    "temperature",
    "top_p",
    "stop",
    "seed",
    "presence_penalty",
    "frequency_penalty",
    "logit_bias",
    "response_format",
];

/// Form of a request and its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Who asks, and under which rules.
#[derive(Clone)]
pub struct Asker {
    /// Identity of the request.
    pub request: Name,
    /// Name of the caller.
    pub caller: Name,
    /// Weight of its share.
    pub weight: u32,
    /// Name of the class.
    pub class_name: Name,
    /// Targets and rank.
    pub class: Class,
    /// Whether the request may be repeated.
    pub repeatable: bool,
    /// Idempotency key, if it has one.
    pub key: Option<Name>,
    /// When it arrived.
    pub arrived: Time,
    /// Bundle it is served under, from its beginning to its end.
    pub bundle: Arc<InForce>,
}

impl Asker {
    /// When nobody needs the answer any more.
    pub fn deadline(&self) -> Time {
        self.arrived + self.class.deadline
    }

    /// What the fleet is asked for on behalf of this request.
    pub fn want(&self, target: Target, ask: choose::Request) -> Want {
        Want {
            target,
            caller: self.caller.clone(),
            weight: self.weight,
            priority: self.class.priority,
            arrived: self.arrived,
            deadline: self.deadline(),
            ask,
        }
    }
}

/// Request to a model.
#[derive(Clone)]
pub struct Ask {
    /// Who asks.
    pub asker: Asker,
    /// Name that the caller used, echoed in the answer.
    pub asked: Name,
    /// Model that answers.
    pub model: Name,
    /// Adapter on it.
    pub adapter: Option<Name>,
    /// Prompt.
    pub prompt: Name,
    /// Most tokens.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the stream ends with the usage.
    pub usage: bool,
    /// Form.
    pub form: Form,
    /// Sampling fields.
    pub sampling: Map<String, Value>,
}

/// Body of a request, as far as it concerns routing.
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

/// Finds the caller of a bearer key.
pub fn authenticate<'a>(
    headers: &HeaderMap,
    bundle: &'a InForce,
) -> Result<(&'a Name, &'a Caller), Fault> {
    let refused =
        |message: &str| Fault::refused(StatusCode::UNAUTHORIZED, "invalid_api_key", message);
    let key = headers
        .get(hyper::header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| refused("A key is missing; send it as 'Authorization: Bearer KEY'."))?;
    let hash = bundle::part::hash(key.trim().as_bytes());
    bundle
        .intent
        .caller(&hash)
        .ok_or_else(|| refused("The key is not one of a known caller."))
}

/// Whether the caller marked the request as unrepeatable.
pub fn is_marked_unrepeatable(headers: &HeaderMap) -> bool {
    headers
        .get(UNREPEATABLE_HEADER)
        .is_some_and(|value| !value.as_bytes().eq_ignore_ascii_case(b"no"))
}

/// Idempotency key of a request.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<Name>, Fault> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MOST_KEY => Ok(Some(key.into())),
        _ => Err(Fault::bad(
            "bad_idempotency_key",
            format!("The idempotency key must be 1 to {MOST_KEY} visible characters."),
        )),
    }
}

/// Class of a request: named by the caller if it may, else the target's own.
pub fn class<'a>(
    headers: &HeaderMap,
    bundle: &'a InForce,
    caller: &Caller,
    own: &'a Name,
) -> Result<(&'a Name, &'a Class), Fault> {
    let classes = &bundle.intent.classes;
    let name = match headers.get(CLASS_HEADER).map(|v| v.to_str()) {
        None => own,
        Some(Ok(named)) if caller.classes.iter().any(|c| &**c == named) => {
            classes.get_key_value(named).map_or(own, |(name, _)| name)
        }
        Some(_) => {
            return Err(Fault::refused(
                StatusCode::FORBIDDEN,
                "class_not_allowed",
                format!("The class named in {CLASS_HEADER} is not one of this caller's."),
            ));
        }
    };
    classes.get_key_value(name).ok_or_else(|| {
        Fault::bad(
            "unknown_class",
            format!("Class '{name}' is not in the bundle in force."),
        )
    })
}

/// What is read from a body before the bundle is asked.
pub struct Read {
    body: Body,
    form: Form,
}

/// Reads a body.
pub fn read(bytes: &[u8], form: Form) -> Result<Read, Fault> {
    let body: Body = serde_json::from_slice(bytes).map_err(|e| {
        Fault::bad(
            "invalid_json",
            format!("The body is not a request in JSON: {e}."),
        )
    })?;
    Ok(Read { body, form })
}

impl Read {
    /// Name of the model or adapter asked for.
    pub fn model(&self) -> &str {
        &self.body.model
    }

    /// Checks the rest and makes the request.
    pub fn ask(self, asker: Asker, model: Name, adapter: Option<Name>) -> Result<Ask, Fault> {
        let body = self.body;
        if body.n.is_some_and(|n| n != 1) {
            return Err(Fault::bad("unsupported", "Only n = 1 is supported."));
        }
        let prompt = match self.form {
            Form::Chat => chat_prompt(body.messages)?,
            Form::Text => text_prompt(body.prompt)?,
        };
        let most = body.max_completion_tokens.or(body.max_tokens);
        let max_tokens = match most {
            None => DEFAULT_TOKENS,
            Some(n) if (1..=u64::from(MOST_TOKENS)).contains(&n) => n as u32,
            Some(n) => {
                return Err(Fault::bad(
                    "bad_max_tokens",
                    format!("max_tokens is {n}; it must be from 1 to {MOST_TOKENS}."),
                ));
            }
        };
        let mut sampling = body.rest;
        sampling.retain(|key, value| SAMPLING.contains(&key.as_str()) && !value.is_null());
        Ok(Ask {
            asker,
            asked: body.model.into(),
            model,
            adapter,
            prompt,
            max_tokens,
            stream: body.stream.unwrap_or(false),
            usage: body.stream_options.is_some_and(|o| o.include_usage),
            form: self.form,
            sampling,
        })
    }
}

/// Joins messages into one prompt; parts other than text are kept as JSON.
fn chat_prompt(messages: Option<Vec<Message>>) -> Result<Name, Fault> {
    let messages = messages.unwrap_or_default();
    if messages.is_empty() {
        return Err(Fault::bad(
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
                return Err(Fault::bad(
                    "bad_content",
                    "The content of a message must be text or a list of parts.",
                ));
            }
        }
        prompt.push('\n');
    }
    Ok(prompt.into())
}

fn text_prompt(prompt: Option<Value>) -> Result<Name, Fault> {
    match prompt {
        Some(Value::String(text)) => Ok(text.into()),
        Some(Value::Array(one)) if one.len() == 1 && one[0].is_string() => {
            Ok(one[0].as_str().unwrap_or_default().into())
        }
        _ => Err(Fault::bad("missing_prompt", "'prompt' must be one text.")),
    }
}
