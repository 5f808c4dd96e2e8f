//! Runs work until its deadline or until the caller disconnects.

use std::{future::Future, time::Duration};

use futures::{FutureExt, pin_mut, select_biased};
use httpio::signal::Signal;
use monoio::time;

/// How the work for a caller ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Completion<T> {
    /// It completed.
    Done(T),
    /// The deadline passed first.
    DeadlinePassed,
    /// The caller disconnected first.
    CallerDisconnected,
}

/// Runs `work` until it completes, the caller disconnects or the time `left` has elapsed.
pub(crate) async fn run_until_deadline<T>(
    disconnected: &Signal,
    left: Duration,
    work: impl Future<Output = T>,
) -> Completion<T> {
    let disconnected = disconnected.raised().fuse();
    let result = time::timeout(left, work).fuse();
    pin_mut!(disconnected, result);
    select_biased! {
        result = result => result.map_or(Completion::DeadlinePassed, Completion::Done),
        () = disconnected => Completion::CallerDisconnected,
    }
}
