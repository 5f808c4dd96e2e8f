//! The arrival plan: who sends what and when, fixed by a seed before the first request leaves.
//!
//! A plan is open loop: a slow answer never delays a later arrival, so that queueing in the system
//! under test shows in the latencies instead of thinning out the load.

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

/// The position of a class in [`PlanSettings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClassIdx(pub usize);

/// The position of a workspace in a plan, from zero for the one with the most requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkspaceIdx(pub usize);

/// The number of an arrival in its plan, in the order of sending.
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

/// Whether an arrival is sent for the first time or repeats an earlier one under the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Sending {
    /// No arrival before it carries the same work.
    First,
    /// It repeats the arrival with this number.
    Resend(ArrivalId),
}

/// One request of the plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Arrival {
    /// Its number in the plan.
    pub id: ArrivalId,
    /// The planned time of sending in microseconds since the start of the run.
    pub at_us: u64,
    /// The class that it asks for.
    pub class: ClassIdx,
    /// The workspace that sends it.
    pub workspace: WorkspaceIdx,
    /// First sending or repetition.
    pub sending: Sending,
    /// The prompt of a chat request, the subject of an order, or the name of a lookup. It holds
    /// the number of the first sending, so no two pieces of work share an answer.
    pub prompt: String,
    /// The most tokens that the answer may have.
    pub max_tokens: u32,
    /// The key that makes a repeated order recognisable.
    pub idempotency_key: Option<String>,
}

impl Arrival {
    /// The planned time of sending since the start of the run.
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
    /// Draws the plan that `settings` and their seed describe.
    ///
    /// # Errors
    ///
    /// Every fault of the settings at once, each naming its remedy.
    pub fn draw(settings: &PlanSettings) -> Result<Plan, Vec<PlanFault>> {
        settings.check()?;
        Ok(Plan { arrivals: arrivals::draw(settings) })
    }
}
