//! Requests to stop, as a stream of the signals that the process receives.

use std::{io, os::unix::net::UnixStream as StdStream};

use futures::{Stream, channel::mpsc};
use monoio::{io::AsyncReadRent, net::UnixStream};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    low_level::pipe,
};

/// Yields once for each SIGTERM or SIGINT.
///
/// # Errors
/// Those of the system while the handlers are installed.
pub fn from_signals() -> io::Result<impl Stream<Item = ()> + Unpin> {
    // The handlers write to a socket that the event loop reads, as no other work is safe in them.
    let (read, write) = StdStream::pair()?;
    read.set_nonblocking(true)?;
    pipe::register(SIGTERM, write.try_clone()?)?;
    pipe::register(SIGINT, write)?;
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
