//! Decides when a router reads the platform's list itself.
//!
//! The platform limits the reads of all processes together, so routers read only while no control VM
//! provides the list, and ever more rarely while the platform refuses.

use std::time::{Duration, Instant};

/// The maximum age of a list that is used without another one. The platform stops a leaving server after
/// three seconds at the earliest, and its list lags by up to one second.
pub const LIST_AGE_MAX: Duration = Duration::from_millis(1_500);
/// The shortest time that a control VM has to provide the first list, and the shortest time over which the
/// first reads of routers that start together are spread. Both together are less than requests wait for a
/// first list.
const LINK_TIME: Duration = Duration::from_millis(400);
/// The time over which the first reads are spread for each router that is known: all together they take
/// from the platform's rate what the control VMs need to read the list for all.
const FIRST_READ_SPACING: Duration = Duration::from_millis(100);
/// The mean interval after the first read. It is halved by each further read until one fails, as a router
/// does not know how many others read.
const START_INTERVAL: Duration = Duration::from_secs(3);
/// The factor by which the interval grows with each read that fails.
const GROWTH: f64 = 2.0;
/// The reads per second that a router adds with each read that succeeds, once one has failed. A sum in place
/// of a factor makes the shares of the routers even.
const RATE_STEP_PER_S: f64 = 1.0 / 128.0;
const INTERVAL_MAX: Duration = Duration::from_secs(64);
/// The same for a router without any list, which goes before those that have an old one.
const FIRST_LIST_INTERVAL_MAX: Duration = Duration::from_secs(8);

/// How an own read ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnRead {
    /// The whole list was read.
    Succeeded,
    /// A page could not be read.
    Failed,
}

/// The own reads of one router.
#[derive(Debug, Clone)]
pub struct OwnReads {
    /// The shortest mean interval.
    period: Duration,
    /// The mean interval.
    interval: Duration,
    /// When the router may next read the list, once it has read it.
    next: Option<Instant>,
    /// When the router started to wait for its first list, with its random share.
    awaited_since: Option<(Instant, f64)>,
    /// The routers known to start together.
    routers: usize,
    /// When the list of a control VM was read from the platform, while that list is in use.
    shared_at: Option<Instant>,
    /// Whether the router has had a list, of whatever age.
    has_list: bool,
    /// Whether the last read failed.
    has_failed: bool,
    /// Whether any read has failed.
    is_contended: bool,
}

impl OwnReads {
    /// Creates the state of a router that reads at intervals of `period` while the platform answers.
    #[must_use]
    pub fn new(period: Duration) -> OwnReads {
        OwnReads {
            period,
            interval: START_INTERVAL.max(period),
            next: None,
            awaited_since: None,
            routers: 1,
            shared_at: None,
            has_list: false,
            has_failed: false,
            is_contended: false,
        }
    }

    /// Gives the control VMs time to provide the first list. `share`, from 0 to 1, spreads the first reads
    /// of routers that start together.
    pub fn await_control(&mut self, now: Instant, share: f64) {
        self.awaited_since = Some((now, share));
    }

    /// Sets how many routers are known to be in the same place.
    pub fn set_routers(&mut self, routers: usize) {
        self.routers = routers;
    }

    /// When the router may next read the list; `None` if it may at once.
    fn next_read(&self) -> Option<Instant> {
        self.next.or_else(|| {
            let (since, share) = self.awaited_since?;
            let spread = LINK_TIME.max(FIRST_READ_SPACING.mul_f64(self.routers as f64));
            Some(since + LINK_TIME + spread.mul_f64(share))
        })
    }

    /// Records a list of a control VM that was read from the platform at `read_at`.
    pub fn shared_list(&mut self, read_at: Option<Instant>) {
        self.shared_at = read_at;
        self.has_list = true;
    }

    /// Whether the router reads the list now, given that no control VM provides a fresh one.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= LIST_AGE_MAX;
        self.shared_at.is_none_or(is_old) && self.next_read().is_none_or(|it| now >= it)
    }

    /// How long the router may wait for a list of the control VM before it reads the list itself, if that
    /// VM provides none.
    #[must_use]
    pub fn time_for_control(&self, now: Instant) -> Duration {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < LIST_AGE_MAX;
        if self.shared_at.is_some_and(is_fresh) {
            return self.period;
        }
        let next = self.next_read();
        let until_next = next.map_or(Duration::ZERO, |it| it.saturating_duration_since(now));
        until_next.min(self.period)
    }

    /// Records an own read that began at `started`; returns whether it ended unlike the one before. `share`,
    /// from 0 to 1, spreads the next reads of routers that read at the same time.
    pub fn ended(&mut self, started: Instant, result: OwnRead, share: f64) -> bool {
        let has_failed = result == OwnRead::Failed;
        self.is_contended |= has_failed;
        self.interval = self.next_interval(result);
        if !has_failed {
            self.shared_at = None;
            self.has_list = true;
        }
        let longest = if self.has_list { INTERVAL_MAX } else { FIRST_LIST_INTERVAL_MAX };
        self.next = Some(started + self.interval.min(longest).mul_f64(0.5 + share));
        std::mem::replace(&mut self.has_failed, has_failed) != has_failed
    }

    fn next_interval(&self, result: OwnRead) -> Duration {
        let interval = match result {
            OwnRead::Failed => self.interval.mul_f64(GROWTH),
            OwnRead::Succeeded if self.is_contended => {
                Duration::from_secs_f64(1.0 / (1.0 / self.interval.as_secs_f64() + RATE_STEP_PER_S))
            }
            OwnRead::Succeeded => self.interval.div_f64(GROWTH),
        };
        interval.clamp(self.period, INTERVAL_MAX.max(self.period))
    }
}
