//! The scheduler's view of the operators' tables, independent of the types of the tables.

use std::{collections::BTreeSet, time::Duration};

use derive_more::{Display, Error};

/// The whole in permille.
pub(crate) const WHOLE_PERMILLE: u32 = 1000;

/// One revision of the classes, pools and workspaces.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Spec {
    /// The revision of the tables; a revision older than the current one is not applied.
    pub revision: u64,
    /// The classes of requests.
    pub classes: Vec<ClassSpec>,
    /// The pools of backend servers.
    pub pools: Vec<PoolSpec>,
    /// The workspaces, with their weights and limits.
    pub workspaces: Vec<WorkspaceSpec>,
}

/// The priority, targets and limits of one class of requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassSpec {
    /// The name, unique among classes.
    pub name: String,
    /// A higher number is more urgent.
    pub priority: u8,
    /// The guaranteed share of each pool's tokens while the class has waiting requests.
    pub share_permille: u32,
    /// Target from arrival to the first token.
    pub first_token_target_ms: u64,
    /// Target between two tokens.
    pub between_token_target_ms: u64,
    /// Target from arrival to the last token.
    pub whole_target_ms: u64,
    /// Time from arrival after which an answer is of no use.
    pub deadline_ms: u64,
    /// The maximum number of waiting requests of this class in one pool.
    pub queue_limit: usize,
    /// Retries allowed per thousand first attempts.
    pub retry_budget_permille: u32,
    /// The maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// Whether a slow idempotent request gets a second, concurrent attempt.
    pub hedge: Hedge,
    /// Up to which expected wait a request is admitted.
    pub admission: Admission,
}

/// Up to which expected wait a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Admission {
    /// A request is admitted if its answer is expected before the deadline.
    #[default]
    UntilDeadline,
    /// In addition its first token must be expected within the target, so fewer requests are
    /// admitted and more of them meet the target.
    WithinTarget,
}

/// Whether slow requests of a class are hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Hedge {
    /// No request is hedged.
    #[default]
    Off,
    /// A second attempt starts once the first has gone without an answer for longer than nearly all of its class
    /// in its pool, within the limit [`Settings::hedge_permille`](crate::Settings::hedge_permille).
    On,
}

impl Default for ClassSpec {
    fn default() -> Self {
        Self {
            name: String::new(),
            priority: 0,
            share_permille: 50,
            first_token_target_ms: 5_000,
            between_token_target_ms: 200,
            whole_target_ms: 60_000,
            deadline_ms: 120_000,
            queue_limit: 1_000,
            retry_budget_permille: 100,
            max_attempts: 3,
            hedge: Hedge::Off,
            admission: Admission::UntilDeadline,
        }
    }
}

impl ClassSpec {
    pub(crate) fn first_token_target(&self) -> Duration {
        Duration::from_millis(self.first_token_target_ms)
    }

    pub(crate) fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// One pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolSpec {
    /// The name, unique among pools.
    pub name: String,
    /// The maximum number of waiting requests of all classes in the pool. Each class is admitted up
    /// to its guaranteed share of this number even if other classes fill the queue.
    pub queue_limit: usize,
    /// Requests that a backend server runs at once, unless a load report gives another number.
    pub slots: u32,
    /// Whether its servers can pause and resume streams.
    pub pausing: Pausing,
}

/// Whether servers can pause and resume streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Pausing {
    /// They can.
    #[default]
    Supported,
    /// They can't, for example because they are plain services.
    Unsupported,
}

impl Default for PoolSpec {
    fn default() -> Self {
        Self { name: String::new(), queue_limit: 4_000, slots: 32, pausing: Pausing::default() }
    }
}

/// One workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceSpec {
    /// The name, unique among workspaces.
    pub name: String,
    /// The workspace's relative share of each class; at least 1.
    pub weight: u32,
    /// The maximum number of requests in flight across all routers.
    pub in_flight_limit: u32,
}

impl Default for WorkspaceSpec {
    fn default() -> Self {
        Self { name: String::new(), weight: 1, in_flight_limit: u32::MAX }
    }
}

/// Why a [`Spec`] is not applied.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SpecError {
    /// The revision is older than the current one.
    #[display("revision {offered} is older than {current}: read the tables again")]
    Stale {
        /// The revision of the spec.
        offered: u64,
        /// The current revision.
        current: u64,
    },
    /// Two rows of the same kind have the same name.
    #[display("two rows are named `{name}`: rename one")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// The guaranteed shares sum to more than 1000 permille.
    #[display("shares sum to {sum_permille} permille: lower them to 1000 or less")]
    SharesOverWhole {
        /// Their sum.
        sum_permille: u32,
    },
}

impl Spec {
    /// Checks the invariants that the scheduler relies on.
    ///
    /// # Errors
    /// If a name occurs twice, or if the guaranteed shares exceed 1000 permille.
    pub fn check(&self) -> Result<(), SpecError> {
        check_names(self.classes.iter().map(|it| &it.name))?;
        check_names(self.pools.iter().map(|it| &it.name))?;
        check_names(self.workspaces.iter().map(|it| &it.name))?;
        let sum_permille = self.classes.iter().map(|it| it.share_permille).sum();
        if sum_permille > WHOLE_PERMILLE {
            return Err(SpecError::SharesOverWhole { sum_permille });
        }
        Ok(())
    }
}

fn check_names<'a>(names: impl Iterator<Item = &'a String>) -> Result<(), SpecError> {
    let mut known_names = BTreeSet::new();
    for name in names {
        if !known_names.insert(name) {
            return Err(SpecError::DuplicateName { name: name.clone() });
        }
    }
    Ok(())
}
