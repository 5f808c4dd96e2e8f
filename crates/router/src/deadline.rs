//! Runs work until its deadline or until the caller disconnects.

use std::{future::Future, time::Duration};

use futures::{FutureExt, pin_mut, select_biased};
use httpio::signal::Signal;
use monoio::time;

use crate::stop_deadline::StopDeadline;

/// How the work for a caller ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Completion<T> {
    /// It completed.
    Done(T),
    /// The deadline passed first, or the time of a router that is stopping.
    DeadlinePassed,
    /// The caller disconnected first.
    CallerDisconnected,
}

/// Runs `work` until it completes, the caller disconnects, the time `left` has elapsed or the router must
/// answer because it is stopping.
pub(crate) fn run_until_deadline<'a, T: 'a>(
    disconnected: &'a Signal,
    stop: &'a StopDeadline,
    left: Duration,
    work: impl Future<Output = T> + 'a,
) -> impl Future<Output = Completion<T>> + 'a {
    let result = before_stop(stop, time::timeout(left, work));
    async move {
        let (disconnected, result) = (disconnected.raised().fuse(), result.fuse());
        pin_mut!(disconnected, result);
        select_biased! {
            result = result => match result {
                Some(Ok(result)) => Completion::Done(result),
                Some(Err(_)) | None => Completion::DeadlinePassed,
            },
            () = disconnected => Completion::CallerDisconnected,
        }
    }
}

/// Runs `work` until it completes; `None` if the router must answer first because it is stopping.
///
/// An `async fn` holds a future that it takes twice, as its argument and where it awaits it. The work is boxed
/// instead, as it takes most of the memory of a request.
pub(crate) fn before_stop<'a, T: 'a>(
    stop: &'a StopDeadline,
    work: impl Future<Output = T> + 'a,
) -> impl Future<Output = Option<T>> + 'a {
    let mut work = work.boxed_local().fuse();
    async move {
        let passed = stop.passed().fuse();
        pin_mut!(passed);
        select_biased! {
            result = work => Some(result),
            () = passed => None,
        }
    }
}
