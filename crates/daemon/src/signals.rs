//! Requests to stop, as a stream of the signals that the process receives.

use std::{io, os::unix::net::UnixStream as StdStream};

use futures::{Stream, channel::mpsc};
use monoio::{io::AsyncReadRent, net::UnixStream};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    low_level::pipe,
};

/// Yields once for each SIGTERM or SIGINT.
///
/// # Errors
/// Those of the system while the handlers are installed.
pub fn stop_requests() -> io::Result<impl Stream<Item = ()> + Unpin> {
    on_signals(&[SIGTERM, SIGINT])
}

/// Yields once for each SIGHUP, by which a daemon is told that its settings file has changed.
///
/// # Errors
/// Those of the system while the handler is installed.
pub fn reload_requests() -> io::Result<impl Stream<Item = ()> + Unpin> {
    on_signals(&[SIGHUP])
}

fn on_signals(signals: &[i32]) -> io::Result<impl Stream<Item = ()> + Unpin + use<>> {
    // The handlers write to a socket that the event loop reads, as no other work is safe in them.
    let (read, write) = StdStream::pair()?;
    read.set_nonblocking(true)?;
    for signal in signals {
        pipe::register(*signal, write.try_clone()?)?;
    }
    let mut read = UnixStream::from_std(read)?;
    let (sender, receiver) = mpsc::unbounded();
    monoio::spawn(async move {
        while let (Ok(1..), _) = read.read(vec![0; 1]).await {
            if sender.unbounded_send(()).is_err() {
                return;
            }
        }
    });
    Ok(receiver)
}
