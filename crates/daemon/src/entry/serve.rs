//! Handles a request of a caller: routing, body, idempotency claim and response.

use super::error::ApiError;
use super::generation::{self, Generation};
use super::idempotency::{ClaimGuard, acquire_claim, stored_output, stored_reply};
use super::render::{self, Output};
use super::request::{self, Completion, Endpoint, Metadata};
use super::respond::{
    Body, error_response, full_body, get_model, json_response, list_models, set_outcome_headers,
};
use super::service::{self, Call};
use crate::active_bundle::Bundle;
use crate::claim::{Acquisition, StoredResponse};
use crate::clock::wall_ms;
use crate::core::{BODY_UNIT, Core};
use crate::request_log::Record;
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

/// Time within which a body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// `Retry-After` of a daemon that has no bundle yet, or no memory for a body.
const RETRY_AFTER: Span = Span::from_secs(1);

/// Size at which a batch of events is sent.
const MAX_CHUNK_BYTES: usize = 16 * 1_024;

/// Handles a request of a caller; errors become error responses.
pub async fn handle(core: Arc<Core>, request: Request<Incoming>) -> Response<Body> {
    let id = core.new_request_id();
    match route(&core, &id, request).await {
        Ok(response) => response,
        Err(error) => error_response(&id, &error),
    }
}

async fn route(
    core: &Arc<Core>,
    id: &Name,
    request: Request<Incoming>,
) -> Result<Response<Body>, ApiError> {
    let bundle = core.in_force().ok_or_else(|| {
        ApiError::unavailable(
            "not_ready",
            "This daemon has no bundle in force yet.",
            RETRY_AFTER,
        )
    })?;
    request::authenticate(request.headers(), &bundle)?;
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    match (&method, path.as_str()) {
        (&Method::GET, "/v1/models") => Ok(list_models(id, request.headers(), &bundle)),
        (&Method::GET, path) if path.starts_with("/v1/models/") => {
            get_model(id, &path["/v1/models/".len()..], request.headers(), &bundle)
        }
        (&Method::POST, "/v1/chat/completions") => {
            handle_completion(core, id, request, Endpoint::Chat, bundle).await
        }
        (&Method::POST, "/v1/completions") => {
            handle_completion(core, id, request, Endpoint::Text, bundle).await
        }
        (_, "/v1/models" | "/v1/chat/completions" | "/v1/completions") => {
            Err(ApiError::client_error(
                StatusCode::METHOD_NOT_ALLOWED,
                "method_not_allowed",
                format!("{method} is not allowed on {path}."),
            ))
        }
        _ => handle_service(core, id, request, bundle).await,
    }
}

/// Request body with its permit for memory, which is returned on drop.
struct ReadBody {
    bytes: Bytes,
    memory: OwnedSemaphorePermit,
}

async fn read_body(core: &Core, bundle: &Bundle, body: Incoming) -> Result<ReadBody, ApiError> {
    let max_bytes = bundle.intent.limits.body.0;
    let content_length = body.size_hint().exact();
    let too_long = || {
        ApiError::client_error(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_long",
            format!(
                "The body is longer than the {} allowed.",
                bundle.intent.limits.body
            ),
        )
    };
    if content_length.is_some_and(|length| length > max_bytes) {
        return Err(too_long());
    }
    let units = content_length
        .unwrap_or(max_bytes)
        .div_ceil(BODY_UNIT)
        .max(1) as u32;
    let memory = core.body_memory.clone().try_acquire_many_owned(units);
    let memory = memory.map_err(|_| {
        ApiError::unavailable(
            "overloaded",
            "This daemon holds as many request bodies as it may.",
            RETRY_AFTER,
        )
    })?;
    let read = timeout(
        BODY_TIMEOUT,
        Limited::new(body, max_bytes as usize).collect(),
    )
    .await;
    match read {
        Ok(Ok(body)) => Ok(ReadBody {
            bytes: body.to_bytes(),
            memory,
        }),
        Ok(Err(e)) if e.is::<hyper::Error>() => Err(ApiError::bad_request(
            "body_broke_off",
            "The body broke off before its end.",
        )),
        Ok(Err(_)) => Err(too_long()),
        Err(_) => Err(ApiError::client_error(
            StatusCode::REQUEST_TIMEOUT,
            "body_too_slow",
            format!(
                "The body did not arrive within {} s.",
                BODY_TIMEOUT.as_secs()
            ),
        )),
    }
}

/// Handles a chat or text completion.
async fn handle_completion(
    core: &Arc<Core>,
    id: &Name,
    request: Request<Incoming>,
    endpoint: Endpoint,
    bundle: Arc<Bundle>,
) -> Result<Response<Body>, ApiError> {
    let arrived = core.now();
    let (head, body) = request.into_parts();
    let (caller_name, caller) = request::authenticate(&head.headers, &bundle)?;
    let body = read_body(core, &bundle, body).await?;
    let parsed = request::parse(&body.bytes, endpoint)?;
    let not_found = || {
        ApiError::client_error(
            StatusCode::NOT_FOUND,
            "model_not_found",
            format!(
                "The model '{}' does not exist or you may not use it.",
                parsed.model()
            ),
        )
    };
    let target = bundle.intent.target(parsed.model()).ok_or_else(not_found)?;
    if !caller.may_use(parsed.model()) {
        return Err(not_found());
    }
    let (class_name, class) = request::class(&head.headers, &bundle, caller, &target.entry.class)?;
    let marked_unrepeatable = request::is_marked_unrepeatable(&head.headers);
    let meta = Metadata {
        id: id.clone(),
        caller: caller_name.clone(),
        weight: caller.weight,
        class_name: class_name.clone(),
        class: class.clone(),
        repeatable: !marked_unrepeatable && !target.entry.unrepeatable,
        idempotency_key: request::idempotency_key(&head.headers)?,
        arrived,
        bundle: bundle.clone(),
    };
    let (model, adapter) = (target.model.clone(), target.adapter.cloned());
    let completion = parsed.into_completion(meta, model, adapter)?;
    start_record(core, &completion.meta, &completion.requested_model);
    let held = match acquire_claim(
        core,
        &completion.meta,
        &head.method,
        head.uri.path(),
        &body.bytes,
    )
    .await?
    {
        Some(Acquisition::Replay(stored)) => return replay(&completion, stored),
        Some(Acquisition::Granted(held)) => Some(held),
        None => None,
    };
    let claim = ClaimGuard::new(core, held);
    let generation = generation::start(core, completion.clone()).await;
    let generation = match generation {
        Ok(generation) => generation,
        Err(error) => {
            claim.fail(&error);
            return Err(error);
        }
    };
    match completion.stream {
        true => Ok(stream_response(&completion, generation, claim, body.memory)),
        false => collect_response(&completion, generation, claim).await,
    }
}

/// Starts the record of a request, which explains its routing to operators.
fn start_record(core: &Core, meta: &Metadata, target: &Name) {
    core.request_log.begin(Record {
        request: meta.id.clone(),
        caller: meta.caller.clone(),
        class: meta.class_name.clone(),
        target: target.clone(),
        repeatable: meta.repeatable,
        bundle: meta.bundle.head.sequence,
        waited: Span::ZERO,
        decisions: Vec::new(),
        outcome: None,
        reason: String::new(),
    });
}

async fn collect_response(
    completion: &Completion,
    mut generation: Generation,
    claim: ClaimGuard,
) -> Result<Response<Body>, ApiError> {
    match render::collect(&mut generation).await {
        Ok(output) => {
            claim.complete(stored_output(&output));
            let body = render::complete_json(completion, wall_ms() / 1_000, &output);
            Ok(json_response(&completion.meta.id, body))
        }
        Err(error) => {
            claim.fail(&error);
            Err(error)
        }
    }
}

/// State of a streamed response.
struct EventStream {
    generation: Generation,
    writer: render::EventWriter,
    claim: Option<ClaimGuard>,
    stored_text: Option<String>,
    started: bool,
    phase: Phase,
    _memory: OwnedSemaphorePermit,
}

enum Phase {
    Open,
    /// The error event was sent; the connection is closed next.
    Aborting,
    Ended,
}

fn stream_response(
    completion: &Completion,
    generation: Generation,
    claim: ClaimGuard,
    memory: OwnedSemaphorePermit,
) -> Response<Body> {
    let stores_output = claim.has_claim();
    let stream_state = EventStream {
        generation,
        writer: render::event_writer(completion, wall_ms() / 1_000),
        claim: Some(claim),
        stored_text: stores_output.then(String::new),
        started: false,
        phase: Phase::Open,
        _memory: memory,
    };
    let frames = stream::unfold(stream_state, |mut state| async move {
        let frame = state.next_frame().await?;
        Some((frame, state))
    });
    let mut response = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(
        hyper::header::CACHE_CONTROL,
        HeaderValue::from_static("no-cache"),
    );
    set_outcome_headers(headers, &completion.meta.id, "streaming");
    response
}

impl EventStream {
    /// Next frame of the body. An error closes the connection, so that the caller cannot take an
    /// incomplete response for a complete one.
    async fn next_frame(&mut self) -> Option<Result<Frame<Bytes>, io::Error>> {
        match self.phase {
            Phase::Ended => return None,
            Phase::Aborting => {
                self.phase = Phase::Ended;
                // Yields so that hyper flushes the error event before it closes the connection.
                tokio::task::yield_now().await;
                return Some(Err(io::Error::other(
                    "response incomplete: the stream from upstream failed",
                )));
            }
            Phase::Open => {}
        }
        match self.generation.next().await {
            Ok(item) => Some(Ok(Frame::data(self.render(item)))),
            Err(error) => {
                if let Some(claim) = self.claim.take() {
                    claim.fail(&error);
                }
                self.phase = Phase::Aborting;
                Some(Ok(Frame::data(self.writer.error(&error))))
            }
        }
    }

    /// Encodes an item and the buffered ones that follow it.
    fn render(&mut self, item: Item) -> Bytes {
        let mut out = BytesMut::new();
        if !self.started {
            self.started = true;
            self.writer.start(&mut out);
        }
        let mut next = Some(item);
        while let Some(item) = next {
            match item {
                Item::Tokens { text, .. } => {
                    self.writer.tokens(&mut out, &text);
                    if let Some(stored_text) = &mut self.stored_text {
                        stored_text.push_str(&text);
                    }
                    next = match out.len() < MAX_CHUNK_BYTES {
                        true => self.generation.try_next(),
                        false => None,
                    };
                }
                Item::End(end) => {
                    self.writer.end(&mut out, &end, self.generation.tokens);
                    self.phase = Phase::Ended;
                    self.complete(&end);
                    next = None;
                }
            }
        }
        out.freeze()
    }

    fn complete(&mut self, end: &upstream::engine::End) {
        let output = self.stored_text.take().map(|text| Output {
            text,
            tokens: self.generation.tokens,
            prompt_tokens: end.prompt_tokens,
            finish: end.finish.clone(),
        });
        if let Some(claim) = self.claim.take() {
            claim.complete(output.as_ref().and_then(stored_output));
        }
    }
}

/// Answers a resend with the stored response, streamed or not as the resend requests.
fn replay(completion: &Completion, stored: StoredResponse) -> Result<Response<Body>, ApiError> {
    let unreadable = || {
        ApiError::upstream_failure(
            Outcome::Complete,
            "The first sending's answer cannot be read any more.",
        )
    };
    let StoredResponse::Model { output } = stored else {
        return Err(unreadable());
    };
    let output: Output = serde_json::from_str(&output).map_err(|_| unreadable())?;
    let created = wall_ms() / 1_000;
    if !completion.stream {
        return Ok(json_response(
            &completion.meta.id,
            render::complete_json(completion, created, &output),
        ));
    }
    let writer = render::event_writer(completion, created);
    let mut out = BytesMut::new();
    writer.start(&mut out);
    writer.tokens(&mut out, &output.text);
    let end = upstream::engine::End {
        finish: output.finish.clone(),
        prompt_tokens: output.prompt_tokens,
        load: Default::default(),
    };
    writer.end(&mut out, &end, output.tokens);
    let mut response = Response::new(full_body(out.freeze()));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    set_outcome_headers(headers, &completion.meta.id, Outcome::Complete.as_str());
    Ok(response)
}

/// Handles a request to a plain service.
async fn handle_service(
    core: &Arc<Core>,
    id: &Name,
    request: Request<Incoming>,
    bundle: Arc<Bundle>,
) -> Result<Response<Body>, ApiError> {
    let arrived = core.now();
    let (head, body) = request.into_parts();
    let path = head.uri.path().to_owned();
    let (caller_name, caller) = request::authenticate(&head.headers, &bundle)?;
    let (name, entry) = bundle.intent.service(&path).ok_or_else(|| {
        ApiError::client_error(
            StatusCode::NOT_FOUND,
            "no_such_path",
            format!("No service of this bundle answers {path}."),
        )
    })?;
    let subpath = format!("/{}", &path[entry.path.len()..]);
    let marked_unrepeatable = request::is_marked_unrepeatable(&head.headers);
    let (class_name, class) = request::class(&head.headers, &bundle, caller, &entry.class)?;
    let meta = Metadata {
        id: id.clone(),
        caller: caller_name.clone(),
        weight: caller.weight,
        class_name: class_name.clone(),
        class: class.clone(),
        repeatable: !marked_unrepeatable && entry.is_repeatable(head.method.as_str(), &subpath),
        idempotency_key: request::idempotency_key(&head.headers)?,
        arrived,
        bundle: bundle.clone(),
    };
    let body = read_body(core, &bundle, body).await?;
    start_record(core, &meta, name);
    let held = match acquire_claim(core, &meta, &head.method, &path, &body.bytes).await? {
        Some(Acquisition::Replay(stored)) => return replay_service(id, stored),
        Some(Acquisition::Granted(held)) => Some(held),
        None => None,
    };
    let query = head
        .uri
        .query()
        .map(|q| format!("?{q}"))
        .unwrap_or_default();
    let call = Call {
        meta,
        service: name.clone(),
        method: head.method,
        path: subpath + &query,
        headers: head.headers,
        body: body.bytes,
        refusal_status: entry.refusal_status,
    };
    let claim = ClaimGuard::new(core, held);
    match service::call(core, &call).await {
        Ok(reply) => {
            claim.complete(stored_reply(&reply));
            Ok(forward_reply(id, &reply))
        }
        Err(error) => {
            claim.fail(&error);
            Err(error)
        }
    }
}

fn forward_reply(id: &Name, reply: &Reply) -> Response<Body> {
    let mut response = Response::new(full_body(reply.body.clone()));
    *response.status_mut() = reply.status;
    *response.headers_mut() = service::response_headers(reply);
    set_outcome_headers(response.headers_mut(), id, Outcome::Complete.as_str());
    response
}

fn replay_service(id: &Name, stored: StoredResponse) -> Result<Response<Body>, ApiError> {
    let unreadable = || {
        ApiError::upstream_failure(
            Outcome::Complete,
            "The first sending's answer cannot be read any more.",
        )
    };
    let StoredResponse::Plain {
        status,
        content_type,
        body,
    } = stored
    else {
        return Err(unreadable());
    };
    let mut response = Response::new(full_body(Bytes::copy_from_slice(body.as_bytes())));
    *response.status_mut() = StatusCode::from_u16(status).map_err(|_| unreadable())?;
    if let Some(value) = content_type.and_then(|v| HeaderValue::from_str(&v).ok()) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    set_outcome_headers(response.headers_mut(), id, Outcome::Complete.as_str());
    Ok(response)
}
