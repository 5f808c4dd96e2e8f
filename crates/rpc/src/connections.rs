//! Bounds the open connections of a server.

use std::{
    cell::{Cell, RefCell},
    future::poll_fn,
    rc::Rc,
    task::{Poll, Waker},
};

/// The open connections of a server; clones share them.
#[derive(Clone)]
pub(crate) struct Connections {
    shared: Rc<Shared>,
}

struct Shared {
    max: usize,
    open: Cell<usize>,
    /// Of the accept loop, while it waits for a connection to close.
    waiting: RefCell<Option<Waker>>,
}

/// Counts one connection as open until it is dropped.
pub(crate) struct OpenConnection {
    shared: Rc<Shared>,
}

impl Connections {
    pub(crate) fn new(max: usize) -> Connections {
        let (open, waiting) = (Cell::new(0), RefCell::default());
        Connections { shared: Rc::new(Shared { max, open, waiting }) }
    }

    /// Whether one more connection may be accepted.
    pub(crate) fn have_room(&self) -> bool {
        self.shared.open.get() < self.shared.max
    }

    /// Waits until one more connection may be accepted. Only one task may wait at a time.
    pub(crate) async fn wait_for_room(&self) {
        poll_fn(|cx| {
            if self.have_room() {
                return Poll::Ready(());
            }
            self.shared.waiting.replace(Some(cx.waker().clone()));
            Poll::Pending
        })
        .await;
    }

    pub(crate) fn open(&self) -> OpenConnection {
        self.shared.open.set(self.shared.open.get() + 1);
        OpenConnection { shared: Rc::clone(&self.shared) }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.shared.open.set(self.shared.open.get() - 1);
        if let Some(waker) = self.shared.waiting.take() {
            waker.wake();
        }
    }
}
