//! A one-shot event that many tasks can wait for.
//!
//! Waking a task whose runtime has ended drops the task and the `Waiter` that it holds, and
//! dropping a `Waiter` takes the lock. So wakers are never woken or dropped while it is held.

use std::{
    collections::BTreeMap,
    future, mem,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
};

/// Raises its [`Signal`]. A trigger that is dropped without being raised never raises it.
#[derive(Debug)]
pub struct Trigger(Arc<Shared>);

/// Waits for a [`Trigger`]. Clones wait for the same trigger.
#[derive(Debug, Clone)]
pub struct Signal(Option<Arc<Shared>>);

/// Creates a trigger and the signal that it raises.
#[must_use]
pub fn signal() -> (Trigger, Signal) {
    let shared = Arc::new(Shared::default());
    (Trigger(Arc::clone(&shared)), Signal(Some(shared)))
}

#[derive(Debug, Default)]
struct Shared(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    is_raised: bool,
    next_waiter: u64,
    wakers: BTreeMap<u64, Waker>,
}

/// One pending wait. Dropping it removes its waker.
struct Waiter<'a> {
    shared: &'a Shared,
    number: u64,
}

impl Trigger {
    /// Raises the signal and wakes all tasks that wait for it.
    pub fn raise(self) {
        let wakers = {
            let mut state = self.0.lock();
            state.is_raised = true;
            mem::take(&mut state.wakers)
        };
        wakers.into_values().for_each(Waker::wake);
    }
}

impl Signal {
    /// Creates a signal that is never raised.
    #[must_use]
    pub fn never() -> Signal {
        Signal(None)
    }

    /// Whether the signal has been raised.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.0.as_ref().is_some_and(|it| it.lock().is_raised)
    }

    /// Resolves when the signal is raised, or immediately if it already is.
    pub async fn raised(&self) {
        let Some(shared) = &self.0 else { return future::pending().await };
        let waiter = shared.waiter();
        future::poll_fn(|context| waiter.poll(context)).await;
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        // No code that can panic runs while the lock is held, so it is never poisoned.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiter(&self) -> Waiter<'_> {
        let mut state = self.lock();
        let number = state.next_waiter;
        state.next_waiter += 1;
        Waiter { shared: self, number }
    }
}

impl Waiter<'_> {
    fn poll(&self, context: &mut Context<'_>) -> Poll<()> {
        let waker = context.waker().clone();
        let mut state = self.shared.lock();
        if state.is_raised {
            return Poll::Ready(());
        }
        let replaced = state.wakers.insert(self.number, waker);
        drop(state);
        drop(replaced);
        Poll::Pending
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let waker = self.shared.lock().wakers.remove(&self.number);
        drop(waker);
    }
}
