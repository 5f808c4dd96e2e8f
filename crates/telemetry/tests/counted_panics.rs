//! The metrics tell how many panics were contained. The count is the process's, so the test is alone.

use futures::executor::block_on;
use prometheus::Registry;
use telemetry::{contain, register_process_metrics, render_metrics};

/// Guards against panics that nobody notices because they end no process.
#[test]
fn panics_counted() {
    let registry = Registry::new();
    register_process_metrics(&registry).expect("an empty registry");
    let peer = ([127, 0, 0, 1], 1).into();
    for count in 0..3 {
        let line = format!("\ntasks_panicked {count}\n");
        let metrics = render_metrics(&registry);
        assert!(metrics.contains(&line), "{metrics}");
        let _ = block_on(contain("call", peer, async { panic!("a panic of the task") }));
    }
}
