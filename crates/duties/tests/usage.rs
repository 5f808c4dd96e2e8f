//! Counts of begun requests, from the routers to the holder.

use std::{collections::BTreeMap, time::Duration};

use duties::{
    CounterId, UsageCounter, UsageLedger, UsageReport, UsageRows, WindowId, WindowLength,
};
use proptest::prelude::*;

const WINDOW: WindowId = WindowId(353_445_120);

fn counter(id: u64) -> UsageCounter {
    UsageCounter::new(CounterId(id))
}

fn totals(counts: &[(&str, u64)]) -> BTreeMap<String, u64> {
    counts.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect()
}

/// Guards against requests that are counted in a neighbouring window.
#[test]
fn window_borders() {
    let length = WindowLength(Duration::from_secs(5));
    let begin = Duration::from_secs(353_445_120 * 5);
    let moment = Duration::from_millis(1);
    assert_eq!(length.window_at(begin), WINDOW);
    assert_eq!(length.window_at(begin - moment), WindowId(WINDOW.0 - 1));
    assert_eq!(length.end(WINDOW), begin + Duration::from_secs(5));
    assert_eq!(length.window_at(length.end(WINDOW) - moment), WINDOW);
}

/// Guards against requests that count twice because their rows are told twice or by two control VMs.
#[test]
fn merged_twice() {
    let (mut counter, mut ledger) = (counter(1), UsageLedger::default());
    counter.record(WINDOW, "a");
    let first = counter.changes_since(0).expect("a change");
    counter.record(WINDOW, "a");
    counter.record(WINDOW, "b");
    let second = counter.changes_since(0).expect("changes");
    for rows in [&second, &first, &second, &first] {
        ledger.merge(rows);
    }
    assert_eq!(ledger.totals(WINDOW), totals(&[("a", 2), ("b", 1)]));
    let mut other = UsageLedger::default();
    ledger.rows(WINDOW).iter().for_each(|it| other.merge(it));
    assert_eq!(other.totals(WINDOW), ledger.totals(WINDOW));
}

/// Guards against a restarted router whose new counts hide those of its former process.
#[test]
fn restarted_router() {
    let mut ledger = UsageLedger::default();
    for id in [1, 2] {
        let mut counter = counter(id);
        counter.record(WINDOW, "a");
        ledger.merge(&counter.changes_since(0).expect("a change"));
    }
    assert_eq!(ledger.totals(WINDOW), totals(&[("a", 2)]));
}

/// Guards against summaries that repeat all counts, and against changes that none of them has.
#[test]
fn changes_only() {
    let mut counter = counter(1);
    assert_eq!(counter.changes_since(0), None);
    counter.record(WINDOW, "a");
    counter.record(WINDOW, "b");
    let known = counter.last_change();
    assert_eq!(counter.changes_since(known), None);
    counter.record(WINDOW, "b");
    let rows = counter.changes_since(known).expect("a change");
    assert_eq!(rows.windows.len(), 1);
    assert_eq!(rows.windows[0].counts, [("b".to_owned(), 2)]);
    let all = counter.changes_since(0).expect("all counts");
    assert_eq!(all.windows[0].counts, [("a".to_owned(), 1), ("b".to_owned(), 2)]);
}

/// Guards against counts that are kept for ever.
#[test]
fn old_windows() {
    let (mut counter, mut ledger) = (counter(1), UsageLedger::default());
    for window in [WINDOW, WindowId(WINDOW.0 + 1)] {
        counter.record(window, "a");
    }
    ledger.merge(&counter.changes_since(0).expect("changes"));
    counter.forget_before(WindowId(WINDOW.0 + 1));
    ledger.forget_before(WindowId(WINDOW.0 + 1));
    assert_eq!(ledger.windows().collect::<Vec<_>>(), [WindowId(WINDOW.0 + 1)]);
    assert_eq!(counter.changes_since(0).expect("a change").windows.len(), 1);
}

/// Guards against late counts that nobody notices.
#[test]
fn missing_counts() {
    let (mut counter, mut ledger) = (counter(1), UsageLedger::default());
    ["a", "a", "b"].iter().for_each(|it| counter.record(WINDOW, it));
    ledger.merge(&counter.changes_since(0).expect("changes"));
    let settled = |counts| UsageReport { window: WINDOW, counts: totals(counts) };
    assert_eq!(ledger.missing_from(&settled(&[("a", 2), ("b", 1)])), 0);
    assert_eq!(ledger.missing_from(&settled(&[("a", 1)])), 2);
    // A holder that knows less than the one which settled the window misses nothing.
    assert_eq!(ledger.missing_from(&settled(&[("a", 9), ("b", 1)])), 0);
}

proptest! {
    /// Guards against sums that depend on which rows arrive, how often and in which order, as long as the last
    /// ones of each router do.
    #[test]
    fn any_order(
        requests in prop::collection::vec((0..4u64, 0..3u64, 0..3u8), 1..80),
        orders in prop::collection::vec(any::<prop::sample::Index>(), 0..160),
    ) {
        let mut counters: Vec<_> = (0..4).map(counter).collect();
        let mut acknowledged = [0; 4];
        let mut told: Vec<UsageRows> = Vec::new();
        let mut truth: BTreeMap<WindowId, BTreeMap<String, u64>> = BTreeMap::new();
        for (router, window, workspace) in requests {
            let (window, workspace) = (WindowId(WINDOW.0 + window), format!("w{workspace}"));
            let idx = router as usize;
            counters[idx].record(window, &workspace);
            told.extend(counters[idx].changes_since(acknowledged[idx]));
            // Every other summary is lost, and what it had is sent again.
            if told.len().is_multiple_of(2) {
                acknowledged[idx] = counters[idx].last_change();
            }
            *truth.entry(window).or_default().entry(workspace).or_default() += 1;
        }
        let mut ledger = UsageLedger::default();
        orders.iter().for_each(|it| ledger.merge(it.get(&told)));
        told.iter().rev().for_each(|it| ledger.merge(it));
        orders.iter().for_each(|it| ledger.merge(it.get(&told)));
        for (window, counts) in &truth {
            prop_assert_eq!(&ledger.totals(*window), counts);
        }
    }
}
