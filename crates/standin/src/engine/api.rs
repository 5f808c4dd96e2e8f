//! The JSON bodies of the engine's HTTP API.

use engine_model::{CacheEvent, CacheSeq, KvExport, Priority};
use serde::{Deserialize, Serialize};

/// A chat completion request; unknown fields are ignored, since clients of other engines send them.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    pub(crate) messages: Vec<Message>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default = "unlimited")]
    pub(crate) max_tokens: u32,
    #[serde(default)]
    pub(crate) priority: Priority,
}

fn unlimited() -> u32 {
    u32::MAX
}

#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Message {
    pub(crate) content: String,
}

/// One event of a streamed answer, or the complete answer if it has `message` in place of `delta`.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Completion<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) model: &'a str,
    pub(crate) choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Choice<'a> {
    pub(crate) index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) message: Option<AssistantMessage>,
    pub(crate) finish_reason: Option<FinishReason>,
}

#[derive(Debug, Default, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) content: Option<&'a str>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct AssistantMessage {
    pub(crate) role: &'static str,
    pub(crate) content: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FinishReason {
    /// The answer ended by itself.
    Stop,
    /// The answer reached `max_tokens`.
    Length,
}

#[derive(Debug, Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u32,
    pub(crate) completion_tokens: u32,
}

/// The token from which a resumed stream continues.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) struct ResumeRequest {
    pub(crate) from_token: u32,
}

/// The progress of a stream.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct StreamReport<'a> {
    pub(crate) id: &'a str,
    pub(crate) produced_tokens: u32,
}

/// A stream exported for import by another engine.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) struct KvTransfer {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) export: KvExport,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct LoadReport {
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    pub(crate) paused: u32,
    pub(crate) kv_used_permille: u32,
    pub(crate) step_us: u64,
    pub(crate) batch_max: u32,
    pub(crate) age_ms: u64,
    pub(crate) incarnation: u64,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) struct CacheEventPage {
    pub(crate) events: Vec<CacheEvent>,
    pub(crate) next: CacheSeq,
    pub(crate) gap: bool,
}

/// A control order: loads or unloads a model, or changes the engine's role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub(crate) struct Order {
    pub(crate) fencing: u64,
    pub(crate) kind: OrderKind,
    #[serde(default)]
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) version: String,
    #[serde(default)]
    pub(crate) role: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum OrderKind {
    Load,
    Unload,
    Role,
}
