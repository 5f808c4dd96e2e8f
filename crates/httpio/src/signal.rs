//! A one-shot event that many tasks of one thread can wait for.

use std::future;

use futures::{FutureExt, channel::oneshot, future::Shared};

/// Raises its [`Signal`] when asked to; a dropped trigger never does.
#[derive(Debug)]
pub struct Trigger(oneshot::Sender<()>);

/// Waits for a [`Trigger`]; clones wait for the same one.
#[derive(Debug, Clone)]
pub struct Signal(Option<Shared<oneshot::Receiver<()>>>);

/// Makes a trigger and the signal that it raises.
#[must_use]
pub fn signal() -> (Trigger, Signal) {
    let (sender, receiver) = oneshot::channel();
    (Trigger(sender), Signal(Some(receiver.shared())))
}

impl Trigger {
    /// Raises the signal for all of its clones.
    pub fn raise(self) {
        // Nobody may be waiting any more, which is no fault.
        let _ = self.0.send(());
    }
}

impl Signal {
    /// A signal that is never raised.
    #[must_use]
    pub fn never() -> Signal {
        Signal(None)
    }

    /// Whether the signal has been raised.
    #[must_use]
    pub fn is_raised(&self) -> bool {
        self.0.as_ref().is_some_and(|it| matches!(it.clone().now_or_never(), Some(Ok(()))))
    }

    /// Resolves when the signal is raised, at once if it already was.
    pub async fn raised(&self) {
        let Some(shared) = &self.0 else { return future::pending().await };
        if shared.clone().await.is_err() {
            future::pending().await
        }
    }
}
