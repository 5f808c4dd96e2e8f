//! Who calls, and what a caller may send.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Priority;

/// One workspace with the keys by which its callers are known.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Workspace {
    /// The name.
    pub name: String,
    /// The keys, any of which names the workspace.
    pub keys: Vec<String>,
    /// The urgency of its requests, in place of the route's.
    pub priority: Option<Priority>,
}

/// Hides the keys.
impl fmt::Debug for Workspace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Workspace")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .finish()
    }
}

/// What a caller may send, and how long it may take or stay idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CallerLimits {
    /// The most bytes of a request's head.
    pub head_bytes_max: usize,
    /// The most bytes of a request's body.
    pub body_bytes_max: usize,
    /// How long a head may take, in milliseconds.
    pub head_timeout_ms: u64,
    /// How long a connection may stay idle between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}
