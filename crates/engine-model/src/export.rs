//! A sequence with its KV, on its way from one engine to another.

use serde::{Deserialize, Serialize};

use crate::RequestSpec;

/// What an engine hands over so that another goes on without computing the prompt again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct KvExport {
    /// The request.
    pub spec: RequestSpec,
    /// Tokens of the answer made so far.
    pub produced_tokens: u32,
    /// Tokens whose KV comes along; 0 if the exporting engine held none.
    pub kv_tokens: u32,
}
