//! The times and sizes of a member.

use std::time::Duration;

/// Settings of a [`crate::Node`]; all members of a cluster use the same times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// How often a leader sends heartbeats.
    pub heartbeat_interval: Duration,
    /// The shortest silence after which a member looks for a new leader. Elections start at a
    /// random time between this and its double.
    pub election_timeout: Duration,
    /// The largest deviation of any member's monotonic clock from real time, in thousandths.
    pub clock_rate_bound_permille: u32,
    /// The largest sum of command bytes in one append message; one command may exceed it.
    pub append_bytes: usize,
    /// How many entries a leader sends ahead of the acknowledged ones.
    pub inflight_entries: u64,
    /// How many entries stay in the log behind a snapshot for members that lag.
    pub kept_entries: u64,
    /// The seed of the random election times; use another one at each member.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            heartbeat_interval: Duration::from_millis(250),
            election_timeout: Duration::from_millis(1_500),
            clock_rate_bound_permille: 20,
            append_bytes: 256 * 1024,
            inflight_entries: 4_096,
            kept_entries: 1_000,
            seed: 0,
        }
    }
}

impl Settings {
    /// How long a lease lasts by the leader's clock, from the sending of the heartbeat.
    ///
    /// The leader's clock may be slow by the bound while a voter's is fast by it.
    pub fn lease(&self) -> Duration {
        let bound = self.clock_rate_bound_permille.min(999);
        self.election_timeout * (1_000 - bound) / (1_000 + bound)
    }
}
