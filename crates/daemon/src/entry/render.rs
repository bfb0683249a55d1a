//! Answers of models in the forms that callers' libraries read.

use super::answer::Answer;
use super::ask::{Ask, Form};
use super::fault::Fault;
use bytes::{BufMut, Bytes, BytesMut};
use serde_json::{Value, json};
use unit::Name;
use upstream::engine::{End, Item};

/// Whole answer of a model.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Whole {
    /// Text.
    pub text: String,
    /// Its tokens.
    pub tokens: u32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Why it ended.
    pub finish: Name,
}

/// Reads an answer to its end.
pub async fn collect(answer: &mut Answer) -> Result<Whole, Fault> {
    let mut text = String::new();
    loop {
        match answer.next().await? {
            Item::Tokens { text: more, .. } => text.push_str(&more),
            Item::End(end) => {
                return Ok(Whole {
                    text,
                    tokens: answer.tokens,
                    prompt_tokens: end.prompt_tokens,
                    finish: end.finish,
                });
            }
        }
    }
}

/// The whole answer as one JSON object.
pub fn whole(ask: &Ask, created: u64, whole: &Whole) -> Vec<u8> {
    let choice = match ask.form {
        Form::Chat => json!({
            "index": 0,
            "message": {"role": "assistant", "content": whole.text},
            "finish_reason": whole.finish,
        }),
        Form::Text => json!({"index": 0, "text": whole.text, "finish_reason": whole.finish}),
    };
    let object = match ask.form {
        Form::Chat => "chat.completion",
        Form::Text => "text_completion",
    };
    let answer = json!({
        "id": ask.asker.request,
        "object": object,
        "created": created,
        "model": ask.asked,
        "choices": [choice],
        "usage": usage(whole.prompt_tokens, whole.tokens),
    });
    answer.to_string().into_bytes()
}

fn usage(prompt: u32, completion: u32) -> Value {
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": completion,
        "total_tokens": prompt + completion,
    })
}

/// Renders server-sent events; what is the same in each is made once.
pub struct Events {
    before: String,
    after: &'static str,
    head: String,
    form: Form,
    usage: bool,
}

/// Makes the renderer for a request.
pub fn events(ask: &Ask, created: u64) -> Events {
    let quoted = |text: &str| Value::from(text).to_string();
    let object = match ask.form {
        Form::Chat => "chat.completion.chunk",
        Form::Text => "text_completion",
    };
    let head = format!(
        "data: {{\"id\":{},\"object\":\"{object}\",\"created\":{created},\"model\":{},",
        quoted(&ask.asker.request),
        quoted(&ask.asked)
    );
    let (before, after) = match ask.form {
        Form::Chat => (
            "\"choices\":[{\"index\":0,\"delta\":{\"content\":",
            "},\"finish_reason\":null}]}\n\n",
        ),
        Form::Text => (
            "\"choices\":[{\"index\":0,\"text\":",
            ",\"finish_reason\":null}]}\n\n",
        ),
    };
    Events {
        before: format!("{head}{before}"),
        after,
        head,
        form: ask.form,
        usage: ask.usage,
    }
}

impl Events {
    /// First event of a chat: the role.
    pub fn start(&self, out: &mut BytesMut) {
        if self.form == Form::Chat {
            out.put_slice(self.head.as_bytes());
            out.put_slice(b"\"choices\":[{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"\"},\"finish_reason\":null}]}\n\n");
        }
    }

    /// Event of new tokens.
    pub fn tokens(&self, out: &mut BytesMut, text: &str) {
        out.reserve(self.before.len() + text.len() + self.after.len() + 8);
        out.put_slice(self.before.as_bytes());
        serde_json::to_writer(out.writer(), text).expect("text can always be written as JSON");
        out.put_slice(self.after.as_bytes());
    }

    /// Events at the end of a whole answer.
    pub fn end(&self, out: &mut BytesMut, end: &End, tokens: u32) {
        let choice = match self.form {
            Form::Chat => json!([{"index": 0, "delta": {}, "finish_reason": end.finish}]),
            Form::Text => json!([{"index": 0, "text": "", "finish_reason": end.finish}]),
        };
        out.put_slice(self.head.as_bytes());
        out.put_slice(format!("\"choices\":{choice}}}\n\n").as_bytes());
        if self.usage {
            let usage = usage(end.prompt_tokens, tokens);
            out.put_slice(self.head.as_bytes());
            out.put_slice(format!("\"choices\":[],\"usage\":{usage}}}\n\n").as_bytes());
        }
        out.put_slice(b": coveford-outcome complete\n\ndata: [DONE]\n\n");
    }

    /// Event that ends a stream which is not whole; no `[DONE]` follows.
    pub fn fault(&self, fault: &Fault) -> Bytes {
        let mut out = BytesMut::new();
        out.put_slice(b"data: ");
        out.put_slice(&fault.body());
        out.put_slice(b"\n\n");
        out.freeze()
    }
}
