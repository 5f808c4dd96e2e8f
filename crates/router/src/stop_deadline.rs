//! The time that a router has from a stop request until its process is killed.
//!
//! What is in flight is answered before that, and a request that comes too late for an answer is refused, so
//! that its caller can send it to another router at once.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;
use httpio::signal::{self, Signal, Trigger};
use monoio::time;

/// The longest time that is kept free between the last answers and the kill.
const MARGIN_MAX: Duration = Duration::from_millis(500);
/// The part of a short grace that is kept free.
const MARGIN_SHARE: u32 = 8;
/// A longer grace is taken for this one, so that no time overflows.
const GRACE_MAX: Duration = Duration::from_secs(86_400);

/// The steps of a stop, in time since the stop request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopSchedule {
    /// Listeners and idle connections are closed.
    pub close_after: Duration,
    /// Requests that have not arrived completely are refused.
    pub receive_until: Duration,
    /// Requests in flight are answered as at their deadline.
    pub answer_until: Duration,
    /// The results of orders that are not recorded are given up.
    settle_until: Duration,
    /// The process ends, whatever is still open.
    pub end_after: Duration,
    /// A request with less time left may be refused.
    time_left_min: Duration,
}

impl StopSchedule {
    /// Divides the time between the stop request and the kill, `grace`.
    #[must_use]
    pub fn new(drain_delay: Duration, grace: Duration) -> StopSchedule {
        let grace = grace.min(GRACE_MAX);
        let margin = (grace / MARGIN_SHARE).min(MARGIN_MAX);
        let answer_until = grace - margin;
        let receive_until = answer_until - margin;
        let close_after = drain_delay.min(receive_until);
        StopSchedule {
            close_after,
            receive_until,
            answer_until,
            settle_until: grace - margin * 3 / 4,
            end_after: grace - margin / 2,
            time_left_min: (answer_until / 2).min(answer_until - close_after),
        }
    }
}

/// When the requests in flight must be answered; clones share the stop.
#[derive(Clone)]
pub(crate) struct StopDeadline(Rc<Stop>);

struct Stop {
    clock: Rc<dyn Clock>,
    schedule: StopSchedule,
    requested_at: Cell<Option<Instant>>,
    request: RefCell<Option<Trigger>>,
    requested: Signal,
}

impl StopDeadline {
    /// Creates the deadline of a router that is not stopping.
    pub(crate) fn new(clock: Rc<dyn Clock>, schedule: StopSchedule) -> StopDeadline {
        let (request, requested) = signal::signal();
        let (requested_at, request) = (Cell::new(None), RefCell::new(Some(request)));
        StopDeadline(Rc::new(Stop { clock, schedule, requested_at, request, requested }))
    }

    /// The steps of the stop.
    pub(crate) fn schedule(&self) -> StopSchedule {
        self.0.schedule
    }

    /// Begins the stop.
    pub(crate) fn begin(&self) {
        self.0.requested_at.set(Some(self.0.clock.now()));
        if let Some(request) = self.0.request.take() {
            request.raise();
        }
    }

    /// Whether the stop has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.0.requested_at.get().is_some()
    }

    /// The time until the requests in flight must be answered, but at most `left`.
    pub(crate) fn limit(&self, left: Duration) -> Duration {
        self.left_until(self.0.schedule.answer_until).map_or(left, |it| it.min(left))
    }

    /// The time until what is known of an order must be recorded, but at most `timeout`.
    pub(crate) fn limit_record(&self, timeout: Duration) -> Duration {
        self.left_until(self.0.schedule.settle_until).map_or(timeout, |it| it.min(timeout))
    }

    /// Whether a request that may take the time `left` cannot be expected to be answered in time.
    pub(crate) fn is_too_late(&self, left: Duration) -> bool {
        let needed = left.min(self.0.schedule.time_left_min);
        self.limit(left) < needed
    }

    /// Resolves when the requests in flight must be answered.
    pub(crate) async fn passed(&self) {
        self.0.requested.raised().await;
        time::sleep(self.limit(self.0.schedule.answer_until)).await;
    }

    /// The time until this step of the stop; `None` if none has begun.
    fn left_until(&self, step: Duration) -> Option<Duration> {
        let since = self.0.clock.now().saturating_duration_since(self.0.requested_at.get()?);
        Some(step.saturating_sub(since))
    }
}
