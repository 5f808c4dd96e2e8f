//! What the planner knows of one failure domain.

use std::time::{Duration, Instant};

use crate::DomainServers;

/// The time for which a refusal counts; refused orders are repeated more often.
const REFUSAL_TTL: Duration = Duration::from_millis(2_500);
/// The time after spot servers have left in which none are expected to be available.
const LEFT_TTL: Duration = Duration::from_secs(2);
/// Spot servers are likely to be available after this time without a refusal or a departure.
const UNDISTURBED_TIME: Duration = Duration::from_secs(10);
/// The time beyond the boot time that a server may take until the list names it.
const LIST_DELAY: Duration = Duration::from_secs(2);
/// The time for which a lower number must have been enough before it is ordered.
const LOWER_AFTER: Duration = Duration::from_secs(15);

/// One failure domain of a pool.
#[derive(Debug, Clone)]
pub(crate) struct Domain {
    /// The servers in the list.
    pub(crate) listed: DomainServers,
    /// Whether the newest list names the failure domain.
    pub(crate) is_listed: bool,
    /// The servers that the domain is to have if all domains are available.
    pub(crate) share: u32,
    /// The share before the demand changed it.
    pub(crate) first_share: u32,
    /// The firm servers that are ordered.
    pub(crate) firm: u32,
    /// The spot servers that are ordered.
    pub(crate) spot: u32,
    refused_at: Option<Instant>,
    leaving_at: Option<Instant>,
    /// Since when the spot servers that do not serve yet have been expected.
    expected_since: Instant,
    /// When firm servers were last added.
    firm_added_at: Option<Instant>,
    /// Since when fewer spot servers than are ordered would be enough.
    lower_since: Option<Instant>,
}

impl Domain {
    /// A failure domain whose servers are kept as they are.
    pub(crate) fn new(now: Instant, listed: DomainServers, share: u32) -> Domain {
        Domain {
            share,
            first_share: share,
            firm: listed.firm,
            spot: listed.spot + listed.spot_leaving,
            listed,
            is_listed: true,
            refused_at: None,
            leaving_at: None,
            expected_since: now,
            firm_added_at: None,
            lower_since: None,
        }
    }

    /// Replaces the servers by those of a list; `None` if it does not name the failure domain.
    pub(crate) fn observe(&mut self, now: Instant, listed: Option<&DomainServers>) {
        self.is_listed = listed.is_some();
        self.listed = listed.cloned().unwrap_or_default();
        // Only the departure of most servers counts: single ones also leave when their number is reduced or
        // their software is replaced.
        if self.listed.spot_leaving > self.listed.spot {
            self.leaving_at = Some(now);
            self.expected_since = now;
        }
        if self.listed.spot >= self.spot {
            self.expected_since = now;
        }
    }

    /// Records that no spot servers are available.
    pub(crate) fn refused(&mut self, now: Instant) {
        self.refused_at = Some(now);
        self.expected_since = now;
    }

    /// Whether spot servers that are ordered here are expected to serve after the boot time.
    pub(crate) fn is_available(&self, now: Instant, boot: Duration) -> bool {
        let is_recent = |at: Option<Instant>, ttl| at.is_some_and(|it| now < it + ttl);
        let is_late = now >= self.expected_since + boot + LIST_DELAY;
        let is_refused = is_recent(self.refused_at, REFUSAL_TTL);
        let is_leaving = is_recent(self.leaving_at, LEFT_TTL);
        let is_missing = is_late && self.is_short();
        self.is_listed && !is_refused && !is_leaving && !is_missing
    }

    /// Whether spot servers have neither been refused nor left for a while.
    pub(crate) fn is_undisturbed(&self, now: Instant) -> bool {
        let last = self.refused_at.max(self.leaving_at);
        last.is_none_or(|it| now >= it + UNDISTURBED_TIME)
    }

    /// Whether so many spot servers are missing that crashes alone are no likely reason.
    fn is_short(&self) -> bool {
        self.listed.spot < self.spot - self.spot / 4
    }

    /// The spot servers that have been ordered and will serve.
    pub(crate) fn booting(&self, now: Instant, boot: Duration) -> u32 {
        let is_late = now >= self.expected_since + boot + LIST_DELAY;
        if is_late || !self.is_available(now, boot) {
            return 0;
        }
        self.spot.saturating_sub(self.listed.spot)
    }

    /// The spot servers that there is room for beside the firm ones.
    pub(crate) fn room(&self, servers_max: u32) -> u32 {
        servers_max.saturating_sub(self.firm.max(self.listed.firm))
    }

    /// Adds the firm servers that the list names for the first time.
    pub(crate) fn adopt_firm(&mut self) {
        let more = self.listed.firm.saturating_sub(self.firm);
        self.firm += more;
        self.share += more;
        self.first_share += more;
    }

    /// Whether the firm servers that are ordered here serve or will do so.
    pub(crate) fn has_firm(&self, now: Instant, boot: Duration) -> bool {
        self.is_listed || self.firm_added_at.is_some_and(|it| now < it + boot + LIST_DELAY)
    }

    /// Sets the number of firm servers to order.
    pub(crate) fn set_firm(&mut self, now: Instant, count: u32) {
        if count > self.firm {
            self.firm_added_at = Some(now);
        }
        self.firm = count;
    }

    /// Sets the number of spot servers to order: raises it at once, and lowers it after [`LOWER_AFTER`].
    pub(crate) fn set_spot(&mut self, now: Instant, count: u32, count_max: u32) {
        let count = count.min(count_max);
        if count > self.spot {
            self.expected_since = now;
            self.spot = count;
        }
        if count == self.spot {
            self.lower_since = None;
            return;
        }
        let since = *self.lower_since.get_or_insert(now);
        if now >= since + LOWER_AFTER || self.spot > count_max {
            self.spot = count;
            self.lower_since = None;
        }
    }
}
