//! An uneven demand of constant height.

#[path = "support/platform.rs"]
#[allow(dead_code)]
mod platform;

use std::time::Duration;

use platform::{Platform, SLOTS};

/// Guards against targets that go up and down with chance.
#[test]
fn unchanged() {
    let mut platform = Platform::exchanged(40, 94);
    let mut noise = 1_u32;
    let mut step = |it: &mut Platform| {
        noise = noise.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        it.requests = Some(40 * SLOTS + (noise >> 16) % (20 * SLOTS));
    };
    platform.run(Duration::from_secs(120), &mut step);
    let first = platform.targeted().1;
    let mut last = first;
    platform.run(Duration::from_secs(600), |it| {
        step(it);
        assert!(it.targeted().1 >= last, "{:?} after {last}", it.targeted());
        last = it.targeted().1;
    });
    assert!(last <= first + first / 10, "{last} after {first}");
    assert_eq!(platform.targeted().0, 0);
}

/// Guards against changes while no router reports its work.
#[test]
fn without_figures() {
    let mut platform = Platform::exchanged(40, 94);
    platform.requests = Some(10 * SLOTS);
    platform.run(Duration::from_secs(50), |_| {});
    let targets = platform.targets.clone();
    platform.requests = None;
    platform.run(Duration::from_secs(300), |it| assert_eq!(it.targets, targets));
}
