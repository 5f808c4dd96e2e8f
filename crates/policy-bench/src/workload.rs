//! Seeded arrivals and faults at both users' sizes.

use std::time::Duration;

use engine_model::EngineSettings;
use policy::{Admission, ClassSpec, Hedge};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WORKSPACES: usize = 10;
const LARGE_WORKSPACES: usize = 2;
const LARGE_PART: f64 = 0.6;
const MEAN_ANSWER_TOKENS: f64 = 200.0;
const SHORTEST_ANSWER_TOKENS: f64 = 4.0;
const LONGEST_ANSWER_TOKENS: f64 = 1_200.0;
/// The first router gets this multiple of each other router's traffic.
const UNEVEN_FACTOR: usize = 3;

/// Whose sizes and classes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Users {
    /// Three failure domains, 12 replicas, a burst at dawn.
    VanDalen,
    /// Three failure domains, 9 replicas, overnight uploads.
    Consortium,
    /// One failure domain of the target size, 118 replicas; run it with 32 routers.
    LargeDomain,
}

/// What a workload is made from.
#[derive(Debug, Clone)]
pub struct WorkloadSettings {
    /// Whose sizes.
    pub users: Users,
    /// Seed of all draws.
    pub seed: u64,
    /// Time with arrivals.
    pub duration: Duration,
    /// Routers.
    pub routers: usize,
    /// Offered load as a part of the pool's capacity, outside the burst.
    pub base_load: f64,
    /// Offered load in the burst; what exceeds the base is of the lower classes.
    pub burst_load: f64,
    /// Time between two rounds of claims and grants.
    pub lease_tick: Duration,
    /// Start of the burst; it lasts to the end.
    pub burst_from: Duration,
    /// How the middle class is admitted.
    pub admission: Admission,
    /// Whether the urgent class hedges.
    pub hedge: Hedge,
    /// Which routers get what.
    pub traffic: Traffic,
    /// What fails.
    pub faults: Vec<Fault>,
}

/// How requests are spread over the routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Traffic {
    /// The first router gets three times as many as each other one.
    Uneven,
    /// The last half of the routers gets the urgent class and no other.
    ByClass,
}

impl Default for WorkloadSettings {
    fn default() -> Self {
        Self {
            users: Users::VanDalen,
            seed: 1,
            duration: Duration::from_secs(40),
            routers: 6,
            base_load: 0.5,
            burst_load: 3.0,
            lease_tick: Duration::from_millis(500),
            burst_from: Duration::from_secs(10),
            admission: Admission::UntilDeadline,
            hedge: Hedge::Off,
            traffic: Traffic::Uneven,
            faults: Vec::new(),
        }
    }
}

/// Something that fails at a time.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// When.
    pub at: Duration,
    /// What.
    pub kind: FaultKind,
}

/// What fails.
#[derive(Debug, Clone, Copy)]
pub enum FaultKind {
    /// The server's steps take this multiple of their time from now on, in permille.
    Straggler {
        /// The server.
        server: usize,
        /// The multiple.
        slowdown_permille: u64,
    },
    /// The server loses its requests and is down for a time.
    Crash {
        /// The server.
        server: usize,
        /// Time until its next incarnation serves.
        down: Duration,
    },
    /// The router is lost with its requests and leases; its callers' later requests go to others.
    RouterLost {
        /// The router.
        router: usize,
    },
}

/// One request.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When.
    pub at: Duration,
    /// The index of its class.
    pub class: usize,
    /// The index of its workspace.
    pub workspace: usize,
    /// The router at which it arrives.
    pub router: usize,
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Tokens of the whole answer, unknown to the routers.
    pub output_tokens: u32,
    /// Hash of the prompt's leading part.
    pub prefix_hash: u64,
}

/// A whole workload.
#[derive(Debug, Clone)]
pub struct Workload {
    /// What it was made from.
    pub settings: WorkloadSettings,
    /// The classes, most urgent first.
    pub classes: Vec<ClassSpec>,
    /// The engines' capacity and speed.
    pub engine: EngineSettings,
    /// Servers in the model pool.
    pub servers: usize,
    /// Lag of one message between a router and a server.
    pub lag: Duration,
    /// All requests by time.
    pub arrivals: Vec<Arrival>,
}

impl Workload {
    /// Draws a workload.
    pub fn new(settings: WorkloadSettings) -> Self {
        let (servers, lag) = match settings.users {
            Users::VanDalen => (12, Duration::from_millis(1)),
            Users::Consortium => (9, Duration::from_micros(500)),
            Users::LargeDomain => (118, Duration::from_millis(1)),
        };
        let mut workload = Self {
            classes: classes(&settings),
            engine: EngineSettings { batch_max: 16, ..EngineSettings::default() },
            servers,
            lag,
            arrivals: Vec::new(),
            settings,
        };
        workload.draw();
        workload
    }

    /// The names of the workspaces; the first ones are large.
    pub fn workspaces() -> impl Iterator<Item = String> {
        (0..WORKSPACES).map(|it| format!("workspace-{it}"))
    }

    /// Requests a second that the pool can serve.
    fn requests_per_second(&self) -> f64 {
        let tokens = crate::tokens_per_second(&self.engine, self.servers);
        tokens / MEAN_ANSWER_TOKENS
    }

    fn draw(&mut self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.settings.seed);
        let capacity = self.requests_per_second();
        let mut at = Duration::ZERO;
        while at < self.settings.duration {
            let in_burst = at >= self.settings.burst_from;
            let base = self.settings.base_load;
            let load = if in_burst { self.settings.burst_load } else { base };
            let wait_s = -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / (capacity * load);
            at += Duration::from_secs_f64(wait_s);
            let is_extra = rng.random_range(0.0..load) >= base;
            let class = draw_class(&mut rng, is_extra);
            let arrival = self.draw_one(&mut rng, at, class);
            self.arrivals.push(arrival);
        }
    }

    fn draw_router(&self, rng: &mut ChaCha8Rng, class: usize) -> usize {
        let routers = self.settings.routers;
        let ticket = rng.random_range(0..routers + UNEVEN_FACTOR - 1);
        let uneven = ticket.saturating_sub(UNEVEN_FACTOR - 1);
        match (self.settings.traffic, class) {
            (Traffic::Uneven, _) => uneven,
            (Traffic::ByClass, 0) => routers / 2 + ticket % routers.div_ceil(2),
            (Traffic::ByClass, _) => ticket % (routers / 2).max(1),
        }
    }

    fn draw_one(&self, rng: &mut ChaCha8Rng, at: Duration, class: usize) -> Arrival {
        let is_large = rng.random_range(0.0..1.0) < LARGE_PART;
        let workspace = if is_large {
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
            output_tokens: tokens.clamp(SHORTEST_ANSWER_TOKENS, LONGEST_ANSWER_TOKENS) as u32,
            prefix_hash: 1 + (workspace * 8 + class) as u64,
        }
    }
}

/// A quarter of the base load is urgent; the burst's extra load is of the two lower classes.
fn draw_class(rng: &mut ChaCha8Rng, is_extra: bool) -> usize {
    match (is_extra, rng.random_range(0..4)) {
        (false, 0) => 0,
        (false, 1) | (true, 0 | 1) => 1,
        _ => 2,
    }
}

fn classes(settings: &WorkloadSettings) -> Vec<ClassSpec> {
    let names = match settings.users {
        Users::VanDalen | Users::LargeDomain => ["dawn-reply", "announcement", "timetable"],
        Users::Consortium => ["chat", "highlight", "summary"],
    };
    let urgent = ClassSpec {
        name: names[0].to_owned(),
        priority: 9,
        share_permille: 200,
        first_token_target_ms: 1_000,
        between_token_target_ms: 100,
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
