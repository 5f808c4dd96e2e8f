//! Before any demand, firm servers are exchanged for spot servers without a change of their number.

#[path = "support/platform.rs"]
#[allow(dead_code)]
mod platform;

use std::time::Duration;

use platform::{Platform, SLOTS};

/// Guards against caches that are lost because fewer servers than before serve for a moment.
#[test]
fn number_kept() {
    let mut platform = Platform::new(&["a", "b", "c"], 47, 94);
    platform.run(Duration::from_secs(20), |it| assert!(it.serving() >= 3 * 47));
    assert_eq!(platform.counts(), (0, 3 * 47));
}

/// Guards against orders above the limit of a failure domain, which counts both kinds.
#[test]
fn tight_limit() {
    let mut platform = Platform::new(&["a", "b", "c"], 47, 50);
    platform.run(Duration::from_secs(200), |it| assert!(it.serving() >= 3 * 47));
    assert_eq!(platform.counts(), (0, 3 * 47));
}

/// The firm servers fill the limit. Guards against an exchange that never begins.
#[test]
fn no_room() {
    let mut platform = Platform::new(&["a", "b", "c"], 40, 40);
    platform.run(Duration::from_secs(200), |it| assert!(it.serving() >= 3 * 36));
    assert_eq!(platform.counts(), (0, 3 * 40));
}

/// With a single failure domain, the loss of its spot servers would leave none.
#[test]
fn single_domain() {
    let mut platform = Platform::new(&["a"], 10, 40);
    platform.run(Duration::from_secs(60), |it| assert_eq!(it.counts(), (10, 0)));
}

/// The demand grows while both kinds serve, and the limit leaves no room for more. Guards against firm servers
/// that are kept for the reserve.
#[test]
fn amid_burst() {
    for busy in [50, 110] {
        let mut platform = Platform::new(&["a", "b", "c"], 47, 94);
        platform.planner.took_over(platform.now, true);
        platform.run(Duration::from_secs(2), |_| {});
        platform.requests = Some(busy * SLOTS);
        platform.run(Duration::from_secs(14), |it| assert!(it.serving() >= 3 * 47));
        assert_eq!(platform.counts().0, 0, "{busy} servers are busy");
        assert!(platform.counts().1 >= 3 * 47, "{:?}", platform.counts());
    }
}
