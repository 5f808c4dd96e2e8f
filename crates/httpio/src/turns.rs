//! Turns in which connections read, so that those that always have more to read leave time for others.
//!
//! The runtime runs its timers only once no task is ready. Without turns, connections whose peers send faster than they
//! are read keep it from that, and from all tasks that wait for a timer.

use std::{cell::RefCell, collections::VecDeque, rc::Rc, time::Duration};

use futures::channel::oneshot;
use monoio::time;

/// What a connection may read in one turn.
const TURN_BYTES: usize = 16 << 10;
/// The turns of all connections together between two pauses.
const TURNS_PER_PAUSE: usize = 16;
/// The shortest pause that the runtime's timers know.
const PAUSE: Duration = Duration::from_millis(1);

/// Hands out turns in the order in which they are asked for. Clones share them.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadTurns(Rc<RefCell<State>>);

#[derive(Debug, Default)]
struct State {
    /// Since the last pause.
    turns_taken: usize,
    /// Whether a task will resume after the next pause.
    is_pausing: bool,
    waiting: VecDeque<oneshot::Sender<()>>,
}

impl ReadTurns {
    /// Waits for a turn.
    pub(crate) async fn next(&self) {
        let Err(granted) = self.try_next() else { return };
        // The other end is dropped only with the runtime, which then polls this task no more.
        let _ = granted.await;
    }

    /// Takes a turn if one is left, or enqueues for one.
    fn try_next(&self) -> Result<(), oneshot::Receiver<()>> {
        let mut state = self.0.borrow_mut();
        if !state.is_pausing {
            state.is_pausing = true;
            monoio::spawn(self.clone().resume_after_pauses());
        }
        if state.turns_taken < TURNS_PER_PAUSE && state.waiting.is_empty() {
            state.turns_taken += 1;
            return Ok(());
        }
        let (grant, granted) = oneshot::channel();
        state.waiting.push_back(grant);
        Err(granted)
    }

    /// Pauses for as long as turns are taken.
    async fn resume_after_pauses(self) {
        loop {
            time::sleep(PAUSE).await;
            if !self.0.borrow_mut().resume() {
                return;
            }
        }
    }
}

impl State {
    /// Hands out the turns that follow a pause. Returns whether another pause is due.
    fn resume(&mut self) -> bool {
        let was_used = self.turns_taken > 0;
        self.turns_taken = 0;
        while self.turns_taken < TURNS_PER_PAUSE
            && let Some(next) = self.waiting.pop_front()
        {
            // One that has stopped waiting takes no turn.
            if next.send(()).is_ok() {
                self.turns_taken += 1;
            }
        }
        self.is_pausing = was_used || self.turns_taken > 0;
        self.is_pausing
    }
}

/// What one connection may read before its next turn.
#[derive(Debug)]
pub(crate) struct Turn {
    turns: ReadTurns,
    left_bytes: usize,
}

impl Turn {
    /// The first turn of a connection.
    pub(crate) fn first(turns: ReadTurns) -> Turn {
        Turn { turns, left_bytes: TURN_BYTES }
    }

    /// Waits for the next turn if this one is over.
    pub(crate) async fn wait(&mut self) {
        if self.left_bytes == 0 {
            self.turns.next().await;
            self.left_bytes = TURN_BYTES;
        }
    }

    /// Counts what was read, or the work that it has caused as bytes.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.left_bytes = self.left_bytes.saturating_sub(bytes);
    }
}
