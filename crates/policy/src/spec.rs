//! What the operators' tables tell the scheduler, without the tables' own types.

use std::{collections::BTreeSet, time::Duration};

use derive_more::{Display, Error};

/// Permille of the whole.
pub(crate) const WHOLE_PERMILLE: u32 = 1000;

/// One revision of the classes, pools and workspaces.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Spec {
    /// The revision of the tables; an older one than the present is not applied.
    pub revision: u64,
    /// The classes of requests.
    pub classes: Vec<ClassSpec>,
    /// The pools of backend servers.
    pub pools: Vec<PoolSpec>,
    /// The workspaces with their weights and limits.
    pub workspaces: Vec<WorkspaceSpec>,
}

/// What one class is owed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassSpec {
    /// The name, unique among classes.
    pub name: String,
    /// A higher number is more urgent.
    pub priority: u8,
    /// The part of each pool's tokens that the class gets while it has waiting work.
    pub share_permille: u32,
    /// Target from arrival to the first token.
    pub first_token_target_ms: u64,
    /// Target between two tokens.
    pub between_token_target_ms: u64,
    /// Target from arrival to the last token.
    pub whole_target_ms: u64,
    /// An answer after this time from arrival is worth nothing.
    pub deadline_ms: u64,
    /// Requests of this class that may wait in one pool.
    pub queue_limit: usize,
    /// Retries allowed for each thousand first attempts.
    pub retry_budget_permille: u32,
    /// Attempts for one request, the first one included.
    pub max_attempts: u32,
    /// Whether a slow idempotent request gets a second attempt beside the first.
    pub hedge: Hedge,
    /// Until when a request may wait to be worth admitting.
    pub admission: Admission,
}

/// Until when a request may wait to be worth admitting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Admission {
    /// Its answer is expected before the deadline.
    #[default]
    UntilDeadline,
    /// Its first token is expected within the target as well, so fewer are admitted and more of
    /// them meet the target.
    WithinTarget,
}

/// Whether a class hedges.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Hedge {
    /// Never.
    #[default]
    Off,
    /// When half of the first-token target has passed without a token.
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
    /// Requests of all classes that may wait in the pool; each class may have its guaranteed
    /// share of these places beside a queue full of others.
    pub queue_limit: usize,
    /// Requests that a backend server runs at once, until a load report says otherwise.
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
    /// They can't, as plain services.
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
    /// The workspace's part of a class grows with its weight; at least 1.
    pub weight: u32,
    /// Requests in flight over all routers.
    pub in_flight_limit: u32,
}

impl Default for WorkspaceSpec {
    fn default() -> Self {
        Self { name: String::new(), weight: 1, in_flight_limit: u32::MAX }
    }
}

/// Why a [`Spec`] was not applied.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SpecError {
    /// The revision is older than the one in force.
    #[display("revision {offered} is older than {current}: read the tables again")]
    Stale {
        /// The revision of the spec.
        offered: u64,
        /// The revision in force.
        current: u64,
    },
    /// Two rows of one kind carry the same name.
    #[display("two rows are named `{name}`: rename one")]
    DuplicateName {
        /// The name.
        name: String,
    },
    /// The guaranteed shares exceed the whole.
    #[display("shares sum to {sum_permille} permille: lower them to 1000 or less")]
    SharesOverWhole {
        /// Their sum.
        sum_permille: u32,
    },
}

impl Spec {
    /// Checks what the scheduler relies on.
    ///
    /// # Errors
    /// Names that stand twice, and shares over the whole.
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
    let mut seen = BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return Err(SpecError::DuplicateName { name: name.clone() });
        }
    }
    Ok(())
}
