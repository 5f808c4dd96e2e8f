//! Counts the requests that backend servers begin, by workspace and window, where usage is metered.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;
use duties::{CounterId, TrueTime, UsageCounter, UsageRows, WindowId, WindowLength};

/// The time for which counts are kept for a control VM that does not know them yet.
const COUNTS_AGE_MAX: Duration = Duration::from_secs(60);

/// The usage that this router has seen; it counts nothing where usage is not metered.
pub(crate) struct Usage {
    metered: Option<Metered>,
}

struct Metered {
    counter: RefCell<UsageCounter>,
    true_time: RefCell<TrueTime>,
    window_length: WindowLength,
    clock: Rc<dyn Clock>,
}

impl Usage {
    /// Counts by windows of `window_length`, or nothing without it.
    pub(crate) fn new(
        window_length: Option<WindowLength>,
        id: CounterId,
        clock: &Rc<dyn Clock>,
    ) -> Usage {
        let metered = window_length.map(|window_length| Metered {
            counter: RefCell::new(UsageCounter::new(id)),
            true_time: RefCell::new(TrueTime::new(clock.now(), clock.wall())),
            window_length,
            clock: Rc::clone(clock),
        });
        Usage { metered }
    }

    /// Counts a request of a workspace that a server began at `began`.
    pub(crate) fn record(&self, workspace: &str, began: Instant) {
        if let Some(metered) = &self.metered {
            let window = metered.window_at(began);
            metered.counter.borrow_mut().record(window, workspace);
        }
    }

    /// The number of the last change.
    pub(crate) fn last_change(&self) -> u64 {
        self.metered.as_ref().map_or(0, |it| it.counter.borrow().last_change())
    }

    /// The counts that have changed since the change `known`.
    pub(crate) fn changes_since(&self, known: u64) -> Option<UsageRows> {
        let metered = self.metered.as_ref()?;
        let oldest = metered.clock.now().checked_sub(COUNTS_AGE_MAX);
        if let Some(oldest) = oldest.map(|it| metered.window_at(it)) {
            metered.counter.borrow_mut().forget_before(oldest);
        }
        metered.counter.borrow().changes_since(known)
    }
}

impl Metered {
    fn window_at(&self, at: Instant) -> WindowId {
        let now = self.clock.now();
        let since_epoch = self.true_time.borrow_mut().update(now, self.clock.wall());
        let ago = now.saturating_duration_since(at);
        self.window_length.window_at(since_epoch.saturating_sub(ago))
    }
}
