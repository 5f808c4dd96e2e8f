//! Replies and request parsing that all services share.

use derive_more::{Display, Error, From};
use httpio::{
    Bytes, HeaderValue, StatusCode,
    server::{Reply, Request},
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;

/// Header of a refusal that says that the request was not started.
pub(crate) const NOT_STARTED: &str = "x-not-started";
/// Header with the request id, which replies echo.
pub(crate) const REQUEST_ID: &str = "x-request-id";

const JSON: &str = "application/json";

pub(crate) fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    // The bodies are structs of plain fields, which always serialize.
    let body = serde_json::to_vec(body).unwrap_or_default();
    Reply::typed(status, JSON, Bytes::from(body))
}

pub(crate) fn ok(body: &impl Serialize) -> Reply {
    json(StatusCode::OK, body)
}

pub(crate) fn error(status: StatusCode, code: &str, message: &str) -> Reply {
    json(status, &json!({ "error": { "code": code, "message": message } }))
}

/// Refuses a request that was not started.
pub(crate) fn not_started(status: StatusCode, code: &str, message: &str) -> Reply {
    let mut reply = error(status, code, message);
    reply.headers.insert(NOT_STARTED, HeaderValue::from_static("1"));
    reply
}

pub(crate) fn not_found() -> Reply {
    not_started(StatusCode::NOT_FOUND, "not-found", "no such path: see docs/design/standins.md")
}

/// Adds the request id to a reply, unless it is not a valid header value.
pub(crate) fn with_request_id(mut reply: Reply, id: &str) -> Reply {
    if let Ok(value) = HeaderValue::from_str(id) {
        reply.headers.insert(REQUEST_ID, value);
    }
    reply
}

/// Parses a JSON body.
///
/// # Errors
/// Fails if the body is not JSON of the expected type.
pub(crate) fn parse_body<T: DeserializeOwned>(request: &Request) -> Result<T, InvalidBody> {
    Ok(serde_json::from_slice(&request.body)?)
}

/// A body that is not JSON of the expected type.
#[derive(Debug, Display, Error, From)]
#[display("mend the JSON body: {_0}")]
pub(crate) struct InvalidBody(serde_json::Error);

impl From<InvalidBody> for Reply {
    fn from(error: InvalidBody) -> Reply {
        not_started(StatusCode::BAD_REQUEST, "bad-body", &error.to_string())
    }
}

/// The value of a key in the query of the target, without percent decoding.
pub(crate) fn query_value<'a>(request: &'a Request, key: &str) -> Option<&'a str> {
    let pairs = request.uri.query()?.split('&').filter_map(|it| it.split_once('='));
    pairs.into_iter().find(|(name, _)| *name == key).map(|(_, value)| value)
}
