//! The manual clock moves only when told to, and for all of its clones.

use std::time::Duration;

use clock::{Clock, ManualClock};

#[test]
fn clones_share_time() {
    let clock = ManualClock::default();
    let clone = clock.clone();
    let start = clock.now();

    clock.advance(Duration::from_secs(3));

    assert_eq!(clone.now() - start, Duration::from_secs(3));
    assert_eq!(clone.now(), clock.now());
}
