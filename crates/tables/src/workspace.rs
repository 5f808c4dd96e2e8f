//! Workspaces and the limits for their callers.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Priority;

/// One workspace with the API keys of its callers.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Workspace {
    /// The name.
    pub name: String,
    /// The API keys, each of which identifies the workspace.
    pub keys: Vec<String>,
    /// The priority of its requests, which goes before that of the route.
    pub priority: Option<Priority>,
}

/// Shows only the number of keys, because keys are secret.
impl fmt::Debug for Workspace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Workspace")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .finish()
    }
}

/// Limits for the size and the duration of requests and for idle connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct CallerLimits {
    /// The maximum size of a request head.
    pub head_bytes_max: usize,
    /// The maximum size of a request body.
    pub body_bytes_max: usize,
    /// The time limit for receiving a head, in milliseconds.
    pub head_timeout_ms: u64,
    /// The maximum idle time of a connection between two requests, in milliseconds.
    pub idle_timeout_ms: u64,
}
