//! Many users come at once: the number of servers follows at once, and is reduced slowly afterwards.

#[path = "support/platform.rs"]
#[allow(dead_code)]
mod platform;

use std::time::Duration;

use platform::{Platform, SLOTS};

/// Guards against a burst that waits for servers longer than one boot time.
#[test]
fn grown_in_time() {
    let mut platform = Platform::exchanged(20, 94);
    platform.requests = Some(20 * SLOTS);
    platform.run(Duration::from_secs(5), |_| {});
    platform.requests = Some(100 * SLOTS);
    platform.run(Duration::from_secs(8), |_| {});
    assert!(platform.counts().1 >= 150, "{:?}", platform.counts());
    assert_eq!(platform.counts().0, 0);
}

/// Guards against servers that are given up between two bursts.
#[test]
fn kept_between_bursts() {
    let mut platform = Platform::exchanged(20, 94);
    let mut before = 0;
    for _ in 0..6 {
        platform.requests = Some(100 * SLOTS);
        platform.run(Duration::from_secs(8), |_| {});
        assert!(platform.targeted().1 >= before, "{:?}", platform.targeted());
        before = platform.targeted().1;
        platform.requests = Some(10 * SLOTS);
        platform.run(Duration::from_secs(25), |_| {});
    }
}

/// Guards against a burst after which all additional servers are paid for forever.
#[test]
fn given_up_later() {
    let mut platform = Platform::exchanged(20, 94);
    platform.requests = Some(100 * SLOTS);
    platform.run(Duration::from_secs(10), |_| {});
    platform.requests = Some(10 * SLOTS);
    platform.run(Duration::from_secs(600), |_| {});
    let (firm, spot) = platform.counts();
    assert!(firm == 0 && (25..=32).contains(&spot), "{firm} {spot}");
}
