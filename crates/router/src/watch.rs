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
        let (failure, execution) = (Failure::Silent, Execution::MayHaveRun);
        AttemptError { failure, execution, detail: detail.to_owned() }
    }
}

/// Waits for `event`; each time that nothing has come for `silence`, probes the server.
///
/// # Errors
/// [`Silent`] when the probe is over and still nothing has come.
pub(crate) async fn watch<T>(
    event: impl Future<Output = T>,
    silence: Duration,
    lease: &Lease,
) -> Result<T, Silent> {
    let event = event.fuse();
    let quiet = time::sleep(silence).fuse();
    pin_mut!(event, quiet);
    select_biased! {
        event = event => return Ok(event),
        () = quiet => {}
    }
    let probe = lease.probe().fuse();
    pin_mut!(probe);
    select_biased! {
        event = event => Ok(event),
        probed = probe => Err(match probed {
            ProbeResult::Alive | ProbeResult::AliveAs { .. } => Silent::Alive,
            ProbeResult::Dead => Silent::Dead,
        }),
    }
}
