//! The platform takes all spot servers of a failure domain back.

#[path = "support/platform.rs"]
#[allow(dead_code)]
mod platform;

use std::time::Duration;

use platform::{Platform, SLOTS};

/// Guards against too few servers until the failure domain has some again.
#[test]
fn ordered_elsewhere() {
    let mut platform = Platform::exchanged(40, 94);
    platform.requests = Some(45 * SLOTS);
    platform.run(Duration::from_secs(10), |_| {});
    let before = platform.counts().1;
    platform.reclaim("b", Duration::from_secs(10));
    let end = platform.now + Duration::from_secs(9);
    platform.run(Duration::from_secs(9), |it| {
        assert!(it.serving() >= 75, "{}", it.serving());
        if it.now + Duration::from_secs(1) >= end {
            assert!(it.counts().1 >= before, "{:?}", it.counts());
        }
    });
    assert_eq!(platform.counts().0, 0);
}

/// Guards against a failure domain that is never used again, and additional servers that stay.
#[test]
fn returned_to() {
    let mut platform = Platform::exchanged(40, 94);
    platform.requests = Some(45 * SLOTS);
    platform.run(Duration::from_secs(10), |_| {});
    platform.reclaim("b", Duration::from_secs(10));
    platform.run(Duration::from_secs(40), |_| {});
    let spot: Vec<_> = platform.targets.iter().map(|it| it.spot).collect();
    assert_eq!(spot, [40, 40, 40]);
    assert_eq!(platform.counts(), (0, 120));
}

/// Two failure domains are reclaimed one after the other. Guards against a reserve that is not renewed.
#[test]
fn two_in_turn() {
    let mut platform = Platform::exchanged(40, 94);
    platform.requests = Some(45 * SLOTS);
    platform.run(Duration::from_secs(10), |_| {});
    platform.reclaim("b", Duration::from_secs(20));
    platform.run(Duration::from_secs(8), |_| {});
    platform.reclaim("c", Duration::from_secs(20));
    platform.run(Duration::from_secs(12), |it| assert!(it.serving() >= 75, "{}", it.serving()));
}
