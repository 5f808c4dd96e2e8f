//! Notifies tasks of the same thread about changes.

use std::cell::RefCell;

use futures::channel::oneshot;

/// Lets tasks wait for the next change of some state.
#[derive(Debug, Default)]
pub struct Watch {
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Watch {
    /// Wakes all tasks that currently wait.
    pub fn notify(&self) {
        for waiter in self.waiters.take() {
            // Sending fails if the waiter has been dropped.
            let _ = waiter.send(());
        }
    }

    /// Waits for the next change after this call.
    pub fn changed(&self) -> impl Future<Output = ()> + 'static {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|it| !it.is_canceled());
        waiters.push(sender);
        async move {
            let _ = receiver.await;
        }
    }
}
