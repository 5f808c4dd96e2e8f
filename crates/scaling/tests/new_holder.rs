//! Another VM becomes the holder of the duty.

#[path = "support/platform.rs"]
#[allow(dead_code)]
mod platform;

use std::time::Duration;

use platform::{BOOT, Platform, SLOTS};

/// Guards against a new holder that gives up servers which the list does not name yet.
#[test]
fn booting_kept() {
    let mut platform = Platform::exchanged(20, 94);
    platform.requests = Some(20 * SLOTS);
    platform.run(Duration::from_secs(10), |_| {});
    platform.requests = Some(60 * SLOTS);
    platform.run(Duration::from_secs(2), |_| {});
    let before = platform.targeted().1;
    platform.replace_holder(true);
    platform.run(Duration::from_secs(30), |_| {});
    assert!(platform.targeted().1 >= before, "{:?} after {before}", platform.targeted());
}

/// Guards against a new holder that changes what it finds, or leaves what it does not know to be in force.
#[test]
fn targets_sent_once() {
    for has_observed in [true, false] {
        let mut platform = Platform::exchanged(30, 94);
        platform.requests = Some(30 * SLOTS);
        platform.run(Duration::from_secs(10), |_| {});
        platform.orders.clear();
        platform.replace_holder(has_observed);
        platform.run(Duration::from_secs(30), |_| {});
        assert_eq!(platform.counts(), (0, 90));
        assert_eq!(platform.orders.len(), 6, "{:?}", platform.orders);
    }
}

/// Guards against a first holder that waits for servers which nobody has ordered, and against firm servers
/// that are given up because they start at the same time.
#[test]
fn first_holder() {
    let mut platform = Platform::new(&["a", "b", "c"], 30, 94);
    platform.start_firm("b", 20, Duration::from_secs(3));
    platform.planner.took_over(platform.now, true);
    platform.run(Duration::from_secs(6), |_| {});
    assert!(platform.counts().1 >= 60, "{:?}", platform.counts());
    platform.run(Duration::from_secs(6), |_| {});
    assert_eq!(platform.counts(), (0, 90));
}

/// Guards against servers that are given up because a list that grows step by step names them only after the
/// boot time.
#[test]
fn growing_list() {
    let mut platform = Platform::new(&["a", "b", "c"], 30, 94);
    platform.start_firm("b", 20, BOOT - Duration::from_secs(1));
    platform.start_firm("c", 20, BOOT + Duration::from_secs(1));
    platform.planner.took_over(platform.now, true);
    platform.run(Duration::from_secs(20), |_| {});
    assert_eq!(platform.counts(), (0, 90));
}

/// Guards against twice as many servers when the holder changes while both kinds serve.
#[test]
fn amid_exchange() {
    let mut platform = Platform::new(&["a", "b", "c"], 30, 94);
    platform.run(Duration::from_secs(6), |_| {});
    platform.now += BOOT;
    assert_eq!(platform.counts(), (90, 90));
    platform.replace_holder(true);
    platform.run(Duration::from_secs(30), |it| assert!(it.serving() >= 90));
    assert_eq!(platform.counts(), (0, 90));
}

/// Guards against a first holder that does not follow a demand which begins at once.
#[test]
fn first_demand() {
    let mut platform = Platform::new(&["a", "b", "c"], 30, 94);
    platform.planner.took_over(platform.now, true);
    platform.requests = Some(70 * SLOTS);
    platform.run(Duration::from_secs(6), |it| assert!(it.serving() >= 90));
    // 70 busy servers fill 0.6 of 117, and half as many are the reserve.
    assert!(platform.counts().1 >= 175, "{:?}", platform.counts());
}
