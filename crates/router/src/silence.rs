//! Telling a dead path from a slow server: a wait that probes when nothing comes.

use std::{future::Future, time::Duration};

use futures::{FutureExt, pin_mut, select_biased};
use monoio::time;
use policy::{Execution, Failure, ProbeResult};

use crate::{backends::AttemptError, dispatch::Lease};

/// Why a wait was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Silent {
    /// The server does not answer on a new connection either.
    Dead,
    /// The server is alive, so the open connection may have been lost between the two ends.
    Alive,
}

impl From<Silent> for AttemptError {
    fn from(silent: Silent) -> Self {
        let detail = match silent {
            Silent::Dead => "the backend server fell silent and does not answer a probe",
            Silent::Alive => "the connection fell silent though the backend server answers a probe",
        };
        let (failure, execution) = (Failure::Timeout, Execution::MayHaveRun);
        AttemptError { failure, execution, detail: detail.to_owned() }
    }
}

/// What could follow a connection that fell silent while its server is alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Remedy {
    /// The rest of the answer on a new connection to the same server.
    Resume,
    /// Another attempt, while attempts and budget are left.
    Retry,
    /// Nothing: part of the answer was delivered, and no server goes on with it.
    KeepWaiting,
}

/// Waits for `event`; each time that nothing has come for `silence`, probes the server.
///
/// A server that is alive may just be slow, so the wait goes on if there is no remedy.
///
/// # Errors
/// [`Silent`] when the probe is over, still nothing has come, and the server is dead or there is a
/// remedy.
pub(crate) async fn probe_on_silence<T>(
    event: impl Future<Output = T>,
    silence: Duration,
    lease: &Lease,
    remedy: Remedy,
) -> Result<T, Silent> {
    let event = event.fuse();
    pin_mut!(event);
    loop {
        let quiet = time::sleep(silence).fuse();
        pin_mut!(quiet);
        select_biased! {
            event = event => return Ok(event),
            () = quiet => {}
        }
        let probe = lease.probe().fuse();
        pin_mut!(probe);
        let probed = select_biased! {
            event = event => return Ok(event),
            probed = probe => probed,
        };
        let has_remedy = match remedy {
            Remedy::Resume => true,
            Remedy::Retry => lease.could_retry(),
            Remedy::KeepWaiting => false,
        };
        match probed {
            ProbeResult::Alive | ProbeResult::AliveAs { .. } if has_remedy => {
                return Err(Silent::Alive);
            }
            ProbeResult::Dead => return Err(Silent::Dead),
            ProbeResult::Alive | ProbeResult::AliveAs { .. } => {}
        }
    }
}
