//! The transfer of a sequence and its KV from one engine to another.

use serde::{Deserialize, Serialize};

use crate::RequestSpec;

/// A request with the KV that lets another engine continue it without repeating the prefill.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct KvExport {
    /// The request.
    pub spec: RequestSpec,
    /// Answer tokens decoded so far.
    pub produced_tokens: u32,
    /// Tokens whose KV is included; 0 if the exporting engine held no complete KV.
    pub kv_tokens: u32,
}
