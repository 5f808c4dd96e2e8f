//! The demand of a day rises and falls slowly.

#[path = "support/platform.rs"]
#[allow(dead_code)]
mod platform;

use std::time::Duration;

use platform::{Platform, SLOTS};

/// The time after which servers that are not needed must be on the way to be given up.
const GIVEN_UP_AFTER_S: f64 = 120.0;

/// The servers that the requests would fill at a time.
fn busy(seconds: f64) -> f64 {
    40.0 - 25.0 * (seconds / 600.0 * std::f64::consts::TAU).cos()
}

/// Guards against servers that are fewer than the demand needs, or far more, at any time of a day.
#[test]
fn followed() {
    let mut platform = Platform::exchanged(30, 94);
    platform.run(Duration::from_secs(1_200), |it| {
        let now = busy(it.seconds());
        let highest = busy(it.seconds() - GIVEN_UP_AFTER_S).max(now);
        it.requests = Some((now * f64::from(SLOTS)) as u32);
        let spot = f64::from(it.counts().1);
        assert!(spot * 2.0 / 3.0 >= now, "{spot} serve and {now} are busy");
        assert!(spot <= 90.0_f64.max(highest * 3.0), "{spot} serve and {now} are busy");
    });
}
