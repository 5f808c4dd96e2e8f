//! When a router that hears nothing checks whether it is cut off.

use std::time::{Duration, Instant};

use policy::SilenceWatch;

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Guards against probes of a router without requests, or of one that hears from any server.
#[test]
fn only_in_silence() {
    let start = Instant::now();
    let mut watch = SilenceWatch::default();
    assert_eq!(watch.probe_due(), None);
    watch.attempt_began(start);
    assert_eq!(watch.probe_due(), Some(start + ms(500)));
    watch.attempt_began(start + ms(300));
    watch.heard(start + ms(400));
    assert_eq!(watch.probe_due(), Some(start + ms(900)));
    watch.attempt_ended();
    assert_eq!(watch.probe_due(), Some(start + ms(900)));
    watch.attempt_ended();
    assert_eq!(watch.probe_due(), None);
    watch.heard(start + ms(1_000));
    assert_eq!(watch.probe_due(), None);
}

/// Guards against a cut that is noticed only after the 3 s that the users allow: one request that is sent
/// within the first second must do, with a probe that takes its whole timeout of 1 s.
#[test]
fn soon_enough() {
    let start = Instant::now();
    let mut watch = SilenceWatch::default();
    watch.attempt_began(start + ms(1_000));
    let due = watch.probe_due().expect("a request is in flight");
    assert!(due + ms(1_000) < start + ms(3_000));
}

/// Guards against slow servers that are probed without pause.
#[test]
fn spaced_probes() {
    let start = Instant::now();
    let mut watch = SilenceWatch::default();
    watch.attempt_began(start);
    watch.probed(start + ms(500));
    assert_eq!(watch.probe_due(), Some(start + ms(1_500)));
    watch.heard(start + ms(1_400));
    assert_eq!(watch.probe_due(), Some(start + ms(1_900)));
}
