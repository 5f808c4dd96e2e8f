//! The steps of a graceful stop.

use futures::{FutureExt, future::FusedFuture, pin_mut, select_biased};
use httpio::{
    server::{OpenConnections, StopSignals},
    signal::{self, Trigger},
};
use monoio::time::{self, Instant};

use super::Stopped;
use crate::stop_deadline::StopSchedule;

/// Raises the signals of a stop one after the other.
pub(super) struct StopSteps {
    drain: Trigger,
    close: Trigger,
    refuse: Trigger,
}

impl StopSteps {
    /// Creates the steps and the signals that they raise.
    pub(super) fn new() -> (StopSteps, StopSignals) {
        let (drain, draining) = signal::signal();
        let (close, closing) = signal::signal();
        let (refuse, refusing) = signal::signal();
        (StopSteps { drain, close, refuse }, StopSignals { draining, closing, refusing })
    }

    /// Takes the steps at their times, until the listeners are `served` to the end or the time is over.
    pub(super) async fn take(
        self,
        schedule: StopSchedule,
        open: OpenConnections,
        mut served: impl FusedFuture<Output = ()> + Unpin,
    ) -> Stopped {
        let requested = Instant::now();
        self.drain.raise();
        time::sleep_until(requested + schedule.close_after).await;
        tracing::info!(event = "closing");
        self.close.raise();
        if !is_served_by(requested + schedule.receive_until, &mut served).await {
            tracing::info!(event = "refusing", open_connections = open.count());
            self.refuse.raise();
            is_served_by(requested + schedule.end_after, &mut served).await;
        }
        let requests_cut = open.count();
        tracing::info!(event = "stopped", requests_cut);
        match requests_cut {
            0 => Stopped::Gracefully,
            _ => Stopped::AtDeadline { requests_cut },
        }
    }
}

/// Whether the listeners are served to the end by this time.
async fn is_served_by(
    end: Instant,
    mut served: &mut (impl FusedFuture<Output = ()> + Unpin),
) -> bool {
    let end = time::sleep_until(end).fuse();
    pin_mut!(end);
    select_biased! {
        () = served => true,
        () = end => false,
    }
}
