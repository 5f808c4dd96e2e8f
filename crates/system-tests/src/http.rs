//! An HTTP client that opens a new connection for each request.

use std::net::SocketAddr;

use httpio::{
    Limits, Method,
    client::{Connection, Request},
};
use serde_json::Value;

use crate::run;

/// The response that a caller received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The value of `x-outcome`, or empty if the header is absent.
    pub outcome: String,
    /// The part of the body that was received.
    pub body: String,
    /// Whether the body was received to its end.
    pub is_complete: bool,
}

impl Reply {
    /// The body as JSON, or null if it does not parse.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// Sends a GET request; returns `None` if no response arrives.
#[must_use]
pub fn get(addr: SocketAddr, path: &str) -> Option<Reply> {
    exchange(addr, Method::GET, path, &[], "")
}

/// Sends a POST request; returns `None` if no response arrives.
#[must_use]
pub fn post(
    addr: SocketAddr,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Option<Reply> {
    exchange(addr, Method::POST, path, headers, body)
}

fn exchange(
    addr: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: &str,
) -> Option<Reply> {
    let uri = path.parse().expect("a path");
    let mut request = Request { method, uri, body: body.to_owned().into(), ..Request::default() };
    for (name, value) in headers {
        request.headers.insert(*name, value.parse().expect("a header value"));
    }
    run(receive(addr, request))
}

async fn receive(addr: SocketAddr, request: Request) -> Option<Reply> {
    let connection = Connection::open(addr, Limits::default()).await.ok()?;
    let response = connection.send(request).await.ok()?;
    let outcome = response.head.headers.get("x-outcome");
    let outcome = outcome.and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned();
    let mut reply = Reply {
        status: response.head.status.as_u16(),
        outcome,
        body: String::new(),
        is_complete: true,
    };
    let mut body = response.body;
    while let Some(data) = body.next().await {
        match data {
            Ok(data) => reply.body += &String::from_utf8_lossy(&data),
            Err(_) => {
                reply.is_complete = false;
                break;
            }
        }
    }
    Some(reply)
}
