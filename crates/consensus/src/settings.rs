//! The timing and size limits of a member.

use std::time::Duration;

/// Settings of a [`crate::Node`]; all members of a cluster must use the same times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// How often a leader sends heartbeats.
    pub heartbeat_interval: Duration,
    /// The shortest time without a message from a leader after which a member starts an election.
    /// Each member waits for a random time between this and its double.
    pub election_timeout: Duration,
    /// The largest rate error of any member's monotonic clock, in thousandths.
    pub clock_rate_bound_permille: u32,
    /// The most command bytes in one append message; a single larger command is sent on its own.
    pub append_bytes: usize,
    /// The most entries in flight to a member, beyond those that it has acknowledged.
    pub inflight_entries: u64,
    /// How many entries before a snapshot stay in the log, so that lagging members need no snapshot.
    pub kept_entries: u64,
    /// The most bytes of those entries.
    pub kept_bytes: usize,
    /// A leader whose log holds more bytes accepts no further commands, until a snapshot has made
    /// entries superfluous.
    pub log_bytes_max: usize,
    /// The seed of the random election timeouts; it must differ between members.
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
            kept_bytes: 1024 * 1024,
            log_bytes_max: 32 * 1024 * 1024,
            seed: 0,
        }
    }
}

impl Settings {
    /// How long a lease lasts by the leader's clock, counted from when the heartbeat was sent.
    ///
    /// It is shorter than the election timeout, since the leader's clock may be slow by the bound
    /// while a voter's clock is fast by it.
    pub fn lease(&self) -> Duration {
        let bound = self.clock_rate_bound_permille.min(999);
        self.election_timeout * (1_000 - bound) / (1_000 + bound)
    }
}
