//! Which part of prompts causes crashes, by what each part explains.

use std::{collections::BTreeSet, time::Instant};

use super::{PartSuspects, REPORT_TIME, Record};
use crate::{crash_log::count_moments, quarantine::CrashSite};

/// The number of moments with crashes after which a part is refused. Sound parts are on crashed
/// servers by chance more often than single requests, as many requests share them.
const MOMENTS_MIN: usize = 4;
/// The same for a part that was answered before.
const MOMENTS_MIN_IF_ANSWERED: usize = 6;
/// The same for a part that was never answered, whatever else crashed meanwhile.
const MOMENTS_CERTAIN: usize = 8;
/// The number of crashes of a part that was never answered for which half of the moments are enough: if
/// requests with it come often, it ends all servers at almost the same time.
const CRASHES_CERTAIN: usize = 8;
/// Crashes of one server may be its own fault, so this many servers must have crashed.
const SERVERS_MIN: usize = 3;

impl PartSuspects {
    /// The part that explains most crashes, if they are enough to refuse it.
    ///
    /// A part that is known to have been answered comes last. Of parts that explain the same, the
    /// one that comes later in the prompts is in fewer of them.
    pub(super) fn likeliest_cause(
        &self,
        now: Instant,
        explained: &BTreeSet<CrashSite>,
    ) -> Option<(u64, usize)> {
        let suspects = self.records.iter().filter(|it| !it.1.crashes.is_empty());
        let suspects = suspects.filter(|it| !it.1.is_refused(now));
        let likely = suspects.filter_map(|(part, record)| {
            let crashes = self.settled_crashes(now, record, explained);
            let is_unproven = record.answered_at.is_none();
            let rank = (is_unproven, crashes.len(), record.depth, *part);
            self.is_cause(*part, record, &crashes, explained).then_some(rank)
        });
        likely.max().map(|(_, crashes, _, part)| (part, crashes))
    }

    /// The unexplained crashes of a part that all routers have reported, with the time of each.
    fn settled_crashes(
        &self,
        now: Instant,
        record: &Record,
        explained: &BTreeSet<CrashSite>,
    ) -> Vec<(CrashSite, Instant)> {
        let crashes = record.crashes.iter().filter(|it| !explained.contains(it));
        let crashes = crashes.filter_map(|it| Some((*it, self.log.recorded_at(*it)?)));
        crashes.filter(|it| it.1 + REPORT_TIME <= now).collect()
    }

    /// Whether the crashes show that the part causes them.
    fn is_cause(
        &self,
        part: u64,
        record: &Record,
        crashes: &[(CrashSite, Instant)],
        explained: &BTreeSet<CrashSite>,
    ) -> bool {
        let servers: BTreeSet<_> = crashes.iter().map(|it| it.0.server_hash).collect();
        if crashes.len() < MOMENTS_MIN || servers.len() < SERVERS_MIN {
            return false;
        }
        let is_unproven = record.answered_at.is_none();
        let is_certain = is_unproven && moments(crashes) >= MOMENTS_CERTAIN;
        (is_certain || self.is_on_most(record, crashes, explained))
            && self.others_are_answered(part, record, crashes)
    }

    /// Whether the part was on most of the servers that crashed from the first to the last of
    /// `crashes`, and on enough of them.
    ///
    /// Servers that fail together have a common cause, so of simultaneous crashes those with the part
    /// count only if they are the majority.
    fn is_on_most(
        &self,
        record: &Record,
        crashes: &[(CrashSite, Instant)],
        explained: &BTreeSet<CrashSite>,
    ) -> bool {
        let is_on_most_near =
            |it: &&(CrashSite, Instant)| self.log.is_on_most_near(it.0, &record.crashes, explained);
        let counted: Vec<_> = crashes.iter().filter(is_on_most_near).copied().collect();
        let times = || counted.iter().map(|it| it.1);
        let (Some(first), Some(last)) = (times().min(), times().max()) else { return false };
        let all = self.log.between(first, last).filter(|it| !explained.contains(&it.0));
        let all: Vec<_> = all.collect();
        let counted_moments = moments(&counted);
        let is_enough = match record.answered_at {
            None if counted.len() >= CRASHES_CERTAIN => counted_moments >= MOMENTS_MIN / 2,
            None => counted_moments >= MOMENTS_MIN,
            Some(_) => counted_moments >= MOMENTS_MIN_IF_ANSWERED,
        };
        is_enough && 2 * counted_moments >= moments(&all)
    }

    /// Whether requests without the part are answered. If all fail that was answered before, the
    /// servers are to blame.
    fn others_are_answered(
        &self,
        part: u64,
        record: &Record,
        crashes: &[(CrashSite, Instant)],
    ) -> bool {
        let first_crash = crashes.iter().map(|it| it.1).min();
        let since = record.answered_at.and(first_crash);
        let mut others = self.records.iter().filter(|it| *it.0 != part);
        others.any(|it| it.1.answered_at > since)
    }
}

fn moments(crashes: &[(CrashSite, Instant)]) -> usize {
    count_moments(crashes.iter().map(|it| it.1).collect())
}
