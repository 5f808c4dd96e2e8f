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
pub(crate) async fn run_until_deadline<T>(
    disconnected: &Signal,
    stop: &StopDeadline,
    left: Duration,
    work: impl Future<Output = T>,
) -> Completion<T> {
    let disconnected = disconnected.raised().fuse();
    let result = before_stop(stop, time::timeout(left, work)).fuse();
    pin_mut!(disconnected, result);
    select_biased! {
        result = result => match result {
            Some(Ok(result)) => Completion::Done(result),
            Some(Err(_)) | None => Completion::DeadlinePassed,
        },
        () = disconnected => Completion::CallerDisconnected,
    }
}

/// Runs `work` until it completes; `None` if the router must answer first because it is stopping.
pub(crate) async fn before_stop<T>(
    stop: &StopDeadline,
    work: impl Future<Output = T>,
) -> Option<T> {
    let (work, passed) = (work.fuse(), stop.passed().fuse());
    pin_mut!(work, passed);
    select_biased! {
        result = work => Some(result),
        () = passed => None,
    }
}
