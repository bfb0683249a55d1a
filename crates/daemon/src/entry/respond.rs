//! Responses to callers: their marks, errors, and the list of models.

use super::ask;
use super::fault::Fault;
use super::{OUTCOME_HEADER, REQUEST_HEADER};
use crate::force::InForce;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};
use route::retry::Outcome;
use serde_json::json;
use std::io;
use unit::Name;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Header by which callers' usual libraries are kept from sending a request again by themselves.
const SHOULD_RETRY: &str = "x-should-retry";

/// Names of models and adapters that the caller of these headers may use.
pub(super) fn usable(headers: &HeaderMap, bundle: &InForce) -> Vec<Name> {
    let Ok((_, caller)) = ask::authenticate(headers, bundle) else {
        return Vec::new();
    };
    let models = bundle.intent.models.keys();
    let names = models.chain(bundle.intent.adapters.keys());
    names.filter(|name| caller.may_use(name)).cloned().collect()
}

pub(super) fn model_entry(name: &str) -> serde_json::Value {
    json!({"id": name, "object": "model", "created": 0, "owned_by": "coveford"})
}

pub(super) fn models(id: &Name, headers: &HeaderMap, bundle: &InForce) -> Response<Body> {
    let data: Vec<_> = usable(headers, bundle)
        .iter()
        .map(|n| model_entry(n))
        .collect();
    let list = json!({"object": "list", "data": data});
    whole_response(id, list.to_string().into_bytes())
}

pub(super) fn one_model(
    id: &Name,
    name: &str,
    headers: &HeaderMap,
    bundle: &InForce,
) -> Result<Response<Body>, Fault> {
    if usable(headers, bundle).iter().any(|n| &**n == name) {
        return Ok(whole_response(
            id,
            model_entry(name).to_string().into_bytes(),
        ));
    }
    Err(Fault::refused(
        StatusCode::NOT_FOUND,
        "model_not_found",
        format!("The model '{name}' does not exist or you may not use it."),
    ))
}

pub(super) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

pub(super) fn whole_response(id: &Name, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    mark(headers, id, Outcome::Complete.as_str());
    response
}

pub(super) fn refuse(id: &Name, fault: &Fault) -> Response<Body> {
    let mut response = whole_response(id, fault.body());
    *response.status_mut() = fault.status;
    let headers = response.headers_mut();
    mark(headers, id, fault.outcome.as_str());
    if fault.outcome == Outcome::Unknown {
        headers.insert(SHOULD_RETRY, HeaderValue::from_static("false"));
    }
    if let Some(after) = fault.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(after.secs().ceil() as u64));
    }
    response
}

pub(super) fn mark(headers: &mut HeaderMap, id: &Name, outcome: &'static str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_HEADER, value);
    }
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
}
