//! The scheduler's own constants, apart from what the operators' tables say.

use std::time::Duration;

/// How the scheduler decides; the defaults suit both users' sizes.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Routers that share the workspaces' limits, this one included.
    pub routers: u32,
    /// A server whose gap between tokens is this multiple of its peers' median is a straggler.
    pub straggler_ratio: f64,
    /// Time over which a new or returned server is filled.
    pub slow_start: Duration,
    /// Time between two probes of a server that is out.
    pub probe_interval: Duration,
    /// Load above the pool's mean, as a factor, up to which prefix affinity is followed.
    pub affinity_bound: f64,
    /// Prompt tokens that an engine reads in a millisecond, to weigh a longer way to the cache
    /// against a shorter queue.
    pub prefill_tokens_per_ms: f64,
    /// Time that a quarantine entry lives after its last crash.
    pub quarantine_ttl: Duration,
    /// Retries that a class may spend in a pool before its budget has grown.
    pub retry_burst: u32,
    /// Longest random delay before a retry.
    pub retry_jitter: Duration,
    /// A stream whose remaining time is shorter than this is not paused.
    pub pause_min_remaining: Duration,
    /// Time after which waiting requests of a pool without any usable server are refused.
    pub no_backend_grace: Duration,
    /// Whether other routers' requests are read from load reports when no lease is set.
    pub others: OtherLoad,
    /// Whether lower classes are held back for a stricter class's target between tokens.
    pub pacing: Pacing,
}

/// Whether lower classes leave slots empty while a full batch breaks a stricter class's target
/// between tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pacing {
    /// They do, by a limit that follows the measured gap.
    Adaptive,
    /// They use all slots.
    Off,
}

/// How the load of other routers on a server is taken into account without a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OtherLoad {
    /// It is derived from lagging load reports.
    FromReports,
    /// It is taken to be zero.
    Ignored,
    /// It is derived from reports that come with answers, so it fades while none comes. It guides
    /// the choice of server and bounds nothing.
    Decaying,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 1,
            routers: 1,
            straggler_ratio: 2.5,
            slow_start: Duration::from_secs(5),
            probe_interval: Duration::from_millis(500),
            affinity_bound: 1.25,
            prefill_tokens_per_ms: 40.0,
            quarantine_ttl: Duration::from_secs(600),
            retry_burst: 10,
            retry_jitter: Duration::from_millis(50),
            pause_min_remaining: Duration::from_millis(500),
            no_backend_grace: Duration::from_secs(2),
            others: OtherLoad::FromReports,
            pacing: Pacing::Adaptive,
        }
    }
}
