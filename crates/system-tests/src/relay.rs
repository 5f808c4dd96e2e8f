//! A TCP relay that can stop forwarding on open connections while new ones still work.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

const BUFFER_BYTES: usize = 16 * 1024;

/// Forwards bytes between clients and one server.
#[derive(Debug)]
pub struct SilentRelay {
    addr: SocketAddr,
    state: Arc<State>,
}

#[derive(Debug, Default)]
struct State {
    accepted: AtomicUsize,
    /// Connections with a lower number forward nothing.
    silent_below: AtomicUsize,
}

impl SilentRelay {
    /// Starts a relay to `server`; its threads end with the test program.
    ///
    /// # Panics
    /// When no port is free.
    #[must_use]
    pub fn start(server: SocketAddr) -> SilentRelay {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        let state = Arc::<State>::default();
        let shared = Arc::clone(&state);
        thread::spawn(move || accept(&listener, server, &shared));
        SilentRelay { addr, state }
    }

    /// The address that the relay listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The number of connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> usize {
        self.state.accepted.load(Ordering::SeqCst)
    }

    /// Stops forwarding on the open connections without closing them.
    pub fn silence_open(&self) {
        self.state.silent_below.store(self.accepted(), Ordering::SeqCst);
    }
}

fn accept(listener: &TcpListener, server: SocketAddr, state: &Arc<State>) {
    for caller in listener.incoming().flatten() {
        let number = state.accepted.fetch_add(1, Ordering::SeqCst);
        let Ok(server) = TcpStream::connect(server) else { continue };
        copy(&caller, &server, number, state);
        copy(&server, &caller, number, state);
    }
}

fn copy(from: &TcpStream, to: &TcpStream, number: usize, state: &Arc<State>) {
    let mut from = from.try_clone().expect("a free descriptor");
    let mut to = to.try_clone().expect("a free descriptor");
    let state = Arc::clone(state);
    thread::spawn(move || {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            if state.silent_below.load(Ordering::SeqCst) > number {
                // Neither bytes nor the end of the stream are forwarded.
                if count == 0 {
                    return;
                }
                continue;
            }
            if count == 0 || to.write_all(&buffer[..count]).is_err() {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    });
}
