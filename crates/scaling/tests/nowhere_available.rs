//! No spot servers are available in any failure domain.

#[path = "support/platform.rs"]
#[allow(dead_code)]
mod platform;

use std::time::Duration;

use platform::{Platform, SLOTS};

/// Guards against a demand that is left without servers, and against firm servers beyond what it needs.
#[test]
fn firm_ordered() {
    let mut platform = Platform::exchanged(40, 94);
    platform.requests = Some(60 * SLOTS);
    platform.run(Duration::from_secs(20), |_| {});
    platform.exhaust(Duration::from_secs(30));
    platform.reclaim("a", Duration::from_secs(30));
    platform.reclaim("b", Duration::from_secs(30));
    platform.run(Duration::from_secs(6), |_| {});
    let (firm, spot) = platform.counts();
    assert!((100..=110).contains(&(firm + spot)), "{firm} firm and {spot} spot servers");
    platform.run(Duration::from_secs(20), |it| {
        assert!(it.targeted().0 <= firm, "{:?}", it.targeted());
        assert!(it.serving() >= 100, "{}", it.serving());
    });
}

/// Guards against firm servers that stay once spot servers serve again.
#[test]
fn firm_given_up() {
    let mut platform = Platform::exchanged(40, 94);
    platform.requests = Some(60 * SLOTS);
    platform.run(Duration::from_secs(20), |_| {});
    platform.exhaust(Duration::from_secs(10));
    platform.reclaim("a", Duration::from_secs(10));
    platform.reclaim("b", Duration::from_secs(10));
    platform.run(Duration::from_secs(60), |_| {});
    let (firm, spot) = platform.counts();
    assert!(firm == 0 && spot >= 150, "{firm} firm and {spot} spot servers");
}

/// Without spot servers from the start, the firm ones are kept.
#[test]
fn firm_kept() {
    let mut platform = Platform::new(&["a", "b", "c"], 20, 94);
    platform.exhaust(Duration::from_secs(60));
    platform.run(Duration::from_secs(60), |it| assert_eq!(it.counts(), (60, 0)));
}
