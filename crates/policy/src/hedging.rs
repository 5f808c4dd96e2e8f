//! When a slow attempt gets a second one beside it, by class and pool: the delay, learned from the times of
//! earlier answers, and the limit that the operator sets.

use std::{collections::VecDeque, time::Duration};

use derive_more::Display;

use crate::spec::WHOLE_PERMILLE;

/// The latest times from which the delay is learned.
const SAMPLES_MAX: usize = 256;
/// No request is hedged before so many times are known: fewer do not determine the quantile.
const SAMPLES_MIN: usize = 64;
/// The quantile is computed again after so many further times.
const SAMPLES_PER_UPDATE: usize = 16;
/// The part of the attempts that answer within the delay.
const ANSWERED_PERMILLE: usize = 950;
/// The delay is never shorter: below, a second attempt gains less than its connection costs.
const DELAY_MIN: Duration = Duration::from_millis(25);
/// Unused hedges are kept up to this number, so that a slow server does not use all of a long quiet time at once.
const SAVED_HEDGES_MAX: u64 = 4;

/// Why a slow request gets no second attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum HedgeRefusal {
    /// The operator's limit is used up.
    #[display("limit")]
    Limit,
    /// The retry budget of the class in this pool is used up.
    #[display("retry-budget")]
    RetryBudget,
    /// The pool is short of capacity.
    #[display("no-room")]
    NoRoom,
    /// No other server may run the request.
    #[display("no-server")]
    NoServer,
    /// The request or a part of its prompt may have crashed servers.
    #[display("suspected")]
    Suspected,
    /// An answer of a second attempt is expected after the deadline.
    #[display("too-late")]
    TooLate,
}

/// The delay and the budget of hedges of one class in one pool.
#[derive(Debug, Clone, Default)]
pub(crate) struct Hedging {
    times: VecDeque<Duration>,
    since_update: usize,
    delay: Option<Duration>,
    /// In thousandths of a hedge.
    budget_permille: u64,
}

impl Hedging {
    /// Adds the budget of one first attempt; it starts empty.
    pub(crate) fn earn(&mut self, hedge_permille: u32) {
        let full = SAVED_HEDGES_MAX * u64::from(WHOLE_PERMILLE);
        self.budget_permille = (self.budget_permille + u64::from(hedge_permille)).min(full);
    }

    /// Whether the budget allows a hedge.
    pub(crate) fn has_budget(&self) -> bool {
        self.budget_permille >= u64::from(WHOLE_PERMILLE)
    }

    /// Takes one hedge from the budget, which must allow one.
    pub(crate) fn spend(&mut self) {
        self.budget_permille = self.budget_permille.saturating_sub(u64::from(WHOLE_PERMILLE));
    }

    /// How long an attempt goes without an answer until it is hedged; `None` while too few times are known.
    pub(crate) fn delay(&self) -> Option<Duration> {
        self.delay
    }

    /// Records the time to the first event of an attempt or to its whole answer.
    pub(crate) fn record_answer(&mut self, time: Duration) {
        if self.times.len() == SAMPLES_MAX {
            self.times.pop_front();
        }
        self.times.push_back(time);
        self.since_update += 1;
        let is_due = self.delay.is_none() || self.since_update >= SAMPLES_PER_UPDATE;
        if is_due && self.times.len() >= SAMPLES_MIN {
            self.since_update = 0;
            self.delay = Some(self.quantile().max(DELAY_MIN));
        }
    }

    /// Records that an attempt was ended after `time` without an answer.
    ///
    /// Beyond the delay it counts like an answer, since the quantile depends only on how many times lie beyond
    /// it. Without the attempts that lost to their hedge, the delay would shrink with every hedge.
    pub(crate) fn record_unanswered(&mut self, time: Duration) {
        if self.delay.is_some_and(|it| time >= it) {
            self.record_answer(time);
        }
    }

    fn quantile(&self) -> Duration {
        let mut times: Vec<_> = self.times.iter().copied().collect();
        let place = (times.len() - 1) * ANSWERED_PERMILLE / WHOLE_PERMILLE as usize;
        *times.select_nth_unstable(place).1
    }
}
