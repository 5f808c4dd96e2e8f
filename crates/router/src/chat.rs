//! The messages of chat completions: the caller's request, the engine's events and the answer
//! assembled from them.

use derive_more::Display;
use http::StatusCode;
use httpio::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use tables::{Pool, Priority};
use xxhash_rust::xxh3::xxh3_64;

use crate::outcome::{Code, Failure};

/// The number of characters of the first message that are hashed as the prompt's prefix.
const PREFIX_CHARS: usize = 256;

/// How the answer is delivered to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Token by token.
    Stream,
    /// As one complete document.
    Whole,
}

/// A caller's chat request.
#[derive(Debug, Clone)]
pub struct ChatRequest {
    /// How the answer is delivered.
    pub delivery: Delivery,
    /// The maximum number of tokens of the answer, if the caller limits them.
    pub max_tokens: Option<u32>,
    /// Hash of the prompt's prefix.
    pub prefix_hash: u64,
    /// The body for the engine, which always streams so that silence can be detected.
    pub body: Bytes,
}

impl ChatRequest {
    /// Parses a request and builds the body for the engine.
    ///
    /// # Errors
    /// If the body is not a chat request or names a model that the pool does not serve.
    pub fn parse(body: &[u8], pool: &Pool, priority: Priority) -> Result<ChatRequest, Failure> {
        let mut fields: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|error| bad_request(format!("the body is not a JSON object: {error}")))?;
        check_model(&fields, pool)?;
        let delivery = match fields.get("stream") {
            Some(Value::Bool(true)) => Delivery::Stream,
            Some(Value::Bool(false)) | None => Delivery::Whole,
            Some(_) => return Err(bad_request("write stream as true or false")),
        };
        let max_tokens = match fields.get("max_tokens") {
            None | Some(Value::Null) => None,
            Some(value) => Some(whole_number(value)?),
        };
        let prefix_hash = prefix_hash(&fields)?;
        fields.insert("stream".to_owned(), true.into());
        fields.insert("priority".to_owned(), priority.0.into());
        let body =
            serde_json::to_vec(&fields).expect("a parsed JSON object is serializable").into();
        Ok(ChatRequest { delivery, max_tokens, prefix_hash, body })
    }
}

fn check_model(fields: &Map<String, Value>, pool: &Pool) -> Result<(), Failure> {
    match fields.get("model").and_then(Value::as_str) {
        Some(model) if model == pool.model => Ok(()),
        Some(model) => Err(bad_request(format!(
            "the class is not served by model `{model}`; ask for `{}` or name another class",
            pool.model
        ))),
        None => Err(bad_request("name the model")),
    }
}

fn whole_number(value: &Value) -> Result<u32, Failure> {
    let number = value.as_u64().and_then(|it| u32::try_from(it).ok());
    number.ok_or_else(|| bad_request("write max_tokens as a whole number"))
}

/// Requests with the same system prompt or history should reach the same prefix cache.
fn prefix_hash(fields: &Map<String, Value>) -> Result<u64, Failure> {
    let messages = fields.get("messages").and_then(Value::as_array);
    let Some(first) = messages.and_then(|it| it.first()) else {
        return Err(bad_request("send at least one message"));
    };
    let content = first.get("content").and_then(Value::as_str).unwrap_or_default();
    let prefix: String = content.chars().take(PREFIX_CHARS).collect();
    // Zero stands for no prefix.
    Ok(xxh3_64(prefix.as_bytes()).max(1))
}

fn bad_request(message: impl Into<String>) -> Failure {
    Failure::not_run(StatusCode::BAD_REQUEST, Code::BadRequest, message)
}

/// The part of an engine's event that the router reads.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Chunk {
    /// The ID of the answer.
    pub id: String,
    /// The name of the model.
    #[serde(default)]
    pub model: String,
    /// The choices; only the first one is read, as the router expects a single one.
    #[serde(default)]
    pub choices: Vec<ChunkChoice>,
    /// The token counts, in the last event.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// One choice of an event.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct ChunkChoice {
    /// The next part of the answer.
    #[serde(default)]
    pub delta: Delta,
    /// Why the answer ended, in the last event.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// The next part of an answer.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Delta {
    /// Its text.
    #[serde(default)]
    pub content: Option<String>,
}

/// The token counts of an exchange.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub completion_tokens: u32,
}

/// A complete answer, assembled from events.
#[derive(Debug, Default)]
pub struct WholeAnswer {
    content: String,
    model: String,
    finish_reason: Option<String>,
    usage: Option<Usage>,
}

impl WholeAnswer {
    /// Adds an event.
    pub fn add(&mut self, chunk: &Chunk) {
        if self.model.is_empty() {
            self.model.clone_from(&chunk.model);
        }
        self.usage = chunk.usage.or(self.usage);
        let Some(choice) = chunk.choices.first() else { return };
        self.content.push_str(chunk.content());
        if choice.finish_reason.is_some() {
            self.finish_reason.clone_from(&choice.finish_reason);
        }
    }

    /// The length of its text in bytes.
    #[must_use]
    pub fn len_bytes(&self) -> usize {
        self.content.len()
    }

    /// The JSON text of the answer, with the caller's request ID.
    #[must_use]
    pub fn to_json(&self, id: &str) -> String {
        let message = Message { role: "assistant", content: &self.content };
        let completion = Completion {
            id,
            object: "chat.completion",
            model: &self.model,
            choices: [WholeChoice {
                index: 0,
                message,
                finish_reason: self.finish_reason.as_deref(),
            }],
            usage: self.usage,
        };
        serde_json::to_string(&completion).expect("an answer consists of serializable fields")
    }
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    choices: [WholeChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct WholeChoice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

/// Why an event cannot be relayed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ChunkError {
    /// It is not a chat event.
    #[display("an event of the engine cannot be read")]
    Unreadable,
    /// It belongs to another request.
    #[display("an event of the engine belongs to another request")]
    WrongRequest,
}

impl Chunk {
    /// Parses the data of an event and checks that it belongs to the request `id`.
    ///
    /// # Errors
    /// If the data is not a chat event or belongs to another request.
    pub fn parse(data: &[u8], id: &str) -> Result<Chunk, ChunkError> {
        let chunk: Chunk = serde_json::from_slice(data).map_err(|_| ChunkError::Unreadable)?;
        // Some engines add a prefix to the ID. Attempt IDs are unique, so the suffix identifies the
        // attempt.
        if !chunk.id.ends_with(id) {
            return Err(ChunkError::WrongRequest);
        }
        Ok(chunk)
    }

    /// The text that it adds to the answer.
    #[must_use]
    pub fn content(&self) -> &str {
        let delta = self.choices.first().and_then(|it| it.delta.content.as_deref());
        delta.unwrap_or_default()
    }

    /// Whether it carries a token.
    #[must_use]
    pub fn has_token(&self) -> bool {
        !self.content().is_empty()
    }

    /// Whether it is the last event of the answer.
    #[must_use]
    pub fn is_last(&self) -> bool {
        self.choices.first().is_some_and(|it| it.finish_reason.is_some())
    }
}
