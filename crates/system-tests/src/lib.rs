//! A whole site of real processes on loopback, with the faults that a test causes.
//!
//! Each site has addresses of its own on the loopback net, so that a process comes back at the
//! address that it had, and several sites run at the same time. Nothing here decides anything by
//! time: a test waits for a condition, and the bound only keeps a broken test from hanging.

mod http;
mod process;
mod relay;
mod site;
mod site_files;

use std::{
    thread,
    time::{Duration, Instant},
};

pub use crate::{
    http::{Reply, get, post},
    relay::SilentRelay,
    site::{Setup, Site, chat, order},
};

const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);

/// Waits until `found` gives something.
///
/// # Panics
/// When that takes longer than any healthy run.
pub fn until<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(it) = found() {
            return it;
        }
        assert!(start.elapsed() < PATIENCE, "waited for {what}");
        thread::sleep(POLL);
    }
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer();
    builder.build().expect("a runtime").block_on(future)
}
