//! Streams of the process signals that request a stop or a reload.

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
/// Errors of the operating system while the handlers are installed.
pub fn stop_requests() -> io::Result<impl Stream<Item = ()> + Unpin> {
    signal_stream(&[SIGTERM, SIGINT])
}

/// Yields once for each SIGHUP, upon which a daemon reloads its settings file.
///
/// # Errors
/// Errors of the operating system while the handler is installed.
pub fn reload_requests() -> io::Result<impl Stream<Item = ()> + Unpin> {
    signal_stream(&[SIGHUP])
}

fn signal_stream(signals: &[i32]) -> io::Result<impl Stream<Item = ()> + Unpin + use<>> {
    // A signal handler may call async-signal-safe functions only, so it writes to a socket that the
    // event loop reads.
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
