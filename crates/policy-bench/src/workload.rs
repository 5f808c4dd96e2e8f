//! Seeded arrivals and faults, scaled to each deployment.

use std::time::Duration;

use engine_model::EngineSettings;
use policy::{Admission, ClassSpec, Hedge, Pacing};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WORKSPACES: usize = 10;
const LARGE_WORKSPACES: usize = 2;
const LARGE_WORKSPACES_FRACTION: f64 = 0.6;
const MEAN_ANSWER_TOKENS: f64 = 200.0;
const MIN_ANSWER_TOKENS: f64 = 4.0;
const MAX_ANSWER_TOKENS: f64 = 1_200.0;
/// Traffic of the first router relative to each other router with [`Traffic::Uneven`].
const UNEVEN_TRAFFIC_FACTOR: usize = 3;

/// The deployment whose size and classes the workload uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Deployment {
    /// Three failure domains with 12 replicas in total and a burst at dawn.
    VanDalen,
    /// Three failure domains with 9 replicas in total and uploads overnight.
    Consortium,
    /// One failure domain of the target size with 118 replicas; intended for 32 routers.
    LargeDomain,
}

/// The parameters of a workload.
#[derive(Debug, Clone)]
pub struct WorkloadSettings {
    /// The deployment.
    pub deployment: Deployment,
    /// Seed of all random draws.
    pub seed: u64,
    /// Period in which requests arrive.
    pub duration: Duration,
    /// Number of routers.
    pub routers: usize,
    /// Offered load outside the burst, as a fraction of the pool's capacity.
    pub base_load: f64,
    /// Offered load in the burst, as a fraction of the pool's capacity; the load above `base_load`
    /// belongs to the two lower classes.
    pub burst_load: f64,
    /// Interval between two rounds of claims and grants.
    pub lease_tick: Duration,
    /// Start of the burst; it lasts to the end.
    pub burst_from: Duration,
    /// How the middle class is admitted.
    pub admission: Admission,
    /// Whether the urgent class hedges.
    pub hedge: Hedge,
    /// Inter-token latency target of the urgent class; a step with a full batch takes about 22 ms.
    pub urgent_between_token_ms: u64,
    /// Whether lower classes are paced to protect that target.
    pub pacing: Pacing,
    /// How requests are distributed over the routers.
    pub traffic: Traffic,
    /// The faults to inject.
    pub faults: Vec<Fault>,
}

/// How requests are distributed over the routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Traffic {
    /// The first router receives three times as many requests as each other router.
    Uneven,
    /// The last half of the routers receives only the urgent class, the first half only the others.
    ByClass,
}

impl Default for WorkloadSettings {
    fn default() -> Self {
        Self {
            deployment: Deployment::VanDalen,
            seed: 1,
            duration: Duration::from_secs(40),
            routers: 6,
            base_load: 0.5,
            burst_load: 3.0,
            lease_tick: Duration::from_millis(500),
            burst_from: Duration::from_secs(10),
            admission: Admission::UntilDeadline,
            hedge: Hedge::Off,
            urgent_between_token_ms: 100,
            pacing: Pacing::Adaptive,
            traffic: Traffic::Uneven,
            faults: Vec::new(),
        }
    }
}

/// A fault injected at a fixed time.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// Time of the fault since the start.
    pub at: Duration,
    /// Kind of the fault.
    pub kind: FaultKind,
}

/// The kind of a fault.
#[derive(Debug, Clone, Copy)]
pub enum FaultKind {
    /// From the fault on, the server's steps take a multiple of their normal duration.
    Straggler {
        /// The server.
        server: usize,
        /// The multiple in permille.
        slowdown_permille: u64,
    },
    /// The server loses its requests and is down for a while.
    Crash {
        /// The server.
        server: usize,
        /// Time until the server's next incarnation accepts requests.
        downtime: Duration,
    },
    /// The router is lost with its requests and leases; later arrivals go to the other routers.
    RouterLost {
        /// The router.
        router: usize,
    },
}

/// One request.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Time of arrival since the start.
    pub at: Duration,
    /// The index of its class.
    pub class: usize,
    /// The index of its workspace.
    pub workspace: usize,
    /// The router at which it arrives.
    pub router: usize,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens of the complete answer, unknown to the routers.
    pub output_tokens: u32,
    /// Hash of the prompt's prefix.
    pub prefix_hash: u64,
}

/// A generated workload.
#[derive(Debug, Clone)]
pub struct Workload {
    /// The parameters that it was generated from.
    pub settings: WorkloadSettings,
    /// The classes, most urgent first.
    pub classes: Vec<ClassSpec>,
    /// The engines' capacity and speed.
    pub engine: EngineSettings,
    /// Number of servers in the model pool.
    pub servers: usize,
    /// Latency of one message between a router and a server.
    pub latency: Duration,
    /// All requests in order of arrival.
    pub arrivals: Vec<Arrival>,
}

impl Workload {
    /// Generates a workload from its seed.
    pub fn new(settings: WorkloadSettings) -> Self {
        let (servers, latency) = match settings.deployment {
            Deployment::VanDalen => (12, Duration::from_millis(1)),
            Deployment::Consortium => (9, Duration::from_micros(500)),
            Deployment::LargeDomain => (118, Duration::from_millis(1)),
        };
        let mut workload = Self {
            classes: classes(&settings),
            engine: EngineSettings { batch_max: 16, ..EngineSettings::default() },
            servers,
            latency,
            arrivals: Vec::new(),
            settings,
        };
        workload.draw_arrivals();
        workload
    }

    /// Returns the names of the workspaces; the first two send most of the requests.
    pub fn workspaces() -> impl Iterator<Item = String> {
        (0..WORKSPACES).map(|it| format!("workspace-{it}"))
    }

    /// Returns the requests per second that the pool can serve.
    fn requests_per_second(&self) -> f64 {
        let tokens = crate::tokens_per_second(&self.engine, self.servers);
        tokens / MEAN_ANSWER_TOKENS
    }

    fn draw_arrivals(&mut self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.settings.seed);
        let capacity = self.requests_per_second();
        let mut at = Duration::ZERO;
        while at < self.settings.duration {
            let in_burst = at >= self.settings.burst_from;
            let base = self.settings.base_load;
            let load = if in_burst { self.settings.burst_load } else { base };
            let interval_s = -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / (capacity * load);
            at += Duration::from_secs_f64(interval_s);
            let is_extra = rng.random_range(0.0..load) >= base;
            let class = draw_class(&mut rng, is_extra);
            let arrival = self.draw_arrival(&mut rng, at, class);
            self.arrivals.push(arrival);
        }
    }

    fn draw_router(&self, rng: &mut ChaCha8Rng, class: usize) -> usize {
        let routers = self.settings.routers;
        let weighted_idx = rng.random_range(0..routers + UNEVEN_TRAFFIC_FACTOR - 1);
        let uneven = weighted_idx.saturating_sub(UNEVEN_TRAFFIC_FACTOR - 1);
        match (self.settings.traffic, class) {
            (Traffic::Uneven, _) => uneven,
            (Traffic::ByClass, 0) => routers / 2 + weighted_idx % routers.div_ceil(2),
            (Traffic::ByClass, _) => weighted_idx % (routers / 2).max(1),
        }
    }

    fn draw_arrival(&self, rng: &mut ChaCha8Rng, at: Duration, class: usize) -> Arrival {
        let is_large_workspace = rng.random_range(0.0..1.0) < LARGE_WORKSPACES_FRACTION;
        let workspace = if is_large_workspace {
            rng.random_range(0..LARGE_WORKSPACES)
        } else {
            rng.random_range(LARGE_WORKSPACES..WORKSPACES)
        };
        let tokens = -(1.0 - rng.random_range(0.0..1.0_f64)).ln() * MEAN_ANSWER_TOKENS;
        Arrival {
            at,
            class,
            workspace,
            router: self.draw_router(rng, class),
            prompt_tokens: rng.random_range(50..300),
            output_tokens: tokens.clamp(MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS) as u32,
            prefix_hash: 1 + (workspace * 8 + class) as u64,
        }
    }
}

/// Draws a class: a quarter of the base load is urgent, and the load above it belongs to the two
/// lower classes in equal shares.
fn draw_class(rng: &mut ChaCha8Rng, is_extra: bool) -> usize {
    match (is_extra, rng.random_range(0..4)) {
        (false, 0) => 0,
        (false, 1) | (true, 0 | 1) => 1,
        _ => 2,
    }
}

fn classes(settings: &WorkloadSettings) -> Vec<ClassSpec> {
    let names = match settings.deployment {
        Deployment::VanDalen | Deployment::LargeDomain => {
            ["dawn-reply", "announcement", "timetable"]
        }
        Deployment::Consortium => ["chat", "highlight", "summary"],
    };
    let urgent = ClassSpec {
        name: names[0].to_owned(),
        priority: 9,
        share_permille: 200,
        first_token_target_ms: 1_000,
        between_token_target_ms: settings.urgent_between_token_ms,
        whole_target_ms: 40_000,
        deadline_ms: 40_000,
        hedge: settings.hedge,
        ..ClassSpec::default()
    };
    let middle = ClassSpec {
        name: names[1].to_owned(),
        priority: 5,
        share_permille: 150,
        first_token_target_ms: 10_000,
        between_token_target_ms: 400,
        whole_target_ms: 60_000,
        deadline_ms: 60_000,
        admission: settings.admission,
        ..ClassSpec::default()
    };
    let low = ClassSpec {
        name: names[2].to_owned(),
        priority: 1,
        share_permille: 100,
        first_token_target_ms: 100_000,
        between_token_target_ms: 2_000,
        whole_target_ms: 120_000,
        deadline_ms: 120_000,
        ..ClassSpec::default()
    };
    vec![urgent, middle, low]
}
