//! Checks that the manual clock advances only on request and that its clones share the time.

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
