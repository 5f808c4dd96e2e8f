//! Which orders have to be sent, and when.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use duties::{CallResult, ScaleOrder, ServerKind};

use crate::{DomainServers, Target};

/// The orders per second of all pools together; the platform limits the calls of all duties.
const ORDERS_PER_S: usize = 10;
/// The pause after a refused order, since spot servers may be available again at any time.
const REFUSED_PAUSE: Duration = Duration::from_secs(1);
/// The pause after an order without an answer; it doubles with each further one.
const FAILED_PAUSE: Duration = Duration::from_millis(500);
/// The longest pause after orders without an answer.
const FAILED_PAUSE_MAX: Duration = Duration::from_secs(4);
/// The pause before an order that could not be sent is tried again.
const UNSENT_PAUSE: Duration = Duration::from_millis(200);
/// An accepted order is repeated if its servers do not serve this long after the boot time.
const REPEAT_PAUSE: Duration = Duration::from_secs(6);

/// An order that is to be sent now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DueOrder {
    /// The order.
    pub order: ScaleOrder,
    /// The number that was accepted last, if any.
    pub accepted: Option<u32>,
}

/// The orders of all pools and what became of them.
#[derive(Debug, Clone, Default)]
pub struct OrderBook {
    domains: BTreeMap<(String, String), DomainOrders>,
    /// When the orders of the last second were sent.
    sent: VecDeque<Instant>,
}

/// The orders of one pool in one failure domain; one is sent at a time.
#[derive(Debug, Clone, Default)]
struct DomainOrders {
    is_sending: bool,
    /// Whether the order that is being sent is from before the book was cleared.
    is_cleared: bool,
    spot_leaving: u32,
    spot: KindOrder,
    firm: KindOrder,
}

#[derive(Debug, Clone, Default)]
struct KindOrder {
    target: Option<u32>,
    accepted: Option<u32>,
    accepted_at: Option<Instant>,
    retry_at: Option<Instant>,
    failures: u32,
}

impl OrderBook {
    /// Forgets all that was accepted: another VM may have ordered servers since.
    pub fn clear(&mut self) {
        self.domains.retain(|_, it| it.is_sending);
        for domain in self.domains.values_mut() {
            *domain =
                DomainOrders { is_sending: true, is_cleared: true, ..DomainOrders::default() };
        }
    }

    /// Replaces the number of servers that a pool is to have in a failure domain, where the list names
    /// `listed`.
    pub fn set_target(
        &mut self,
        now: Instant,
        pool: &str,
        target: &Target,
        listed: &DomainServers,
        boot: Duration,
    ) {
        let key = (pool.to_owned(), target.failure_domain.clone());
        let domain = self.domains.entry(key).or_default();
        domain.spot.target = Some(target.spot);
        domain.firm.target = target.firm;
        let was_leaving = std::mem::replace(&mut domain.spot_leaving, listed.spot_leaving) > 0;
        if was_leaving != (listed.spot_leaving > 0) {
            // The platform may have applied the number to the servers as they were before this change.
            domain.spot.accepted = None;
        }
        domain.spot.repeat_if_short(now, listed.spot, boot);
        domain.firm.repeat_if_short(now, listed.firm, boot);
    }

    /// The orders to send now, at most one for a failure domain. Each of them must be reported to
    /// [`OrderBook::ended`].
    pub fn take_due(&mut self, now: Instant) -> Vec<DueOrder> {
        while self.sent.front().is_some_and(|it| *it + Duration::from_secs(1) <= now) {
            self.sent.pop_front();
        }
        let mut due = Vec::new();
        for ((pool, failure_domain), domain) in &mut self.domains {
            if self.sent.len() >= ORDERS_PER_S {
                break;
            }
            let Some((kind, count)) = domain.next(now) else { continue };
            domain.is_sending = true;
            self.sent.push_back(now);
            let (pool, failure_domain) = (pool.clone(), failure_domain.clone());
            let accepted = domain.kind(kind).accepted;
            let order = ScaleOrder { pool, failure_domain, kind, count };
            due.push(DueOrder { order, accepted });
        }
        due
    }

    /// Records how an order ended; `None` if it could not be sent.
    pub fn ended(&mut self, now: Instant, order: &ScaleOrder, result: Option<CallResult>) {
        let key = (order.pool.clone(), order.failure_domain.clone());
        let Some(domain) = self.domains.get_mut(&key) else { return };
        domain.is_sending = false;
        if result.is_none() {
            self.sent.pop_back();
        }
        if std::mem::take(&mut domain.is_cleared) {
            return;
        }
        domain.kind(order.kind).ended(now, order.count, result);
    }

    /// The number that was accepted last.
    #[must_use]
    pub fn accepted(&self, pool: &str, failure_domain: &str, kind: ServerKind) -> Option<u32> {
        let domain = self.domains.get(&(pool.to_owned(), failure_domain.to_owned()))?;
        match kind {
            ServerKind::Firm => domain.firm.accepted,
            ServerKind::Spot => domain.spot.accepted,
        }
    }
}

impl DomainOrders {
    /// The next order; spot servers go first, because others are given up for them.
    fn next(&self, now: Instant) -> Option<(ServerKind, u32)> {
        if self.is_sending {
            return None;
        }
        let spot = self.spot.due(now).map(|it| (ServerKind::Spot, it));
        spot.or_else(|| self.firm.due(now).map(|it| (ServerKind::Firm, it)))
    }

    fn kind(&mut self, kind: ServerKind) -> &mut KindOrder {
        match kind {
            ServerKind::Firm => &mut self.firm,
            ServerKind::Spot => &mut self.spot,
        }
    }
}

impl KindOrder {
    fn due(&self, now: Instant) -> Option<u32> {
        let is_open = self.target != self.accepted && self.retry_at.is_none_or(|it| now >= it);
        self.target.filter(|_| is_open)
    }

    fn repeat_if_short(&mut self, now: Instant, listed: u32, boot: Duration) {
        let is_old = self.accepted_at.is_some_and(|it| now >= it + boot + REPEAT_PAUSE);
        if is_old && self.accepted.is_some_and(|it| listed < it) {
            self.accepted = None;
        }
    }

    fn ended(&mut self, now: Instant, count: u32, result: Option<CallResult>) {
        let pause = match result {
            Some(CallResult::Accepted) => {
                (self.accepted, self.accepted_at) = (Some(count), Some(now));
                (self.failures, self.retry_at) = (0, None);
                return;
            }
            Some(CallResult::Conflict) => REFUSED_PAUSE,
            Some(CallResult::Busy | CallResult::Unanswered) => {
                let pause = FAILED_PAUSE * 2_u32.pow(self.failures.min(3));
                self.failures += 1;
                pause.min(FAILED_PAUSE_MAX)
            }
            None => UNSENT_PAUSE,
        };
        if matches!(result, Some(CallResult::Conflict | CallResult::Unanswered)) {
            // It is not known which number is in force.
            self.accepted = None;
        }
        self.retry_at = Some(now + pause);
    }
}
