//! Reports the usage of each window: settles it in the log, then sends what is settled.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use ::duties::{CallResult, Subject, TrueTime, UsageReport, WindowId, WindowLength};
use clock::Clock;
use control_state::{Command, Response, UsageAnswer};
use monoio::time;

use super::{DutyCaller, DutyParts, SharedUsage};
use crate::replica::Replica;

/// The interval at which new counts are told to the other control VMs and windows are looked at.
const PERIOD: Duration = Duration::from_millis(250);
/// The time after the end of a window in which routers and control VMs report the rest of its counts.
const SETTLE_DELAY: Duration = Duration::from_secs(3);
/// The time after the end of a window at which the control VMs repeat its counts to one another.
const REPEAT_DELAY: Duration = Duration::from_millis(1_500);
/// The time for which a new leader waits for the counts of routers that have to find it first.
const LEAD_DELAY: Duration = Duration::from_secs(3);
/// The time after which a window's usage is given up.
const REPORT_AGE_MAX: Duration = Duration::from_secs(60);
/// Reports that are sent at one time; the platform limits the calls of all duties.
const REPORTS_MAX: usize = 5;

/// The task that reports usage while this VM leads.
pub(crate) struct Metering {
    caller: Rc<DutyCaller>,
    replica: Rc<Replica>,
    usage: Rc<SharedUsage>,
    window_length: WindowLength,
    usage_late: Duration,
    true_time: TrueTime,
    leads_since: Option<Instant>,
    /// The last window whose counts were repeated to the other control VMs.
    repeated: Option<WindowId>,
    clock: Rc<dyn Clock>,
}

impl Metering {
    pub(crate) fn new(parts: &DutyParts, caller: Rc<DutyCaller>) -> Metering {
        let clock = Rc::clone(&parts.clock);
        Metering {
            caller,
            replica: Rc::clone(&parts.replica),
            usage: Rc::clone(&parts.usage),
            window_length: parts.settings.window_length(),
            usage_late: parts.settings.usage_late,
            true_time: TrueTime::new(clock.now(), clock.wall()),
            leads_since: None,
            repeated: None,
            clock,
        }
    }

    /// Runs for the lifetime of the process.
    pub(crate) async fn run(mut self) {
        loop {
            time::sleep(PERIOD).await;
            let now = self.clock.now();
            let since_epoch = self.true_time.update(now, self.clock.wall());
            self.share(since_epoch);
            self.forget_old(since_epoch);
            if !self.caller.leads() {
                self.leads_since = None;
                continue;
            }
            let leads_since = *self.leads_since.get_or_insert(now);
            if now.saturating_duration_since(leads_since) >= LEAD_DELAY {
                self.settle(since_epoch).await;
            }
            self.report(since_epoch).await;
        }
    }

    /// Tells the other control VMs the new counts, and once more those of the window that has ended.
    fn share(&mut self, since_epoch: Duration) {
        self.usage.send_new(&self.replica);
        let current = self.window_length.window_at(since_epoch.saturating_sub(REPEAT_DELAY));
        let Some(ended) = current.0.checked_sub(1).map(WindowId) else { return };
        if self.repeated.replace(ended) != Some(ended) {
            self.usage.repeat(&self.replica, ended);
        }
    }

    fn forget_old(&self, since_epoch: Duration) {
        let oldest = since_epoch.saturating_sub(REPORT_AGE_MAX);
        self.usage.forget_before(self.window_length.window_at(oldest));
    }

    /// Settles the windows whose counts are complete.
    async fn settle(&self, since_epoch: Duration) {
        let is_due = |window: &WindowId| {
            self.window_length.end(*window) + SETTLE_DELAY <= since_epoch
                && !self.replica.is_usage_settled(*window)
        };
        let due: Vec<_> = self.usage.all().borrow().windows().filter(is_due).collect();
        for window in due {
            let counts = self.usage.all().borrow().totals(window);
            let report = UsageReport { window, counts };
            let requests: u64 = report.counts.values().sum();
            match self.caller.submit(&Command::SettleUsage(report)).await {
                Some(Response::Usage(UsageAnswer::Settled(_))) => {
                    tracing::info!(event = "usage_settled", %window, requests);
                }
                Some(other) => {
                    tracing::warn!(event = "usage_not_settled", %window, answer = ?other);
                }
                None => return,
            }
        }
    }

    /// Sends the settled windows that have not been accepted yet.
    async fn report(&self, since_epoch: Duration) {
        for report in self.replica.open_usage().into_iter().take(REPORTS_MAX) {
            let window = report.window;
            let age = since_epoch.saturating_sub(self.window_length.end(window));
            if age > REPORT_AGE_MAX {
                tracing::warn!(event = "usage_missed", %window, age_s = age.as_secs());
                self.close(window).await;
                continue;
            }
            let called = self
                .caller
                .call(&Subject::Usage, |api, credentials| api.usage_request(credentials, &report))
                .await;
            if called != Some(CallResult::Accepted) {
                return;
            }
            let is_late = age > self.usage_late;
            tracing::info!(event = "usage_reported", %window, age_ms = age.as_millis() as u64, is_late);
            self.close(window).await;
        }
    }

    async fn close(&self, window: WindowId) {
        // A window that is not closed is reported again, which the platform ignores.
        let _ = self.caller.submit(&Command::CloseUsage { window }).await;
    }
}
