//! The pauses between failed attempts.

use std::time::{Duration, Instant};

use duties::RetryPause;

/// Guards against a storm of calls to a platform that fails them, and against a long pause once it is back.
#[test]
fn growing_pauses() {
    let (mut retry, mut now) = (RetryPause::default(), Instant::now());
    assert!(retry.is_over(now));
    for pause_ms in [250, 500, 1_000, 2_000, 2_000] {
        retry.failed(now);
        let pause = Duration::from_millis(pause_ms);
        assert!(!retry.is_over(now + pause - Duration::from_millis(1)), "{pause_ms}");
        now += pause;
        assert!(retry.is_over(now), "{pause_ms}");
    }
    retry.succeeded();
    assert!(retry.is_over(now));
    retry.failed(now);
    assert!(retry.is_over(now + Duration::from_millis(250)));
}
