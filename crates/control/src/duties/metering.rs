//! Reports the usage of each window: settles it in the log, then sends what is settled.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::{Duration, Instant},
};

use ::duties::{CallResult, RetryPause, Subject, TrueTime, UsageReport, WindowId, WindowLength};
use clock::Clock;
use consensus::Term;
use control_state::{Command, Response, UsageAnswer};
use monoio::time;

use super::{DutyCaller, DutyParts, SharedUsage};
use crate::replica::Replica;

/// The interval at which new counts are sent to the other control VMs, and windows are checked.
const PERIOD: Duration = Duration::from_millis(250);
/// The time after the end of a window in which routers and control VMs report the rest of its counts. A router
/// notices after 3.5 s that its control VM is silent, and then reports to another one.
const SETTLE_DELAY: Duration = Duration::from_secs(5);
/// The times after the end of a window at which the control VMs repeat its counts to one another.
const REPEAT_DELAYS: [Duration; 2] = [Duration::from_millis(1_500), Duration::from_millis(4_000)];
/// A new leader settles nothing for this long, as routers have to find it before they send their counts.
const LEAD_DELAY: Duration = Duration::from_secs(3);
/// The time for which a new leader settles only what would be late otherwise.
const FRESH_LEAD: Duration = Duration::from_secs(6);
/// Within [`FRESH_LEAD`], a window is settled only this long before its report is due.
const REPORT_TIME: Duration = Duration::from_secs(3);
/// The time after which a window's usage is given up.
const REPORT_AGE_MAX: Duration = Duration::from_secs(60);
/// Reports that are sent at one time; the platform limits the calls of all duties.
const REPORTS_MAX: usize = 5;

/// The task that tells the other control VMs the counts of this one's routers, whichever VM leads.
pub(crate) struct Sharing {
    replica: Rc<Replica>,
    usage: Rc<SharedUsage>,
    window_length: WindowLength,
    true_time: TrueTime,
    /// The last window whose counts were repeated after each of [`REPEAT_DELAYS`].
    repeated: [Option<WindowId>; REPEAT_DELAYS.len()],
    clock: Rc<dyn Clock>,
}

impl Sharing {
    pub(crate) fn new(parts: &DutyParts) -> Sharing {
        let clock = Rc::clone(&parts.clock);
        Sharing {
            replica: Rc::clone(&parts.replica),
            usage: Rc::clone(&parts.usage),
            window_length: parts.settings.window_length(),
            true_time: TrueTime::new(clock.now(), clock.wall()),
            repeated: Default::default(),
            clock,
        }
    }

    /// Runs for the lifetime of the process.
    pub(crate) async fn run(mut self) {
        loop {
            time::sleep(PERIOD).await;
            let since_epoch = self.true_time.update(self.clock.now(), self.clock.wall());
            self.usage.send_new(&self.replica);
            self.repeat(since_epoch);
        }
    }

    /// Tells the other control VMs once more the counts of windows that have ended.
    fn repeat(&mut self, since_epoch: Duration) {
        for (delay, repeated) in REPEAT_DELAYS.iter().zip(&mut self.repeated) {
            let current = self.window_length.window_at(since_epoch.saturating_sub(*delay));
            let Some(ended) = current.0.checked_sub(1).map(WindowId) else { continue };
            if repeated.replace(ended) != Some(ended) {
                self.usage.repeat(&self.replica, ended);
            }
        }
    }
}

/// The task that reports usage while this VM leads.
pub(crate) struct Metering {
    caller: Rc<DutyCaller>,
    replica: Rc<Replica>,
    usage: Rc<SharedUsage>,
    window_length: WindowLength,
    usage_late: Duration,
    true_time: TrueTime,
    /// The term in which this VM leads, and since when it does.
    lead: Option<(Term, Instant)>,
    retry: RetryPause,
    /// Windows that need no further report, but are not closed in the log yet.
    unclosed: BTreeSet<WindowId>,
    /// The requests that are known to be missing in the report of each window.
    late_requests: BTreeMap<WindowId, u64>,
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
            lead: None,
            retry: RetryPause::default(),
            unclosed: BTreeSet::new(),
            late_requests: BTreeMap::new(),
            clock,
        }
    }

    /// Runs for the lifetime of the process.
    pub(crate) async fn run(mut self) {
        loop {
            time::sleep(PERIOD).await;
            let now = self.clock.now();
            let since_epoch = self.true_time.update(now, self.clock.wall());
            let term = self.caller.led_term();
            self.forget_old(since_epoch, term.is_some());
            let Some(term) = term else {
                self.lead = None;
                continue;
            };
            let led = self.lead.filter(|it| it.0 == term);
            let (_, leads_since) = *self.lead.insert(led.unwrap_or((term, now)));
            if !self.retry.is_over(now) {
                continue;
            }
            let is_ready = self.caller.is_ready(&Subject::Usage).await;
            let lead_age = now.saturating_duration_since(leads_since);
            let is_done = self.settle(since_epoch, lead_age).await
                && (!is_ready || self.report(since_epoch).await);
            match is_done {
                true => self.retry.succeeded(),
                false => self.retry.failed(self.clock.now()),
            }
            self.note_late_requests();
        }
    }

    fn forget_old(&mut self, since_epoch: Duration, leads: bool) {
        let oldest = self.window_length.window_at(since_epoch.saturating_sub(REPORT_AGE_MAX));
        if leads {
            let known: Vec<_> = self.usage.all().borrow().windows().collect();
            let is_missed = |it: &&WindowId| **it < oldest && !self.replica.is_usage_settled(**it);
            for window in known.iter().filter(is_missed) {
                tracing::warn!(event = "usage_missed", %window, reason = "not settled in time");
                self.caller.metrics().windows_missed.inc();
            }
        }
        self.usage.forget_before(oldest);
        self.late_requests = self.late_requests.split_off(&oldest);
    }

    /// The age at which a window is settled; `None` while too few routers may have found this leader.
    fn settle_age(&self, lead_age: Duration) -> Option<Duration> {
        let usual = SETTLE_DELAY.min(self.usage_late / 2);
        let latest = self.usage_late.saturating_sub(REPORT_TIME).max(usual);
        match lead_age {
            it if it < LEAD_DELAY => None,
            it if it < FRESH_LEAD => Some(latest),
            _ => Some(usual),
        }
    }

    /// Settles the windows whose counts are complete; returns whether no step failed.
    async fn settle(&self, since_epoch: Duration, lead_age: Duration) -> bool {
        let Some(settle_age) = self.settle_age(lead_age) else { return true };
        let is_due = |window: &WindowId| {
            self.window_length.end(*window) + settle_age <= since_epoch
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
                    self.caller.metrics().windows_settled.inc();
                }
                Some(other) => {
                    tracing::warn!(event = "usage_not_settled", %window, answer = ?other);
                }
                None => return false,
            }
        }
        true
    }

    /// Sends the settled windows that have not been accepted yet; returns whether no step failed.
    async fn report(&mut self, since_epoch: Duration) -> bool {
        let open = self.replica.open_usage();
        self.unclosed.retain(|it| open.iter().any(|open| open.window == *it));
        for report in open.into_iter().take(REPORTS_MAX) {
            let window = report.window;
            if !self.unclosed.contains(&window) && !self.send(&report, since_epoch).await {
                return false;
            }
            // A window that is not closed yet is not sent again.
            self.unclosed.insert(window);
            if self.caller.submit(&Command::CloseUsage { window }).await.is_none() {
                return false;
            }
        }
        true
    }

    /// Sends a report; returns whether it needs no repetition.
    async fn send(&self, report: &UsageReport, since_epoch: Duration) -> bool {
        let (window, metrics) = (report.window, self.caller.metrics());
        let age = since_epoch.saturating_sub(self.window_length.end(window));
        if age > REPORT_AGE_MAX {
            tracing::warn!(event = "usage_missed", %window, reason = "not accepted in time");
            metrics.windows_missed.inc();
            return true;
        }
        let began = self.clock.now();
        let called = self
            .caller
            .call(&Subject::Usage, |api, credentials| api.usage_request(credentials, report))
            .await;
        if called != Some(CallResult::Accepted) {
            return false;
        }
        let age = age + self.clock.now().saturating_duration_since(began);
        let is_late = age > self.usage_late;
        metrics.windows_reported.inc();
        metrics.windows_late.inc_by(u64::from(is_late));
        tracing::info!(event = "usage_reported", %window, age_ms = age.as_millis() as u64, is_late);
        true
    }

    /// Counts the requests whose counts came after their window was settled: the report lacks them.
    fn note_late_requests(&mut self) {
        for (report, _) in self.replica.settled_usage() {
            let missing = self.usage.all().borrow().missing_from(&report);
            let noted = self.late_requests.entry(report.window).or_default();
            if missing > *noted {
                let (window, late) = (report.window, missing - *noted);
                tracing::warn!(event = "usage_late_counts", %window, requests = late);
                self.caller.metrics().late_requests.inc_by(late);
                *noted = missing;
            }
        }
    }
}
