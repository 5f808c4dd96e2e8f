//! A budget of bytes that the connections of a process share for the messages that they hold whole.
//!
//! A part of each budget is kept for small messages, so that large ones do not keep these out.

use std::{
    future::poll_fn,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Poll, Waker},
};

use derive_more::{Display, Error};

/// A message up to this size is a small one.
pub const SMALL_MESSAGE_BYTES: usize = 64 << 10;

/// A budget; clones share it.
#[derive(Debug, Clone)]
pub struct ByteBudget {
    shared: Arc<Shared>,
}

/// The size of a budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSize {
    /// What all messages together may hold.
    pub bytes_max: usize,
    /// The part of it that is for small messages only.
    pub small_bytes: usize,
}

impl BudgetSize {
    /// What large messages may bring the sum of all messages to.
    fn large_bytes_max(self) -> usize {
        self.bytes_max.saturating_sub(self.small_bytes)
    }
}

/// What a budget is used for at a moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetUse {
    /// The bytes held.
    pub held_bytes: usize,
    /// The charges that have been refused for lack of room so far.
    pub refused: u64,
}

/// The budget has no room for a message now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("there is no memory for the message now; come back later")]
pub struct NoRoom;

#[derive(Debug)]
struct Shared {
    size: BudgetSize,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    usage: BudgetUse,
    /// The number of the charge that may exceed the budget now.
    exceeding: Option<u64>,
    /// The number of the last charge.
    last_number: u64,
    waiting: Vec<Waker>,
}

/// The bytes that one message holds; dropping it returns them to the budget.
#[derive(Debug)]
pub struct Charge {
    budget: ByteBudget,
    number: u64,
    bytes: usize,
    /// The size that the message states in advance.
    declared_bytes: Option<usize>,
}

impl Default for ByteBudget {
    /// A budget without a bound.
    fn default() -> Self {
        ByteBudget::new(BudgetSize { bytes_max: usize::MAX, small_bytes: 0 })
    }
}

impl ByteBudget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub fn new(size: BudgetSize) -> ByteBudget {
        ByteBudget { shared: Arc::new(Shared { size, state: Mutex::default() }) }
    }

    /// The size of the budget.
    #[must_use]
    pub fn size(&self) -> BudgetSize {
        self.shared.size
    }

    /// What is used of the budget now.
    #[must_use]
    pub fn usage(&self) -> BudgetUse {
        self.state().usage
    }

    /// Begins the charge of a message, which holds nothing yet. `declared_bytes` is the size that it states
    /// in advance; nothing is reserved for it.
    #[must_use]
    pub fn charge(&self, declared_bytes: Option<usize>) -> Charge {
        let mut state = self.state();
        state.last_number += 1;
        Charge { budget: self.clone(), number: state.last_number, bytes: 0, declared_bytes }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // No code that holds the lock panics.
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Charge {
    /// Changes the bytes that the message holds.
    ///
    /// # Errors
    /// If they do not fit; the charge is then unchanged.
    pub fn try_resize(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let budget = self.budget.clone();
        let mut state = budget.state();
        if !self.fits(&state, bytes) {
            state.usage.refused += 1;
            return Err(NoRoom);
        }
        self.apply(state, bytes);
        Ok(())
    }

    /// The size that the message states in advance.
    #[must_use]
    pub fn declared_bytes(&self) -> Option<usize> {
        self.declared_bytes
    }

    /// Whether the declared size would fit if all of it came now.
    ///
    /// # Errors
    /// If it would not.
    pub fn check_declared(&self) -> Result<(), NoRoom> {
        let mut state = self.budget.state();
        if !self.fits(&state, self.declared_bytes.unwrap_or_default()) {
            state.usage.refused += 1;
            return Err(NoRoom);
        }
        Ok(())
    }

    /// Changes the bytes that the message holds, and waits until they fit.
    ///
    /// Messages that wait for one another would wait forever, so one at a time may exceed the budget.
    pub async fn resize(&mut self, bytes: usize) {
        poll_fn(|context| {
            let budget = self.budget.clone();
            let mut state = budget.state();
            if !self.fits(&state, bytes) && state.exceeding != Some(self.number) {
                if state.exceeding.is_some() {
                    if !state.waiting.iter().any(|it| it.will_wake(context.waker())) {
                        state.waiting.push(context.waker().clone());
                    }
                    return Poll::Pending;
                }
                state.exceeding = Some(self.number);
            }
            self.apply(state, bytes);
            Poll::Ready(())
        })
        .await;
    }

    fn fits(&self, state: &State, bytes: usize) -> bool {
        let size = self.budget.shared.size;
        let is_small = self.declared_bytes.unwrap_or(bytes) <= SMALL_MESSAGE_BYTES;
        let room = if is_small { size.bytes_max } else { size.large_bytes_max() };
        let others = state.usage.held_bytes - self.bytes;
        bytes <= self.bytes || others.saturating_add(bytes) <= room
    }

    /// Applies the new size, and wakes what waits for room if some is freed.
    fn apply(&mut self, mut state: MutexGuard<'_, State>, bytes: usize) {
        state.usage.held_bytes = state.usage.held_bytes - self.bytes + bytes;
        let frees = bytes < self.bytes;
        self.bytes = bytes;
        if !frees {
            return;
        }
        if state.usage.held_bytes <= self.budget.shared.size.large_bytes_max() {
            state.exceeding = None;
        }
        let waiting = std::mem::take(&mut state.waiting);
        // What wakes may use the budget at once.
        drop(state);
        waiting.into_iter().for_each(Waker::wake);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let budget = self.budget.clone();
        let mut state = budget.state();
        if state.exceeding == Some(self.number) {
            state.exceeding = None;
        }
        self.apply(state, 0);
    }
}
