//! Binds the listeners of a daemon that starts, and waits for addresses that are in use.

use std::{io::ErrorKind, time::Duration};

use futures::{FutureExt, StreamExt, pin_mut, select_biased};
use httpio::server::BindError;
use monoio::time;

use crate::{RequestStream, StoppedEarly};

/// The pause between two attempts to bind the listeners.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Binds all listeners by `bind`, and tries again while an address is in use or not configured on the
/// host yet, until a stop is requested.
///
/// An address may be in use for a moment only: by the predecessor of the process, or as the source of
/// an outgoing connection of another one.
///
/// # Errors
/// Other errors of `bind`, and [`StoppedEarly`] after a stop request.
pub async fn bind_when_free<T>(
    stop_requests: &mut RequestStream,
    mut bind: impl FnMut() -> Result<T, BindError>,
) -> anyhow::Result<T> {
    let mut attempts: u64 = 0;
    loop {
        match bind() {
            Ok(listeners) => {
                if attempts > 0 {
                    tracing::info!(event = "address_free", attempts);
                }
                return Ok(listeners);
            }
            Err(error) if is_temporary(&error) => {
                if telemetry::is_logged_attempt(attempts) {
                    let BindError { addr, error } = error;
                    tracing::warn!(event = "address_in_use", %addr, %error, attempts);
                }
            }
            Err(error) => return Err(error.into()),
        }
        attempts += 1;
        let pause = time::sleep(RETRY_INTERVAL).fuse();
        pin_mut!(pause);
        select_biased! {
            _ = stop_requests.next() => return Err(StoppedEarly { step: "bind the addresses" }.into()),
            () = pause => {}
        }
    }
}

fn is_temporary(error: &BindError) -> bool {
    matches!(error.error.kind(), ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable)
}
