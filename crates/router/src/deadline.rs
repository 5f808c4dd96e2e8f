//! Working on an answer for as long as somebody waits for it.

use std::{future::Future, time::Duration};

use futures::{FutureExt, pin_mut, select_biased};
use httpio::signal::Signal;
use monoio::time;

/// How work for a caller ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Completion<T> {
    /// It is done.
    Done(T),
    /// The deadline came first.
    DeadlinePassed,
    /// The caller went away first.
    CallerGone,
}

/// Works until the caller has gone or `left` is over.
pub(crate) async fn run_until_deadline<T>(
    gone: &Signal,
    left: Duration,
    work: impl Future<Output = T>,
) -> Completion<T> {
    let raised = gone.raised().fuse();
    let worked = time::timeout(left, work).fuse();
    pin_mut!(raised, worked);
    select_biased! {
        worked = worked => worked.map_or(Completion::DeadlinePassed, Completion::Done),
        () = raised => Completion::CallerGone,
    }
}
