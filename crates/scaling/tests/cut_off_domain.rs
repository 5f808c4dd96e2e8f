//! The list no longer names the servers of a failure domain.

#[path = "support/platform.rs"]
#[allow(dead_code)]
mod platform;

use std::time::Duration;

use platform::{Platform, SLOTS};

/// Guards against servers that are given up because the platform cannot be asked for them.
#[test]
fn servers_kept() {
    let mut platform = Platform::exchanged(40, 94);
    platform.requests = Some(45 * SLOTS);
    platform.run(Duration::from_secs(10), |_| {});
    platform.cut_off("c", true);
    platform.run(Duration::from_secs(60), |it| {
        let target = it.targets.iter().find(|it| it.failure_domain == "c");
        assert_eq!(target.map(|it| (it.firm, it.spot)), Some((Some(0), 40)));
    });
    assert!(platform.counts().1 >= 2 * 60, "{:?}", platform.counts());
    platform.cut_off("c", false);
    platform.run(Duration::from_secs(60), |_| {});
    assert_eq!(platform.counts(), (0, 120));
}
