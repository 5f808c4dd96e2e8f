//! The idle connections to a server that a request can use, as the router's connection pool keeps them.

use std::time::{Duration, Instant};

/// How many idle connections the router's connection pool keeps for one server, and how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptConnectionSettings {
    /// The number of connections.
    pub max: usize,
    /// The age up to which one is used. Servers close idle connections, mostly after ten seconds.
    pub age_max: Duration,
}

impl Default for KeptConnectionSettings {
    fn default() -> Self {
        KeptConnectionSettings { max: 4, age_max: Duration::from_secs(7) }
    }
}

/// The idle connections to one server, by the times at which they became idle.
#[derive(Debug, Default)]
pub(crate) struct KeptConnections(Vec<Instant>);

impl KeptConnections {
    /// Whether a request that is sent now finds a connection.
    pub(crate) fn has_one(&self, now: Instant, settings: &KeptConnectionSettings) -> bool {
        self.0.last().is_some_and(|it| now.saturating_duration_since(*it) < settings.age_max)
    }

    /// Records that a request takes a connection, the one that became idle last.
    pub(crate) fn take(&mut self) {
        self.0.pop();
    }

    /// Records that a complete answer has freed a connection.
    pub(crate) fn put(&mut self, now: Instant, settings: &KeptConnectionSettings) {
        self.0.retain(|it| now.saturating_duration_since(*it) < settings.age_max);
        if self.0.len() < settings.max {
            self.0.push(now);
        }
    }

    /// Records that the connections are closed.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}
