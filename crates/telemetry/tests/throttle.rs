//! Log lines of events that recur with every message.

use std::time::{Duration, Instant};

use telemetry::Throttle;

/// Guards against a log line with each message of a build that writes an unknown form.
#[test]
fn lines_bounded() {
    let throttle = Throttle::new(Duration::from_secs(60));
    let start = Instant::now();
    let at = |ms: u64| throttle.record(start + Duration::from_millis(ms));
    let lines: Vec<_> = (0..480).filter_map(|it| at(it * 250)).collect();
    assert_eq!(lines, [0, 239]);
}
