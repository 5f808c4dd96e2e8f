//! Silence detection: waits that probe the server when no data arrives, to tell a lost connection
//! from a slow server.

use std::{future::Future, time::Duration};

use futures::{FutureExt, future::LocalBoxFuture, pin_mut, select_biased};
use monoio::time;
use policy::{Execution, Failure, ProbeResult};

use crate::{backends::AttemptError, dispatch::Lease};

/// Why a wait was abandoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Silent {
    /// The server does not answer on a new connection either.
    Dead,
    /// The server is alive, so the open connection may be broken on the path between the two ends.
    Alive,
    /// No server answers.
    CutOff,
}

impl From<Silent> for AttemptError {
    fn from(silent: Silent) -> Self {
        let detail = match silent {
            Silent::Dead => "the backend server fell silent and does not answer a probe",
            Silent::Alive => "the connection fell silent though the backend server answers a probe",
            Silent::CutOff => "this router is cut off from all backend servers",
        };
        let (failure, execution) = (Failure::Timeout, Execution::MayHaveRun);
        AttemptError { failure, execution, detail: detail.to_owned() }
    }
}

/// What can be done about a connection that fell silent while its server is alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Remedy {
    /// Resume the answer on a new connection to the same server.
    Resume,
    /// Start another attempt, while attempts and retry budget are left.
    Retry,
    /// Keep waiting: part of the answer was delivered and no server can continue it.
    KeepWaiting,
}

/// Waits for `event`, and probes the server whenever nothing has arrived for `silence`.
///
/// A server that is alive may just be slow, so the wait continues if there is no remedy. If the router is
/// found to be cut off from all servers, a wait that has a remedy ends at once.
///
/// # Errors
/// [`Silent`] if nothing has arrived by the end of the probe and the server is dead or there is a
/// remedy.
pub(crate) fn probe_on_silence<'a, T: 'a>(
    event: impl Future<Output = T> + 'a,
    silence: Duration,
    lease: &'a Lease,
    remedy: Remedy,
) -> impl Future<Output = Result<T, Silent>> + 'a {
    // An `async fn` would hold the event twice.
    wait_or_probe(event.boxed_local(), silence, lease, remedy)
}

async fn wait_or_probe<T>(
    event: LocalBoxFuture<'_, T>,
    silence: Duration,
    lease: &Lease,
    remedy: Remedy,
) -> Result<T, Silent> {
    let cut_off = lease.cut_off();
    let cut_off = async {
        cut_off.raised().await;
        if remedy == Remedy::KeepWaiting {
            futures::future::pending::<()>().await;
        }
    };
    let (mut event, cut_off) = (event.fuse(), cut_off.fuse());
    pin_mut!(cut_off);
    loop {
        let timeout = time::sleep(silence).fuse();
        pin_mut!(timeout);
        select_biased! {
            event = event => return Ok(event),
            () = cut_off => return Err(Silent::CutOff),
            () = timeout => {}
        }
        let probe = lease.probe().fuse();
        pin_mut!(probe);
        let result = select_biased! {
            event = event => return Ok(event),
            () = cut_off => return Err(Silent::CutOff),
            result = probe => result,
        };
        let has_remedy = match remedy {
            Remedy::Resume => true,
            Remedy::Retry => lease.could_retry(),
            Remedy::KeepWaiting => false,
        };
        match result {
            ProbeResult::Alive | ProbeResult::AliveAs { .. } if has_remedy => {
                return Err(Silent::Alive);
            }
            ProbeResult::Dead => return Err(Silent::Dead),
            ProbeResult::Alive | ProbeResult::AliveAs { .. } => {}
        }
    }
}
