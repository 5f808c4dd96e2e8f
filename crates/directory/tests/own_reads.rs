//! Reads of the platform's list by many routers at once, in virtual time.

use std::time::{Duration, Instant};

use directory::{OwnRead, OwnReads};

const TICK: Duration = Duration::from_millis(10);
const PERIOD: Duration = Duration::from_secs(1);
/// The calls that the platform accepts each second from all processes together.
const CALLS_PER_S: usize = 47;
/// The calls of one read.
const PAGES: usize = 4;
const SIZES: [usize; 3] = [30, 100, 300];

/// What came of the calls of all routers.
#[derive(Debug, Default)]
struct Calls {
    accepted: usize,
    refused: usize,
    /// The routers that have read a list.
    readers: usize,
}

/// Routers that start together, each with its number as the source of its random shares.
fn simulate(routers: usize, seconds: u64, shared_from: Option<Duration>) -> Calls {
    let start = Instant::now();
    let mut all = vec![OwnReads::new(PERIOD); routers];
    for (idx, router) in (0..).zip(&mut all) {
        router.await_control(start, share(idx, 0));
    }
    let mut has_read = vec![false; routers];
    let mut calls = Calls::default();
    let (mut second, mut accepted_in_second) = (0, 0);
    for tick in 0..seconds * 100 {
        let elapsed = TICK * tick as u32;
        let now = start + elapsed;
        if elapsed.as_secs() != second {
            (second, accepted_in_second) = (elapsed.as_secs(), 0);
        }
        let is_shared = shared_from.is_some_and(|it| elapsed >= it);
        for (idx, router) in all.iter_mut().enumerate() {
            if is_shared {
                router.shared_list(Some(now));
            }
            if !router.is_due(now) {
                continue;
            }
            let left = CALLS_PER_S - accepted_in_second;
            let accepted = PAGES.min(left);
            accepted_in_second += accepted;
            calls.accepted += accepted;
            calls.refused += usize::from(accepted < PAGES);
            has_read[idx] |= accepted == PAGES;
            let result = if accepted < PAGES { OwnRead::Failed } else { OwnRead::Succeeded };
            router.ended(now, result, share(idx as u64, tick));
        }
    }
    calls.readers = has_read.into_iter().filter(|it| *it).count();
    calls
}

/// A number from 0 to 1 that looks random.
fn share(router: u64, tick: u64) -> f64 {
    let mixed = (router << 32 | tick).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ mixed >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9) as u32 as f64 / f64::from(u32::MAX)
}

/// Guards against routers that all read the list when they start together, although control VMs provide it
/// a moment later.
#[test]
fn none_beside_control() {
    for routers in SIZES {
        let calls = simulate(routers, 10, Some(Duration::from_millis(400)));
        assert_eq!((calls.accepted, calls.refused), (0, 0), "{routers} routers");
    }
}

/// Guards against a first read that begins only when the requests that wait for it are refused, after a
/// second.
#[test]
fn first_read_early() {
    let start = Instant::now();
    let latest = start + Duration::from_millis(900);
    for share in [0.0, 0.5, 1.0] {
        let mut reads = OwnReads::new(PERIOD);
        reads.await_control(start, share);
        assert!(reads.is_due(latest), "share {share}");
        assert!(start + reads.time_for_control(start) <= latest, "share {share}");
        reads.shared_list(Some(start));
        assert_eq!(reads.time_for_control(start), PERIOD);
    }
}

/// Guards against routers that start together and take from the platform's rate what the control VMs need to
/// read a list of many pages.
#[test]
fn first_reads_spread() {
    for routers in SIZES {
        let start = Instant::now();
        let due_after_a_second = (0..routers as u64).filter(|idx| {
            let mut reads = OwnReads::new(PERIOD);
            reads.await_control(start, share(*idx, 0));
            reads.set_routers(routers);
            reads.is_due(start + Duration::from_secs(1))
        });
        let calls = due_after_a_second.count();
        assert!(calls <= CALLS_PER_S / 2, "{routers} routers: {calls} reads in the first second");
    }
}

/// Guards against routers that keep one another from reading the list while no control VM provides it.
#[test]
fn limit_shared() {
    for routers in SIZES {
        let calls = simulate(routers, 120, None);
        assert_eq!(calls.readers, routers, "{routers} routers: {calls:?}");
        assert!(calls.refused <= calls.accepted / PAGES, "{routers} routers: {calls:?}");
    }
}
