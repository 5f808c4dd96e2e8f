//! Guards against a stop that has to wait for a blocked step of the start, such as the retries on a
//! full disk. The test is alone in its file, since the signal reaches the whole test process.

use std::sync::mpsc;

use daemon::{Signals, Start, StoppedEarly};
use signal_hook::{consts::SIGTERM, low_level::raise};

/// Guards against a stop request that is seen only after the step has ended, which may be never.
#[test]
fn stop_during_step() {
    let signals = Signals::install().expect("handlers can be installed");
    let logs = telemetry::init_logs(&telemetry::LogSettings::default()).expect("no logs yet");
    let start = Start::new(signals, &logs);
    assert_eq!(start.run_step("count", || 7).expect("no stop was requested"), 7);

    let (hold, held) = mpsc::channel::<()>();
    let blocked = move || {
        raise(SIGTERM).expect("a handler is installed");
        held.recv()
    };
    let result = start.run_step("wait for room", blocked);
    let error = result.expect_err("a stop was requested").downcast::<StoppedEarly>();
    assert_eq!(error.expect("the stop is the reason"), StoppedEarly { step: "wait for room" });
    drop(hold);
}
