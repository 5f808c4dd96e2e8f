//! Settings of the scheduler that are not part of the operators' tables.

use std::time::Duration;

use crate::KeptConnectionSettings;

/// Settings of the scheduler; the defaults suit small and large deployments.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The seed of all random decisions.
    pub seed: u64,
    /// The number of routers that share the workspaces' limits, including this one.
    pub routers: u32,
    /// A server is a straggler if its gap between tokens is this multiple of the pool's median.
    pub straggler_ratio: f64,
    /// Time over which the limit of a new or recovered server grows to its slots.
    pub slow_start: Duration,
    /// Time between two probes of a server that is suspect or down.
    pub probe_interval: Duration,
    /// Load relative to the pool's mean up to which prefix affinity is followed.
    pub affinity_bound: f64,
    /// Prompt tokens that an engine prefills per millisecond, for weighing a cached prefix against
    /// a shorter queue.
    pub prefill_tokens_per_ms: f64,
    /// Time until a quarantine entry expires after its last crash.
    pub quarantine_ttl: Duration,
    /// The initial and largest retry budget of a class in a pool, in retries.
    pub retry_burst: u32,
    /// Second attempts of slow requests allowed per thousand first attempts of a class in a pool; 0 for none.
    pub hedge_permille: u32,
    /// Upper bound of the random delay before a retry.
    pub retry_jitter: Duration,
    /// A stream whose remaining time is shorter than this is not paused.
    pub pause_min_remaining: Duration,
    /// Time after which waiting requests of a pool without a usable server are refused.
    pub no_backend_grace: Duration,
    /// Time after which waiting requests of a pool that never had a server are refused: its first list
    /// follows its tables.
    pub first_list_grace: Duration,
    /// The connections that the router keeps for later requests.
    pub kept_connections: KeptConnectionSettings,
    /// How the load of other routers is taken into account while no lease is set.
    pub others: OtherLoad,
    /// Where the permits for requests to servers with a rate limit come from.
    pub permits: PermitSource,
    /// Whether lower classes are limited for a stricter class's target between tokens.
    pub pacing: Pacing,
}

/// Where the permits for requests to servers with a rate limit come from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitSource {
    /// The router is the only one, and issues its own.
    Own,
    /// The hub grants them.
    Hub,
}

/// Whether lower classes leave slots empty while a full batch violates a stricter class's target
/// between tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pacing {
    /// They do, with a limit that follows the measured gap.
    Adaptive,
    /// They use all slots.
    Off,
}

/// How the load of other routers on a server is taken into account while no lease is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OtherLoad {
    /// It is derived from lagging load reports.
    FromReports,
    /// It is assumed to be zero.
    Ignored,
    /// It is derived from reports that come with responses, and decays while none arrives. It
    /// affects the selection of servers but limits nothing.
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
            hedge_permille: 0,
            retry_jitter: Duration::from_millis(50),
            pause_min_remaining: Duration::from_millis(500),
            no_backend_grace: Duration::from_secs(2),
            first_list_grace: Duration::from_secs(1),
            kept_connections: KeptConnectionSettings::default(),
            others: OtherLoad::FromReports,
            permits: PermitSource::Own,
            pacing: Pacing::Adaptive,
        }
    }
}
