//! Working on an answer for as long as somebody waits for it.

use std::{future::Future, time::Duration};

use futures::{FutureExt, pin_mut, select_biased};
use httpio::signal::Signal;
use monoio::time;

/// How work for a caller ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Worked<T> {
    /// It is done.
    Done(T),
    /// The deadline came first.
    Late,
    /// The caller went away first.
    CallerGone,
}

/// Works until the caller has gone or `left` is over.
pub(crate) async fn while_wanted<T>(
    gone: &Signal,
    left: Duration,
    work: impl Future<Output = T>,
) -> Worked<T> {
    let raised = gone.raised().fuse();
    let worked = time::timeout(left, work).fuse();
    pin_mut!(raised, worked);
    select_biased! {
        worked = worked => worked.map_or(Worked::Late, Worked::Done),
        () = raised => Worked::CallerGone,
    }
}
