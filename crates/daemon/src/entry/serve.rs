//! One request of a caller, from its head to its answer.

use super::answer::{self, Answer};
use super::ask::{self, Ask, Asker, Form};
use super::fault::Fault;
use super::render::{self, Whole};
use super::respond::{Body, full, mark, models, one_model, refuse, whole_response};
use super::service::{self, Call};
use super::settle::{Settle, stored, stored_plain, take_claim};
use crate::claim::{Stored, Taken};
use crate::clock::wall_ms;
use crate::core::{BODY_UNIT, Core};
use crate::force::InForce;
use crate::teller::Record;
use bytes::{Bytes, BytesMut};
use conn::Reply;
use futures::stream;
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use route::retry::Outcome;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;
use unit::{Name, Span};
use upstream::engine::Item;

/// Time a caller has to send a body.
const BODY_LIMIT: Duration = Duration::from_secs(30);

/// When to come back to a daemon that has no bundle yet, or no memory for a body.
const SOON: Span = Span::from_secs(1);

/// Bytes of events sent at once at the most.
const MOST_CHUNK: usize = 16 * 1_024;

/// Answers a request of a caller.
pub async fn handle(core: Arc<Core>, request: Request<Incoming>) -> Response<Body> {
    let id = core.new_request();
    match route(&core, &id, request).await {
        Ok(response) => response,
        Err(fault) => refuse(&id, &fault),
    }
}

async fn route(
    core: &Arc<Core>,
    id: &Name,
    request: Request<Incoming>,
) -> Result<Response<Body>, Fault> {
    let bundle = core
        .in_force()
        .ok_or_else(|| Fault::busy("not_ready", "This daemon has no bundle in force yet.", SOON))?;
    ask::authenticate(request.headers(), &bundle)?;
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    match (&method, path.as_str()) {
        (&Method::GET, "/v1/models") => Ok(models(id, request.headers(), &bundle)),
        (&Method::GET, path) if path.starts_with("/v1/models/") => {
            one_model(id, &path["/v1/models/".len()..], request.headers(), &bundle)
        }
        (&Method::POST, "/v1/chat/completions") => {
            model(core, id, request, Form::Chat, bundle).await
        }
        (&Method::POST, "/v1/completions") => model(core, id, request, Form::Text, bundle).await,
        (_, "/v1/models" | "/v1/chat/completions" | "/v1/completions") => Err(Fault::refused(
            StatusCode::METHOD_NOT_ALLOWED,
            "method_not_allowed",
            format!("{method} is not allowed on {path}."),
        )),
        _ => plain(core, id, request, bundle).await,
    }
}

/// Body read whole, with the memory that it takes until it is dropped.
struct ReadBody {
    bytes: Bytes,
    memory: OwnedSemaphorePermit,
}

async fn read_body(core: &Core, bundle: &InForce, body: Incoming) -> Result<ReadBody, Fault> {
    let most = bundle.intent.limits.body.0;
    let announced = body.size_hint().exact();
    let too_long = || {
        Fault::refused(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_long",
            format!(
                "The body is longer than the {} allowed.",
                bundle.intent.limits.body
            ),
        )
    };
    if announced.is_some_and(|length| length > most) {
        return Err(too_long());
    }
    let units = announced.unwrap_or(most).div_ceil(BODY_UNIT).max(1) as u32;
    let memory = core.bodies.clone().try_acquire_many_owned(units);
    let memory = memory.map_err(|_| {
        Fault::busy(
            "overloaded",
            "This daemon holds as many request bodies as it may.",
            SOON,
        )
    })?;
    let read = timeout(BODY_LIMIT, Limited::new(body, most as usize).collect()).await;
    match read {
        Ok(Ok(whole)) => Ok(ReadBody {
            bytes: whole.to_bytes(),
            memory,
        }),
        Ok(Err(e)) if e.is::<hyper::Error>() => Err(Fault::bad(
            "body_broke_off",
            "The body broke off before its end.",
        )),
        Ok(Err(_)) => Err(too_long()),
        Err(_) => Err(Fault::refused(
            StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
            format!("The body did not arrive within {} s.", BODY_LIMIT.as_secs()),
        )),
    }
}

/// Request to a model.
async fn model(
    core: &Arc<Core>,
    id: &Name,
    request: Request<Incoming>,
    form: Form,
    bundle: Arc<InForce>,
) -> Result<Response<Body>, Fault> {
    let arrived = core.now();
    let (head, body) = request.into_parts();
    let (caller_name, caller) = ask::authenticate(&head.headers, &bundle)?;
    let body = read_body(core, &bundle, body).await?;
    let read = ask::read(&body.bytes, form)?;
    let unknown = || {
        Fault::refused(
            StatusCode::NOT_FOUND,
            "model_not_found",
            format!(
                "The model '{}' does not exist or you may not use it.",
                read.model()
            ),
        )
    };
    let target = bundle.intent.target(read.model()).ok_or_else(unknown)?;
    if !caller.may_use(read.model()) {
        return Err(unknown());
    }
    let (class_name, class) = ask::class(&head.headers, &bundle, caller, &target.entry.class)?;
    let strict = ask::is_marked_unrepeatable(&head.headers);
    let asker = Asker {
        request: id.clone(),
        caller: caller_name.clone(),
        weight: caller.weight,
        class_name: class_name.clone(),
        class: class.clone(),
        repeatable: !strict && !target.entry.unrepeatable,
        key: ask::idempotency_key(&head.headers)?,
        arrived,
        bundle: bundle.clone(),
    };
    let (model, adapter) = (target.model.clone(), target.adapter.cloned());
    let ask = read.ask(asker, model, adapter)?;
    begin(core, &ask.asker, &ask.asked);
    let held =
        match take_claim(core, &ask.asker, &head.method, head.uri.path(), &body.bytes).await? {
            Some(Taken::Answer(stored)) => return replay(&ask, stored),
            Some(Taken::Ours(held)) => Some(held),
            None => None,
        };
    let settle = Settle::new(core, held);
    let answer = answer::start(core, ask.clone()).await;
    let answer = match answer {
        Ok(answer) => answer,
        Err(fault) => {
            settle.failed(&fault);
            return Err(fault);
        }
    };
    match ask.stream {
        true => Ok(streamed(&ask, answer, settle, body.memory)),
        false => collected(&ask, answer, settle).await,
    }
}

/// Starts the record of a request.
fn begin(core: &Core, asker: &Asker, target: &Name) {
    core.teller.begin(Record {
        request: asker.request.clone(),
        caller: asker.caller.clone(),
        class: asker.class_name.clone(),
        target: target.clone(),
        repeatable: asker.repeatable,
        bundle: asker.bundle.head.sequence,
        waited: Span::ZERO,
        decisions: Vec::new(),
        outcome: None,
        reason: String::new(),
    });
}

async fn collected(ask: &Ask, mut answer: Answer, settle: Settle) -> Result<Response<Body>, Fault> {
    match render::collect(&mut answer).await {
        Ok(whole) => {
            settle.done(stored(&whole));
            let body = render::whole(ask, wall_ms() / 1_000, &whole);
            Ok(whole_response(&ask.asker.request, body))
        }
        Err(fault) => {
            settle.failed(&fault);
            Err(fault)
        }
    }
}

/// What a streamed answer is made from, step by step.
struct Streaming {
    answer: Answer,
    events: render::Events,
    settle: Option<Settle>,
    text: Option<String>,
    started: bool,
    last: Last,
    _memory: OwnedSemaphorePermit,
}

/// What remains after the last tokens.
enum Last {
    More,
    Cut,
    Nothing,
}

fn streamed(
    ask: &Ask,
    answer: Answer,
    settle: Settle,
    memory: OwnedSemaphorePermit,
) -> Response<Body> {
    let keeps = settle.holds();
    let streaming = Streaming {
        answer,
        events: render::events(ask, wall_ms() / 1_000),
        settle: Some(settle),
        text: keeps.then(String::new),
        started: false,
        last: Last::More,
        _memory: memory,
    };
    let frames = stream::unfold(streaming, |mut streaming| async move {
        let frame = streaming.step().await?;
        Some((frame, streaming))
    });
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(
        hyper::header::CACHE_CONTROL,
        HeaderValue::from_static("no-cache"),
    );
    mark(headers, &ask.asker.request, "streaming");
    response
}

impl Streaming {
    /// Next piece of the body; an error cuts the connection, so that it never looks whole.
    async fn step(&mut self) -> Option<Result<Frame<Bytes>, io::Error>> {
        match self.last {
            Last::Nothing => return None,
            Last::Cut => {
                self.last = Last::Nothing;
                // What was said last must leave before the cut: a pause lets it be flushed.
                tokio::task::yield_now().await;
                return Some(Err(io::Error::other("the answer is not whole")));
            }
            Last::More => {}
        }
        match self.answer.next().await {
            Ok(item) => Some(Ok(Frame::data(self.render(item)))),
            Err(fault) => {
                if let Some(settle) = self.settle.take() {
                    settle.failed(&fault);
                }
                self.last = Last::Cut;
                Some(Ok(Frame::data(self.events.fault(&fault))))
            }
        }
    }

    /// Renders an item and those that have arrived behind it.
    fn render(&mut self, item: Item) -> Bytes {
        let mut out = BytesMut::new();
        if !self.started {
            self.started = true;
            self.events.start(&mut out);
        }
        let mut next = Some(item);
        while let Some(item) = next {
            match item {
                Item::Tokens { text, .. } => {
                    self.events.tokens(&mut out, &text);
                    if let Some(kept) = &mut self.text {
                        kept.push_str(&text);
                    }
                    next = match out.len() < MOST_CHUNK {
                        true => self.answer.buffered(),
                        false => None,
                    };
                }
                Item::End(end) => {
                    self.events.end(&mut out, &end, self.answer.tokens);
                    self.last = Last::Nothing;
                    self.done(&end);
                    next = None;
                }
            }
        }
        out.freeze()
    }

    fn done(&mut self, end: &upstream::engine::End) {
        let whole = self.text.take().map(|text| Whole {
            text,
            tokens: self.answer.tokens,
            prompt_tokens: end.prompt_tokens,
            finish: end.finish.clone(),
        });
        if let Some(settle) = self.settle.take() {
            settle.done(whole.as_ref().and_then(stored));
        }
    }
}

/// Gives the first sending's answer again, in the form that is asked for now.
fn replay(ask: &Ask, stored: Stored) -> Result<Response<Body>, Fault> {
    let odd = || {
        Fault::lost(
            Outcome::Complete,
            "The first sending's answer cannot be read any more.",
        )
    };
    let Stored::Model { whole } = stored else {
        return Err(odd());
    };
    let whole: Whole = serde_json::from_str(&whole).map_err(|_| odd())?;
    let created = wall_ms() / 1_000;
    if !ask.stream {
        return Ok(whole_response(
            &ask.asker.request,
            render::whole(ask, created, &whole),
        ));
    }
    let events = render::events(ask, created);
    let mut out = BytesMut::new();
    events.start(&mut out);
    events.tokens(&mut out, &whole.text);
    let end = upstream::engine::End {
        finish: whole.finish.clone(),
        prompt_tokens: whole.prompt_tokens,
        load: Default::default(),
    };
    events.end(&mut out, &end, whole.tokens);
    let mut response = Response::new(full(out.freeze()));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    mark(headers, &ask.asker.request, Outcome::Complete.as_str());
    Ok(response)
}

/// Request to a plain service.
async fn plain(
    core: &Arc<Core>,
    id: &Name,
    request: Request<Incoming>,
    bundle: Arc<InForce>,
) -> Result<Response<Body>, Fault> {
    let arrived = core.now();
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let (caller_name, caller) = ask::authenticate(&head.headers, &bundle)?;
    let (name, entry) = bundle.intent.service(&path).ok_or_else(|| {
        Fault::refused(
            StatusCode::NOT_FOUND,
            "no_such_path",
            format!("No service of this bundle answers {path}."),
        )
    })?;
    let below = format!("/{}", &path[entry.path.len()..]);
    let strict = ask::is_marked_unrepeatable(&head.headers);
    let (class_name, class) = ask::class(&head.headers, &bundle, caller, &entry.class)?;
    let asker = Asker {
        request: id.clone(),
        caller: caller_name.clone(),
        weight: caller.weight,
        class_name: class_name.clone(),
        class: class.clone(),
        repeatable: !strict && entry.is_repeatable(head.method.as_str(), &below),
        key: ask::idempotency_key(&head.headers)?,
        arrived,
        bundle: bundle.clone(),
    };
    let body = read_body(core, &bundle, body).await?;
    begin(core, &asker, name);
    let held = match take_claim(core, &asker, &head.method, &path, &body.bytes).await? {
        Some(Taken::Answer(stored)) => return replay_plain(id, stored),
        Some(Taken::Ours(held)) => Some(held),
        None => None,
    };
    let query = head
        .uri
        .query()
        .map(|q| format!("?{q}"))
        .unwrap_or_default();
    let call = Call {
        asker,
        service: name.clone(),
        method: head.method,
        path: below + &query,
        headers: head.headers,
        body: body.bytes,
        refusal_status: entry.refusal_status,
    };
    let settle = Settle::new(core, held);
    match service::call(core, &call).await {
        Ok(reply) => {
            settle.done(stored_plain(&reply));
            Ok(passed_on(id, &reply))
        }
        Err(fault) => {
            settle.failed(&fault);
            Err(fault)
        }
    }
}

fn passed_on(id: &Name, reply: &Reply) -> Response<Body> {
    let mut response = Response::new(full(reply.body.clone()));
    *response.status_mut() = reply.status;
    *response.headers_mut() = service::answer_headers(reply);
    mark(response.headers_mut(), id, Outcome::Complete.as_str());
    response
}

fn replay_plain(id: &Name, stored: Stored) -> Result<Response<Body>, Fault> {
    let odd = || {
        Fault::lost(
            Outcome::Complete,
            "The first sending's answer cannot be read any more.",
        )
    };
    let Stored::Plain {
        status,
        content_type,
        body,
    } = stored
    else {
        return Err(odd());
    };
    let mut response = Response::new(full(Bytes::copy_from_slice(body.as_bytes())));
    *response.status_mut() = StatusCode::from_u16(status).map_err(|_| odd())?;
    if let Some(value) = content_type.and_then(|v| HeaderValue::from_str(&v).ok()) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    mark(response.headers_mut(), id, Outcome::Complete.as_str());
    Ok(response)
}
