//! Wakes tasks of the same thread when something has changed.

use std::cell::RefCell;

use futures::channel::oneshot;

/// A change that tasks can wait for.
#[derive(Debug, Default)]
pub struct Watch {
    waiting: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Watch {
    /// Wakes all who wait now.
    pub fn notify(&self) {
        for waiter in self.waiting.take() {
            // A waiter that is gone does not want to know.
            let _ = waiter.send(());
        }
    }

    /// Waits for the next change after this call.
    pub fn changed(&self) -> impl Future<Output = ()> + 'static {
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|it| !it.is_canceled());
        waiting.push(sender);
        async move {
            let _ = receiver.await;
        }
    }
}
