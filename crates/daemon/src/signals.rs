//! The signals that request a stop or a reload of the process.

use std::{
    io,
    os::unix::net::UnixStream as StdStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use futures::channel::mpsc;
use monoio::{io::AsyncReadRent, net::UnixStream};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM, SIGXFSZ},
    flag,
    low_level::pipe,
};

const STOP_SIGNALS: [i32; 2] = [SIGTERM, SIGINT];

/// The installed handlers of the process's signals.
///
/// A daemon installs them before anything else: a signal without a handler ends the process. Requests
/// are kept until the daemon reads them.
#[derive(Debug)]
pub struct Signals {
    stop_requested: Arc<AtomicBool>,
    stops: StdStream,
    reloads: StdStream,
}

impl Signals {
    /// Installs the handlers of SIGTERM, SIGINT and SIGHUP, and one of SIGXFSZ, without which a write
    /// beyond the limit on file sizes ends the process instead of failing.
    ///
    /// # Errors
    /// Errors of the operating system while the handlers are installed.
    pub fn install() -> io::Result<Signals> {
        let stop_requested = Arc::new(AtomicBool::new(false));
        for signal in STOP_SIGNALS {
            flag::register(signal, Arc::clone(&stop_requested))?;
        }
        // The write that failed is handled where it was made, so nobody reads this flag.
        flag::register(SIGXFSZ, Arc::default())?;
        let (stops, reloads) = (queue_signals(&STOP_SIGNALS)?, queue_signals(&[SIGHUP])?);
        Ok(Signals { stop_requested, stops, reloads })
    }

    /// Whether a stop has been requested.
    #[must_use]
    pub fn is_stop_requested(&self) -> bool {
        self.stop_requested.load(Ordering::SeqCst)
    }

    /// Yields once for each request since the handlers were installed: requests to stop, and requests
    /// to reload the settings file.
    ///
    /// # Errors
    /// Errors of the operating system. Needs a running runtime.
    pub fn into_streams(self) -> io::Result<(RequestStream, RequestStream)> {
        Ok((request_stream(self.stops)?, request_stream(self.reloads)?))
    }
}

/// Yields once for each request.
pub type RequestStream = mpsc::UnboundedReceiver<()>;

/// Installs handlers that write one byte a signal to the returned socket.
fn queue_signals(signals: &[i32]) -> io::Result<StdStream> {
    // A signal handler may call async-signal-safe functions only, so it writes to a socket that the
    // event loop reads.
    let (read, write) = StdStream::pair()?;
    read.set_nonblocking(true)?;
    for signal in signals {
        pipe::register(*signal, write.try_clone()?)?;
    }
    Ok(read)
}

fn request_stream(read: StdStream) -> io::Result<RequestStream> {
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
