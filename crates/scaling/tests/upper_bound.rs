//! The demand needs more servers than may be ordered.

#[path = "support/platform.rs"]
#[allow(dead_code)]
mod platform;

use std::time::Duration;

use platform::{Platform, SLOTS};

/// Guards against orders above the limit, which the platform refuses; the platform of the test checks each one.
#[test]
fn respected() {
    let mut platform = Platform::new(&["a", "b", "c"], 20, 25);
    platform.run(Duration::from_secs(60), |_| {});
    assert_eq!(platform.counts(), (0, 60));
    platform.requests = Some(200 * SLOTS);
    platform.run(Duration::from_secs(20), |_| {});
    assert_eq!(platform.counts(), (0, 75));
    platform.exhaust(Duration::from_secs(20));
    platform.reclaim("a", Duration::from_secs(20));
    platform.run(Duration::from_secs(10), |_| {});
    assert_eq!(platform.counts().0 + platform.counts().1, 75);
    platform.run(Duration::from_secs(120), |_| {});
    assert_eq!(platform.counts(), (0, 75));
}
