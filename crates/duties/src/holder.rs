//! When this VM may make the calls of a duty, and under which fencing token.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{CallResult, Subject};

/// Settings of a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HolderSettings {
    /// The time that a new holder waits if another VM has held the duties. Within it, the platform must not get
    /// calls of one holder, then of another, then of the first again.
    pub lease: Duration,
}

impl Default for HolderSettings {
    fn default() -> Self {
        HolderSettings { lease: Duration::from_secs(3) }
    }
}

/// What the caller has to do before it may call the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderAction {
    /// Acquire a fencing token from the log and report it with [`Holder::acquired`].
    AcquireToken,
    /// Wait until this time.
    Wait(Instant),
    /// Call under this token.
    Call(u64),
}

/// Whether this VM holds the duties, and its tokens.
#[derive(Debug, Clone)]
pub struct Holder {
    settings: HolderSettings,
    /// The newest token, while this VM leads.
    token: Option<u64>,
    /// The end of the wait after another VM has held the duties; no call is made before it.
    ready_at: Option<Instant>,
    /// The highest token of each subject that must not be used again for it.
    spent: BTreeMap<Subject, u64>,
}

impl Holder {
    /// A VM that does not hold the duties.
    #[must_use]
    pub fn new(settings: HolderSettings) -> Holder {
        Holder { settings, token: None, ready_at: None, spent: BTreeMap::new() }
    }

    /// Records that this VM does not lead the log.
    pub fn lost(&mut self) {
        self.token = None;
        self.ready_at = None;
    }

    /// Records a token from the log; `is_handover` tells that another VM held the one before.
    pub fn acquired(&mut self, now: Instant, token: u64, is_handover: bool) {
        if self.token.is_none() && is_handover {
            self.ready_at = Some(now + self.settings.lease);
        }
        self.token = Some(token);
    }

    /// What to do before a call for `subject`, while this VM leads the log.
    #[must_use]
    pub fn next(&self, now: Instant, subject: &Subject) -> HolderAction {
        let Some(token) = self.token else { return HolderAction::AcquireToken };
        if let Some(at) = self.ready_at.filter(|it| now < *it) {
            return HolderAction::Wait(at);
        }
        match self.spent.get(subject) {
            Some(spent) if token <= *spent => HolderAction::AcquireToken,
            _ => HolderAction::Call(token),
        }
    }

    /// Whether this VM has held the duties without interruption since it got `token`, and has no newer one.
    #[must_use]
    pub fn holds(&self, token: u64) -> bool {
        self.token == Some(token)
    }

    /// The newest token, while this VM leads.
    #[must_use]
    pub fn token(&self) -> Option<u64> {
        self.token
    }

    /// Records how a call under `token` ended.
    ///
    /// A refused token is never used again for that subject. An unanswered call may be carried out
    /// after newer ones, unless those have a higher token.
    pub fn ended(&mut self, subject: &Subject, token: u64, result: CallResult) {
        if matches!(result, CallResult::Conflict | CallResult::Unanswered) {
            let spent = self.spent.entry(subject.clone()).or_default();
            *spent = token.max(*spent);
        }
    }
}
