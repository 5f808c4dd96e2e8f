//! The open connections of a server: bounds their number, and ends those without progress when others need room.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use futures::{FutureExt, StreamExt, channel::mpsc, pin_mut, select_biased};
use monoio::time;
use slotmap::{SlotMap, new_key_type};

use super::{ConnectionBound, OpenConnections};
use crate::{
    progress::Progress,
    signal::{Signal, Trigger, signal},
};

/// An idle connection is not ended before, so that a request that follows its connection arrives.
const IDLE_MIN: Duration = Duration::from_millis(100);
/// A peer has stalled that has sent nothing of its request for so long.
const RECEIVE_STALL: Duration = Duration::from_secs(1);
/// A peer has stalled that has taken nothing of its answer for so long.
const WRITE_STALL: Duration = Duration::from_secs(5);
/// The interval at which a full server looks for connections that have stalled meanwhile.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

new_key_type! {
    struct ConnectionKey;
}

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// It waits for the next request.
    Idle,
    /// It receives a request.
    Receiving,
    /// It waits for the answer or a part of it.
    Answering,
    /// It writes the answer or a part of it.
    Writing,
    /// It has refused a request and discards the rest of it.
    Discarding,
}

impl Stage {
    fn has_no_request(self) -> bool {
        matches!(self, Stage::Idle | Stage::Discarding)
    }

    /// How long a connection may make no progress here when others need room; `None` if it need not make any.
    fn stall(self) -> Option<Duration> {
        match self {
            Stage::Idle => Some(IDLE_MIN),
            Stage::Receiving => Some(RECEIVE_STALL),
            Stage::Answering => None,
            Stage::Writing => Some(WRITE_STALL),
            Stage::Discarding => Some(Duration::ZERO),
        }
    }
}

/// The slots of a server, of which each open connection takes one.
pub(super) struct Slots {
    limit: usize,
    registry: Rc<Registry>,
    /// Receives a message for each slot that is released.
    released: mpsc::UnboundedReceiver<()>,
    release: mpsc::UnboundedSender<()>,
    open: OpenConnections,
}

#[derive(Default)]
struct Registry(RefCell<SlotMap<ConnectionKey, Entry>>);

/// An open connection.
struct Entry {
    stage: Rc<Cell<Stage>>,
    progress: Progress,
    /// Ends the connection; `None` once it has been told to end.
    end: Option<Trigger>,
}

/// The slot of an open connection, which is released when this is dropped.
pub(super) struct Slot {
    key: ConnectionKey,
    stage: Rc<Cell<Stage>>,
    progress: Progress,
    ended: Signal,
    registry: Rc<Registry>,
    release: mpsc::UnboundedSender<()>,
    open: OpenConnections,
}

impl Slots {
    pub(super) fn new(bound: ConnectionBound, open: OpenConnections) -> Slots {
        // The channel holds at most one message for each open connection.
        let (release, released) = mpsc::unbounded();
        Slots { limit: bound.0, registry: Rc::default(), released, release, open }
    }

    pub(super) fn acquire(&mut self) -> Slot {
        self.open.opened();
        let (end, ended) = signal();
        let (stage, progress) = (Rc::new(Cell::new(Stage::Idle)), Progress::default());
        let entry = Entry { stage: Rc::clone(&stage), progress: progress.clone(), end: Some(end) };
        Slot {
            key: self.registry.0.borrow_mut().insert(entry),
            stage,
            progress,
            ended,
            registry: Rc::clone(&self.registry),
            release: self.release.clone(),
            open: self.open.clone(),
        }
    }

    /// Waits for a free slot. If there is none, a connection without progress is ended.
    pub(super) async fn wait_for_free(&mut self) {
        while self.registry.len() >= self.limit {
            if !self.registry.is_any_ending() {
                self.registry.end_oldest();
            }
            let interval = time::sleep(CHECK_INTERVAL).fuse();
            pin_mut!(interval);
            select_biased! {
                _ = self.released.next() => {}
                () = interval => {}
            }
        }
    }

    pub(super) async fn wait_until_all_free(&mut self) {
        while self.registry.len() > 0 {
            self.released.next().await;
        }
    }
}

impl Registry {
    fn len(&self) -> usize {
        self.0.borrow().len()
    }

    fn is_any_ending(&self) -> bool {
        self.0.borrow().values().any(|it| it.end.is_none())
    }

    /// Ends the connection without progress for the longest time, one without a request rather than one with.
    fn end_oldest(&self) {
        let mut entries = self.0.borrow_mut();
        let stalled = entries.values_mut().filter(|it| it.has_stalled());
        let oldest = stalled.max_by_key(|it| (it.stage.get().has_no_request(), it.progress.age()));
        if let Some(entry) = oldest {
            entry.end();
        }
    }

    /// Ends all connections that have stalled within a request.
    fn end_stalled_receivers(&self) {
        let mut entries = self.0.borrow_mut();
        let receivers = entries.values_mut().filter(|it| it.stage.get() == Stage::Receiving);
        receivers.filter(|it| it.has_stalled()).for_each(Entry::end);
    }
}

impl Entry {
    fn has_stalled(&self) -> bool {
        self.stage.get().stall().is_some_and(|it| self.progress.age() >= it)
    }

    fn end(&mut self) {
        if let Some(end) = self.end.take() {
            end.raise();
        }
    }
}

impl Slot {
    /// Records what the connection does now, which counts as progress.
    pub(super) fn enter(&self, stage: Stage) {
        self.stage.set(stage);
        self.progress.record();
    }

    /// The progress of the connection.
    pub(super) fn progress(&self) -> Progress {
        self.progress.clone()
    }

    /// Raised when the connection must end since it makes no progress and others need room.
    pub(super) fn ended(&self) -> Signal {
        self.ended.clone()
    }

    /// Ends the other connections whose requests have stalled, as there is no memory for another one.
    pub(super) fn end_stalled_receivers(&self) {
        self.registry.end_stalled_receivers();
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.open.closed();
        self.registry.0.borrow_mut().remove(self.key);
        // Sending fails only when the whole server, and with it the receiver, has been dropped.
        let _ = self.release.unbounded_send(());
    }
}
