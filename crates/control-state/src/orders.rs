//! Claims that make each order run at most once.
//!
//! A claim is granted to one attempt. While the key is retained, no other attempt gets it, unless
//! the first one reports that the order did not run.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{ClaimAnswer, ClaimId, ClaimOrder, OrderKey, RouterId, SettleAnswer, StoredAnswer};

/// How long a key is retained after its claim.
///
/// Callers may retry for 24 hours; the extra hour covers clock differences between the routers
/// and the leader.
pub const KEY_RETENTION: Duration = Duration::from_secs(25 * 3_600);
/// The maximum size of one answer that is stored for retries.
pub const ANSWER_MAX_BYTES: usize = 16 * 1024;
/// The maximum total size of all stored answers.
pub const ANSWERS_MAX_BYTES: usize = 16 * 1024 * 1024;
/// The maximum number of retained keys; new orders above it are rejected as not run.
pub const KEYS_MAX: usize = 200_000;
/// The maximum size of all retained keys. New orders above it are refused before they enter the log,
/// so that a snapshot fits the disk twice.
pub const KEYS_MAX_BYTES: usize = 12 * 1024 * 1024;
/// The size of a claim beside its names, rounded up.
const CLAIM_OVERHEAD_BYTES: usize = 48;
/// The maximum number of released claims that are remembered.
pub const RELEASED_CLAIMS_MAX: usize = 10_000;

/// All retained keys with their claims.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(crate) struct Orders {
    now_ms: u64,
    /// Keys claimed at this time or earlier may have expired.
    expired_ms: u64,
    claims: BTreeMap<OrderKey, Claim>,
    kept_bytes: usize,
    /// The size of all retained keys; not part of a snapshot, whose form older builds read.
    #[serde(skip)]
    key_bytes: usize,
    /// Released claims, which are not granted again: a delayed copy of the claim may still be in
    /// the log.
    released: BTreeSet<ClaimId>,
    /// The released claims from oldest to newest, for eviction.
    released_order: VecDeque<ClaimId>,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
struct Claim {
    body_hash: u64,
    router: RouterId,
    claim: ClaimId,
    at_ms: u64,
    until_ms: u64,
    state: OrderState,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum OrderState {
    Running,
    Done(StoredAnswer),
    MayHaveRun,
}

impl Orders {
    /// Grants the claim unless it was released before, its key is taken, its request is too old, or
    /// the maximum number of keys is retained.
    pub(crate) fn claim(&mut self, request: ClaimOrder) -> ClaimAnswer {
        if self.released.contains(&request.claim) {
            return ClaimAnswer::Released;
        }
        if let Some(known) = self.claims.get(&request.order) {
            return known.answer_for(&request);
        }
        if request.at_ms <= self.expired_ms {
            return ClaimAnswer::TooOld;
        }
        if self.claims.len() >= KEYS_MAX {
            return ClaimAnswer::Full;
        }
        let claim = Claim {
            body_hash: request.body_hash,
            router: request.router,
            claim: request.claim,
            at_ms: request.at_ms.max(self.now_ms),
            until_ms: request.until_ms,
            state: OrderState::Running,
        };
        self.key_bytes += claim.size_bytes(&request.order);
        self.claims.insert(request.order, claim);
        ClaimAnswer::Granted
    }

    /// Stores the answer if it fits the limits, and its length otherwise.
    pub(crate) fn complete(
        &mut self,
        order: &OrderKey,
        claim: ClaimId,
        answer: Vec<u8>,
    ) -> SettleAnswer {
        let free_bytes = ANSWERS_MAX_BYTES - self.kept_bytes;
        let Some(held) = self.claim_mut(order, claim) else { return SettleAnswer::NotHeld };
        if matches!(held.state, OrderState::Done(_)) {
            return SettleAnswer::Settled;
        }
        let answer = StoredAnswer::bounded(answer, free_bytes.min(ANSWER_MAX_BYTES));
        let kept_bytes = answer.kept_bytes();
        held.state = OrderState::Done(answer);
        self.kept_bytes += kept_bytes;
        SettleAnswer::Settled
    }

    /// Removes a running claim, and rejects its copies that arrive later.
    pub(crate) fn release(&mut self, order: &OrderKey, claim: ClaimId) -> SettleAnswer {
        let Some(held) = self.claim_mut(order, claim) else {
            self.remember_release(claim);
            return SettleAnswer::Settled;
        };
        let size_bytes = held.size_bytes(order);
        match held.state {
            OrderState::Running => {
                self.claims.remove(order);
                self.key_bytes -= size_bytes;
                self.remember_release(claim);
                SettleAnswer::Settled
            }
            OrderState::MayHaveRun => SettleAnswer::MayHaveRun,
            OrderState::Done(_) => SettleAnswer::NotHeld,
        }
    }

    /// Records that a running order may have run.
    pub(crate) fn mark_in_doubt(&mut self, order: &OrderKey, claim: ClaimId) -> SettleAnswer {
        let Some(held) = self.claim_mut(order, claim) else { return SettleAnswer::NotHeld };
        held.mark_in_doubt();
        SettleAnswer::Settled
    }

    /// Marks all running orders of a router in doubt.
    pub(crate) fn router_gone(&mut self, router: &RouterId) {
        self.claims.values_mut().filter(|it| it.router == *router).for_each(Claim::mark_in_doubt);
    }

    /// Drops expired keys and marks orders past their deadline in doubt.
    pub(crate) fn advance_time(&mut self, now_ms: u64) {
        if now_ms <= self.now_ms {
            return;
        }
        self.now_ms = now_ms;
        let retention_ms = KEY_RETENTION.as_millis() as u64;
        self.expired_ms = self.expired_ms.max(now_ms.saturating_sub(retention_ms));
        let expired_ms = self.expired_ms;
        self.claims.retain(|_, it| it.at_ms > expired_ms);
        self.kept_bytes = self.claims.values().map(Claim::kept_bytes).sum();
        self.count_key_bytes();
        self.claims.values_mut().filter(|it| it.until_ms <= now_ms).for_each(Claim::mark_in_doubt);
    }

    /// Whether a claim of this key may enter the log: its key is retained already, or there is room.
    pub(crate) fn has_room_for(&self, order: &OrderKey) -> bool {
        self.key_bytes < KEYS_MAX_BYTES || self.claims.contains_key(order)
    }

    /// Counts the size of all keys, after some were removed or restored.
    pub(crate) fn count_key_bytes(&mut self) {
        self.key_bytes = self.claims.iter().map(|(order, claim)| claim.size_bytes(order)).sum();
    }

    /// The number of retained keys.
    pub(crate) fn len(&self) -> usize {
        self.claims.len()
    }

    fn claim_mut(&mut self, order: &OrderKey, claim: ClaimId) -> Option<&mut Claim> {
        self.claims.get_mut(order).filter(|it| it.claim == claim)
    }

    fn remember_release(&mut self, claim: ClaimId) {
        if !self.released.insert(claim) {
            return;
        }
        self.released_order.push_back(claim);
        if self.released_order.len() <= RELEASED_CLAIMS_MAX {
            return;
        }
        if let Some(oldest) = self.released_order.pop_front() {
            self.released.remove(&oldest);
        }
    }
}

impl Claim {
    fn answer_for(&self, request: &ClaimOrder) -> ClaimAnswer {
        if self.body_hash != request.body_hash {
            return ClaimAnswer::KeyReused;
        }
        match &self.state {
            OrderState::Running if self.claim == request.claim => ClaimAnswer::Granted,
            OrderState::Running => ClaimAnswer::InProgress { since_ms: self.at_ms },
            OrderState::Done(answer) => ClaimAnswer::Done(answer.clone()),
            OrderState::MayHaveRun => ClaimAnswer::MayHaveRun,
        }
    }

    /// The size of the claim and its key in a snapshot, without the answer.
    fn size_bytes(&self, order: &OrderKey) -> usize {
        let names = order.workspace.len() + order.route.len() + order.key.len();
        CLAIM_OVERHEAD_BYTES + names + self.router.0.len()
    }

    fn kept_bytes(&self) -> usize {
        match &self.state {
            OrderState::Done(answer) => answer.kept_bytes(),
            OrderState::Running | OrderState::MayHaveRun => 0,
        }
    }

    fn mark_in_doubt(&mut self) {
        if self.state == OrderState::Running {
            self.state = OrderState::MayHaveRun;
        }
    }
}

impl StoredAnswer {
    fn bounded(answer: Vec<u8>, limit_bytes: usize) -> StoredAnswer {
        if answer.len() > limit_bytes {
            return StoredAnswer::TooLong { len_bytes: answer.len() as u64 };
        }
        StoredAnswer::Kept(answer)
    }

    fn kept_bytes(&self) -> usize {
        match self {
            StoredAnswer::Kept(answer) => answer.len(),
            StoredAnswer::TooLong { .. } => 0,
        }
    }
}
