//! Encodes responses of models as the OpenAI API does: JSON and server-sent events.

use super::error::ApiError;
use super::generation::Generation;
use super::request::{Completion, Endpoint};
use bytes::{BufMut, Bytes, BytesMut};
use serde_json::{Value, json};
use unit::Name;
use upstream::engine::{End, Item};

/// Complete output of a model.
///
/// Stored as JSON with the claim of an unrepeatable request, for resends.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Output {
    pub text: String,
    /// Number of generated tokens.
    pub tokens: u32,
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Finish reason, such as `stop` or `length`.
    pub finish: Name,
}

/// Reads a generation to its end.
pub async fn collect(generation: &mut Generation) -> Result<Output, ApiError> {
    let mut text = String::new();
    loop {
        match generation.next().await? {
            Item::Tokens { text: next, .. } => text.push_str(&next),
            Item::End(end) => {
                return Ok(Output {
                    text,
                    tokens: generation.tokens,
                    prompt_tokens: end.prompt_tokens,
                    finish: end.finish,
                });
            }
        }
    }
}

/// Encodes a complete output as one JSON object; `created` is in Unix seconds.
pub fn complete_json(completion: &Completion, created: u64, output: &Output) -> Vec<u8> {
    let choice = match completion.endpoint {
        Endpoint::Chat => json!({
            "index": 0,
            "message": {"role": "assistant", "content": output.text},
            "finish_reason": output.finish,
        }),
        Endpoint::Text => json!({"index": 0, "text": output.text, "finish_reason": output.finish}),
    };
    let object = match completion.endpoint {
        Endpoint::Chat => "chat.completion",
        Endpoint::Text => "text_completion",
    };
    let response = json!({
        "id": completion.meta.id,
        "object": object,
        "created": created,
        "model": completion.requested_model,
        "choices": [choice],
        "usage": usage(output.prompt_tokens, output.tokens),
    });
    response.to_string().into_bytes()
}

fn usage(prompt: u32, completion: u32) -> Value {
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": completion,
        "total_tokens": prompt + completion,
    })
}

/// Encodes server-sent events; the parts that all events share are built once.
pub struct EventWriter {
    token_prefix: String,
    token_suffix: &'static str,
    event_prefix: String,
    endpoint: Endpoint,
    include_usage: bool,
}

/// Creates the writer for a request; `created` is in Unix seconds.
pub fn event_writer(completion: &Completion, created: u64) -> EventWriter {
    let quoted = |text: &str| Value::from(text).to_string();
    let object = match completion.endpoint {
        Endpoint::Chat => "chat.completion.chunk",
        Endpoint::Text => "text_completion",
    };
    let event_prefix = format!(
        "data: {{\"id\":{},\"object\":\"{object}\",\"created\":{created},\"model\":{},",
        quoted(&completion.meta.id),
        quoted(&completion.requested_model)
    );
    let (token_prefix, token_suffix) = match completion.endpoint {
        Endpoint::Chat => (
            "\"choices\":[{\"index\":0,\"delta\":{\"content\":",
            "},\"finish_reason\":null}]}\n\n",
        ),
        Endpoint::Text => (
            "\"choices\":[{\"index\":0,\"text\":",
            ",\"finish_reason\":null}]}\n\n",
        ),
    };
    EventWriter {
        token_prefix: format!("{event_prefix}{token_prefix}"),
        token_suffix,
        event_prefix,
        endpoint: completion.endpoint,
        include_usage: completion.include_usage,
    }
}

impl EventWriter {
    /// Writes the first event of a chat, which carries the role.
    pub fn start(&self, out: &mut BytesMut) {
        if self.endpoint == Endpoint::Chat {
            out.put_slice(self.event_prefix.as_bytes());
            out.put_slice(b"\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"\"},\"finish_reason\":null}]}\n\n");
        }
    }

    /// Writes an event with new tokens.
    pub fn tokens(&self, out: &mut BytesMut, text: &str) {
        out.reserve(self.token_prefix.len() + text.len() + self.token_suffix.len() + 8);
        out.put_slice(self.token_prefix.as_bytes());
        serde_json::to_writer(out.writer(), text).expect("text serializes to JSON");
        out.put_slice(self.token_suffix.as_bytes());
    }

    /// Writes the events that end a complete response.
    pub fn end(&self, out: &mut BytesMut, end: &End, tokens: u32) {
        let choice = match self.endpoint {
            Endpoint::Chat => json!([{"index": 0, "delta": {}, "finish_reason": end.finish}]),
            Endpoint::Text => json!([{"index": 0, "text": "", "finish_reason": end.finish}]),
        };
        out.put_slice(self.event_prefix.as_bytes());
        out.put_slice(format!("\"choices\":{choice}}}\n\n").as_bytes());
        if self.include_usage {
            let usage = usage(end.prompt_tokens, tokens);
            out.put_slice(self.event_prefix.as_bytes());
            out.put_slice(format!("\"choices\":[],\"usage\":{usage}}}\n\n").as_bytes());
        }
        out.put_slice(b": coveford-outcome complete\n\ndata: [DONE]\n\n");
    }

    /// Returns the event that ends an incomplete stream; no `[DONE]` follows.
    pub fn error(&self, error: &ApiError) -> Bytes {
        let mut out = BytesMut::new();
        out.put_slice(b"data: ");
        out.put_slice(&error.to_json());
        out.put_slice(b"\n\n");
        out.freeze()
    }
}
