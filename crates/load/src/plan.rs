//! The arrival plan: which workspace sends which request at which time. It is generated from a seed
//! before the run starts.
//!
//! A plan is open loop: a slow answer never delays a later arrival, so that queueing in the system
//! under test shows up in the latencies instead of reducing the load.

mod arrivals;
mod file;
mod prompt;
mod settings;

use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use settings::{
    AnswerMode, BurstSettings, ClassSettings, LatencyTarget, PlanFault, PlanSettings, RequestKind,
    WorkspaceSettings,
};

/// The index of a class in [`PlanSettings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClassIdx(pub usize);

/// The index of a workspace in a plan. Index 0 is the workspace with the most requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkspaceIdx(pub usize);

/// The index of an arrival in its plan, in the order of sending.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
pub struct ArrivalId(pub u64);

/// Whether an arrival is a first attempt or a resend with the same idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Attempt {
    /// The first attempt.
    First,
    /// A resend of the arrival with this id.
    Resend(ArrivalId),
}

/// One request of the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Arrival {
    /// The id within the plan.
    pub id: ArrivalId,
    /// The planned send time in microseconds since the start of the run.
    pub at_us: u64,
    /// The requested class.
    pub class: ClassIdx,
    /// The workspace that sends it.
    pub workspace: WorkspaceIdx,
    /// First attempt or resend.
    #[serde(rename = "sending")]
    pub attempt: Attempt,
    /// The prompt of a chat request, the subject of an order, or the name of a lookup. It contains
    /// the seed and a number unique to the first attempt, so that no two distinct requests have the
    /// same answer.
    pub prompt: String,
    /// The maximum number of answer tokens.
    pub max_tokens: u32,
    /// The key by which a resend is deduplicated.
    pub idempotency_key: Option<String>,
}

impl Arrival {
    /// The planned send time since the start of the run.
    pub fn at(&self) -> Duration {
        Duration::from_micros(self.at_us)
    }
}

/// All arrivals of a run in the order of sending.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Plan {
    /// The arrivals in the order of their planned times.
    pub arrivals: Vec<Arrival>,
}

impl Plan {
    /// Generates the plan for `settings` from their seed.
    ///
    /// # Errors
    ///
    /// All faults of the settings at once, each with its remedy.
    pub fn generate(settings: &PlanSettings) -> Result<Plan, Vec<PlanFault>> {
        settings.check()?;
        Ok(Plan { arrivals: arrivals::generate(settings) })
    }
}
