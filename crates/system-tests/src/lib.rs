//! A complete site of real processes on loopback, into which tests inject faults.
//!
//! Each site uses its own loopback addresses, so that a restarted process keeps its address and
//! several sites can run at the same time. No result depends on timing: a test waits for a
//! condition, and the timeout only keeps a broken test from hanging.

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
    process::{Process, binary},
    relay::SilentRelay,
    site::{Setup, Site, chat, order},
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `poll` until it returns a value.
///
/// # Panics
/// When no value is returned within a timeout longer than any healthy run.
pub fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(it) = poll() {
            return it;
        }
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out after {WAIT_TIMEOUT:?} waiting for {what}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new().enable_timer();
    builder.build().expect("a runtime").block_on(future)
}
