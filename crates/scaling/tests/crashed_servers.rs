//! Servers crash and come back by themselves.

#[path = "support/platform.rs"]
#[allow(dead_code)]
mod platform;

use std::time::Duration;

use platform::{Platform, SLOTS};

/// Guards against crashed servers that are taken for reclaimed ones.
#[test]
fn not_replaced() {
    let mut platform = Platform::exchanged(40, 94);
    platform.requests = Some(40 * SLOTS);
    platform.run(Duration::from_secs(10), |_| {});
    let targets = platform.targets.clone();
    platform.crash("a", 9, Duration::from_secs(20));
    platform.crash("b", 30, Duration::from_secs(5));
    platform.run(Duration::from_secs(30), |it| assert_eq!(it.targets, targets));
}
