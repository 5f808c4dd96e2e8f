//! Contains a panic to the task of one connection or call.
//!
//! All tasks of a daemon share one thread, and a panic unwinds from its task through the runtime, which
//! ends the process. A task whose state belongs to one connection or call is therefore run by
//! [`contain`]. State that other tasks share and that a panic may leave half changed is guarded by
//! [`FailStop`]: a panic while it is held ends the process all the same.

use std::{
    any::Any,
    cell::Cell,
    net::SocketAddr,
    panic::{AssertUnwindSafe, resume_unwind},
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

use derive_more::{Display, Error};
use futures::FutureExt;

/// Counts the contained panics of the process.
static CONTAINED_PANICS: AtomicU64 = AtomicU64::new(0);

thread_local! {
    /// Whether a panic on this thread has passed a [`FailStop`].
    static MUST_STOP: Cell<bool> = const { Cell::new(false) };
}

/// The task panicked, which has been logged and counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("the task panicked: the line event=task_panicked has the message")]
pub struct TaskPanicked;

/// Runs the task of one connection or call with `peer`, and ends only that task if it panics. `task`
/// names its kind in the log.
///
/// # Errors
///
/// If the task panicked.
///
/// # Panics
///
/// If the task panicked while it held a [`FailStop`].
pub fn contain<'a, T: 'a>(
    task: &'static str,
    peer: SocketAddr,
    work: impl Future<Output = T> + 'a,
) -> impl Future<Output = Result<T, TaskPanicked>> + 'a {
    // An `async fn` would hold the work, which may be large, several times.
    let work = work.boxed_local();
    async move {
        // What the task owns is dropped by the unwinding; what it shares is safe or guarded by `FailStop`.
        AssertUnwindSafe(work).catch_unwind().await.map_err(|it| contained(task, peer, it))
    }
}

/// Records a panic, or goes on with it.
fn contained(task: &'static str, peer: SocketAddr, payload: Box<dyn Any + Send>) -> TaskPanicked {
    let message = message(&*payload);
    if MUST_STOP.get() {
        tracing::error!(event = "fail_stop", task, %peer, message);
        resume_unwind(payload);
    }
    CONTAINED_PANICS.fetch_add(1, Ordering::Relaxed);
    tracing::error!(event = "task_panicked", task, %peer, message);
    TaskPanicked
}

/// The number of panics that [`contain`] has kept from ending the process.
#[must_use]
pub fn contained_panics() -> u64 {
    CONTAINED_PANICS.load(Ordering::Relaxed)
}

/// Guards shared state while it is changed: a panic before the guard is dropped ends the process even
/// within [`contain`], so that nothing acts on state that is half changed.
#[derive(Debug)]
pub struct FailStop {
    /// The guard may be taken by a destructor that runs because of another, unrelated panic.
    was_panicking: bool,
}

impl FailStop {
    /// Guards until the returned value is dropped.
    #[must_use = "the guard ends when it is dropped"]
    pub fn begin() -> FailStop {
        FailStop { was_panicking: thread::panicking() }
    }
}

impl Drop for FailStop {
    fn drop(&mut self) {
        if thread::panicking() && !self.was_panicking {
            MUST_STOP.set(true);
        }
    }
}

fn message(payload: &(dyn Any + Send)) -> &str {
    let text = payload.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| payload.downcast_ref::<&str>().copied()).unwrap_or("no message")
}
