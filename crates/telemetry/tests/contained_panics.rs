//! A panic ends its task only, unless it may have left shared state half changed.

use std::{net::SocketAddr, panic};

use futures::executor::block_on;
use telemetry::{FailStop, TaskPanicked, contain};

fn peer() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

/// Guards against a panic that leaves its task.
#[test]
fn task_ends_alone() {
    let result = block_on(contain("call", peer(), async { panic!("a panic of the task") }));
    assert_eq!(result, Err::<(), _>(TaskPanicked));
    // A guard that was dropped before the panic has no effect.
    let result = block_on(contain("call", peer(), async {
        drop(FailStop::begin());
        panic!("a panic after the change")
    }));
    assert_eq!(result, Err::<(), _>(TaskPanicked));
    assert_eq!(block_on(contain("call", peer(), async { 1 })), Ok(1));
}

/// Guards against a replicated log that runs on after a panic amid a change.
#[test]
fn guarded_change_stops() {
    let result = panic::catch_unwind(|| {
        block_on(contain("call", peer(), async {
            let _change = FailStop::begin();
            panic!("a panic amid a change")
        }))
    });
    assert!(result.is_err(), "the process must end: {result:?}");
}

/// Takes the guard while a panic unwinds, as the destructor of a call does.
struct ChangesOnDrop;

impl Drop for ChangesOnDrop {
    fn drop(&mut self) {
        drop(FailStop::begin());
    }
}

/// Guards against a destructor whose change succeeds, but that passes for the cause of the panic.
#[test]
fn destructor_not_blamed() {
    let result = block_on(contain("call", peer(), async {
        let _changes = ChangesOnDrop;
        panic!("a panic elsewhere")
    }));
    assert_eq!(result, Err::<(), _>(TaskPanicked));
}
