//! Responses to callers: headers, errors and the list of models.

use super::error::ApiError;
use super::request;
use super::{OUTCOME_HEADER, REQUEST_HEADER};
use crate::active_bundle::Bundle;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};
use route::retry::Outcome;
use serde_json::json;
use std::io;
use unit::Name;

/// Response body.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Response header by which OpenAI client libraries decide whether to retry automatically.
const SHOULD_RETRY: &str = "x-should-retry";

/// Names of the models and adapters that the authenticated caller may use.
pub(super) fn accessible_models(headers: &HeaderMap, bundle: &Bundle) -> Vec<Name> {
    let Ok((_, caller)) = request::authenticate(headers, bundle) else {
        return Vec::new();
    };
    let models = bundle.intent.models.keys();
    let names = models.chain(bundle.intent.adapters.keys());
    names.filter(|name| caller.may_use(name)).cloned().collect()
}

pub(super) fn model_object(name: &str) -> serde_json::Value {
    json!({"id": name, "object": "model", "created": 0, "owned_by": "coveford"})
}

pub(super) fn list_models(id: &Name, headers: &HeaderMap, bundle: &Bundle) -> Response<Body> {
    let data: Vec<_> = accessible_models(headers, bundle)
        .iter()
        .map(|n| model_object(n))
        .collect();
    let list = json!({"object": "list", "data": data});
    json_response(id, list.to_string().into_bytes())
}

pub(super) fn get_model(
    id: &Name,
    name: &str,
    headers: &HeaderMap,
    bundle: &Bundle,
) -> Result<Response<Body>, ApiError> {
    if accessible_models(headers, bundle)
        .iter()
        .any(|n| &**n == name)
    {
        return Ok(json_response(
            id,
            model_object(name).to_string().into_bytes(),
        ));
    }
    Err(ApiError::client_error(
        StatusCode::NOT_FOUND,
        "model_not_found",
        format!("The model '{name}' does not exist or you may not use it."),
    ))
}

pub(super) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|infallible| match infallible {})
        .boxed_unsync()
}

pub(super) fn json_response(id: &Name, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    set_outcome_headers(headers, id, Outcome::Complete.as_str());
    response
}

pub(super) fn error_response(id: &Name, error: &ApiError) -> Response<Body> {
    let mut response = json_response(id, error.to_json());
    *response.status_mut() = error.status;
    let headers = response.headers_mut();
    set_outcome_headers(headers, id, error.outcome.as_str());
    if error.outcome == Outcome::Unknown {
        headers.insert(SHOULD_RETRY, HeaderValue::from_static("false"));
    }
    if let Some(delay) = error.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(delay.secs().ceil() as u64));
    }
    response
}

pub(super) fn set_outcome_headers(headers: &mut HeaderMap, id: &Name, outcome: &'static str) {
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_HEADER, value);
    }
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
}
