//! The conventions by which relayed requests carry what the router needs to know.
//!
//! The relay passes requests and answers on unchanged; what it reads of them and adds to them goes
//! through this border, so that it knows the header fields of no platform.

use std::time::Duration;

use http::{HeaderMap, HeaderValue};
use httpio::{
    client::ResponseHead,
    server::{Reply, Request},
};
use policy::Prompt;
use tables::Priority;

use crate::outcome::Failure;

/// What a caller says of its request beside method, target and body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ask {
    /// The key of the caller's workspace.
    pub key: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The prompt, for a model engine.
    pub prompt: Prompt,
    /// The most tokens of the answer.
    pub max_tokens: Option<u32>,
    /// The last event that the caller has of the answer.
    pub last_event: Option<u64>,
}

/// What an attempt tells the backend server.
#[derive(Debug, Clone, Copy)]
pub struct AttemptNote<'a> {
    /// The name under which the server answers; empty if it is known by its address alone.
    pub server: &'a str,
    /// How long the caller still waits.
    pub left: Duration,
    /// The workspace of the caller, if it has one.
    pub workspace: Option<&'a str>,
    /// How urgent the request is among all at the server; nothing for a plain service.
    pub urgency: Option<Priority>,
    /// The last event that was passed on, when an answer goes on at another server.
    pub last_event: Option<u64>,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AnswerNote {
    /// The server refused the request before starting it.
    pub refusal: Option<NotStarted>,
    /// Whether the head bears the signature of a server.
    pub is_signed: bool,
    /// The server's load, if it was told.
    pub load: Option<ServerLoad>,
}

/// Why a server did not start a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotStarted {
    /// It has no room.
    Full,
    /// Another server has its address now.
    OtherServer,
    /// It says no more.
    Refused,
}

/// The load that a server tells with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// The conventions of one kind of callers and backend servers.
pub trait Dialect {
    /// Reads what a caller says of its request.
    fn read(&self, request: &Request) -> Ask;

    /// The header fields of an attempt, from those of the caller.
    fn forwarded(&self, headers: &HeaderMap, note: &AttemptNote<'_>) -> HeaderMap;

    /// Reads the head of an answer.
    fn answer(&self, head: &ResponseHead) -> AnswerNote;

    /// The header fields of an answer that its caller gets.
    fn returned(&self, headers: &HeaderMap) -> HeaderMap;

    /// Tells a caller why its request is not answered as asked.
    fn failure(&self, failure: &Failure, id: Option<&HeaderValue>) -> Reply;

    /// The name of a server in the head of its answer to a probe.
    fn server_name<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;
}
